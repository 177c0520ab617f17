//! Group commit: gathers records of the whole instance into few appends.
//!
//! One batch is under way at a time. A batch whose fate is unknown is appended again under the
//! same sequence number until it is seen on the log; folds ignore the copy.

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
use crate::shared_state::OwnMark;

/// How long the log is read for a batch of unknown fate before it is appended again.
const SETTLE_WAIT: Duration = Duration::from_millis(500);
/// Encoded bytes that a batch may hold besides its records.
const BATCH_OVERHEAD_BYTES: usize = 64;
/// Largest encoded records of one submission, in bytes.
pub const MAX_RECORD_BYTES: usize = MAX_BATCH_BYTES - BATCH_OVERHEAD_BYTES;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Why records were not seen on the log in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitError {
    /// Provably not appended, and never will be.
    NotAppended,
    /// Not appended, and too large to ever be.
    TooLarge,
    /// They may have been appended, or may yet be.
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

/// Records that wait to be appended together.
pub struct CommitSubmission {
    /// The records.
    pub records: Vec<LogRecord>,
    /// Their encoded size.
    pub bytes: usize,
    /// When they were submitted.
    pub since: Instant,
    phase: Arc<AtomicU8>,
    reply: oneshot::Sender<Result<LogOffset>>,
}

impl CommitSubmission {
    /// Marks it as sent. False if it was withdrawn.
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

/// Takes records and appends them in groups.
#[derive(Clone)]
pub struct LogCommitter {
    queue: Arc<CommitQueue>,
}

impl LogCommitter {
    /// A committer and the loop that does its work. The log takes so many appends a second from
    /// all writers.
    pub fn new(
        writer: WriterId,
        rate: u64,
        log: LogClient,
        own: watch::Receiver<OwnMark>,
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

    /// What the committer goes by to decide how long results wait.
    pub fn load(&self) -> &CommitLoad {
        &self.queue.load
    }

    /// Appends records, together and in order, and returns where they stand.
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

/// Takes a submission back if it was not sent yet.
fn withdraw(phase: &AtomicU8) -> CommitError {
    match phase.compare_exchange(QUEUED, WITHDRAWN, Ordering::AcqRel, Ordering::Acquire) {
        Ok(_) => CommitError::NotAppended,
        Err(_) => CommitError::Unknown,
    }
}

/// The loop behind a [`LogCommitter`].
pub struct CommitLoop {
    writer: WriterId,
    rate: u64,
    sequence: u64,
    log: LogClient,
    own: watch::Receiver<OwnMark>,
    queue: Arc<CommitQueue>,
}

impl CommitLoop {
    /// Commits until the token is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        tokio::select! {
            () = self.commit_all() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn commit_all(&mut self) {
        loop {
            let group = self.gather().await;
            if let Some(left) = self.commit(group).await {
                self.commit_singly(left).await;
            }
        }
    }

    /// Waits for submissions until they are worth an append, and takes as many as fit.
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

    /// Commits each part of a group that is too large for the log as a whole.
    async fn commit_singly(&mut self, group: Vec<CommitSubmission>) {
        let alone = group.len() == 1;
        for submission in group {
            if alone {
                let _ = submission.reply.send(Err(CommitError::TooLarge));
            } else if let Some(left) = self.commit(vec![submission]).await {
                for submission in left {
                    let _ = submission.reply.send(Err(CommitError::TooLarge));
                }
            }
        }
    }

    /// Appends a group until it stands on the log or every part of it was withdrawn. Returns the
    /// group if it is too large.
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
            note_attempt(outcome, bytes.len());
            let offset = match attempts.next_step(outcome) {
                CommitStep::Done(offset) => Some(offset),
                CommitStep::AwaitEntry => self.wait_seen().await,
                CommitStep::Discard => {
                    group.iter().for_each(CommitSubmission::mark_queued);
                    return Some(group);
                }
                CommitStep::Backoff(most_ms) if attempts.is_withdrawable() => {
                    group.iter().for_each(CommitSubmission::mark_queued);
                    sleep(jittered(most_ms)).await;
                    None
                }
                CommitStep::Backoff(_) => self.wait_seen().await,
            };
            if let Some(offset) = offset {
                reply_all(group, offset);
                return None;
            }
        }
    }

    async fn wait_seen(&mut self) -> Option<LogOffset> {
        let sequence = self.sequence;
        let seen = self.own.wait_for(|mark| mark.sequence >= sequence);
        match timeout(SETTLE_WAIT, seen).await {
            Ok(Ok(mark)) => Some(mark.offset),
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

/// A wait between half of a span and the whole of it, so that writers do not come back together.
fn jittered(most_ms: u64) -> Duration {
    Duration::from_millis(rand::rng().random_range(most_ms / 2..=most_ms))
}

fn note_attempt(outcome: AppendOutcome, bytes: usize) {
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
