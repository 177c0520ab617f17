//! Encodes entries of the batch topic as keyed records. An entry larger than a record is split.
//! Every append of an entry uses a new key: the log keeps the newest record of a key, so appending
//! under the old one would move the offset at which the entry was first seen.

use std::collections::HashMap;

use amaranth_kernel::hashing::hash_bytes;
use amaranth_wire::batch_entry::BatchEntry;
use amaranth_wire::id::{JobId, LogOffset};
use bytes::Bytes;

use crate::log_access::{LogEntry, LogTopic, NewEntry};

/// Most bytes of a record's key.
const MAX_KEY_BYTES: usize = 255;
/// Most pieces of an entry that are accepted, so that a key alone can't claim much memory.
const MAX_PIECES: usize = 4_096;

/// Splits an entry into records under a new random key.
pub fn split(entry: &BatchEntry, job: &JobId, entry_bytes: usize) -> Vec<NewEntry> {
    let nonce: u64 = rand::random();
    let bytes = Bytes::from(entry.encode());
    let piece_bytes = entry_bytes.saturating_sub(MAX_KEY_BYTES + 1).max(1);
    let pieces: Vec<&[u8]> = bytes.chunks(piece_bytes).collect();
    let count = pieces.len();
    let records = pieces
        .into_iter()
        .enumerate()
        .map(|(index, piece)| NewEntry {
            key: format!("{job}/{nonce:016x}/{index}/{count}"),
            value: Some(bytes.slice_ref(piece)),
        });
    records.collect()
}

/// Returns records for another append. Records of entries get a new key. Blobs keep theirs, as they
/// are looked up by it, and so do deletions, which are records without content.
pub fn with_new_keys(topic: LogTopic, records: &[NewEntry]) -> Vec<NewEntry> {
    let nonce: u64 = rand::random();
    let renew = |record: &NewEntry| match (topic, parse_key(&record.key)) {
        (LogTopic::Batch, Some(key)) if record.value.is_some() => {
            let RecordKey {
                entry,
                index,
                count,
                ..
            } = key;
            // Hashing the old key keeps the entries of one append distinct.
            let old = hash_bytes(entry.as_bytes(), nonce);
            NewEntry {
                key: format!("{}/{old:016x}/{index}/{count}", key.job),
                value: record.value.clone(),
            }
        }
        _ => record.clone(),
    };
    records.iter().map(renew).collect()
}

struct RecordKey<'a> {
    job: &'a str,
    entry: &'a str,
    index: usize,
    count: usize,
}

fn parse_key(key: &str) -> Option<RecordKey<'_>> {
    let (entry, numbers) = key.rsplit_once('/').and_then(|(rest, count)| {
        let (entry, index) = rest.rsplit_once('/')?;
        Some((entry, (index, count)))
    })?;
    let (job, _) = entry.split_once('/')?;
    Some(RecordKey {
        job,
        entry,
        index: numbers.0.parse().ok()?,
        count: numbers.1.parse().ok()?,
    })
}

/// Result of adding a record.
#[derive(Debug)]
pub enum AssemblyResult {
    /// An entry is complete, at the offset of its last piece.
    Entry(LogOffset, Box<BatchEntry>),
    /// More pieces of the entry are needed.
    Partial,
    /// The job's records are deleted.
    Deleted(JobId),
    /// The key or the content can't be decoded; holds the reason.
    Malformed(String),
}

struct PartialEntry {
    pieces: Vec<Option<Bytes>>,
    offset: LogOffset,
}

/// Reassembles entries from their records.
#[derive(Default)]
pub struct EntryAssembler {
    partial: HashMap<String, PartialEntry>,
}

impl EntryAssembler {
    /// Adds a record, and returns the entry that it completes, if any.
    pub fn add(&mut self, record: LogEntry) -> AssemblyResult {
        let Some(key) = parse_key(&record.key) else {
            return AssemblyResult::Malformed(format!("key {:?}", record.key));
        };
        let Some(value) = record.value else {
            return match key.job.parse() {
                Ok(job) => AssemblyResult::Deleted(job),
                Err(_) => AssemblyResult::Malformed(format!("job {:?}", key.job)),
            };
        };
        if key.count == 1 {
            return decode(&value, record.offset);
        }
        if key.index >= key.count || key.count > MAX_PIECES {
            return AssemblyResult::Malformed(format!("key {:?}", record.key));
        }
        let (index, entry) = (key.index, key.entry.to_owned());
        let partial = self
            .partial
            .entry(entry.clone())
            .or_insert_with(|| PartialEntry {
                pieces: vec![None; key.count],
                offset: record.offset,
            });
        let Some(slot) = partial.pieces.get_mut(index) else {
            return AssemblyResult::Malformed(format!("key {:?}", record.key));
        };
        *slot = Some(value);
        partial.offset = partial.offset.max(record.offset);
        if partial.pieces.iter().any(Option::is_none) {
            return AssemblyResult::Partial;
        }
        let complete = self.partial.remove(&entry).expect("inserted above");
        let bytes: Vec<u8> = complete.pieces.into_iter().flatten().flatten().collect();
        decode(&bytes, complete.offset)
    }
}

fn decode(bytes: &[u8], offset: LogOffset) -> AssemblyResult {
    match BatchEntry::decode(bytes) {
        Ok(entry) => AssemblyResult::Entry(offset, Box::new(entry)),
        Err(e) => AssemblyResult::Malformed(e.to_string()),
    }
}
