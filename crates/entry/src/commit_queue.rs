//! Records that wait for the next append, in lanes: control, submissions, results.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use amaranth_kernel::commit::PendingGroup;
use amaranth_wire::record::LogRecord;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::committer::CommitSubmission;

/// Submissions that may wait in one lane.
const LANE_LENGTH: usize = 4_096;
const LANES: usize = 3;

/// Which records go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitLane {
    /// Configuration, leases, cancels and what seals a job.
    Control,
    /// Items of submitted jobs.
    Items,
    /// Results of items.
    Results,
}

impl CommitLane {
    fn of(records: &[LogRecord]) -> Self {
        match records.first() {
            Some(
                LogRecord::JobItems { .. }
                | LogRecord::ItemsCarried { .. }
                | LogRecord::ResultsCarried { .. }
                | LogRecord::StateCheckpoint { .. },
            ) => Self::Items,
            Some(LogRecord::ItemsFinished { .. }) => Self::Results,
            _ => Self::Control,
        }
    }
}

/// What decides how long results wait for company.
#[derive(Debug, Default)]
pub struct CommitLoad {
    writers: AtomicU64,
    running: AtomicUsize,
}

impl CommitLoad {
    /// Instances that append to the log.
    pub fn writers(&self) -> u64 {
        self.writers.load(Ordering::Relaxed)
    }

    /// Notes how many instances append to the log.
    pub fn set_writers(&self, writers: u64) {
        self.writers.store(writers, Ordering::Relaxed);
    }

    /// Notes that an item began to run.
    pub fn add_running(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that an item ended its run.
    pub fn remove_running(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The lanes.
#[derive(Default)]
pub struct CommitQueue {
    lanes: Mutex<[VecDeque<CommitSubmission>; LANES]>,
    /// Told of each submission.
    pub arrived: Notify,
    /// What decides how long results wait.
    pub load: CommitLoad,
}

impl CommitQueue {
    /// Adds a submission. False if its lane is full.
    pub fn push(&self, submission: CommitSubmission) -> bool {
        let lane = CommitLane::of(&submission.records) as usize;
        let mut lanes = self.lanes.lock().expect("not poisoned");
        if lanes[lane].len() >= LANE_LENGTH {
            return false;
        }
        lanes[lane].push_back(submission);
        drop(lanes);
        self.arrived.notify_one();
        true
    }

    /// What waits, and since when; `None` if nothing does.
    pub fn pending(&self) -> Option<(Instant, PendingGroup)> {
        let lanes = self.lanes.lock().expect("not poisoned");
        let [control, items, results] = &*lanes;
        let urgent = control.front().or(items.front());
        let since = urgent.or(results.front())?.since;
        let pending = PendingGroup {
            results: results.len(),
            urgent: urgent.is_some(),
            more_expected: self.load.running.load(Ordering::Relaxed) > 0,
        };
        Some((since, pending))
    }

    /// Takes submissions of so many bytes in all, control first.
    pub fn take(&self, most_bytes: usize) -> Vec<CommitSubmission> {
        let mut lanes = self.lanes.lock().expect("not poisoned");
        let mut taken = Vec::new();
        let mut bytes = 0;
        for lane in lanes.iter_mut() {
            while lane.front().is_some_and(|s| bytes + s.bytes <= most_bytes) {
                let submission = lane.pop_front().expect("a front");
                bytes += submission.bytes;
                taken.push(submission);
            }
        }
        taken
    }
}
