//! Formats the report as text and as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use amaranth_wire::id::TierId;
use amaranth_wire::unit::TimeSpan;
use serde::Serialize;

use crate::burn_rate::{BUDGET_MINUTES, BudgetUse, PairBurn, TierBurn, WindowBurn};
use crate::collect::{CollectedReports, MissingSource};
use crate::history::FleetHistory;

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// Burn rates and error budgets of all tiers at one time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Time of the latest report, in Unix milliseconds.
    pub time_ms: u64,
    /// Number of collected reports.
    pub reports: usize,
    /// Sources that gave no report; their requests are not counted.
    pub missing: Vec<MissingSource>,
    /// Burn by tier.
    pub tiers: BTreeMap<TierId, TierBurn>,
}

impl BurnReport {
    /// Computes the burn of each tier at the time of the latest report.
    pub fn new(collected: &CollectedReports, history: &FleetHistory) -> Self {
        let times = collected.reports.iter().map(|report| report.time_ms);
        let time_ms = times.max().unwrap_or(0);
        let tiers = history.tiers.iter();
        let burns = tiers.map(|(tier, history)| {
            let burn = TierBurn::new(history, time_ms / MINUTE_MS);
            (tier.clone(), burn)
        });
        Self {
            time_ms,
            reports: collected.reports.len(),
            missing: collected.missing.clone(),
            tiers: burns.collect(),
        }
    }

    /// Last minute of the report's windows, since the Unix epoch.
    pub fn last_minute(&self) -> u64 {
        self.time_ms / MINUTE_MS
    }

    /// Formats the report as JSON.
    pub fn to_json(&self) -> String {
        let text = serde_json::to_string_pretty(self).expect("reports always encode");
        text + "\n"
    }

    /// Formats the report as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let time_s = self.time_ms / 1_000;
        let _ = writeln!(
            text,
            "service-level burn at Unix time {time_s} s, {} reports",
            self.reports
        );
        for missing in &self.missing {
            let _ = writeln!(text, "not counted: {}: {}", missing.source, missing.reason);
        }
        for (tier, burn) in &self.tiers {
            write_tier(&mut text, tier, burn);
        }
        text
    }
}

// Writing to a string cannot fail, so the results are ignored.

fn write_tier(text: &mut String, tier: &TierId, burn: &TierBurn) {
    let objective = &burn.objective;
    let _ = writeln!(
        text,
        "\ntier {tier}: {} of requests within {} to the first token, {} between tokens",
        objective.target, objective.first_token, objective.token_gap
    );
    for pair in &burn.pairs {
        write_pair(text, pair);
    }
    match &burn.budget {
        Some(budget) => write_budget(text, budget),
        None => _ = writeln!(text, "  no requests in {}", span(BUDGET_MINUTES)),
    }
}

fn write_pair(text: &mut String, pair: &PairBurn) {
    let state = if pair.alerting { "ALERT" } else { "ok" };
    let (short, long) = (window(&pair.short), window(&pair.long));
    let (name, threshold) = (pair.name, pair.threshold);
    let _ = writeln!(
        text,
        "  {name}: {short}, {long}; both at least {threshold}: {state}"
    );
}

fn window(window: &WindowBurn) -> String {
    let span = span(window.minutes);
    match window.burn {
        Some(burn) => format!(
            "{span} burns {burn:.2} ({} of {})",
            window.bad, window.requests
        ),
        None => format!("{span} without requests"),
    }
}

fn write_budget(text: &mut String, budget: &BudgetUse) {
    let left = budget.left * 100.0;
    let _ = writeln!(
        text,
        "  budget over {}: {left:.1}% left, {} of {:.1} requests used",
        span(BUDGET_MINUTES),
        budget.bad,
        budget.allowed
    );
    for share in &budget.causes {
        let percent = share.of_budget * 100.0;
        let (cause, requests) = (share.cause, share.requests);
        let _ = writeln!(
            text,
            "    {cause:<16} {requests:>9} requests {percent:>8.1}%"
        );
    }
}

fn span(minutes: u64) -> TimeSpan {
    TimeSpan::from_millis(minutes * MINUTE_MS)
}
