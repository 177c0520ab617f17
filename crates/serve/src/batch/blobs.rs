//! Stores bodies and outputs of items on the log, with a small in-memory cache. Blobs are written
//! once and never changed.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use amaranth_kernel::hashing::hash_bytes;
use amaranth_net::state_lock::StateMutex;
use amaranth_wire::batch_entry::BlobRef;
use amaranth_wire::id::{JobId, LogOffset};
use bytes::Bytes;

use crate::batch::commit::BatchCommitter;
use crate::log_access::{
    DurableLog, LogEntry, LogError, LogRead, LogTopic, NewEntry, Result, TopicPartition,
};

/// Most bytes in the cache: a small part of the smallest machine's 96 MB.
const CACHE_BYTES: usize = 3 << 20;
/// Most blobs read concurrently, far more than a machine's network link can carry.
const READ_LOCKS: u64 = 16;
/// Most bytes of a record besides its content: length prefixes and key.
const RECORD_OVERHEAD: usize = 260;

/// Appends blobs to the log and reads them through a cache.
pub struct BlobStore {
    log: Arc<DurableLog>,
    committer: BatchCommitter,
    cache: StateMutex<BlobCache>,
    /// Locked by key hash during a read, so that concurrent readers of a blob find it in the cache.
    read_locks: Vec<tokio::sync::Mutex<()>>,
}

#[derive(Default)]
struct BlobCache {
    blobs: HashMap<String, Bytes>,
    order: VecDeque<String>,
    bytes: usize,
}

impl BlobCache {
    /// Inserts a blob and evicts the oldest ones beyond [`CACHE_BYTES`].
    fn insert(&mut self, key: &str, blob: Bytes) {
        self.bytes += blob.len();
        if let Some(known) = self.blobs.insert(key.to_owned(), blob) {
            self.bytes -= known.len();
            return;
        }
        self.order.push_back(key.to_owned());
        while self.bytes > CACHE_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(dropped) = self.blobs.remove(&oldest) {
                self.bytes -= dropped.len();
            }
        }
    }
}

impl BlobStore {
    /// Creates a store that appends through `committer`.
    pub fn new(log: Arc<DurableLog>, committer: BatchCommitter) -> Self {
        Self {
            log,
            committer,
            cache: StateMutex::default(),
            read_locks: (0..READ_LOCKS)
                .map(|_| tokio::sync::Mutex::default())
                .collect(),
        }
    }

    /// Whether a blob of this size can ever be stored: its records are put on the log in one append.
    pub fn fits_append(&self, bytes: usize) -> bool {
        let records = bytes.div_ceil(self.piece_bytes()).max(1);
        let overhead = records.saturating_mul(RECORD_OVERHEAD);
        bytes.saturating_add(overhead) <= self.log.append_bytes
    }

    /// Most bytes of a blob in one record.
    fn piece_bytes(&self) -> usize {
        self.log.entry_bytes.saturating_sub(RECORD_OVERHEAD).max(1)
    }

    /// Appends a blob of a job under a new random key. A blob that nothing refers to does no harm.
    pub async fn put(&self, job: &JobId, bytes: Bytes, urgent: bool) -> Result<BlobRef> {
        self.put_replacing(job, bytes, urgent, &[]).await
    }

    /// Appends a blob and, in the same append, deletes others. Those in other partitions are left,
    /// to be deleted with their job.
    pub async fn put_replacing(
        &self,
        job: &JobId,
        bytes: Bytes,
        urgent: bool,
        replaced: &[BlobRef],
    ) -> Result<BlobRef> {
        let piece_bytes = self.piece_bytes();
        let mut blob = BlobRef {
            key: format!("{job}/{:016x}", rand::random::<u64>()),
            offset: LogOffset(0),
            records: bytes.len().div_ceil(piece_bytes).max(1) as u32,
            bytes: bytes.len() as u64,
            partition: self.committer.partition(),
        };
        // A record without content would delete its key.
        let content = match bytes.is_empty() {
            true => Bytes::from_static(&[0]),
            false => bytes.clone(),
        };
        let pieces = content.chunks(piece_bytes).enumerate();
        let records = pieces.map(|(index, piece)| NewEntry {
            key: blob.record_key(index as u32),
            value: Some(content.slice_ref(piece)),
        });
        let replaced = replaced
            .iter()
            .filter(|replaced| replaced.partition == blob.partition);
        let records = records.chain(replaced.flat_map(deletion_records));
        blob.offset = self
            .committer
            .append_records(records.collect(), urgent)
            .await?;
        self.cache.lock().insert(&blob.key, bytes);
        Ok(blob)
    }

    /// Deletes all records of the blobs from the log, with one append for each of their partitions.
    pub async fn delete(&self, blobs: &[BlobRef]) -> Result<()> {
        let mut deletions: HashMap<TopicPartition, Vec<NewEntry>> = HashMap::new();
        for blob in blobs {
            let partition = deletions.entry(partition_of(blob)).or_default();
            partition.extend(deletion_records(blob));
        }
        for deletion in deletions {
            (self.log.append)(deletion).await?;
        }
        Ok(())
    }

    /// Reads a blob from the cache, by offset, or by key if its offsets were trimmed.
    pub async fn get(&self, blob: &BlobRef) -> Result<Bytes> {
        let shard = hash_bytes(blob.key.as_bytes(), 0) % READ_LOCKS;
        let _read_lock = self.read_locks[shard as usize].lock().await;
        if let Some(cached) = self.cached(&blob.key) {
            return Ok(cached);
        }
        let bytes = match self.read_by_offset(blob).await {
            Err(LogError::Trimmed) => self.read_by_key(blob).await?,
            other => other?,
        };
        self.cache.lock().insert(&blob.key, bytes.clone());
        Ok(bytes)
    }

    fn cached(&self, key: &str) -> Option<Bytes> {
        let cache = self.cache.lock();
        cache.blobs.get(key).cloned()
    }

    async fn read_by_offset(&self, blob: &BlobRef) -> Result<Bytes> {
        let overhead = (RECORD_OVERHEAD as u64) * u64::from(blob.records);
        let max_bytes = blob.bytes.saturating_add(overhead);
        let read = LogRead::new(partition_of(blob), blob.offset).with_max_bytes(max_bytes);
        let slice = (self.log.read)(read).await?;
        match assemble(blob, slice.entries.into_iter()) {
            Some(bytes) => Ok(bytes),
            // The page is incomplete; the records can still be read by key.
            None => Err(LogError::Trimmed),
        }
    }

    async fn read_by_key(&self, blob: &BlobRef) -> Result<Bytes> {
        // The blob's key without a record number sorts before the keys of its records.
        let mut after = blob.key.clone();
        let mut entries = Vec::new();
        while entries.len() < blob.records as usize {
            let page = (self.log.newest_after)((partition_of(blob), after)).await?;
            let before = entries.len();
            after = page
                .last()
                .map_or_else(String::new, |entry| entry.key.clone());
            entries.extend(
                page.into_iter()
                    .filter(|entry| is_record_of(blob, &entry.key)),
            );
            if entries.len() == before {
                break;
            }
        }
        let missing = || LogError::NotDone(format!("blob {:?} not found", blob.key));
        assemble(blob, entries.into_iter()).ok_or_else(missing)
    }
}

fn deletion_records(blob: &BlobRef) -> impl Iterator<Item = NewEntry> {
    (0..blob.records).map(|index| NewEntry {
        key: blob.record_key(index),
        value: None,
    })
}

fn partition_of(blob: &BlobRef) -> TopicPartition {
    TopicPartition {
        topic: LogTopic::Blobs,
        partition: blob.partition,
    }
}

fn is_record_of(blob: &BlobRef, key: &str) -> bool {
    let number = key
        .strip_prefix(&blob.key)
        .and_then(|rest| rest.strip_prefix('/'));
    number.is_some_and(|number| number.parse::<u32>().is_ok())
}

/// Concatenates the records of a blob; `None` if any is missing.
fn assemble(blob: &BlobRef, entries: impl Iterator<Item = LogEntry>) -> Option<Bytes> {
    let entries = entries.filter_map(|entry| Some((entry.key, entry.value?)));
    let mut records: HashMap<String, Bytes> = entries.collect();
    let mut buffer = Vec::new();
    for index in 0..blob.records {
        buffer.extend_from_slice(&records.remove(&blob.record_key(index))?);
    }
    buffer.truncate(blob.bytes as usize);
    (buffer.len() as u64 == blob.bytes).then(|| buffer.into())
}
