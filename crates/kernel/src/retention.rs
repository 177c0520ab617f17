//! What has to be written to the log again before the log drops it.

use std::collections::{HashMap, VecDeque};

use amaranth_wire::id::{LogOffset, WriterId};
use serde::{Deserialize, Serialize};

/// Samples that are kept of the times of entries.
const SAMPLE_LIMIT: usize = 4_096;
/// Parts of the log's retention after which the state is written again.
const CHECKPOINT_PARTS: u64 = 4;
/// Parts of the log's retention after which items and results are written again.
const CARRY_PARTS: u64 = 2;
/// Bytes of state in one record.
pub const CHECKPOINT_PART_BYTES: usize = 768 << 10;

/// When entries were taken by the log, sampled evenly enough to tell the age of any of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffsetTimes {
    samples: VecDeque<(LogOffset, u64)>,
    spacing_ms: u64,
}

impl OffsetTimes {
    /// Notes an entry and its time, in offset order.
    pub fn note(&mut self, offset: LogOffset, time_ms: u64) {
        let due = |last: &(LogOffset, u64)| {
            offset > last.0 && time_ms >= last.1.saturating_add(self.spacing_ms)
        };
        if !self.samples.back().is_none_or(due) {
            return;
        }
        self.samples.push_back((offset, time_ms));
        if self.samples.len() > SAMPLE_LIMIT {
            let halved = self.samples.iter().step_by(2).copied().collect();
            self.samples = halved;
            self.spacing_ms = (self.spacing_ms * 2).max(1);
        }
    }

    /// A time not after the entry's own: that of the last sample up to it, or 0.
    pub fn time_of(&self, offset: LogOffset) -> u64 {
        let later = self.samples.partition_point(|(at, _)| *at <= offset);
        let sample = later.checked_sub(1).map(|index| self.samples[index]);
        sample.map_or(0, |(_, time_ms)| time_ms)
    }

    /// Forgets entries that the log has dropped.
    pub fn forget_before(&mut self, oldest: LogOffset) {
        while self.samples.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.samples.pop_front();
        }
    }
}

/// How long the log keeps entries, as far as an instance can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionView {
    /// The log's clock, Unix milliseconds.
    pub now_ms: u64,
    /// What the settings say, in milliseconds.
    pub configured_ms: u64,
    /// The oldest offset still kept.
    pub oldest: LogOffset,
    /// When the log took it, Unix milliseconds.
    pub oldest_ms: u64,
}

impl RetentionView {
    /// The shorter of what the settings say and what the log does, in milliseconds.
    pub fn kept_ms(&self) -> u64 {
        match self.oldest {
            LogOffset(0) => self.configured_ms,
            _ => {
                let observed_ms = self.now_ms.saturating_sub(self.oldest_ms);
                observed_ms.min(self.configured_ms)
            }
        }
    }

    /// Whether the state should be written again, given the time up to which the last written
    /// state goes; `None` if there is none.
    pub fn is_checkpoint_due(&self, last_ms: Option<u64>) -> bool {
        let since_ms = last_ms.map(|last_ms| self.now_ms.saturating_sub(last_ms));
        since_ms.is_none_or(|since_ms| since_ms >= self.kept_ms() / CHECKPOINT_PARTS)
    }

    /// Items and results in entries older than this have to be written again.
    pub fn carry_before_ms(&self) -> u64 {
        self.now_ms.saturating_sub(self.kept_ms() / CARRY_PARTS)
    }
}

/// Names a written state: who wrote it and up to which offset it goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CheckpointName {
    /// The first offset that it does not cover.
    pub as_of: LogOffset,
    /// Who wrote it.
    pub writer: WriterId,
}

/// Parts of written states, gathered while entries are read.
#[derive(Debug, Clone, Default)]
pub struct CheckpointParts {
    pending: HashMap<CheckpointName, Vec<Option<Vec<u8>>>>,
    latest: Option<(CheckpointName, Vec<u8>)>,
}

impl CheckpointParts {
    /// Takes a part.
    pub fn add(&mut self, name: CheckpointName, part: u32, parts: u32, bytes: &[u8]) {
        let newest = self.latest.as_ref().map(|(latest, _)| *latest);
        if newest >= Some(name) || part >= parts {
            return;
        }
        let slots = self.pending.entry(name).or_default();
        slots.resize(parts as usize, None);
        slots[part as usize] = Some(bytes.to_vec());
        if slots.iter().all(Option::is_some) {
            let whole = slots.iter().flatten().flatten().copied().collect();
            self.latest = Some((name, whole));
            self.pending.retain(|other, _| *other > name);
        }
    }

    /// The newest whole state.
    pub fn latest(&self) -> Option<(CheckpointName, &[u8])> {
        let (name, bytes) = self.latest.as_ref()?;
        Some((*name, bytes))
    }
}
