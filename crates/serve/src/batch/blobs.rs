//! Bodies and outputs of items: written once, read where they are asked for. A small part that was
//! used lately is kept in memory.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use amaranth_kernel::hashing::hash_bytes;
use amaranth_wire::batch_entry::BlobRef;
use amaranth_wire::id::{JobId, LogOffset};
use bytes::Bytes;

use crate::batch::commit::BatchCommitter;
use crate::log_access::{DurableLog, LogEntry, LogError, LogRead, LogTopic, NewEntry, Result};

/// Most bytes that are kept: a small part of the smallest machine's 96 MB.
const CACHE_BYTES: usize = 3 << 20;
/// Blobs that are read at once at the most: far over what a machine's link carries.
const READ_SHARDS: u64 = 16;
/// Bytes of a record besides its content: lengths and key.
const RECORD_OVERHEAD: usize = 260;

/// Reads and writes blobs.
pub struct BlobStore {
    log: Arc<DurableLog>,
    committer: BatchCommitter,
    cache: Mutex<BlobCache>,
    /// Held while a blob is read, by the hash of its key: who else wants it finds it kept.
    reads: Vec<tokio::sync::Mutex<()>>,
}

#[derive(Default)]
struct BlobCache {
    blobs: HashMap<String, Bytes>,
    order: VecDeque<String>,
    bytes: usize,
}

impl BlobCache {
    /// Keeps a blob and drops the oldest ones beyond the bound.
    fn add(&mut self, key: &str, blob: Bytes) {
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
    /// A store that appends by this committer.
    pub fn new(log: Arc<DurableLog>, committer: BatchCommitter) -> Self {
        Self {
            log,
            committer,
            cache: Mutex::default(),
            reads: (0..READ_SHARDS)
                .map(|_| tokio::sync::Mutex::default())
                .collect(),
        }
    }

    /// Appends a blob of a job under a key of its own. One that is never referred to does no harm.
    pub async fn put(&self, job: &JobId, bytes: Vec<u8>, urgent: bool) -> Result<BlobRef> {
        let bytes = Bytes::from(bytes);
        let piece_bytes = self.log.entry_bytes.saturating_sub(RECORD_OVERHEAD).max(1);
        let mut blob = BlobRef {
            key: format!("{job}/{:016x}", rand::random::<u64>()),
            offset: LogOffset(0),
            records: bytes.len().div_ceil(piece_bytes).max(1) as u32,
            bytes: bytes.len() as u64,
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
        blob.offset = self
            .committer
            .append_records(records.collect(), urgent)
            .await?;
        self.cache
            .lock()
            .expect("not poisoned")
            .add(&blob.key, bytes);
        Ok(blob)
    }

    /// Deletes blobs.
    pub async fn delete(&self, blobs: &[BlobRef]) -> Result<()> {
        let records = blobs.iter().flat_map(|blob| {
            (0..blob.records).map(|index| NewEntry {
                key: blob.record_key(index),
                value: None,
            })
        });
        self.committer
            .append_records(records.collect(), false)
            .await?;
        Ok(())
    }

    /// Reads a blob.
    pub async fn get(&self, blob: &BlobRef) -> Result<Bytes> {
        let shard = hash_bytes(blob.key.as_bytes(), 0) % READ_SHARDS;
        let _read = self.reads[shard as usize].lock().await;
        if let Some(kept) = self.kept(&blob.key) {
            return Ok(kept);
        }
        let bytes = match self.read_by_offset(blob).await {
            Err(LogError::Trimmed) => self.read_by_key(blob).await?,
            other => other?,
        };
        self.cache
            .lock()
            .expect("not poisoned")
            .add(&blob.key, bytes.clone());
        Ok(bytes)
    }

    fn kept(&self, key: &str) -> Option<Bytes> {
        let cache = self.cache.lock().expect("not poisoned");
        cache.blobs.get(key).cloned()
    }

    async fn read_by_offset(&self, blob: &BlobRef) -> Result<Bytes> {
        let most = blob.bytes + (RECORD_OVERHEAD as u64) * u64::from(blob.records);
        let read = LogRead::new(LogTopic::Blobs, blob.offset).with_most_bytes(most);
        let slice = (self.log.read)(read).await?;
        match assemble(blob, slice.entries.into_iter()) {
            Some(bytes) => Ok(bytes),
            // A short page: the records are also there by key.
            None => Err(LogError::Trimmed),
        }
    }

    async fn read_by_key(&self, blob: &BlobRef) -> Result<Bytes> {
        // The key without a number comes before the keys of its records.
        let mut after = blob.key.clone();
        let mut entries = Vec::new();
        while entries.len() < blob.records as usize {
            let page = (self.log.newest_after)((LogTopic::Blobs, after)).await?;
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
        let missing = || LogError::NotDone(format!("no blob {:?}", blob.key));
        assemble(blob, entries.into_iter()).ok_or_else(missing)
    }
}

fn is_record_of(blob: &BlobRef, key: &str) -> bool {
    let number = key
        .strip_prefix(&blob.key)
        .and_then(|rest| rest.strip_prefix('/'));
    number.is_some_and(|number| number.parse::<u32>().is_ok())
}

/// Puts the records of a blob together, if all are there.
fn assemble(blob: &BlobRef, entries: impl Iterator<Item = LogEntry>) -> Option<Bytes> {
    let entries = entries.filter_map(|entry| Some((entry.key, entry.value?)));
    let mut records: HashMap<String, Bytes> = entries.collect();
    let mut whole = Vec::with_capacity(blob.bytes as usize);
    for index in 0..blob.records {
        whole.extend_from_slice(&records.remove(&blob.record_key(index))?);
    }
    whole.truncate(blob.bytes as usize);
    (whole.len() as u64 == blob.bytes).then(|| whole.into())
}
