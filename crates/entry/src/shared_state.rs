//! State folded from the log, in parts with a lock each.

use std::sync::{Mutex, MutexGuard, RwLock, RwLockReadGuard};
use std::time::Duration;

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

/// Everything that is folded from the log.
pub struct SharedState {
    writer: WriterId,
    cursor: Mutex<FoldCursor>,
    jobs: Vec<Mutex<JobLedger>>,
    files: Vec<Mutex<FileTable>>,
    leases: RwLock<LeaseTable>,
    config: RwLock<ConfigState>,
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
            config: RwLock::new(ConfigState::default()),
            folded: watch::Sender::new(LogOffset(0)),
            own: watch::Sender::new(OwnMark::default()),
            clock: Mutex::new(LogClock::default()),
        }
    }

    /// Folds one entry.
    pub fn fold(&self, entry: &BatchEntry) -> EntryVerdict {
        let mut cursor = self.cursor.lock().expect("not poisoned");
        let verdict = cursor.admit(entry);
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

    /// Moves over an entry that is not a batch.
    pub fn skip(&self, offset: LogOffset) {
        let mut cursor = self.cursor.lock().expect("not poisoned");
        cursor.skip(offset);
        self.folded.send_replace(cursor.next());
    }

    /// The offset to fold next.
    pub fn folded(&self) -> LogOffset {
        *self.folded.borrow()
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
    pub fn config(&self) -> RwLockReadGuard<'_, ConfigState> {
        self.config.read().expect("not poisoned")
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
            LogRecord::ConfigProposed { .. } => {
                let mut config = self.config.write().expect("not poisoned");
                config.apply(offset, record);
            }
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
