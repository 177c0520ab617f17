//! State folded from the log, in parts with a lock each.

use std::ops::Deref;
use std::sync::{Mutex, MutexGuard, RwLock, RwLockReadGuard};
use std::time::Duration;

use amaranth_kernel::change_state::{ChangeSnapshot, ChangeState};
use amaranth_kernel::config_state::ConfigState;
use amaranth_kernel::cursor::{EntryVerdict, FoldCursor};
use amaranth_kernel::file_table::FileTable;
use amaranth_kernel::lease::LeaseTable;
use amaranth_kernel::ledger::{JobLedger, SHARD_COUNT, shard_of};
use amaranth_kernel::log_clock::LogClock;
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{ConfigRevision, JobId, LogOffset, ShardId, WriterId};
use amaranth_wire::record::{BatchEntry, LogRecord};
use tokio::sync::watch;
use tokio::time::timeout;

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
    changes: RwLock<ChangeState>,
    folded: watch::Sender<LogOffset>,
    own: watch::Sender<OwnMark>,
    clock: Mutex<LogClock>,
}

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
            changes: RwLock::new(ChangeState::default()),
            folded: watch::Sender::new(LogOffset(0)),
            own: watch::Sender::new(OwnMark::default()),
            clock: Mutex::new(LogClock::default()),
        }
    }

    /// Folds one entry.
    pub fn fold(&self, entry: &BatchEntry) -> EntryVerdict {
        let mut cursor = self.cursor.lock().expect("not poisoned");
        let verdict = cursor.admit(entry);
        self.fold_changes(verdict, entry);
        if verdict == EntryVerdict::Apply {
            let records = &entry.batch.records;
            records
                .iter()
                .for_each(|record| self.apply(entry.offset, entry.time_ms, record));
            self.note_own(entry);
        }
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
        changes.adopt(snapshot)
    }

    /// Notes that entries before this offset can no longer be read, and goes on from there.
    pub fn lose_before(&self, oldest: LogOffset) {
        let mut cursor = self.cursor.lock().expect("not poisoned");
        if oldest <= cursor.next() {
            return;
        }
        cursor.jump(oldest);
        let mut changes = self.changes.write().expect("not poisoned");
        changes.lose_before(oldest);
        drop(changes);
        self.folded.send_replace(cursor.next());
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

    /// The stored files of the shard that a job falls into.
    pub fn files_for(&self, job: &JobId) -> MutexGuard<'_, FileTable> {
        let index = (shard_of(job).0 % SHARD_COUNT) as usize;
        self.files[index].lock().expect("not poisoned")
    }

    fn apply(&self, offset: LogOffset, time_ms: u64, record: &LogRecord) {
        match record {
            LogRecord::JobItems { job, .. }
            | LogRecord::JobSealed { job, .. }
            | LogRecord::ItemsFinished { job, .. }
            | LogRecord::JobCancelled { job, .. } => {
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
    fn fold_changes(&self, verdict: EntryVerdict, entry: &BatchEntry) {
        let mut changes = self.changes.write().expect("not poisoned");
        match verdict {
            EntryVerdict::Apply => {
                changes.apply_entry(entry.offset, entry.time_ms, &entry.batch.records);
            }
            EntryVerdict::Duplicate => changes.skip_entry(entry.offset),
            EntryVerdict::Past | EntryVerdict::Gap => {}
        }
    }

    fn note_own(&self, entry: &BatchEntry) {
        if entry.batch.writer == self.writer {
            self.own.send_replace(OwnMark {
                sequence: entry.batch.sequence,
                offset: entry.offset,
            });
        }
    }
}
