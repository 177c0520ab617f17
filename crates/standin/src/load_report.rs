//! Report of a load run, as a text table and as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::load_run::LoadResult;
use crate::load_stats::{LoadStats, TimeStats, TimeSummary};
use crate::process_monitor::ProcessUse;

/// Measurements of one target.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TargetReport {
    /// Name of the target.
    pub name: String,
    /// Started calls.
    pub calls: u64,
    /// Calls with a complete answer.
    pub complete: u64,
    /// Failed calls by cause.
    pub failed: BTreeMap<String, u64>,
    /// Correct tokens.
    pub tokens: u64,
    /// Tokens that do not belong to their answer.
    pub wrong_tokens: u64,
    /// Tokens missing from their answer.
    pub lost_tokens: u64,
    /// Tokens received more than once.
    pub doubled_tokens: u64,
    /// Complete calls per second.
    pub calls_per_second: f64,
    /// Correct tokens per second.
    pub tokens_per_second: f64,
    /// Time from sending a call to its first token.
    pub first_token: TimeSummary,
    /// Time between consecutive tokens.
    pub gap: TimeSummary,
    /// Time from sending a call to its end.
    pub total: TimeSummary,
    /// Latency to the engine and back with the first token, without the engine's processing time.
    pub round: TimeSummary,
    /// Latency of each token from the engine to here.
    pub outbound: TimeSummary,
}

/// Difference of the second target from the first; latencies in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct AddedTime {
    /// Added latency of a request and its first token, at the median.
    pub round_p50_us: i64,
    /// Added latency of a request and its first token, at the 99th percentile.
    pub round_p99_us: i64,
    /// Added latency of a token, at the median.
    pub token_p50_us: i64,
    /// Added latency of a token, at the 99th percentile.
    pub token_p99_us: i64,
    /// Call rate of the second target as a fraction of the first's.
    pub throughput_share: f64,
}

/// Report of a load run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// The targets, in the order of the plan.
    pub targets: Vec<TargetReport>,
    /// Difference between the targets, if there are two.
    pub added: Option<AddedTime>,
    /// CPU and memory use of the monitored process.
    pub process: Option<ProcessUse>,
    /// Whether no token was wrong, missing or received more than once.
    pub correct: bool,
}

impl LoadReport {
    /// Summarises a run.
    pub fn new(result: &LoadResult) -> Self {
        let targets = result.stats.iter();
        let targets = targets.map(|(name, stats)| TargetReport::new(name, stats));
        let added = match &result.stats[..] {
            [(_, direct), (_, through)] => Some(AddedTime::new(direct, through)),
            _ => None,
        };
        Self {
            targets: targets.collect(),
            added,
            process: result.process.clone(),
            correct: result.stats.iter().all(|(_, stats)| stats.is_correct()),
        }
    }

    /// Formats the report as a text table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for target in &self.targets {
            target.write(&mut text);
        }
        if let Some(added) = &self.added {
            added.write(&mut text);
        }
        if let Some(usage) = &self.process {
            let (rest, peak) = (usage.rest_kib / 1024, usage.peak_kib / 1024);
            let calls = usage.calls_per_core_second;
            let _ = writeln!(
                text,
                "process: {rest} MiB at rest, {peak} MiB at most, {calls:.0} calls per core second"
            );
        }
        text
    }
}

impl TargetReport {
    fn new(name: &str, stats: &LoadStats) -> Self {
        Self {
            name: name.to_owned(),
            calls: stats.calls,
            complete: stats.complete,
            failed: stats.failed.clone(),
            tokens: stats.tokens,
            wrong_tokens: stats.wrong,
            lost_tokens: stats.lost,
            doubled_tokens: stats.doubled,
            calls_per_second: stats.calls_per_second(),
            tokens_per_second: stats.tokens_per_second(),
            first_token: stats.first_token.summary(),
            gap: stats.gap.summary(),
            total: stats.total.summary(),
            round: stats.round_trip.summary(),
            outbound: stats.outbound.summary(),
        }
    }

    fn write(&self, text: &mut String) {
        let Self {
            name,
            calls,
            complete,
            ..
        } = self;
        let _ = writeln!(
            text,
            "{name}: {complete} of {calls} calls whole, {:.1} calls/s, {:.0} tokens/s; tokens: \
             {} right, {} wrong, {} lost, {} doubled",
            self.calls_per_second,
            self.tokens_per_second,
            self.tokens,
            self.wrong_tokens,
            self.lost_tokens,
            self.doubled_tokens,
        );
        for (kind, count) in &self.failed {
            let _ = writeln!(text, "  {count} x {kind}");
        }
        let head = ["ms", "p50", "p95", "p99", "max"];
        let _ = writeln!(
            text,
            "  {:<24}{:>10}{:>10}{:>10}{:>10}",
            head[0], head[1], head[2], head[3], head[4]
        );
        for (row, time) in [
            ("first token", &self.first_token),
            ("gap between tokens", &self.gap),
            ("whole answer", &self.total),
            ("way in and back", &self.round),
            ("way of a token", &self.outbound),
        ] {
            let ms = [time.p50_us, time.p95_us, time.p99_us, time.max_us].map(millis);
            let _ = writeln!(
                text,
                "  {row:<24}{:>10.3}{:>10.3}{:>10.3}{:>10.3}",
                ms[0], ms[1], ms[2], ms[3]
            );
        }
    }
}

impl AddedTime {
    fn new(direct: &LoadStats, through: &LoadStats) -> Self {
        let added = |direct: &TimeStats, through: &TimeStats, share: f64| {
            through.quantile(share) as i64 - direct.quantile(share) as i64
        };
        Self {
            round_p50_us: added(&direct.round_trip, &through.round_trip, 0.50),
            round_p99_us: added(&direct.round_trip, &through.round_trip, 0.99),
            token_p50_us: added(&direct.outbound, &through.outbound, 0.50),
            token_p99_us: added(&direct.outbound, &through.outbound, 0.99),
            throughput_share: through.calls_per_second() / direct.calls_per_second().max(1e-9),
        }
    }

    fn write(&self, text: &mut String) {
        let _ = writeln!(
            text,
            "added: {} us at the median and {} us at p99 to the way in and back; {} us and {} us \
             to the way of a token; {:.1} % of the throughput",
            self.round_p50_us,
            self.round_p99_us,
            self.token_p50_us,
            self.token_p99_us,
            self.throughput_share * 100.0,
        );
    }
}

fn millis(time_us: u64) -> f64 {
    time_us as f64 / 1_000.0
}
