//! Counters and latency histograms of a load run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load_call::{CallEnd, CallReport};

/// Largest time that a histogram records, in microseconds; longer times are clamped to it.
const MAX_US: u64 = 600_000_000;
/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of times in microseconds.
#[derive(Debug, Clone)]
pub struct TimeStats(Histogram<u64>);

impl Default for TimeStats {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are constant and valid"))
    }
}

impl TimeStats {
    /// Records a time, counting 0 as 1.
    pub fn add(&mut self, time_us: u64) {
        self.0.saturating_record(time_us.max(1));
    }

    /// Adds all times of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.0 += &other.0;
    }

    /// The quantile for a share from 0 to 1.
    pub fn quantile(&self, share: f64) -> u64 {
        self.0.value_at_quantile(share)
    }

    /// Count, maximum and common quantiles.
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

/// Count, maximum and common quantiles of a histogram, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TimeSummary {
    /// Number of recorded times.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Counters and times of the calls to one target.
#[derive(Debug, Clone, Default)]
pub struct LoadStats {
    /// Started calls.
    pub calls: u64,
    /// Calls with a complete answer.
    pub complete: u64,
    /// Failed calls by cause, and calls not started for lack of capacity.
    pub failed: BTreeMap<String, u64>,
    /// Correct tokens.
    pub tokens: u64,
    /// Tokens that do not belong to their answer, and events that can't be parsed.
    pub wrong: u64,
    /// Tokens missing from their answer.
    pub lost: u64,
    /// Tokens received more than once.
    pub doubled: u64,
    /// Measured time, over which rates are computed.
    pub measured_time: Duration,
    /// Time from sending a call to its first token.
    pub first_token: TimeStats,
    /// Time between consecutive tokens.
    pub gap: TimeStats,
    /// Time from sending a call to its end.
    pub total: TimeStats,
    /// Latency from sending a call to its receipt at the engine.
    pub inbound: TimeStats,
    /// Latency of each token from the engine to here.
    pub outbound: TimeStats,
    /// Latency to the engine and back with the first token, without the engine's processing time.
    pub round_trip: TimeStats,
}

impl LoadStats {
    /// Adds the measurements of a streamed call. Times count only if the answer is complete.
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

    /// Adds the outcome of a call without a stream.
    pub fn add_unstreamed(&mut self, end: &CallEnd) {
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
            self.round_trip.add(inbound + outbound);
        }
    }

    /// Adds the counters and times of another run.
    pub fn merge(&mut self, other: &Self) {
        self.calls += other.calls;
        self.complete += other.complete;
        self.tokens += other.tokens;
        self.wrong += other.wrong;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.measured_time += other.measured_time;
        for (kind, count) in &other.failed {
            *self.failed.entry(kind.clone()).or_default() += count;
        }
        self.first_token.merge(&other.first_token);
        self.gap.merge(&other.gap);
        self.total.merge(&other.total);
        self.inbound.merge(&other.inbound);
        self.outbound.merge(&other.outbound);
        self.round_trip.merge(&other.round_trip);
    }

    /// Whether no token was wrong, missing or received more than once.
    pub fn is_correct(&self) -> bool {
        self.wrong + self.lost + self.doubled == 0
    }

    /// Complete calls per second of measured time.
    pub fn calls_per_second(&self) -> f64 {
        self.complete as f64 / self.measured_time.as_secs_f64().max(1e-9)
    }

    /// Correct tokens per second of measured time.
    pub fn tokens_per_second(&self) -> f64 {
        self.tokens as f64 / self.measured_time.as_secs_f64().max(1e-9)
    }
}
