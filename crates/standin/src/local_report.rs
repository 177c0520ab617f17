//! Report of a checked run, as a text table and as JSON.

use std::fmt::Write;

use amaranth_settings::fleet::FleetSettings;
use serde::Serialize;

use crate::load_stats::{LoadStats, TimeSummary};
use crate::local_batch::JobSummary;
use crate::local_promises::{Promise, PromiseRow};

/// Result of a promise in a report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PromiseReport {
    /// Description of the promise.
    pub promise: String,
    /// Check counts and findings.
    #[serde(flatten)]
    pub row: PromiseRow,
}

/// Measurements of a tier's online calls.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TierReport {
    /// Name of the tier.
    pub tier: String,
    /// Started calls.
    pub calls: u64,
    /// Calls with a complete answer.
    pub complete: u64,
    /// Failed calls by cause.
    pub failed: std::collections::BTreeMap<String, u64>,
    /// Correct tokens.
    pub tokens: u64,
    /// Time from sending a call to its first token.
    pub first_token: TimeSummary,
    /// Time between consecutive tokens.
    pub gap: TimeSummary,
}

/// Report of a checked run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LocalReport {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of instances.
    pub instances: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Online calls before any batch was submitted.
    pub online_alone: Vec<TierReport>,
    /// Online calls while batches ran.
    pub online_beside_batch: Vec<TierReport>,
    /// Outcomes of the batch jobs.
    pub jobs: Vec<JobSummary>,
    /// Time until a changed setting was in force on every instance, in milliseconds.
    pub setting_in_force_ms: Option<u64>,
    /// Results of the promises.
    pub promises: Vec<PromiseReport>,
}

impl TierReport {
    /// Summarises the calls of a tier.
    pub fn new(tier: &str, stats: &LoadStats) -> Self {
        Self {
            tier: tier.to_owned(),
            calls: stats.calls,
            complete: stats.complete,
            failed: stats.failed.clone(),
            tokens: stats.tokens,
            first_token: stats.first_token.summary(),
            gap: stats.gap.summary(),
        }
    }
}

impl LocalReport {
    /// Creates a report with only the name and size of the fleet.
    pub fn new(settings: &FleetSettings) -> Self {
        Self {
            fleet: settings.fleet.clone(),
            instances: settings.instances.len(),
            upstreams: settings.upstreams.iter().map(|group| group.count).sum(),
            seconds: 0.0,
            online_alone: Vec::new(),
            online_beside_batch: Vec::new(),
            jobs: Vec::new(),
            setting_in_force_ms: None,
            promises: Vec::new(),
        }
    }

    /// Sets the results of the promises.
    pub fn with_promises(mut self, rows: Vec<(Promise, PromiseRow)>) -> Self {
        let rows = rows.into_iter().map(|(promise, row)| PromiseReport {
            promise: promise.to_string(),
            row,
        });
        self.promises = rows.collect();
        self
    }

    /// Whether all checks succeeded.
    pub fn all_checks_passed(&self) -> bool {
        self.promises.iter().all(|promise| promise.row.broken == 0)
    }

    /// Formats the report as a text table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{}: {} instances, {} upstreams, {:.1} s",
            self.fleet, self.instances, self.upstreams, self.seconds
        );
        write_tiers(&mut text, "online, alone", &self.online_alone);
        write_tiers(&mut text, "online, beside batch", &self.online_beside_batch);
        self.write_jobs(&mut text);
        if let Some(ms) = self.setting_in_force_ms {
            let _ = writeln!(
                text,
                "\na setting was in force on every instance after {ms} ms"
            );
        }
        self.write_promises(&mut text);
        text
    }

    fn write_jobs(&self, text: &mut String) {
        let _ = writeln!(
            text,
            "\n{:<40}{:>8}{:>12}{:>10}{:>10}",
            "batch", "items", "status", "s", "items/s"
        );
        for job in &self.jobs {
            let _ = writeln!(
                text,
                "{:<40}{:>8}{:>12}{:>10.1}{:>10.0}",
                job.job, job.items, job.status, job.seconds, job.items_per_second
            );
        }
    }

    fn write_promises(&self, text: &mut String) {
        let _ = writeln!(text, "\n{:<40}{:>10}{:>10}", "promise", "checked", "broken");
        for promise in &self.promises {
            let PromiseReport { promise, row } = promise;
            let _ = writeln!(text, "{promise:<40}{:>10}{:>10}", row.checked, row.broken);
            for finding in &row.findings {
                let _ = writeln!(text, "    {finding}");
            }
        }
        let broken = self.promises.iter().filter(|p| p.row.broken > 0).count();
        let unchecked = self.promises.iter().filter(|p| p.row.checked == 0).count();
        let _ = writeln!(text, "\n{broken} promises broken, {unchecked} not checked");
    }
}

fn write_tiers(text: &mut String, title: &str, tiers: &[TierReport]) {
    let _ = writeln!(
        text,
        "\n{title:<24}{:>8}{:>8}{:>16}{:>8}{:>8}{:>14}{:>8}",
        "calls", "whole", "first token p50", "p95", "p99", "gap p50", "p95"
    );
    for tier in tiers {
        let ms = |time_us: u64| format!("{:.1}", time_us as f64 / 1_000.0);
        let (first, gap) = (&tier.first_token, &tier.gap);
        let times = match first.count {
            0 => String::new(),
            _ => format!(
                "{:>16}{:>8}{:>8}{:>14}{:>8}",
                ms(first.p50_us),
                ms(first.p95_us),
                ms(first.p99_us),
                ms(gap.p50_us),
                ms(gap.p95_us)
            ),
        };
        let _ = writeln!(
            text,
            "{:<24}{:>8}{:>8}{times}",
            tier.tier, tier.calls, tier.complete
        );
        for (kind, count) in &tier.failed {
            let _ = writeln!(text, "    {count} x {kind}");
        }
    }
}
