//! Log retention: when live data and checkpoints must be rewritten before the log drops the entries
//! that hold them.

use std::collections::{HashMap, VecDeque};

use amaranth_wire::id::{LogOffset, WriterId};
use serde::{Deserialize, Serialize};

/// Maximum number of samples in [`OffsetTimes`].
const MAX_SAMPLES: usize = 4_096;
/// A checkpoint is due after the retention time divided by this.
const CHECKPOINT_RETENTION_DIVISOR: u64 = 4;
/// Items and results are rewritten at an age of the retention time divided by this.
const REWRITE_RETENTION_DIVISOR: u64 = 2;
/// Maximum bytes of a checkpoint in one record.
pub const CHECKPOINT_PART_BYTES: usize = 768 << 10;

/// Sampled times at which the log appended entries, for estimating the age of any offset. When
/// full, every other sample is dropped and the spacing doubles.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffsetTimes {
    samples: VecDeque<(LogOffset, u64)>,
    spacing_ms: u64,
}

impl OffsetTimes {
    /// Records the time of an entry if a sample is due. Calls must be in offset order.
    pub fn record_time(&mut self, offset: LogOffset, time_ms: u64) {
        let is_due = |last: &(LogOffset, u64)| {
            offset > last.0 && time_ms >= last.1.saturating_add(self.spacing_ms)
        };
        if !self.samples.back().is_none_or(is_due) {
            return;
        }
        self.samples.push_back((offset, time_ms));
        if self.samples.len() > MAX_SAMPLES {
            let halved = self.samples.iter().step_by(2).copied().collect();
            self.samples = halved;
            self.spacing_ms = (self.spacing_ms * 2).max(1);
        }
    }

    /// A lower bound on the entry's time: that of the last sample up to the offset, or 0 if there
    /// is none.
    pub fn time_of(&self, offset: LogOffset) -> u64 {
        let next_index = self.samples.partition_point(|(at, _)| *at <= offset);
        let sample = next_index.checked_sub(1).map(|index| self.samples[index]);
        sample.map_or(0, |(_, time_ms)| time_ms)
    }

    /// Drops samples that are not needed for offsets from `oldest` on.
    pub fn truncate_before(&mut self, oldest: LogOffset) {
        while self.samples.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.samples.pop_front();
        }
    }
}

/// The log's configured and observed retention, as known to one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionView {
    /// The log's clock, Unix milliseconds.
    pub now_ms: u64,
    /// Retention according to the settings, in milliseconds.
    pub configured_ms: u64,
    /// The oldest offset that the log still has.
    pub oldest: LogOffset,
    /// Time at which that entry was appended, Unix milliseconds.
    pub oldest_ms: u64,
}

impl RetentionView {
    /// Effective retention in milliseconds: the shorter of the configured and the observed one.
    /// Only the configured one is known until the log drops its first entry.
    pub fn retention_ms(&self) -> u64 {
        match self.oldest {
            LogOffset(0) => self.configured_ms,
            _ => {
                let observed_ms = self.now_ms.saturating_sub(self.oldest_ms);
                observed_ms.min(self.configured_ms)
            }
        }
    }

    /// Whether a new checkpoint is due, given the time up to which the last one covers the log, or
    /// `None` without one.
    pub fn is_checkpoint_due(&self, last_ms: Option<u64>) -> bool {
        let since_ms = last_ms.map(|last_ms| self.now_ms.saturating_sub(last_ms));
        since_ms
            .is_none_or(|since_ms| since_ms >= self.retention_ms() / CHECKPOINT_RETENTION_DIVISOR)
    }

    /// Items and results in entries older than this time, Unix milliseconds, must be rewritten.
    pub fn rewrite_before_ms(&self) -> u64 {
        self.now_ms
            .saturating_sub(self.retention_ms() / REWRITE_RETENTION_DIVISOR)
    }
}

/// Identifies a checkpoint. Ordered by the offset that it covers, then by its writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CheckpointName {
    /// The first offset that it does not cover.
    pub as_of: LogOffset,
    /// Writer of the checkpoint.
    pub writer: WriterId,
}

/// Assembles checkpoints from the parts that are read from the log.
#[derive(Debug, Clone, Default)]
pub struct CheckpointAssembler {
    pending: HashMap<CheckpointName, Vec<Option<Vec<u8>>>>,
    latest: Option<(CheckpointName, Vec<u8>)>,
}

impl CheckpointAssembler {
    /// Adds part number `part` of `parts`. Ignores it if it is out of range or not newer than the
    /// latest complete checkpoint.
    pub fn add_part(&mut self, name: CheckpointName, part: u32, parts: u32, bytes: &[u8]) {
        let newest = self.latest.as_ref().map(|(latest, _)| *latest);
        if newest >= Some(name) || part >= parts {
            return;
        }
        let slots = self.pending.entry(name).or_default();
        slots.resize(parts as usize, None);
        slots[part as usize] = Some(bytes.to_vec());
        if slots.iter().all(Option::is_some) {
            let state = slots.iter().flatten().flatten().copied().collect();
            self.latest = Some((name, state));
            self.pending.retain(|other, _| *other > name);
        }
    }

    /// The newest complete checkpoint and its bytes.
    pub fn latest(&self) -> Option<(CheckpointName, &[u8])> {
        let (name, bytes) = self.latest.as_ref()?;
        Some((*name, bytes))
    }
}
