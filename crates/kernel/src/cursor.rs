//! Position in the log while replaying it, and detection of batches that were appended twice.

use std::collections::HashMap;

use amaranth_wire::id::{LogOffset, WriterId};
use amaranth_wire::record::RecordEntry;
use serde::{Deserialize, Serialize};

/// Time after a writer's last batch at which its sequence number expires, in milliseconds of the
/// log's clock. Longer than any writer keeps resending one batch.
const WRITER_TTL_MS: u64 = 3_600_000;
/// Number of log offsets between two removals of idle writers.
const WRITER_EXPIRY_INTERVAL: u64 = 4_096;

/// Writer id of batches without deduplication, such as those of operators' tools. Their records
/// name commands, which take effect only once anyway.
const UNTRACKED_WRITER: WriterId = WriterId(0);

/// How an entry relates to the cursor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryVerdict {
    /// The next entry, with a new batch: apply its records.
    Apply,
    /// The next entry, with a batch that is already on the log: skip its records.
    Duplicate,
    /// An entry before the cursor, which was handled already.
    Past,
    /// An entry after the cursor; the entries between are missing.
    Gap,
}

/// Sequence number, offset and time of the last batch of one writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct WriterPosition {
    sequence: u64,
    offset: LogOffset,
    time_ms: u64,
}

/// The next offset to replay, and the last batch of each recently active writer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldCursor {
    next: LogOffset,
    writers: HashMap<WriterId, WriterPosition>,
}

impl FoldCursor {
    /// Creates a cursor at an offset, without any writers.
    pub fn new(next: LogOffset) -> Self {
        Self {
            next,
            writers: HashMap::new(),
        }
    }

    /// The offset of the next entry to replay.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Sequence number and offset of the last batch of a writer that was not a duplicate.
    pub fn last_batch(&self, writer: WriterId) -> Option<(u64, LogOffset)> {
        let position = self.writers.get(&writer)?;
        Some((position.sequence, position.offset))
    }

    /// Moves forward to `oldest` because earlier entries can no longer be read. Never moves back.
    pub fn advance_to(&mut self, oldest: LogOffset) {
        self.next = self.next.max(oldest);
    }

    /// Moves past an entry that is not a valid batch, if it is the next one.
    pub fn skip(&mut self, offset: LogOffset) {
        if offset == self.next {
            self.next = offset.next();
        }
    }

    /// Classifies an entry and, if it is the next one, moves past it.
    pub fn admit(&mut self, entry: &RecordEntry) -> EntryVerdict {
        if entry.offset < self.next {
            return EntryVerdict::Past;
        }
        if entry.offset > self.next {
            return EntryVerdict::Gap;
        }
        self.next = entry.offset.next();
        self.remove_idle_writers(entry);
        if entry.batch.writer == UNTRACKED_WRITER {
            return EntryVerdict::Apply;
        }
        let position = WriterPosition {
            sequence: entry.batch.sequence,
            offset: entry.offset,
            time_ms: entry.time_ms,
        };
        match self.writers.get(&entry.batch.writer) {
            Some(seen) if seen.sequence >= position.sequence => EntryVerdict::Duplicate,
            _ => {
                self.writers.insert(entry.batch.writer, position);
                EntryVerdict::Apply
            }
        }
    }

    fn remove_idle_writers(&mut self, entry: &RecordEntry) {
        if entry.offset.0.is_multiple_of(WRITER_EXPIRY_INTERVAL) {
            let oldest = entry.time_ms.saturating_sub(WRITER_TTL_MS);
            self.writers
                .retain(|_, position| position.time_ms >= oldest);
        }
    }
}
