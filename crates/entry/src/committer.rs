//! Group commit: gathers records of the whole instance into few appends.
//!
//! One batch is under way at a time. A batch whose fate is unknown is appended again under the
//! same sequence number until it is seen on the log; folds ignore the copy.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{LogOffset, WriterId};
use amaranth_wire::record::{LogRecord, MAX_BATCH_BYTES, RecordBatch};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::log_client::{AppendOutcome, LogClient};
use crate::shared_state::OwnMark;

/// How long records wait for company before they are appended.
const FLUSH_DELAY: Duration = Duration::from_millis(10);
/// Wait before a refused batch is appended again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the log is read for a batch of unknown fate before it is appended again.
const SETTLE_WAIT: Duration = Duration::from_millis(500);
/// Submissions that may wait for the committer.
const QUEUE_LENGTH: usize = 4_096;
/// Encoded bytes that a batch may hold besides its records.
const BATCH_OVERHEAD_BYTES: usize = 64;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Why records were not seen on the log in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitError {
    /// Provably not appended, and never will be.
    NotAppended,
    /// They may have been appended, or may yet be.
    Unknown,
}

impl From<CommitError> for CallError {
    fn from(e: CommitError) -> Self {
        match e {
            CommitError::NotAppended => {
                Self::new(ErrorKind::LogUnavailable, "the log cannot be reached")
            }
            CommitError::Unknown => Self::new(
                ErrorKind::OutcomeUnknown,
                "the log has not confirmed this yet",
            ),
        }
    }
}

/// Result of a commit.
pub type Result<T> = std::result::Result<T, CommitError>;

struct Submission {
    records: Vec<LogRecord>,
    bytes: usize,
    phase: Arc<AtomicU8>,
    reply: oneshot::Sender<LogOffset>,
}

impl Submission {
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
    sender: mpsc::Sender<Submission>,
}

impl LogCommitter {
    /// A committer and the loop that does its work.
    pub fn new(
        writer: WriterId,
        log: LogClient,
        own: watch::Receiver<OwnMark>,
    ) -> (Self, CommitLoop) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        let commit_loop = CommitLoop {
            writer,
            sequence: 0,
            log,
            own,
            receiver,
            next: None,
        };
        (Self { sender }, commit_loop)
    }

    /// Appends records, together and in order, and returns where they stand.
    pub async fn submit(&self, records: Vec<LogRecord>, limit: Duration) -> Result<LogOffset> {
        let bytes = RecordBatch::new(WriterId(0), 0)
            .with_records(records.clone())
            .encode()
            .len();
        let phase = Arc::new(AtomicU8::new(QUEUED));
        let (reply, answer) = oneshot::channel();
        let submission = Submission {
            records,
            bytes,
            phase: phase.clone(),
            reply,
        };
        let sent = async {
            let _ = self.sender.send(submission).await;
            answer.await
        };
        match timeout(limit, sent).await {
            Ok(Ok(offset)) => Ok(offset),
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
    sequence: u64,
    log: LogClient,
    own: watch::Receiver<OwnMark>,
    receiver: mpsc::Receiver<Submission>,
    next: Option<Submission>,
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
        while let Some(group) = self.gather().await {
            self.commit(group).await;
        }
    }

    /// Waits for a submission and for what follows it shortly, up to the size of one append.
    async fn gather(&mut self) -> Option<Vec<Submission>> {
        let first = match self.next.take() {
            Some(first) => first,
            None => self.receiver.recv().await?,
        };
        sleep(FLUSH_DELAY).await;
        let mut bytes = first.bytes + BATCH_OVERHEAD_BYTES;
        let mut group = vec![first];
        while let Ok(submission) = self.receiver.try_recv() {
            if bytes + submission.bytes > MAX_BATCH_BYTES {
                self.next = Some(submission);
                break;
            }
            bytes += submission.bytes;
            group.push(submission);
        }
        Some(group)
    }

    /// Appends a group until it stands on the log or every part of it was withdrawn.
    async fn commit(&mut self, mut group: Vec<Submission>) {
        self.sequence += 1;
        loop {
            group.retain(Submission::mark_sent);
            if group.is_empty() {
                return;
            }
            let bytes = self.encode(&group);
            match self.log.append(bytes.clone()).await {
                AppendOutcome::Appended(offset) => return reply_all(group, offset),
                AppendOutcome::Refused => {
                    group.iter().for_each(Submission::mark_queued);
                    sleep(RETRY_DELAY).await;
                }
                AppendOutcome::Unknown => {
                    let offset = self.settle(bytes).await;
                    return reply_all(group, offset);
                }
            }
        }
    }

    /// Appends the same bytes again and again until their sequence number is seen on the log.
    async fn settle(&mut self, bytes: Vec<u8>) -> LogOffset {
        loop {
            if let Some(offset) = self.wait_seen().await {
                return offset;
            }
            metrics::counter!("amaranth_log_append_repeats_total").increment(1);
            if let AppendOutcome::Refused = self.log.append(bytes.clone()).await {
                sleep(RETRY_DELAY).await;
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

    fn encode(&self, group: &[Submission]) -> Vec<u8> {
        let records = group.iter().flat_map(|s| s.records.iter().cloned());
        RecordBatch::new(self.writer, self.sequence)
            .with_records(records.collect())
            .encode()
    }
}

fn reply_all(group: Vec<Submission>, offset: LogOffset) {
    metrics::counter!("amaranth_log_appends_total").increment(1);
    for submission in group {
        let _ = submission.reply.send(offset);
    }
}
