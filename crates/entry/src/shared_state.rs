//! State folded from the log, in parts that are locked separately.

use std::ops::Deref;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, RwLock, RwLockReadGuard};
use std::time::Duration;

use amaranth_kernel::change_state::{ChangeSnapshot, ChangeState};
use amaranth_kernel::config_state::ConfigState;
use amaranth_kernel::cursor::{EntryVerdict, FoldCursor};
use amaranth_kernel::file_table::FileTable;
use amaranth_kernel::lease::LeaseTable;
use amaranth_kernel::ledger::{JobLedger, SHARD_COUNT, shard_of};
use amaranth_kernel::log_clock::LogClock;
use amaranth_kernel::request_intents::IntentTable;
use amaranth_kernel::retention::{CheckpointAssembler, CheckpointName, OffsetTimes, RetentionView};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{ConfigRevision, JobId, LogOffset, ShardId, WriterId};
use amaranth_wire::record::{LogRecord, RecordEntry};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::timeout;

/// Number of entries between two removals of expired jobs.
const EXPIRY_INTERVAL: u64 = 1_024;

/// The last batch of this process that was folded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnPosition {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Offset of its entry.
    pub offset: LogOffset,
}

/// Read lock on the configuration in force.
pub struct ConfigGuard<'a>(RwLockReadGuard<'a, ChangeState>);

impl Deref for ConfigGuard<'_> {
    type Target = ConfigState;

    fn deref(&self) -> &ConfigState {
        &self.0.core().config
    }
}

/// Everything that is folded from the log.
pub struct SharedState {
    writer: WriterId,
    cursor: Mutex<FoldCursor>,
    jobs: Vec<Mutex<JobLedger>>,
    files: Vec<Mutex<FileTable>>,
    leases: RwLock<LeaseTable>,
    intents: Mutex<IntentTable>,
    changes: RwLock<ChangeState>,
    folded: watch::Sender<LogOffset>,
    own: watch::Sender<OwnPosition>,
    clock: Mutex<LogClock>,
    times: Mutex<OffsetTimes>,
    oldest: AtomicU64,
    checkpoints: Mutex<CheckpointAssembler>,
}

/// The folded state as written to checkpoints and served to peers. It must contain every fold: an
/// instance that starts from an image never reads the entries before it.
#[derive(Serialize, Deserialize)]
struct StateImage<C, T, J, S, L, I, F> {
    cursor: C,
    times: T,
    jobs: J,
    files: S,
    leases: L,
    intents: I,
    changes: F,
}

fn clone_shards<T: Clone>(shards: &[Mutex<T>]) -> Vec<T> {
    let locked = shards
        .iter()
        .map(|shard| shard.lock().expect("not poisoned"));
    locked.map(|shard| shard.clone()).collect()
}

fn replace_shards<T>(shards: &[Mutex<T>], values: Vec<T>) {
    for (shard, value) in shards.iter().zip(values) {
        *shard.lock().expect("not poisoned") = value;
    }
}

type OwnedImage = StateImage<
    FoldCursor,
    OffsetTimes,
    Vec<JobLedger>,
    Vec<FileTable>,
    LeaseTable,
    IntentTable,
    Option<ChangeSnapshot>,
>;

/// Result of restoring an image.
pub type Result<T> = std::result::Result<T, rmp_serde::decode::Error>;

impl SharedState {
    /// The state before the first entry.
    pub fn new(writer: WriterId) -> Self {
        let shards = 0..SHARD_COUNT;
        Self {
            writer,
            cursor: Mutex::new(FoldCursor::default()),
            jobs: shards
                .clone()
                .map(|_| Mutex::new(JobLedger::default()))
                .collect(),
            files: shards.map(|_| Mutex::new(FileTable::default())).collect(),
            leases: RwLock::new(LeaseTable::default()),
            intents: Mutex::new(IntentTable::new()),
            changes: RwLock::new(ChangeState::default()),
            folded: watch::Sender::new(LogOffset(0)),
            own: watch::Sender::new(OwnPosition::default()),
            clock: Mutex::new(LogClock::default()),
            times: Mutex::new(OffsetTimes::default()),
            oldest: AtomicU64::new(0),
            checkpoints: Mutex::new(CheckpointAssembler::default()),
        }
    }

    /// Folds one entry.
    pub fn fold(&self, entry: &RecordEntry) -> EntryVerdict {
        let mut cursor = self.cursor.lock().expect("not poisoned");
        let verdict = cursor.admit(entry);
        self.fold_changes(verdict, entry);
        if verdict == EntryVerdict::Apply {
            let records = &entry.batch.records;
            records
                .iter()
                .for_each(|record| self.apply(entry.offset, entry.time_ms, record));
            self.record_own_position(entry);
            self.record_checkpoint_parts(entry);
            self.drop_expired_jobs(entry);
        }
        let mut times = self.times.lock().expect("not poisoned");
        times.record_time(entry.offset, entry.time_ms);
        self.folded.send_replace(cursor.next());
        verdict
    }

    /// Skips an entry that cannot be decoded and records the reason.
    pub fn reject(&self, offset: LogOffset, time_ms: u64, reason: &str) {
        let mut cursor = self.cursor.lock().expect("not poisoned");
        cursor.skip(offset);
        let mut changes = self.changes.write().expect("not poisoned");
        changes.reject_entry(offset, time_ms, reason);
        drop(changes);
        self.folded.send_replace(cursor.next());
    }

    /// The offset to fold next.
    pub fn folded(&self) -> LogOffset {
        *self.folded.borrow()
    }

    /// Watches the offset to fold next.
    pub fn folded_watch(&self) -> watch::Receiver<LogOffset> {
        self.folded.subscribe()
    }

    /// Waits until the entry at this offset is folded. False if the limit passes first.
    pub async fn wait_folded(&self, offset: LogOffset, limit: Duration) -> bool {
        let mut folded = self.folded.subscribe();
        let wait = folded.wait_for(|next| *next > offset);
        timeout(limit, wait).await.is_ok()
    }

    /// Watches the position of this process's last folded batch.
    pub fn own_position(&self) -> watch::Receiver<OwnPosition> {
        self.own.subscribe()
    }

    /// Encodes the folded state. The offset is the first that it does not cover.
    pub fn image(&self) -> (LogOffset, Vec<u8>) {
        // Folds hold the lock on the cursor, so the state cannot change while it is held here.
        let cursor = self.cursor.lock().expect("not poisoned");
        let image = StateImage {
            cursor: &*cursor,
            times: self.times.lock().expect("not poisoned").clone(),
            jobs: clone_shards(&self.jobs),
            files: clone_shards(&self.files),
            leases: &*self.leases(),
            intents: &*self.intents(),
            changes: self.changes().snapshot(),
        };
        let bytes = rmp_serde::to_vec_named(&image).expect("images always encode");
        (cursor.next(), bytes)
    }

    /// Replaces the state by an image, unless the image is not newer.
    pub fn restore(&self, bytes: &[u8]) -> Result<()> {
        let image: OwnedImage = rmp_serde::from_slice(bytes)?;
        let mut cursor = self.cursor.lock().expect("not poisoned");
        if image.cursor.next() <= cursor.next() {
            return Ok(());
        }
        *cursor = image.cursor;
        if let Some((sequence, offset)) = cursor.last_batch(self.writer) {
            self.own.send_replace(OwnPosition { sequence, offset });
        }
        *self.times.lock().expect("not poisoned") = image.times;
        replace_shards(&self.jobs, image.jobs);
        replace_shards(&self.files, image.files);
        *self.leases.write().expect("not poisoned") = image.leases;
        *self.intents() = image.intents;
        let mut changes = self.changes.write().expect("not poisoned");
        changes.mark_truncated(cursor.next());
        if let Some(snapshot) = image.changes {
            changes.install_snapshot(snapshot);
        }
        drop(changes);
        self.folded.send_replace(cursor.next());
        Ok(())
    }

    /// Records the offset of the oldest entry that the log still has.
    pub fn record_oldest(&self, oldest: LogOffset) {
        self.oldest.store(oldest.0, Ordering::Relaxed);
        let mut times = self.times.lock().expect("not poisoned");
        times.truncate_before(oldest);
    }

    /// The retention of the log as seen now; `None` before its clock is known.
    pub fn retention(&self, configured_ms: u64) -> Option<RetentionView> {
        let oldest = LogOffset(self.oldest.load(Ordering::Relaxed));
        Some(RetentionView {
            now_ms: self.log_now_ms()?,
            configured_ms,
            oldest,
            oldest_ms: self.time_of(oldest),
        })
    }

    /// A lower bound on the time of an entry, in Unix milliseconds by the log's clock.
    pub fn time_of(&self, offset: LogOffset) -> u64 {
        self.times.lock().expect("not poisoned").time_of(offset)
    }

    /// The first offset that the newest checkpoint on the log does not cover.
    pub fn last_checkpoint(&self) -> Option<LogOffset> {
        let parts = self.checkpoints.lock().expect("not poisoned");
        parts.latest().map(|(name, _)| name.as_of)
    }

    /// Synchronises the estimate of the log's clock with an answer that has just arrived.
    pub fn record_log_time(&self, log_ms: u64) {
        let mut clock = self.clock.lock().expect("not poisoned");
        clock.observe(log_ms, steady_ms());
    }

    /// A lower bound on the log's clock now, in Unix milliseconds.
    pub fn log_now_ms(&self) -> Option<u64> {
        self.clock.lock().expect("not poisoned").now(steady_ms())
    }

    /// The configuration revision in force here.
    pub fn revision(&self) -> ConfigRevision {
        self.config().revision()
    }

    /// The configuration in force.
    pub fn config(&self) -> ConfigGuard<'_> {
        ConfigGuard(self.changes())
    }

    /// Configuration, plans and decisions.
    pub fn changes(&self) -> RwLockReadGuard<'_, ChangeState> {
        self.changes.read().expect("not poisoned")
    }

    /// Installs a peer's configuration and plans if the peer is ahead. Returns whether it was.
    pub fn install_changes(&self, snapshot: ChangeSnapshot) -> bool {
        let mut changes = self.changes.write().expect("not poisoned");
        changes.install_snapshot(snapshot)
    }

    /// Skips to the oldest entry that can still be read, and marks the state as truncated.
    pub fn skip_lost_entries(&self, oldest: LogOffset) {
        let mut cursor = self.cursor.lock().expect("not poisoned");
        if oldest <= cursor.next() {
            return;
        }
        cursor.advance_to(oldest);
        let mut changes = self.changes.write().expect("not poisoned");
        changes.mark_truncated(oldest);
        drop(changes);
        self.folded.send_replace(cursor.next());
    }

    /// Intents of the calls that may run at most once.
    pub fn intents(&self) -> MutexGuard<'_, IntentTable> {
        self.intents.lock().expect("not poisoned")
    }

    /// The shard leases.
    pub fn leases(&self) -> RwLockReadGuard<'_, LeaseTable> {
        self.leases.read().expect("not poisoned")
    }

    /// The jobs of one shard.
    pub fn shard(&self, shard: ShardId) -> MutexGuard<'_, JobLedger> {
        let index = (shard.0 % SHARD_COUNT) as usize;
        self.jobs[index].lock().expect("not poisoned")
    }

    /// The jobs of the shard that a job belongs to.
    pub fn shard_for(&self, job: &JobId) -> MutexGuard<'_, JobLedger> {
        self.shard(shard_of(job))
    }

    fn drop_expired_jobs(&self, entry: &RecordEntry) {
        if entry.offset.0.is_multiple_of(EXPIRY_INTERVAL) {
            let ledgers = self.jobs.iter();
            ledgers.for_each(|l| l.lock().expect("not poisoned").drop_expired(entry.time_ms));
        }
    }

    fn record_checkpoint_parts(&self, entry: &RecordEntry) {
        for record in &entry.batch.records {
            if let LogRecord::StateCheckpoint {
                as_of, part, parts, ..
            } = record
            {
                let name = CheckpointName {
                    as_of: *as_of,
                    writer: entry.batch.writer,
                };
                let mut gathered = self.checkpoints.lock().expect("not poisoned");
                gathered.add_part(name, *part, *parts, &[]);
            }
        }
    }

    /// The stored files of the shard that a job belongs to.
    pub fn files_for(&self, job: &JobId) -> MutexGuard<'_, FileTable> {
        let index = (shard_of(job).0 % SHARD_COUNT) as usize;
        self.files[index].lock().expect("not poisoned")
    }

    fn apply(&self, offset: LogOffset, time_ms: u64, record: &LogRecord) {
        match record {
            LogRecord::StateCheckpoint { .. } => {}
            LogRecord::JobItems { job, .. }
            | LogRecord::JobSealed { job, .. }
            | LogRecord::ItemsFinished { job, .. }
            | LogRecord::JobCancelled { job, .. }
            | LogRecord::ItemsCarried { job, .. }
            | LogRecord::ResultsCarried { job, .. } => {
                self.shard_for(job).apply(offset, time_ms, record);
            }
            LogRecord::FileStored { job, .. } => {
                self.files_for(job).apply(offset, time_ms, record);
            }
            LogRecord::LeaseClaimed { .. }
            | LogRecord::LeasesRenewed { .. }
            | LogRecord::LeasesReleased { .. } => {
                let mut leases = self.leases.write().expect("not poisoned");
                leases.apply(offset, time_ms, record);
            }
            LogRecord::CallIntended { .. } | LogRecord::CallEnded { .. } => {
                let mut intents = self.intents.lock().expect("not poisoned");
                intents.apply(offset, time_ms, record);
            }
            // `fold_changes` folds these, one entry at a time.
            LogRecord::ConfigProposed { .. }
            | LogRecord::PlanProposed { .. }
            | LogRecord::PlanUndone { .. }
            | LogRecord::PlanStepped { .. }
            | LogRecord::CommandNoted { .. }
            | LogRecord::ChangesCarried { .. } => {}
        }
    }

    /// Folds configuration, plans and decisions.
    fn fold_changes(&self, verdict: EntryVerdict, entry: &RecordEntry) {
        let mut changes = self.changes.write().expect("not poisoned");
        match verdict {
            EntryVerdict::Apply => {
                changes.apply_entry(entry.offset, entry.time_ms, &entry.batch.records);
            }
            EntryVerdict::Duplicate => changes.skip_entry(entry.offset),
            EntryVerdict::Past | EntryVerdict::Gap => {}
        }
    }

    fn record_own_position(&self, entry: &RecordEntry) {
        if entry.batch.writer == self.writer {
            self.own.send_replace(OwnPosition {
                sequence: entry.batch.sequence,
                offset: entry.offset,
            });
        }
    }
}
