//! Follows a topic: first the newest entry of every key, then what is appended.

use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::id::LogOffset;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::log_access::{DurableLog, LogEntry, LogError, LogRead, LogTopic};

/// Wait for entries in one read. Short, because a connection that went silent shows only when a
/// read is overdue, and configuration must be in force within 2 s of its acknowledgement.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a failed read, doubled up to eight times.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Doublings of the pause.
const MAX_DOUBLINGS: u32 = 3;

/// What a follower learns.
#[derive(Debug)]
pub enum FollowStep {
    /// The newest entry of every key; what was known before is replaced.
    Replace(Vec<LogEntry>),
    /// Entries that follow.
    Append(Vec<LogEntry>),
}

/// How a topic is followed.
pub struct TopicFollower {
    /// The topic.
    pub topic: LogTopic,
    /// Least time between two reads: entries that arrive within it are read together.
    pub pace: Duration,
    /// Takes in what was read; called with the time at which the read was sent.
    pub apply: Box<dyn FnMut(FollowStep, Instant) + Send>,
}

impl TopicFollower {
    /// Follows until the token is cancelled.
    pub async fn run(mut self, log: Arc<DurableLog>, stop: CancellationToken) {
        stop.run_until_cancelled(self.follow(&log)).await;
    }

    async fn follow(&mut self, log: &DurableLog) {
        let mut next = None;
        let mut failures = 0;
        loop {
            let step = match next {
                None => self.load(log).await,
                Some(offset) => self.advance(log, offset).await,
            };
            match step {
                Ok(offset) => {
                    self.note_regained(failures);
                    failures = 0;
                    next = Some(offset);
                }
                Err(LogError::Trimmed) => {
                    log::warn!("event=topic_trimmed topic={} next={next:?}", self.topic);
                    next = None;
                }
                Err(e) => {
                    self.note_lost(failures, &e);
                    sleep(RETRY_PAUSE * (1 << failures.min(MAX_DOUBLINGS))).await;
                    failures += 1;
                }
            }
        }
    }

    fn note_lost(&self, failures: u32, error: &LogError) {
        if failures == 0 {
            log::warn!(
                "event=dependency_lost dependency=log topic={} error={:?}",
                self.topic,
                error.to_string()
            );
        }
    }

    fn note_regained(&self, failures: u32) {
        if failures > 0 {
            log::info!(
                "event=dependency_regained dependency=log topic={} failures={failures}",
                self.topic
            );
        }
    }

    async fn load(&mut self, log: &DurableLog) -> crate::log_access::Result<LogOffset> {
        let sent = Instant::now();
        let mut slice = (log.newest)(self.topic).await?;
        slice.entries.sort_by_key(|entry| entry.offset);
        (self.apply)(FollowStep::Replace(slice.entries), sent);
        Ok(slice.next)
    }

    async fn advance(
        &mut self,
        log: &DurableLog,
        from: LogOffset,
    ) -> crate::log_access::Result<LogOffset> {
        let sent = Instant::now();
        let slice = (log.read)(LogRead::new(self.topic, from).with_wait(READ_WAIT)).await?;
        let came = !slice.entries.is_empty();
        (self.apply)(FollowStep::Append(slice.entries), sent);
        if came {
            sleep(self.pace.saturating_sub(sent.elapsed())).await;
        }
        Ok(slice.next)
    }
}
