//! What a load run measured at one target.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load_call::{CallEnd, CallReport};

/// Longest time that a histogram tells apart, in microseconds.
const MAX_US: u64 = 600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// A distribution of times in microseconds.
#[derive(Debug, Clone)]
pub struct TimeStats(Histogram<u64>);

impl Default for TimeStats {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, DIGITS);
        Self(histogram.expect("the bounds are constant and valid"))
    }
}

impl TimeStats {
    /// Adds a time.
    pub fn add(&mut self, time_us: u64) {
        self.0.saturating_record(time_us.max(1));
    }

    /// Adds all of another's.
    pub fn merge(&mut self, other: &Self) {
        self.0 += &other.0;
    }

    /// The time that this share of all times does not exceed.
    pub fn quantile(&self, share: f64) -> u64 {
        self.0.value_at_quantile(share)
    }

    /// The usual quantiles.
    pub fn summary(&self) -> TimeSummary {
        TimeSummary {
            count: self.0.len(),
            p50_us: self.quantile(0.50),
            p95_us: self.quantile(0.95),
            p99_us: self.quantile(0.99),
            max_us: self.0.max(),
        }
    }
}

/// The usual quantiles of a distribution, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TimeSummary {
    /// How many times there were.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95 in 100 are not above this.
    pub p95_us: u64,
    /// 99 in 100 are not above this.
    pub p99_us: u64,
    /// The longest.
    pub max_us: u64,
}

/// Everything measured at one target.
#[derive(Debug, Clone, Default)]
pub struct LoadStats {
    /// Calls that were made.
    pub calls: u64,
    /// Calls that were answered whole.
    pub complete: u64,
    /// Calls that were not, by kind.
    pub failed: BTreeMap<String, u64>,
    /// Tokens that came as they should.
    pub tokens: u64,
    /// Tokens that do not belong to their answer.
    pub wrong: u64,
    /// Tokens that are missing from what came.
    pub lost: u64,
    /// Tokens that came again.
    pub doubled: u64,
    /// Time during which calls were started here.
    pub active: Duration,
    /// From the call to the first token.
    pub first_token: TimeStats,
    /// Between tokens.
    pub gap: TimeStats,
    /// From the call to its end.
    pub total: TimeStats,
    /// On the way to the engine.
    pub inbound: TimeStats,
    /// On the way from the engine, each token.
    pub outbound: TimeStats,
    /// On the way to the engine and back with the first token, without the engine's own time.
    pub round: TimeStats,
}

impl LoadStats {
    /// Adds one call.
    pub fn add(&mut self, report: &CallReport) {
        self.calls += 1;
        self.tokens += u64::from(report.tokens);
        self.wrong += u64::from(report.wrong);
        self.lost += u64::from(report.lost);
        self.doubled += u64::from(report.doubled);
        match &report.end {
            CallEnd::Complete => self.add_complete(report),
            end => self.add_failure(end),
        }
    }

    /// Adds one call whose answer is not a stream.
    pub fn add_plain(&mut self, end: &CallEnd) {
        self.calls += 1;
        match end {
            CallEnd::Complete => self.complete += 1,
            end => self.add_failure(end),
        }
    }

    fn add_failure(&mut self, end: &CallEnd) {
        let kind = match end {
            CallEnd::Complete => return,
            CallEnd::Refused { kind, ran } => format!("{kind} ran={ran}"),
            CallEnd::NotConnected => "not_connected".to_owned(),
            CallEnd::Broken => "broken".to_owned(),
            CallEnd::Silent => "silent".to_owned(),
        };
        *self.failed.entry(kind).or_default() += 1;
    }

    fn add_complete(&mut self, report: &CallReport) {
        self.complete += 1;
        self.total.add(report.total_us);
        let first = report.first_token_us.into_iter();
        first.for_each(|time| self.first_token.add(time));
        report.gaps_us.iter().for_each(|&time| self.gap.add(time));
        let outbound = report.outbound_us.iter();
        outbound.for_each(|&time| self.outbound.add(time));
        if let (Some(inbound), Some(&outbound)) = (report.inbound_us, report.outbound_us.first()) {
            self.inbound.add(inbound);
            self.round.add(inbound + outbound);
        }
    }

    /// Adds all of another's.
    pub fn merge(&mut self, other: &Self) {
        self.calls += other.calls;
        self.complete += other.complete;
        self.tokens += other.tokens;
        self.wrong += other.wrong;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.active += other.active;
        for (kind, count) in &other.failed {
            *self.failed.entry(kind.clone()).or_default() += count;
        }
        self.first_token.merge(&other.first_token);
        self.gap.merge(&other.gap);
        self.total.merge(&other.total);
        self.inbound.merge(&other.inbound);
        self.outbound.merge(&other.outbound);
        self.round.merge(&other.round);
    }

    /// Whether every answer that claims to be whole is, and no token came wrong or twice.
    pub fn is_correct(&self) -> bool {
        self.wrong + self.lost + self.doubled == 0
    }

    /// Complete calls in each second of activity.
    pub fn calls_per_second(&self) -> f64 {
        self.complete as f64 / self.active.as_secs_f64().max(1e-9)
    }

    /// Tokens in each second of activity.
    pub fn tokens_per_second(&self) -> f64 {
        self.tokens as f64 / self.active.as_secs_f64().max(1e-9)
    }
}
