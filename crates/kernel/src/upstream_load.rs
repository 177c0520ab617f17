//! Estimates an upstream's load between load reports that arrive late.
//!
//! A report counts the requests of all instances at some time in the past. The instance knows its
//! own requests in flight at that time, and corrects the report by those that it started or ended
//! since.

use std::collections::VecDeque;

use amaranth_wire::engine::EngineLoad;

/// Age from which a report is ignored, in milliseconds.
pub const REPORT_EXPIRY_MS: u64 = 3_000;
/// Resolution of the history of own requests, in milliseconds.
const HISTORY_RESOLUTION_MS: u64 = 10;

/// The last report, with this instance's requests in flight at its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReportedLoad {
    time_ms: u64,
    total: u32,
    own: u32,
    slots: u32,
    step_us: u64,
}

/// One instance's estimate of an upstream's load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadView {
    /// Estimated requests at the upstream from all instances.
    pub total: u32,
    /// Requests from this instance.
    pub own: u32,
    /// Requests from all instances at the time of the last report; `None` without a fresh report.
    pub reported: Option<u32>,
    /// Requests from this instance at the time of the last report.
    pub own_reported: u32,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Step time in microseconds; `None` without a fresh report of one.
    pub step_us: Option<u64>,
}

/// Tracks one upstream's load from its reports and this instance's requests.
#[derive(Debug, Clone)]
pub struct LoadTracker {
    own: u32,
    default_slots: u32,
    history: VecDeque<(u64, u32)>,
    report: Option<ReportedLoad>,
    leaving: bool,
}

impl LoadTracker {
    /// An idle upstream that is assumed to have `default_slots` until a report says otherwise.
    pub fn new(default_slots: u32) -> Self {
        Self {
            own: 0,
            default_slots,
            history: VecDeque::new(),
            report: None,
            leaving: false,
        }
    }

    /// Counts a request that is sent.
    pub fn record_start(&mut self, now_ms: u64) {
        self.own += 1;
        self.record_history(now_ms);
    }

    /// Discounts a request that ended.
    pub fn record_end(&mut self, now_ms: u64) {
        self.own = self.own.saturating_sub(1);
        self.record_history(now_ms);
    }

    /// Applies a report. Returns false and ignores it if it is no newer than the last one.
    pub fn apply_report(&mut self, load: &EngineLoad, now_ms: u64) -> bool {
        let time_ms = load.time_ms.min(now_ms);
        if self.report.is_some_and(|known| known.time_ms >= time_ms) {
            return false;
        }
        self.leaving = load.leaving;
        self.report = Some(ReportedLoad {
            time_ms,
            total: load.active + load.waiting,
            own: self.own_at(time_ms),
            slots: load.slots.max(1),
            step_us: load.step_us,
        });
        true
    }

    /// Whether the last report said that the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests of this instance in flight there.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// The estimated load. Without a fresh report, each other instance is assumed to have as many
    /// requests there as this one.
    pub fn view(&self, now_ms: u64, instances: u32) -> LoadView {
        let fresh = |report: &ReportedLoad| now_ms < report.time_ms + REPORT_EXPIRY_MS;
        let Some(report) = self.report.filter(fresh) else {
            return LoadView {
                total: self.own.saturating_mul(instances.max(1)),
                own: self.own,
                reported: None,
                own_reported: 0,
                slots: self
                    .report
                    .map_or(self.default_slots, |report| report.slots),
                step_us: None,
            };
        };
        let others = report.total.saturating_sub(report.own);
        LoadView {
            total: others + self.own,
            own: self.own,
            reported: Some(report.total),
            own_reported: report.own,
            slots: report.slots,
            step_us: Some(report.step_us).filter(|&step_us| step_us > 0),
        }
    }

    fn record_history(&mut self, now_ms: u64) {
        let step = now_ms / HISTORY_RESOLUTION_MS;
        match self.history.back_mut() {
            Some((last, own)) if *last == step => *own = self.own,
            _ => self.history.push_back((step, self.own)),
        }
        let oldest = now_ms.saturating_sub(2 * REPORT_EXPIRY_MS) / HISTORY_RESOLUTION_MS;
        while self.history.len() > 1 && self.history[1].0 < oldest {
            self.history.pop_front();
        }
    }

    /// Own requests in flight at a past time.
    fn own_at(&self, time_ms: u64) -> u32 {
        let step = time_ms / HISTORY_RESOLUTION_MS;
        let before = self.history.iter().rev().find(|(at, _)| *at <= step);
        before.map_or(0, |(_, own)| *own)
    }
}
