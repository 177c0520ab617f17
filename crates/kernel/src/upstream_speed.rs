//! Estimates how long work takes at an upstream at the moment, relative to what is usual there, from
//! figures that the upstream reports with its answers.

/// Smallest figure that is believed, in percent: ten times as fast as usual.
const MIN_PERCENT: u32 = 10;
/// Largest figure that is believed, in percent: ten times as slow as usual.
const MAX_PERCENT: u32 = 1_000;
/// The figure of an upstream that works as usual.
const USUAL_PERCENT: f64 = 100.0;
/// How long an unusual figure is assumed to last until changes were seen, in milliseconds: the slow
/// periods of the engines in question last 600 ms.
const DEFAULT_PERIOD_MS: f64 = 600.0;
/// Number of seen changes that outweigh `DEFAULT_PERIOD_MS`.
const DEFAULT_CHANGES: f64 = 2.0;
/// Share of the earlier observations that is kept at each change, which spans about the last 20.
const CHANGE_DECAY: f64 = 0.95;
/// Interval between two figures above which they tell nothing about the time between, in milliseconds:
/// several slow periods.
const MAX_INTERVAL_MS: u64 = 2_000;
/// Age at which a figure is no longer sent to other instances, in milliseconds: it has lost over 95 % of
/// its weight at the default period.
pub const REPORT_EXPIRY_MS: u64 = 2_000;

/// A figure with the time at which it was reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedSpeed {
    /// Time that work takes, in percent of what is usual.
    pub percent: u32,
    /// When it was reported, in milliseconds.
    pub reported_ms: u64,
}

impl ReportedSpeed {
    fn is_unusual(self) -> bool {
        f64::from(self.percent) != USUAL_PERCENT
    }
}

/// How long work takes at one upstream at the moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedEstimate {
    last: Option<ReportedSpeed>,
    /// Observed time in which an unusual figure was in force, in milliseconds.
    unusual_ms: f64,
    /// Observed changes of unusual figures.
    changes: f64,
}

impl SpeedEstimate {
    /// Records a figure that was reported at `now_ms`. Implausible figures are ignored, and those older
    /// than the last one.
    pub fn record(&mut self, percent: u32, now_ms: u64) {
        let is_plausible = (MIN_PERCENT..=MAX_PERCENT).contains(&percent);
        let is_newest = self.last.is_none_or(|last| last.reported_ms <= now_ms);
        if !is_plausible || !is_newest {
            return;
        }
        if let Some(last) = self.last.filter(|last| last.is_unusual()) {
            self.record_interval(now_ms - last.reported_ms, last.percent != percent);
        }
        self.last = Some(ReportedSpeed {
            percent,
            reported_ms: now_ms,
        });
    }

    fn record_interval(&mut self, interval_ms: u64, has_changed: bool) {
        if interval_ms > MAX_INTERVAL_MS {
            return;
        }
        self.unusual_ms += interval_ms as f64;
        if has_changed {
            self.unusual_ms *= CHANGE_DECAY;
            self.changes = (self.changes + 1.0) * CHANGE_DECAY;
        }
    }

    /// The last figure, if it is recent enough to tell other instances.
    pub fn recent(&self, now_ms: u64) -> Option<ReportedSpeed> {
        let expiry = |last: &ReportedSpeed| last.reported_ms + REPORT_EXPIRY_MS;
        self.last.filter(|last| now_ms < expiry(last))
    }

    /// Whether the last figure is older than this, or there is none.
    pub fn is_older_than(&self, age_ms: u64, now_ms: u64) -> bool {
        self.last
            .is_none_or(|last| last.reported_ms.saturating_add(age_ms) < now_ms)
    }

    /// Whether the last figure is recent and differs from the usual one.
    pub fn is_unusual(&self, now_ms: u64) -> bool {
        self.recent(now_ms).is_some_and(ReportedSpeed::is_unusual)
    }

    /// Expected time that work takes now, relative to what is usual: 1 without a recent figure.
    pub fn factor(&self, now_ms: u64) -> f64 {
        self.mean_factor(now_ms, now_ms)
    }

    /// Expected mean of the factor over a period. A figure says as much of the time before it as of the
    /// time after it.
    pub fn mean_factor(&self, start_ms: u64, end_ms: u64) -> f64 {
        let Some(last) = self.last.filter(|last| last.is_unusual()) else {
            return 1.0;
        };
        let excess = f64::from(last.percent) / USUAL_PERCENT - 1.0;
        let offset = |time_ms: u64| time_ms as f64 - last.reported_ms as f64;
        1.0 + excess * mean_weight(offset(start_ms), offset(end_ms), self.decay_ms())
    }

    /// Time constant with which a figure loses weight. A figure comes at a random time of its period,
    /// half of which is left on average.
    fn decay_ms(&self) -> f64 {
        let observed_ms = self.unusual_ms + DEFAULT_PERIOD_MS * DEFAULT_CHANGES;
        observed_ms / (self.changes + DEFAULT_CHANGES) / 2.0
    }
}

/// Mean of `exp(-|t| / decay)` for t from `start` to `end`.
fn mean_weight(start: f64, end: f64, decay: f64) -> f64 {
    // Integral from 0 to t.
    let integral = |t: f64| t.signum() * decay * (1.0 - (-t.abs() / decay).exp());
    match end - start {
        length if length >= 1.0 => (integral(end) - integral(start)) / length,
        _ => (-end.abs() / decay).exp(),
    }
}
