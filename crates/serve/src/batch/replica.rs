//! This instance's in-memory copy of the batch jobs on the log.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::job_table::{ApplyOutcome, JobTable};
use amaranth_net::clock::steady_ms;
use amaranth_net::state_lock::StateMutex;
use amaranth_wire::batch_entry::{BatchEntry, ItemProgress};
use amaranth_wire::id::{ItemId, JobId, LogOffset};
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
    inner: StateMutex<ReplicaState>,
    changed: watch::Sender<u64>,
}

type ItemKey = (JobId, ItemId);

/// The latest progress entry of an item.
struct LatestProgress {
    offset: LogOffset,
    entry: ItemProgress,
    read_ms: u64,
}

#[derive(Default)]
struct ReplicaState {
    table: JobTable,
    pieces: EntryAssembler,
    keys: HashMap<JobId, Vec<String>>,
    /// Keys of the records of rejected submissions, by the number of their call.
    rejected_keys: HashMap<u64, Vec<String>>,
    /// Latest progress entry of each running item; `None` while they are not followed.
    progress: Option<HashMap<ItemKey, LatestProgress>>,
    next: LogOffset,
    loaded: bool,
    read_sent: Option<Instant>,
}

impl ReplicaState {
    /// Applies a record of the batch topic.
    fn add(&mut self, record: LogEntry) {
        let (key, offset) = (record.key.clone(), record.offset);
        match self.pieces.add(record) {
            AssemblyResult::Entry(offset, entry) => {
                log_entry(offset, &entry);
                self.apply(key, offset, *entry);
            }
            AssemblyResult::Partial => {}
            AssemblyResult::Deleted(job) => self.delete(&job, &key),
            AssemblyResult::Malformed(why) => {
                log::warn!("event=record_malformed topic=batch offset={offset} error={why:?}");
            }
        }
    }

    /// Applies a complete entry and remembers the key under which it is deleted.
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

    /// Applies a record of the progress topic.
    fn add_progress(&mut self, record: LogEntry) {
        let LogEntry { key, value, offset } = record;
        let Some(value) = value else {
            let item = parse_progress_key(&key);
            if let Some((progress, item)) = self.progress.as_mut().zip(item) {
                self.table.remove_progress(&item.0, &item.1);
                progress.remove(&item);
            }
            return;
        };
        let entry = match BatchEntry::decode(&value) {
            Ok(BatchEntry::Progress(entry)) => entry,
            Ok(_) => return log::warn!("event=record_malformed topic=progress key={key:?}"),
            Err(e) => {
                let error = e.to_string();
                return log::warn!(
                    "event=record_malformed topic=progress key={key:?} error={error:?}"
                );
            }
        };
        let read_ms = steady_ms();
        let wrapped = BatchEntry::Progress(entry.clone());
        log_entry(offset, &wrapped);
        self.table.apply(offset, wrapped, read_ms);
        let item = (entry.job.clone(), entry.item.clone());
        let latest = LatestProgress {
            offset,
            entry,
            read_ms,
        };
        if let Some(progress) = &mut self.progress {
            progress.insert(item, latest);
        }
    }

    /// Applies the known progress to jobs that were read anew.
    fn apply_known_progress(&mut self) {
        for latest in self.progress.iter().flat_map(HashMap::values) {
            let entry = BatchEntry::Progress(latest.entry.clone());
            self.table.apply(latest.offset, entry, latest.read_ms);
        }
    }
}

/// Key of an item's progress record. A new record replaces the one before.
pub fn progress_key(job: &JobId, item: &ItemId) -> String {
    format!("{job}/{item}")
}

fn parse_progress_key(key: &str) -> Option<ItemKey> {
    let (job, item) = key.split_once('/')?;
    Some((job.parse().ok()?, item.parse().ok()?))
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
            inner: StateMutex::default(),
            changed: watch::channel(0).0,
        }
    }

    /// Applies entries that a follower read; `sent` is when the read was sent.
    pub fn apply(&self, update: TopicUpdate, next: Option<LogOffset>, sent: Instant) {
        let mut inner = self.inner.lock();
        let replaced = matches!(update, TopicUpdate::Replace(_));
        // A panic below leaves the replica unloaded: it may lack entries.
        let was_loaded = std::mem::take(&mut inner.loaded);
        let entries = match update {
            TopicUpdate::Replace(entries) => {
                let progress = inner.progress.take();
                *inner = ReplicaState::default();
                inner.progress = progress;
                entries
            }
            TopicUpdate::Append(entries) => entries,
        };
        let changed = !entries.is_empty();
        for entry in entries {
            inner.next = inner.next.max(entry.offset.next());
            inner.add(entry);
        }
        if replaced {
            inner.apply_known_progress();
        }
        inner.next = inner.next.max(next.unwrap_or_default());
        inner.read_sent = Some(sent);
        inner.loaded = was_loaded || replaced;
        drop(inner);
        if changed {
            self.changed.send_modify(|version| *version += 1);
        }
    }

    /// Applies entries of the progress topic.
    pub fn apply_progress(&self, update: TopicUpdate) {
        let mut inner = self.inner.lock();
        let entries = match update {
            TopicUpdate::Replace(entries) => {
                inner.progress = Some(HashMap::new());
                entries
            }
            TopicUpdate::Append(entries) => entries,
        };
        let changed = !entries.is_empty();
        for entry in entries {
            inner.add_progress(entry);
        }
        drop(inner);
        if changed {
            self.changed.send_modify(|version| *version += 1);
        }
    }

    /// Drops the progress of items, as it is no longer followed.
    pub fn forget_progress(&self) {
        self.inner.lock().progress = None;
    }

    /// Whether the progress of items is known, without which none may be started.
    pub fn has_progress(&self) -> bool {
        let inner = self.inner.lock();
        inner.progress.is_some()
    }

    /// Returns the keys of a job's progress records.
    pub fn progress_keys(&self, job: &JobId) -> Vec<String> {
        let inner = self.inner.lock();
        let items = inner.progress.iter().flat_map(HashMap::keys);
        let items = items.filter(|(of, _)| of == job);
        items.map(|(job, item)| progress_key(job, item)).collect()
    }

    /// Whether the topic was read completely at least once.
    pub fn is_loaded(&self) -> bool {
        self.inner.lock().loaded
    }

    /// Whether the log was read recently enough to start items: the log may be the only place that
    /// knows of a job's end.
    pub fn is_fresh(&self) -> bool {
        let inner = self.inner.lock();
        inner
            .read_sent
            .is_some_and(|sent| sent.elapsed() <= MAX_READ_AGE)
    }

    /// Calls `read` with the jobs while holding the lock.
    pub fn with_table<T>(&self, read: impl FnOnce(&JobTable) -> T) -> T {
        read(&self.inner.lock().table)
    }

    /// Returns the keys of a job's records.
    pub fn keys(&self, job: &JobId) -> Vec<String> {
        let inner = self.inner.lock();
        inner.keys.get(job).cloned().unwrap_or_default()
    }

    /// Returns the keys of a rejected submission's records.
    pub fn rejected_keys(&self, call: u64) -> Vec<String> {
        let inner = self.inner.lock();
        inner.rejected_keys.get(&call).cloned().unwrap_or_default()
    }

    /// Returns a receiver that is notified of every change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Reads the log from the last read position to its end.
    pub async fn catch_up(&self, log: &Arc<DurableLog>) -> Result<()> {
        loop {
            let from = self.inner.lock().next;
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
