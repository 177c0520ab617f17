//! Follows a topic: reads the newest entry of every key, then the entries appended since.

use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::id::LogOffset;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::log_access::{DurableLog, LogEntry, LogError, LogRead, LogTopic};
use crate::panic_guard::contain;

/// Delay after the first failed read; it doubles with each failure, up to eight times the value.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a topic that is not wanted is checked again.
const UNWANTED_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Most doublings of [`RETRY_DELAY`].
const MAX_DOUBLINGS: u32 = 3;

/// Entries that a follower has read.
#[derive(Debug)]
pub enum TopicUpdate {
    /// The newest entry of every key; replaces all earlier entries.
    Replace(Vec<LogEntry>),
    /// Entries appended since the last read.
    Append(Vec<LogEntry>),
}

/// Follower of one topic.
pub struct TopicFollower {
    /// Topic to follow.
    pub topic: LogTopic,
    /// Longest wait for entries in one read. A dead connection is detected only when a read is
    /// overdue.
    pub read_wait: Duration,
    /// Least time between two reads: entries that arrive within it are read together.
    pub min_period: Duration,
    /// Whether the topic is followed now; asked before each read. A topic that is wanted again is
    /// read anew.
    pub is_wanted: Box<dyn Fn() -> bool + Send>,
    /// Applies entries; called with the time at which the read was sent.
    pub apply: Box<dyn FnMut(TopicUpdate, Instant) + Send>,
}

impl TopicFollower {
    /// Follows the topic until the token is cancelled.
    pub async fn run(mut self, log: Arc<DurableLog>, stop: CancellationToken) {
        stop.run_until_cancelled(self.follow(&log)).await;
    }

    async fn follow(&mut self, log: &DurableLog) {
        let mut next = None;
        let mut failures = 0;
        loop {
            if !(self.is_wanted)() {
                next = None;
                sleep(UNWANTED_POLL_PERIOD).await;
                continue;
            }
            let result = match next {
                None => self.read_newest(log).await,
                Some(offset) => self.read_appended(log, offset).await,
            };
            match result {
                Ok(offset) => {
                    self.log_dependency_regained(failures);
                    failures = 0;
                    next = Some(offset);
                }
                Err(LogError::Trimmed) => {
                    log::warn!("event=topic_trimmed topic={} next={next:?}", self.topic);
                    next = None;
                }
                Err(e) => {
                    if matches!(e, LogError::NotApplied(_)) {
                        next = None;
                    }
                    self.log_dependency_lost(failures, &e);
                    sleep(RETRY_DELAY * (1 << failures.min(MAX_DOUBLINGS))).await;
                    failures += 1;
                }
            }
        }
    }

    fn log_dependency_lost(&self, failures: u32, error: &LogError) {
        if failures == 0 {
            log::warn!(
                "event=dependency_lost dependency=log topic={} error={:?}",
                self.topic,
                error.to_string()
            );
        }
    }

    fn log_dependency_regained(&self, failures: u32) {
        if failures > 0 {
            log::info!(
                "event=dependency_regained dependency=log topic={} failures={failures}",
                self.topic
            );
        }
    }

    /// Applies an update. After a panic the state may lack a part of it, so the topic is read anew.
    fn apply_contained(
        &mut self,
        update: TopicUpdate,
        sent: Instant,
    ) -> crate::log_access::Result<()> {
        contain(|| (self.apply)(update, sent)).map_err(|why| {
            log::error!("event=update_panicked topic={} why={why:?}", self.topic);
            LogError::NotApplied(why)
        })
    }

    async fn read_newest(&mut self, log: &DurableLog) -> crate::log_access::Result<LogOffset> {
        let sent = Instant::now();
        let mut slice = (log.newest)(self.topic).await?;
        slice.entries.sort_by_key(|entry| entry.offset);
        self.apply_contained(TopicUpdate::Replace(slice.entries), sent)?;
        Ok(slice.next)
    }

    async fn read_appended(
        &mut self,
        log: &DurableLog,
        from: LogOffset,
    ) -> crate::log_access::Result<LogOffset> {
        let sent = Instant::now();
        let slice = (log.read)(LogRead::new(self.topic, from).with_wait(self.read_wait)).await?;
        let has_entries = !slice.entries.is_empty();
        self.apply_contained(TopicUpdate::Append(slice.entries), sent)?;
        if has_entries {
            sleep(self.min_period.saturating_sub(sent.elapsed())).await;
        }
        Ok(slice.next)
    }
}
