//! This instance's in-memory copy of the batch jobs on the log.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use amaranth_kernel::job_table::{ApplyOutcome, JobTable};
use amaranth_net::clock::steady_ms;
use amaranth_wire::batch_entry::BatchEntry;
use amaranth_wire::id::{JobId, LogOffset};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::batch::pieces::{AssemblyResult, EntryAssembler};
use crate::log_access::{DurableLog, LogEntry, LogRead, LogTopic, Result};
use crate::topic_follower::TopicUpdate;

/// Oldest read of the log on which items are started. No item may start 3 s after the end of its
/// job was acknowledged; starting an item takes part of the remainder.
const MAX_READ_AGE: Duration = Duration::from_millis(2_200);

/// Batch jobs and the log position up to which they were read.
pub struct JobReplica {
    inner: Mutex<ReplicaState>,
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct ReplicaState {
    table: JobTable,
    pieces: EntryAssembler,
    keys: HashMap<JobId, Vec<String>>,
    /// Keys of the records of rejected submissions, by the number of their call.
    rejected_keys: HashMap<u64, Vec<String>>,
    next: LogOffset,
    loaded: bool,
    read_sent: Option<Instant>,
}

impl ReplicaState {
    fn add(&mut self, record: LogEntry) {
        let (key, offset) = (record.key.clone(), record.offset);
        match self.pieces.add(record) {
            AssemblyResult::Entry(offset, entry) => {
                log_entry(offset, &entry);
                self.apply(key, offset, entry);
            }
            AssemblyResult::Partial => {}
            AssemblyResult::Deleted(job) => self.delete(&job, &key),
            AssemblyResult::Malformed(why) => {
                log::warn!("event=record_malformed topic=batch offset={offset} error={why:?}");
            }
        }
    }
}

impl ReplicaState {
    fn apply(&mut self, key: String, offset: LogOffset, entry: BatchEntry) {
        let job = entry.job().clone();
        let call = match &entry {
            BatchEntry::Submitted(submission) => submission.call,
            _ => 0,
        };
        let keys = match self.table.apply(offset, entry, steady_ms()) {
            ApplyOutcome::Applied => self.keys.entry(job).or_default(),
            ApplyOutcome::Rejected => self.rejected_keys.entry(call).or_default(),
        };
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    /// Applies the deletion of a record, which deletes its job or its rejected submission. A job
    /// outlives the records of its rejected submissions.
    fn delete(&mut self, job: &JobId, key: &String) {
        if self.keys.get(job).is_some_and(|keys| keys.contains(key)) {
            self.table.remove_job(job);
            self.keys.remove(job);
            return;
        }
        let mut rejected = self.rejected_keys.iter();
        let call = rejected.find_map(|(call, keys)| keys.contains(key).then_some(*call));
        if let Some(call) = call {
            self.table.forget_rejection(call);
            self.rejected_keys.remove(&call);
        }
    }
}

fn log_entry(offset: LogOffset, entry: &BatchEntry) {
    match entry {
        BatchEntry::Submitted(job) => {
            log::debug!(
                "event=job_read job={} offset={offset} items={}",
                job.job,
                job.items.len()
            );
        }
        BatchEntry::Ended { job } => log::debug!("event=job_end_read job={job} offset={offset}"),
        BatchEntry::Progress(progress) => {
            log::debug!(
                "event=item_progress_read job={} item={} member={:?} last_event={:?} offset={offset}",
                progress.job,
                progress.item,
                progress.member,
                progress.kept.as_ref().map(|kept| kept.last_event),
            );
        }
        BatchEntry::ItemEnded { .. } => {}
    }
}

impl Default for JobReplica {
    fn default() -> Self {
        Self::new()
    }
}

impl JobReplica {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }

    /// Applies entries that a follower read; `sent` is when the read was sent.
    pub fn apply(&self, update: TopicUpdate, next: Option<LogOffset>, sent: Instant) {
        let mut inner = self.inner.lock().expect("not poisoned");
        let entries = match update {
            TopicUpdate::Replace(entries) => {
                *inner = ReplicaState::default();
                inner.loaded = true;
                entries
            }
            TopicUpdate::Append(entries) => entries,
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

    /// Whether the topic was read completely at least once.
    pub fn is_loaded(&self) -> bool {
        self.inner.lock().expect("not poisoned").loaded
    }

    /// Whether the log was read recently enough to start items: the log may be the only place that
    /// knows of a job's end.
    pub fn is_fresh(&self) -> bool {
        let inner = self.inner.lock().expect("not poisoned");
        inner
            .read_sent
            .is_some_and(|sent| sent.elapsed() <= MAX_READ_AGE)
    }

    /// Calls `read` with the jobs while holding the lock.
    pub fn with_table<T>(&self, read: impl FnOnce(&JobTable) -> T) -> T {
        read(&self.inner.lock().expect("not poisoned").table)
    }

    /// Returns the keys of a job's records.
    pub fn keys(&self, job: &JobId) -> Vec<String> {
        let inner = self.inner.lock().expect("not poisoned");
        inner.keys.get(job).cloned().unwrap_or_default()
    }

    /// Returns the keys of a rejected submission's records.
    pub fn rejected_keys(&self, call: u64) -> Vec<String> {
        let inner = self.inner.lock().expect("not poisoned");
        inner.rejected_keys.get(&call).cloned().unwrap_or_default()
    }

    /// Returns a receiver that is notified of every change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Reads the log from the last read position to its end.
    pub async fn catch_up(&self, log: &Arc<DurableLog>) -> Result<()> {
        loop {
            let from = self.inner.lock().expect("not poisoned").next;
            let sent = Instant::now();
            let slice = (log.read)(LogRead::new(LogTopic::Batch, from)).await?;
            let at_end = slice.entries.is_empty();
            self.apply(TopicUpdate::Append(slice.entries), Some(slice.next), sent);
            if at_end {
                return Ok(());
            }
        }
    }
}
