//! Records that wait for the next append, in lanes by priority: control, items, results.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use amaranth_kernel::commit::PendingGroup;
use amaranth_wire::record::LogRecord;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::committer::CommitSubmission;

/// Capacity of one lane, in submissions.
const LANE_CAPACITY: usize = 4_096;
const LANES: usize = 3;

/// Priority of records, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitLane {
    /// Everything else: configuration, leases, cancellations, sealed jobs and the like.
    Control,
    /// Items of jobs, rewritten items and results, and checkpoints.
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

/// Load figures that decide how long results wait to be appended with others.
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

    /// Sets the number of instances that append to the log.
    pub fn set_writers(&self, writers: u64) {
        self.writers.store(writers, Ordering::Relaxed);
    }

    /// Counts an item as running.
    pub fn add_running(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends the count of an item as running.
    pub fn remove_running(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Submissions that wait for the next append, by lane.
#[derive(Default)]
pub struct CommitQueue {
    lanes: Mutex<[VecDeque<CommitSubmission>; LANES]>,
    /// Notified of each new submission.
    pub arrived: Notify,
    /// Load figures that decide how long results wait.
    pub load: CommitLoad,
}

impl CommitQueue {
    /// Adds a submission. False if its lane is full.
    pub fn push(&self, submission: CommitSubmission) -> bool {
        let lane = CommitLane::of(&submission.records) as usize;
        let mut lanes = self.lanes.lock().expect("not poisoned");
        if lanes[lane].len() >= LANE_CAPACITY {
            return false;
        }
        lanes[lane].push_back(submission);
        drop(lanes);
        self.arrived.notify_one();
        true
    }

    /// The pending group and when its first submission arrived; `None` if the queue is empty.
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

    /// Takes submissions of at most this encoded size in all, control first.
    pub fn take(&self, max_bytes: usize) -> Vec<CommitSubmission> {
        let mut lanes = self.lanes.lock().expect("not poisoned");
        let mut taken = Vec::new();
        let mut bytes = 0;
        for lane in lanes.iter_mut() {
            while lane.front().is_some_and(|s| bytes + s.bytes <= max_bytes) {
                let submission = lane.pop_front().expect("the lane has a front");
                bytes += submission.bytes;
                taken.push(submission);
            }
        }
        taken
    }
}
