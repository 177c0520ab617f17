//! Group commit: gathers the records of the whole instance into few appends.
//!
//! One append is in flight at a time. A batch whose outcome is unknown is appended again under the
//! same sequence number until it is seen on the log; folds ignore the duplicate.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use amaranth_kernel::commit::{
    AppendBudget, AppendOutcome, CommitAttempts, CommitStep, flush_delay_ms, merge_results,
};
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{LogOffset, WriterId};
use amaranth_wire::record::{LogRecord, MAX_BATCH_BYTES, RecordBatch};
use rand::RngExt;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::commit_queue::{CommitLoad, CommitQueue};
use crate::log_client::LogClient;
use crate::shared_state::OwnPosition;

/// How long to wait to read back a batch whose outcome is unknown before appending it again.
const READ_BACK_WAIT: Duration = Duration::from_millis(500);
/// Upper bound on the encoded size of a batch without its records, in bytes.
const BATCH_OVERHEAD_BYTES: usize = 64;
/// Largest encoded size of the records of one submission, in bytes.
pub const MAX_RECORD_BYTES: usize = MAX_BATCH_BYTES - BATCH_OVERHEAD_BYTES;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Why records were not confirmed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitError {
    /// Certainly not appended, and never will be.
    NotAppended,
    /// Not appended: too large for one entry of the log.
    TooLarge,
    /// May have been appended, or may still be.
    Unknown,
}

impl From<CommitError> for CallError {
    fn from(e: CommitError) -> Self {
        match e {
            CommitError::NotAppended => {
                Self::new(ErrorKind::LogUnavailable, "the log cannot be reached")
            }
            CommitError::TooLarge => Self::new(
                ErrorKind::BodyTooLarge,
                "too large for one entry of the log",
            ),
            CommitError::Unknown => Self::new(
                ErrorKind::OutcomeUnknown,
                "the log has not confirmed this yet",
            ),
        }
    }
}

/// Result of a commit.
pub type Result<T> = std::result::Result<T, CommitError>;

/// Records to append together, and the channel for the result.
pub struct CommitSubmission {
    /// The records to append, in order.
    pub records: Vec<LogRecord>,
    /// Encoded size of the records, in bytes.
    pub bytes: usize,
    /// Time of submission.
    pub since: Instant,
    phase: Arc<AtomicU8>,
    reply: oneshot::Sender<Result<LogOffset>>,
}

impl CommitSubmission {
    /// Marks the submission as sent. False if it was withdrawn.
    fn mark_sent(&self) -> bool {
        let swapped =
            self.phase
                .compare_exchange(QUEUED, SENT, Ordering::AcqRel, Ordering::Acquire);
        swapped.is_ok()
    }

    fn mark_queued(&self) {
        self.phase.store(QUEUED, Ordering::Release);
    }
}

/// Accepts records and appends them to the log in groups.
#[derive(Clone)]
pub struct LogCommitter {
    queue: Arc<CommitQueue>,
}

impl LogCommitter {
    /// Creates a committer and the loop that performs its appends. `rate` is the number of appends
    /// per second that the log accepts from all writers.
    pub fn new(
        writer: WriterId,
        rate: u64,
        log: LogClient,
        own: watch::Receiver<OwnPosition>,
    ) -> (Self, CommitLoop) {
        let queue = Arc::new(CommitQueue::default());
        let commit_loop = CommitLoop {
            writer,
            rate,
            sequence: 0,
            log,
            own,
            queue: queue.clone(),
        };
        (Self { queue }, commit_loop)
    }

    /// The load figures that decide how long results wait before they are appended.
    pub fn load(&self) -> &CommitLoad {
        &self.queue.load
    }

    /// Appends records together and in order, and returns the offset of their entry. An error if
    /// they are not confirmed within the limit.
    pub async fn submit(&self, records: Vec<LogRecord>, limit: Duration) -> Result<LogOffset> {
        let encoded = rmp_serde::to_vec(&records).expect("records always encode");
        if encoded.len() > MAX_RECORD_BYTES {
            return Err(CommitError::TooLarge);
        }
        let phase = Arc::new(AtomicU8::new(QUEUED));
        let (reply, answer) = oneshot::channel();
        let submission = CommitSubmission {
            records,
            bytes: encoded.len(),
            since: Instant::now(),
            phase: phase.clone(),
            reply,
        };
        if !self.queue.push(submission) {
            return Err(CommitError::NotAppended);
        }
        match timeout(limit, answer).await {
            Ok(Ok(outcome)) => outcome,
            _ => Err(withdraw(&phase)),
        }
    }
}

/// Withdraws a submission that was not sent yet.
fn withdraw(phase: &AtomicU8) -> CommitError {
    match phase.compare_exchange(QUEUED, WITHDRAWN, Ordering::AcqRel, Ordering::Acquire) {
        Ok(_) => CommitError::NotAppended,
        Err(_) => CommitError::Unknown,
    }
}

/// Performs the appends of a [`LogCommitter`].
pub struct CommitLoop {
    writer: WriterId,
    rate: u64,
    sequence: u64,
    log: LogClient,
    own: watch::Receiver<OwnPosition>,
    queue: Arc<CommitQueue>,
}

impl CommitLoop {
    /// Appends submissions until the token is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = self.commit_all() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn commit_all(&mut self) {
        loop {
            let group = self.gather().await;
            if let Some(oversized) = self.commit(group).await {
                self.commit_singly(oversized).await;
            }
        }
    }

    /// Waits until the flush delay of the pending submissions is over, and takes as many as fit.
    async fn gather(&mut self) -> Vec<CommitSubmission> {
        loop {
            let arrived = self.queue.arrived.notified();
            let Some((since, pending)) = self.queue.pending() else {
                arrived.await;
                continue;
            };
            let budget = AppendBudget {
                rate: self.rate,
                writers: self.queue.load.writers(),
            };
            let due = since + Duration::from_millis(flush_delay_ms(pending, budget));
            if Instant::now() >= due {
                return self.queue.take(MAX_RECORD_BYTES);
            }
            let _ = timeout_at(due, arrived).await;
        }
    }

    /// Splits a group that is too large for one entry, and commits each submission by itself.
    async fn commit_singly(&mut self, group: Vec<CommitSubmission>) {
        let alone = group.len() == 1;
        for submission in group {
            if alone {
                let _ = submission.reply.send(Err(CommitError::TooLarge));
            } else if let Some(oversized) = self.commit(vec![submission]).await {
                for submission in oversized {
                    let _ = submission.reply.send(Err(CommitError::TooLarge));
                }
            }
        }
    }

    /// Appends a group until it is on the log or every submission was withdrawn. Returns the group
    /// if it is too large.
    async fn commit(&mut self, mut group: Vec<CommitSubmission>) -> Option<Vec<CommitSubmission>> {
        self.sequence += 1;
        let mut attempts = CommitAttempts::default();
        let mut bytes = Vec::new();
        loop {
            if attempts.is_withdrawable() {
                group.retain(CommitSubmission::mark_sent);
                if group.is_empty() {
                    return None;
                }
                bytes = self.encode(&group);
            }
            let outcome = self.log.append(bytes.clone()).await;
            count_append(outcome, bytes.len());
            let offset = match attempts.next_step(outcome) {
                CommitStep::Done(offset) => Some(offset),
                CommitStep::AwaitEntry => self.wait_read_back().await,
                CommitStep::Discard => {
                    group.iter().for_each(CommitSubmission::mark_queued);
                    return Some(group);
                }
                CommitStep::Backoff(max_ms) if attempts.is_withdrawable() => {
                    group.iter().for_each(CommitSubmission::mark_queued);
                    sleep(jittered(max_ms)).await;
                    None
                }
                CommitStep::Backoff(_) => self.wait_read_back().await,
            };
            if let Some(offset) = offset {
                reply_all(group, offset);
                return None;
            }
        }
    }

    async fn wait_read_back(&mut self) -> Option<LogOffset> {
        let sequence = self.sequence;
        let seen = self.own.wait_for(|position| position.sequence >= sequence);
        match timeout(READ_BACK_WAIT, seen).await {
            Ok(Ok(position)) => Some(position.offset),
            _ => None,
        }
    }

    fn encode(&self, group: &[CommitSubmission]) -> Vec<u8> {
        let records = group.iter().flat_map(|s| s.records.iter().cloned());
        RecordBatch::new(self.writer, self.sequence)
            .with_records(merge_results(records.collect()))
            .encode()
    }
}

/// A random delay between half of the span and all of it, so that writers do not retry in step.
fn jittered(max_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(max_ms / 2..=max_ms))
}

fn count_append(outcome: AppendOutcome, bytes: usize) {
    let name = match outcome {
        AppendOutcome::Appended(_) => "appended",
        AppendOutcome::Refused => "refused",
        AppendOutcome::TooLarge => "too_large",
        AppendOutcome::Unknown => "unknown",
    };
    metrics::counter!("amaranth_log_appends_total", "outcome" => name).increment(1);
    metrics::counter!("amaranth_log_append_bytes_total", "outcome" => name).increment(bytes as u64);
}

fn reply_all(group: Vec<CommitSubmission>, offset: LogOffset) {
    for submission in group {
        let _ = submission.reply.send(Ok(offset));
    }
}
