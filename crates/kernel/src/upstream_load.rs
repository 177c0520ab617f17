//! What one instance believes of an upstream's load between two lagging reports.
//!
//! A report counts the work of all instances as it was some time ago. The instance knows what it
//! had in flight there itself at that time, and corrects the report by what it sent and what
//! ended since.

use std::collections::VecDeque;

use amaranth_wire::engine::EngineLoad;

/// Age at which a report says nothing any more, in milliseconds.
pub const REPORT_EXPIRY_MS: u64 = 3_000;
/// Resolution of the own history, in milliseconds.
const HISTORY_STEP_MS: u64 = 10;

/// The last report, with what was in flight from here at its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReportedLoad {
    time_ms: u64,
    total: u32,
    own: u32,
    slots: u32,
    step_us: u64,
}

/// The load of one upstream as one instance sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadView {
    /// Requests at the upstream from all instances, estimated.
    pub total: u32,
    /// Requests from this instance.
    pub own: u32,
    /// Requests from all instances when the last report was made; `None` without a fresh report.
    pub reported: Option<u32>,
    /// Requests from this instance when the last report was made.
    pub own_reported: u32,
    /// Places in the upstream's batch.
    pub slots: u32,
    /// Duration of a step in microseconds; `None` without a fresh report of one.
    pub step_us: Option<u64>,
}

/// Tracks one upstream's load.
#[derive(Debug, Clone)]
pub struct LoadTracker {
    own: u32,
    default_slots: u32,
    history: VecDeque<(u64, u32)>,
    report: Option<ReportedLoad>,
    leaving: bool,
}

impl LoadTracker {
    /// An idle upstream with so many places until a report tells.
    pub fn new(default_slots: u32) -> Self {
        Self {
            own: 0,
            default_slots,
            history: VecDeque::new(),
            report: None,
            leaving: false,
        }
    }

    /// Notes a request that is sent.
    pub fn start(&mut self, now_ms: u64) {
        self.own += 1;
        self.note(now_ms);
    }

    /// Notes a request that ended.
    pub fn end(&mut self, now_ms: u64) {
        self.own = self.own.saturating_sub(1);
        self.note(now_ms);
    }

    /// Takes a report, unless a newer one is known. False if it was left out.
    pub fn take_report(&mut self, load: &EngineLoad, now_ms: u64) -> bool {
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

    /// Requests in flight from here.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// The load as far as it is known. Without a fresh report the other instances are taken to
    /// have as much there as this one.
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

    fn note(&mut self, now_ms: u64) {
        let step = now_ms / HISTORY_STEP_MS;
        match self.history.back_mut() {
            Some((last, own)) if *last == step => *own = self.own,
            _ => self.history.push_back((step, self.own)),
        }
        let oldest = now_ms.saturating_sub(2 * REPORT_EXPIRY_MS) / HISTORY_STEP_MS;
        while self.history.len() > 1 && self.history[1].0 < oldest {
            self.history.pop_front();
        }
    }

    /// What was in flight from here at a time of the past.
    fn own_at(&self, time_ms: u64) -> u32 {
        let step = time_ms / HISTORY_STEP_MS;
        let before = self.history.iter().rev().find(|(at, _)| *at <= step);
        before.map_or(0, |(_, own)| *own)
    }
}
