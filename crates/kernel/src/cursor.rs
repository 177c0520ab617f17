//! Position in the log and recognition of batches that were appended twice.

use std::collections::HashMap;

use amaranth_wire::id::{LogOffset, WriterId};
use amaranth_wire::record::RecordEntry;
use serde::{Deserialize, Serialize};

/// How long a silent writer's last sequence number is remembered, in milliseconds of the log's
/// clock. Longer than any writer keeps resending one batch.
const WRITER_MEMORY_MS: u64 = 3_600_000;
/// How many entries are folded between two sweeps of silent writers.
const SWEEP_EVERY: u64 = 4_096;

/// Writer of batches that are not counted, such as those of operators' own tools. Their records
/// name commands, which act once by themselves.
const UNCOUNTED_WRITER: WriterId = WriterId(0);

/// What to do with an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryVerdict {
    /// Its records are new.
    Apply,
    /// The same batch stands earlier on the log; its records are skipped.
    Duplicate,
    /// The entry was folded before.
    Past,
    /// Entries before this one are missing.
    Gap,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct WriterMark {
    sequence: u64,
    offset: LogOffset,
    time_ms: u64,
}

/// Where the fold stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldCursor {
    next: LogOffset,
    writers: HashMap<WriterId, WriterMark>,
}

impl FoldCursor {
    /// A cursor before the given offset.
    pub fn new(next: LogOffset) -> Self {
        Self {
            next,
            writers: HashMap::new(),
        }
    }

    /// The offset to fold next.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// The last batch of a writer that counts: its sequence number and where it stands.
    pub fn last_of(&self, writer: WriterId) -> Option<(u64, LogOffset)> {
        let mark = self.writers.get(&writer)?;
        Some((mark.sequence, mark.offset))
    }

    /// Goes on at a later offset, because the entries before it can no longer be read.
    pub fn jump(&mut self, oldest: LogOffset) {
        self.next = self.next.max(oldest);
    }

    /// Moves over an entry that is not a batch.
    pub fn skip(&mut self, offset: LogOffset) {
        if offset == self.next {
            self.next = offset.next();
        }
    }

    /// Judges an entry and moves over it unless entries are missing before it.
    pub fn admit(&mut self, entry: &RecordEntry) -> EntryVerdict {
        if entry.offset < self.next {
            return EntryVerdict::Past;
        }
        if entry.offset > self.next {
            return EntryVerdict::Gap;
        }
        self.next = entry.offset.next();
        self.sweep(entry);
        if entry.batch.writer == UNCOUNTED_WRITER {
            return EntryVerdict::Apply;
        }
        let mark = WriterMark {
            sequence: entry.batch.sequence,
            offset: entry.offset,
            time_ms: entry.time_ms,
        };
        match self.writers.get(&entry.batch.writer) {
            Some(seen) if seen.sequence >= mark.sequence => EntryVerdict::Duplicate,
            _ => {
                self.writers.insert(entry.batch.writer, mark);
                EntryVerdict::Apply
            }
        }
    }

    fn sweep(&mut self, entry: &RecordEntry) {
        if entry.offset.0.is_multiple_of(SWEEP_EVERY) {
            let oldest = entry.time_ms.saturating_sub(WRITER_MEMORY_MS);
            self.writers.retain(|_, mark| mark.time_ms >= oldest);
        }
    }
}
