//! The batch jobs as this instance knows them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use amaranth_kernel::job_table::JobTable;
use amaranth_net::clock::steady_ms;
use amaranth_wire::batch_entry::BatchEntry;
use amaranth_wire::id::{JobId, LogOffset};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::batch::pieces::{PieceAssembly, PieceStep};
use crate::log_access::{DurableLog, LogEntry, LogRead, LogTopic, Result};
use crate::topic_follow::FollowStep;

/// Age of the last read up to which items are started. No item may start 3 s after the end of its
/// job was acknowledged; a start takes a part of the rest.
const FRESH_TIME: Duration = Duration::from_millis(2_200);

/// Jobs and how far the log was read.
pub struct JobBoard {
    inner: Mutex<BoardState>,
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct BoardState {
    book: JobTable,
    pieces: PieceAssembly,
    keys: HashMap<JobId, Vec<String>>,
    next: LogOffset,
    loaded: bool,
    read_sent: Option<Instant>,
}

impl BoardState {
    fn add(&mut self, record: LogEntry) {
        let (key, offset) = (record.key.clone(), record.offset);
        match self.pieces.add(record) {
            PieceStep::Entry(offset, entry) => {
                self.keys.entry(entry.job().clone()).or_default().push(key);
                note_entry(offset, &entry);
                self.book.apply(offset, entry, steady_ms());
            }
            PieceStep::Partial => {}
            PieceStep::Deleted(job) => {
                self.book.remove_job(&job);
                self.keys.remove(&job);
            }
            PieceStep::Malformed(why) => {
                log::warn!("event=record_malformed topic=batch offset={offset} error={why:?}");
            }
        }
    }
}

fn note_entry(offset: LogOffset, entry: &BatchEntry) {
    match entry {
        BatchEntry::Submitted(job) => {
            log::debug!(
                "event=job_known job={} offset={offset} items={}",
                job.job,
                job.items.len()
            );
        }
        BatchEntry::Ended { job } => log::debug!("event=job_end_known job={job} offset={offset}"),
        BatchEntry::Progress(progress) => {
            log::debug!(
                "event=item_progress_known job={} item={} member={:?} last_event={:?} offset={offset}",
                progress.job,
                progress.item,
                progress.member,
                progress.kept.as_ref().map(|kept| kept.last_event),
            );
        }
        BatchEntry::ItemEnded { .. } => {}
    }
}

impl Default for JobBoard {
    fn default() -> Self {
        Self::new()
    }
}

impl JobBoard {
    /// A board that has read nothing.
    pub fn new() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }

    /// Takes in what a follower read.
    pub fn apply(&self, step: FollowStep, next: Option<LogOffset>, sent: Instant) {
        let mut inner = self.inner.lock().expect("not poisoned");
        let entries = match step {
            FollowStep::Replace(entries) => {
                *inner = BoardState::default();
                inner.loaded = true;
                entries
            }
            FollowStep::Append(entries) => entries,
        };
        let changed = !entries.is_empty();
        for entry in entries {
            inner.next = inner.next.max(entry.offset.next());
            inner.add(entry);
        }
        inner.next = inner.next.max(next.unwrap_or_default());
        inner.read_sent = Some(sent);
        drop(inner);
        if changed {
            self.changed.send_modify(|version| *version += 1);
        }
    }

    /// Whether the log was read once.
    pub fn is_loaded(&self) -> bool {
        self.inner.lock().expect("not poisoned").loaded
    }

    /// Whether the log was read lately enough to start items: a job that its caller ended may be
    /// known nowhere else.
    pub fn is_fresh(&self) -> bool {
        let inner = self.inner.lock().expect("not poisoned");
        inner
            .read_sent
            .is_some_and(|sent| sent.elapsed() <= FRESH_TIME)
    }

    /// Looks at the jobs.
    pub fn look<T>(&self, look: impl FnOnce(&JobTable) -> T) -> T {
        look(&self.inner.lock().expect("not poisoned").book)
    }

    /// The keys of a job's records.
    pub fn keys(&self, job: &JobId) -> Vec<String> {
        let inner = self.inner.lock().expect("not poisoned");
        inner.keys.get(job).cloned().unwrap_or_default()
    }

    /// Tells of changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Reads what was appended since the last read.
    pub async fn catch_up(&self, log: &Arc<DurableLog>) -> Result<()> {
        loop {
            let from = self.inner.lock().expect("not poisoned").next;
            let sent = Instant::now();
            let slice = (log.read)(LogRead::new(LogTopic::Batch, from)).await?;
            let at_end = slice.entries.is_empty();
            self.apply(FollowStep::Append(slice.entries), Some(slice.next), sent);
            if at_end {
                return Ok(());
            }
        }
    }
}
