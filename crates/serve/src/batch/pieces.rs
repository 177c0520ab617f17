//! Entries of the batch topic as keyed records. An entry that is larger than a record is split;
//! every append of an entry uses a key of its own, so that no later append moves the offset at
//! which the entry was first seen.

use std::collections::HashMap;

use amaranth_kernel::hashing::hash_bytes;
use amaranth_wire::batch_entry::BatchEntry;
use amaranth_wire::id::{JobId, LogOffset};
use bytes::Bytes;

use crate::log_access::{LogEntry, LogTopic, NewEntry};

/// Bytes of a record that its key may take.
const KEY_BYTES: usize = 255;

/// Splits an entry into records under a key that was not used before.
pub fn split(entry: &BatchEntry, job: &JobId, entry_bytes: usize) -> Vec<NewEntry> {
    let nonce: u64 = rand::random();
    let bytes = Bytes::from(entry.encode());
    let piece_bytes = entry_bytes.saturating_sub(KEY_BYTES + 1).max(1);
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

/// Records to be appended once more. Those of entries get a new key; blobs are found by their keys.
/// Records without content delete theirs and keep it.
pub fn with_new_keys(topic: LogTopic, records: &[NewEntry]) -> Vec<NewEntry> {
    let nonce: u64 = rand::random();
    let renew = |record: &NewEntry| match (topic, parse_key(&record.key)) {
        (LogTopic::Batch, Some(key)) if record.value.is_some() => {
            let PieceKey {
                entry,
                index,
                count,
                ..
            } = key;
            // The old number keeps the entries of one append apart.
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

struct PieceKey<'a> {
    job: &'a str,
    entry: &'a str,
    index: usize,
    count: usize,
}

fn parse_key(key: &str) -> Option<PieceKey<'_>> {
    let (entry, numbers) = key.rsplit_once('/').and_then(|(rest, count)| {
        let (entry, index) = rest.rsplit_once('/')?;
        Some((entry, (index, count)))
    })?;
    let (job, _) = entry.split_once('/')?;
    Some(PieceKey {
        job,
        entry,
        index: numbers.0.parse().ok()?,
        count: numbers.1.parse().ok()?,
    })
}

/// What a record brought.
#[derive(Debug)]
pub enum PieceStep {
    /// An entry is whole, at the offset of its last piece.
    Entry(LogOffset, BatchEntry),
    /// More pieces of it are needed.
    Partial,
    /// The job's records are deleted.
    Deleted(JobId),
    /// It is not a record of ours, or can't be read.
    Malformed(String),
}

struct PartialEntry {
    pieces: Vec<Option<Bytes>>,
    offset: LogOffset,
}

/// Puts entries together.
#[derive(Default)]
pub struct PieceAssembly {
    partial: HashMap<String, PartialEntry>,
}

impl PieceAssembly {
    /// Takes in a record.
    pub fn add(&mut self, record: LogEntry) -> PieceStep {
        let Some(key) = parse_key(&record.key) else {
            return PieceStep::Malformed(format!("key {:?}", record.key));
        };
        let Some(value) = record.value else {
            return match key.job.parse() {
                Ok(job) => PieceStep::Deleted(job),
                Err(_) => PieceStep::Malformed(format!("job {:?}", key.job)),
            };
        };
        if key.count == 1 {
            return decode(&value, record.offset);
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
            return PieceStep::Malformed(format!("key {:?}", record.key));
        };
        *slot = Some(value);
        partial.offset = partial.offset.max(record.offset);
        if partial.pieces.iter().any(Option::is_none) {
            return PieceStep::Partial;
        }
        let whole = self.partial.remove(&entry).expect("it was just found");
        let bytes: Vec<u8> = whole.pieces.into_iter().flatten().flatten().collect();
        decode(&bytes, whole.offset)
    }
}

fn decode(bytes: &[u8], offset: LogOffset) -> PieceStep {
    match BatchEntry::decode(bytes) {
        Ok(entry) => PieceStep::Entry(offset, entry),
        Err(e) => PieceStep::Malformed(e.to_string()),
    }
}
