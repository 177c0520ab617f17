//! Load reports that are published with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_wire::engine::EngineLoad;

/// Shortest interval between kept reports, in milliseconds.
const MIN_SPACING_MS: u64 = 5;

/// Recent load reports, oldest first, as far back as the delay needs.
#[derive(Debug)]
pub struct LoadHistory {
    lag_ms: u64,
    reports: VecDeque<EngineLoad>,
}

impl LoadHistory {
    /// Creates an empty history that publishes reports after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag_ms: lag.as_millis() as u64,
            reports: VecDeque::new(),
        }
    }

    /// Records a report, unless one was recorded less than `MIN_SPACING_MS` before.
    pub fn record(&mut self, load: EngineLoad) {
        let last = self.reports.back();
        if last.is_none_or(|last| load.time_ms >= last.time_ms + MIN_SPACING_MS) {
            self.reports.push_back(load);
        }
    }

    /// The newest report that is at least `lag` old, or else the oldest.
    pub fn lagged(&mut self, now_ms: u64) -> EngineLoad {
        let visible_ms = now_ms.saturating_sub(self.lag_ms);
        while self.reports.len() > 1 && self.reports[1].time_ms <= visible_ms {
            self.reports.pop_front();
        }
        self.reports[0].clone()
    }
}
