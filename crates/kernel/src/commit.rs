//! Retry decisions for appends to the log, and group commit: how long records are batched and how
//! results are merged.

use std::collections::HashMap;

use amaranth_wire::id::{JobId, LeaseEpoch, LogOffset};
use amaranth_wire::record::LogRecord;

/// Backoff after the first refused attempt, in milliseconds; doubles with each refusal.
const INITIAL_BACKOFF_MS: u64 = 50;
/// Maximum backoff after a refused attempt, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Number of pending results at which an append no longer waits for more.
pub const RESULT_FLUSH_THRESHOLD: usize = 128;
/// Time for which records other than results are batched, in milliseconds.
const URGENT_BATCHING_MS: u64 = 10;
/// Time for which results are batched while more are expected, in milliseconds.
const RESULT_BATCHING_MS: u64 = 1_000;
/// Appends of results use at most the log's rate divided by this; the rest is left for
/// configuration, leases and submissions.
const RESULT_RATE_DIVISOR: u64 = 2;

/// Outcome of one attempt to append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Appended at this offset.
    Appended(LogOffset),
    /// Definitely not appended; a retry may succeed.
    Refused,
    /// Definitely not appended; a retry of the same size fails too.
    TooLarge,
    /// May have been appended, or may still be appended later.
    Unknown,
}

/// The next step after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitStep {
    /// Finished: the entry is on the log at this offset.
    Done(LogOffset),
    /// Give up: the entry is not on the log and is too large to be appended.
    Discard,
    /// Retry after a backoff of at most this many milliseconds.
    Backoff(u64),
    /// Wait until the entry is read back from the log; on a timeout, send the same bytes again.
    AwaitEntry,
}

/// Retry state of one append.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommitAttempts {
    may_be_appended: bool,
    refusals: u32,
}

impl CommitAttempts {
    /// Records the outcome of an attempt and returns the next step.
    pub fn next_step(&mut self, outcome: AppendOutcome) -> CommitStep {
        match outcome {
            // An earlier attempt may have been appended at a lower offset, and the first copy
            // counts.
            AppendOutcome::Appended(_) if self.may_be_appended => CommitStep::AwaitEntry,
            AppendOutcome::Appended(offset) => CommitStep::Done(offset),
            AppendOutcome::Refused => CommitStep::Backoff(self.next_backoff()),
            AppendOutcome::TooLarge if self.may_be_appended => CommitStep::AwaitEntry,
            AppendOutcome::TooLarge => CommitStep::Discard,
            AppendOutcome::Unknown => {
                self.may_be_appended = true;
                CommitStep::AwaitEntry
            }
        }
    }

    /// Whether the records may still be withdrawn: no attempt is on the log or can still get there.
    pub fn is_withdrawable(&self) -> bool {
        !self.may_be_appended
    }

    fn next_backoff(&mut self) -> u64 {
        let doubled = INITIAL_BACKOFF_MS << self.refusals.min(16);
        self.refusals += 1;
        doubled.min(MAX_BACKOFF_MS)
    }
}

/// The records that wait for the next append.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PendingGroup {
    /// Number of item results.
    pub results: usize,
    /// Whether it contains any record other than a result.
    pub urgent: bool,
    /// Whether items are running whose results will follow.
    pub more_expected: bool,
}

/// The log's append rate and the number of writers that share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendBudget {
    /// Appends per second that the log accepts from all writers together.
    pub rate: u64,
    /// Number of writers that append results.
    pub writers: u64,
}

impl AppendBudget {
    /// Minimum interval between two appends by one writer that are not urgent, in milliseconds. All
    /// writers together then use a fixed part of the rate, however many they are.
    pub fn interval_ms(&self) -> u64 {
        1_000 * RESULT_RATE_DIVISOR * self.writers.max(1) / self.rate.max(1)
    }
}

/// How long to batch a group before it is appended, in milliseconds since its first record. Results
/// wait until there are [`RESULT_FLUSH_THRESHOLD`] of them or no more are expected; an urgent
/// record is appended with all pending results.
pub fn flush_delay_ms(group: PendingGroup, budget: AppendBudget) -> u64 {
    if group.urgent {
        return URGENT_BATCHING_MS;
    }
    let min_interval_ms = budget.interval_ms();
    if group.results >= RESULT_FLUSH_THRESHOLD || !group.more_expected {
        return URGENT_BATCHING_MS.max(min_interval_ms);
    }
    RESULT_BATCHING_MS.max(min_interval_ms)
}

/// Merges result records of the same job and lease epoch. Results are not moved past another record
/// that may concern their job.
pub fn merge_results(records: Vec<LogRecord>) -> Vec<LogRecord> {
    let mut merged: Vec<LogRecord> = Vec::with_capacity(records.len());
    let mut open_records: HashMap<(JobId, LeaseEpoch), usize> = HashMap::new();
    for record in records {
        match record {
            LogRecord::ItemsFinished {
                job,
                epoch,
                outcomes,
            } => {
                let key = (job.clone(), epoch);
                if let Some(LogRecord::ItemsFinished { outcomes: into, .. }) =
                    open_records.get(&key).map(|&index| &mut merged[index])
                {
                    into.extend(outcomes);
                    continue;
                }
                open_records.retain(|(other, _), _| *other != job);
                open_records.insert(key, merged.len());
                merged.push(LogRecord::ItemsFinished {
                    job,
                    epoch,
                    outcomes,
                });
            }
            other => {
                open_records.clear();
                merged.push(other);
            }
        }
    }
    merged
}
