//! What to do about one append, from what became of its attempts so far.

use std::collections::HashMap;

use amaranth_wire::id::{JobId, LeaseEpoch, LogOffset};
use amaranth_wire::record::LogRecord;

/// First wait after a refused append, in milliseconds.
const BACKOFF_FIRST_MS: u64 = 50;
/// Longest wait after a refused append, in milliseconds.
const BACKOFF_MOST_MS: u64 = 2_000;
/// Results that fill one append; no further ones are waited for.
pub const FULL_RESULTS: usize = 128;
/// Longest that records other than results wait for company, in milliseconds.
const URGENT_WAIT_MS: u64 = 10;
/// Longest that results wait for company, in milliseconds.
const RESULT_WAIT_MS: u64 = 1_000;
/// Share of the log's rate that results may take; the rest is for configuration, leases and
/// submissions.
const RESULT_RATE_DIVISOR: u64 = 2;

/// What became of one attempt to append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It stands at this offset.
    Appended(LogOffset),
    /// Provably not appended; may succeed later.
    Refused,
    /// Provably not appended, and never will be at this size.
    TooLarge,
    /// It may have been appended, or may yet be.
    Unknown,
}

/// What to do next about an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitStep {
    /// It stands on the log.
    Done(LogOffset),
    /// Give it up: it is not on the log.
    Discard,
    /// Send it again after a wait of at most so many milliseconds.
    Backoff(u64),
    /// Look for it on the log; send the same bytes again when it is not seen in time.
    Look,
}

/// The attempts of one append.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommitAttempts {
    uncertain: bool,
    refusals: u32,
}

impl CommitAttempts {
    /// Takes the outcome of an attempt.
    pub fn after(&mut self, outcome: AppendOutcome) -> CommitStep {
        match outcome {
            // An earlier copy may stand before this one, and the first copy counts.
            AppendOutcome::Appended(_) if self.uncertain => CommitStep::Look,
            AppendOutcome::Appended(offset) => CommitStep::Done(offset),
            AppendOutcome::Refused => CommitStep::Backoff(self.next_backoff()),
            AppendOutcome::TooLarge if self.uncertain => CommitStep::Look,
            AppendOutcome::TooLarge => CommitStep::Discard,
            AppendOutcome::Unknown => {
                self.uncertain = true;
                CommitStep::Look
            }
        }
    }

    /// Whether the records may still be taken back: no attempt can be on the log, or get there.
    pub fn is_withdrawable(&self) -> bool {
        !self.uncertain
    }

    fn next_backoff(&mut self) -> u64 {
        let doubled = BACKOFF_FIRST_MS << self.refusals.min(16);
        self.refusals += 1;
        doubled.min(BACKOFF_MOST_MS)
    }
}

/// What waits to be appended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PendingGroup {
    /// Results of items.
    pub results: usize,
    /// Whether there is any other record.
    pub urgent: bool,
    /// Whether further results are under way.
    pub more_expected: bool,
}

/// The log's budget as one writer sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendBudget {
    /// Appends a second that the log takes from all writers.
    pub rate: u64,
    /// Writers that share it.
    pub writers: u64,
}

impl AppendBudget {
    /// Least time between two appends of results by one writer, in milliseconds.
    fn result_interval_ms(&self) -> u64 {
        1_000 * RESULT_RATE_DIVISOR * self.writers.max(1) / self.rate.max(1)
    }
}

/// How long a group waits for company, in milliseconds since its first record. Results wait until
/// they fill an append or no more are under way; what else there is takes them along.
pub fn flush_wait(group: PendingGroup, budget: AppendBudget) -> u64 {
    if group.urgent {
        return URGENT_WAIT_MS;
    }
    let least_ms = budget.result_interval_ms();
    if group.results >= FULL_RESULTS || !group.more_expected {
        return URGENT_WAIT_MS.max(least_ms);
    }
    RESULT_WAIT_MS.max(least_ms)
}

/// Joins the results of one job and lease into one record each. Results never pass another record
/// of their job.
pub fn merge_results(records: Vec<LogRecord>) -> Vec<LogRecord> {
    let mut merged: Vec<LogRecord> = Vec::with_capacity(records.len());
    let mut open: HashMap<(JobId, LeaseEpoch), usize> = HashMap::new();
    for record in records {
        match record {
            LogRecord::ItemsFinished {
                job,
                epoch,
                outcomes,
            } => {
                let key = (job.clone(), epoch);
                if let Some(LogRecord::ItemsFinished { outcomes: into, .. }) =
                    open.get(&key).map(|&index| &mut merged[index])
                {
                    into.extend(outcomes);
                    continue;
                }
                open.retain(|(other, _), _| *other != job);
                open.insert(key, merged.len());
                merged.push(LogRecord::ItemsFinished {
                    job,
                    epoch,
                    outcomes,
                });
            }
            other => {
                open.clear();
                merged.push(other);
            }
        }
    }
    merged
}
