//! State folded from the log, in parts with a lock each.

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

/// Entries between two looks for jobs that ended long ago.
const FORGET_EVERY: u64 = 1_024;

/// The last batch of this process that was folded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnMark {
    /// Its sequence number.
    pub sequence: u64,
    /// Where it stands.
    pub offset: LogOffset,
}

/// The configuration in force, for as long as it is looked at.
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
    own: watch::Sender<OwnMark>,
    clock: Mutex<LogClock>,
    times: Mutex<OffsetTimes>,
    oldest: AtomicU64,
    checkpoints: Mutex<CheckpointAssembler>,
}

/// The folded state as it is written to the log and handed to peers. Every fold belongs here: an
/// instance that starts from an image never reads what lies before it.
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

fn cloned<T: Clone>(shards: &[Mutex<T>]) -> Vec<T> {
    let locked = shards
        .iter()
        .map(|shard| shard.lock().expect("not poisoned"));
    locked.map(|shard| shard.clone()).collect()
}

fn replace<T>(shards: &[Mutex<T>], values: Vec<T>) {
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

/// Result of taking over an image.
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
            own: watch::Sender::new(OwnMark::default()),
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
            self.note_own(entry);
            self.note_checkpoints(entry);
            self.forget_ended(entry);
        }
        let mut times = self.times.lock().expect("not poisoned");
        times.record_time(entry.offset, entry.time_ms);
        self.folded.send_replace(cursor.next());
        verdict
    }

    /// Moves over an entry that is not a batch and notes why.
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

    /// The offset to fold next, as it changes.
    pub fn folded_watch(&self) -> watch::Receiver<LogOffset> {
        self.folded.subscribe()
    }

    /// Waits until the entry at this offset is folded. False when the wait runs out.
    pub async fn wait_folded(&self, offset: LogOffset, limit: Duration) -> bool {
        let mut folded = self.folded.subscribe();
        let wait = folded.wait_for(|next| *next > offset);
        timeout(limit, wait).await.is_ok()
    }

    /// The last own batch that was folded.
    pub fn own_mark(&self) -> watch::Receiver<OwnMark> {
        self.own.subscribe()
    }

    /// The folded state and the offset up to which it goes.
    pub fn image(&self) -> (LogOffset, Vec<u8>) {
        // Folds hold the cursor, so nothing changes while it is held here.
        let cursor = self.cursor.lock().expect("not poisoned");
        let image = StateImage {
            cursor: &*cursor,
            times: self.times.lock().expect("not poisoned").clone(),
            jobs: cloned(&self.jobs),
            files: cloned(&self.files),
            leases: &*self.leases(),
            intents: &*self.intents(),
            changes: self.changes().snapshot(),
        };
        let bytes = rmp_serde::to_vec_named(&image).expect("images always encode");
        (cursor.next(), bytes)
    }

    /// Takes over an image in place of what was folded. An older one changes nothing.
    pub fn restore(&self, bytes: &[u8]) -> Result<()> {
        let image: OwnedImage = rmp_serde::from_slice(bytes)?;
        let mut cursor = self.cursor.lock().expect("not poisoned");
        if image.cursor.next() <= cursor.next() {
            return Ok(());
        }
        *cursor = image.cursor;
        if let Some((sequence, offset)) = cursor.last_batch(self.writer) {
            self.own.send_replace(OwnMark { sequence, offset });
        }
        *self.times.lock().expect("not poisoned") = image.times;
        replace(&self.jobs, image.jobs);
        replace(&self.files, image.files);
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

    /// Notes the oldest entry that the log still has.
    pub fn note_oldest(&self, oldest: LogOffset) {
        self.oldest.store(oldest.0, Ordering::Relaxed);
        let mut times = self.times.lock().expect("not poisoned");
        times.truncate_before(oldest);
    }

    /// How long the log keeps entries; `None` before its clock is known.
    pub fn retention(&self, configured_ms: u64) -> Option<RetentionView> {
        let oldest = LogOffset(self.oldest.load(Ordering::Relaxed));
        Some(RetentionView {
            now_ms: self.log_now_ms()?,
            configured_ms,
            oldest,
            oldest_ms: self.time_of(oldest),
        })
    }

    /// A time not after that of an entry, Unix milliseconds by the log's clock.
    pub fn time_of(&self, offset: LogOffset) -> u64 {
        self.times.lock().expect("not poisoned").time_of(offset)
    }

    /// The first offset that the newest state on the log does not cover.
    pub fn last_checkpoint(&self) -> Option<LogOffset> {
        let parts = self.checkpoints.lock().expect("not poisoned");
        parts.latest().map(|(name, _)| name.as_of)
    }

    /// Takes the log's clock from an answer that just arrived.
    pub fn note_log_time(&self, log_ms: u64) {
        let mut clock = self.clock.lock().expect("not poisoned");
        clock.observe(log_ms, steady_ms());
    }

    /// The earliest that the log's clock can show now, Unix milliseconds.
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

    /// Takes over what a peer knows of configuration and plans, if the peer is ahead.
    pub fn adopt_changes(&self, snapshot: ChangeSnapshot) -> bool {
        let mut changes = self.changes.write().expect("not poisoned");
        changes.install_snapshot(snapshot)
    }

    /// Notes that entries before this offset can no longer be read, and goes on from there.
    pub fn lose_before(&self, oldest: LogOffset) {
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

    /// Calls that may run at most once.
    pub fn intents(&self) -> MutexGuard<'_, IntentTable> {
        self.intents.lock().expect("not poisoned")
    }

    /// The leases.
    pub fn leases(&self) -> RwLockReadGuard<'_, LeaseTable> {
        self.leases.read().expect("not poisoned")
    }

    /// The jobs of one shard.
    pub fn shard(&self, shard: ShardId) -> MutexGuard<'_, JobLedger> {
        let index = (shard.0 % SHARD_COUNT) as usize;
        self.jobs[index].lock().expect("not poisoned")
    }

    /// The jobs of the shard that a job falls into.
    pub fn shard_for(&self, job: &JobId) -> MutexGuard<'_, JobLedger> {
        self.shard(shard_of(job))
    }

    fn forget_ended(&self, entry: &RecordEntry) {
        if entry.offset.0.is_multiple_of(FORGET_EVERY) {
            let ledgers = self.jobs.iter();
            ledgers.for_each(|l| l.lock().expect("not poisoned").drop_expired(entry.time_ms));
        }
    }

    fn note_checkpoints(&self, entry: &RecordEntry) {
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

    /// The stored files of the shard that a job falls into.
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
            // Folded by `fold_changes`, an entry at a time.
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

    fn note_own(&self, entry: &RecordEntry) {
        if entry.batch.writer == self.writer {
            self.own.send_replace(OwnMark {
                sequence: entry.batch.sequence,
                offset: entry.offset,
            });
        }
    }
}
