//! The log's entries: appended in order, kept for a limited time, taken at a limited rate.

use std::collections::VecDeque;

use amaranth_wire::id::LogOffset;
use amaranth_wire::platform::RawEntry;

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It stands at this offset.
    Appended(LogOffset),
    /// The rate limit is reached; nothing was appended.
    RateLimited,
    /// The entry is too large; nothing was appended.
    TooLarge,
}

/// Limits of a log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Appends a second, over any whole second.
    pub appends_per_second: u64,
    /// How long entries are kept, in milliseconds.
    pub retention_ms: u64,
    /// Largest entry, in bytes.
    pub entry_bytes: usize,
}

/// An append-only log in memory.
#[derive(Debug)]
pub struct LogStore {
    limits: LogLimits,
    entries: VecDeque<RawEntry>,
    oldest: LogOffset,
    current_second: u64,
    appends_in_second: u64,
}

impl LogStore {
    /// An empty log.
    pub fn new(limits: LogLimits) -> Self {
        Self {
            limits,
            entries: VecDeque::new(),
            oldest: LogOffset(0),
            current_second: 0,
            appends_in_second: 0,
        }
    }

    /// Replaces the time that entries are kept, in milliseconds.
    pub fn set_retention_ms(&mut self, retention_ms: u64) {
        self.limits.retention_ms = retention_ms;
    }

    /// The offset that the next append will get.
    pub fn head(&self) -> LogOffset {
        LogOffset(self.oldest.0 + self.entries.len() as u64)
    }

    /// The oldest offset that is still kept.
    pub fn oldest(&self) -> LogOffset {
        self.oldest
    }

    /// Appends an entry at a time in Unix milliseconds.
    pub fn append(&mut self, bytes: Vec<u8>, now_ms: u64) -> AppendOutcome {
        if bytes.len() > self.limits.entry_bytes {
            return AppendOutcome::TooLarge;
        }
        if !self.take_permit(now_ms) {
            return AppendOutcome::RateLimited;
        }
        self.expire(now_ms);
        let offset = self.head();
        self.entries.push_back(RawEntry {
            offset,
            time_ms: now_ms,
            bytes,
        });
        AppendOutcome::Appended(offset)
    }

    /// Consecutive entries from an offset, at most so many entries and about so many bytes.
    pub fn read(
        &mut self,
        from: LogOffset,
        max: usize,
        max_bytes: usize,
        now_ms: u64,
    ) -> Vec<RawEntry> {
        self.expire(now_ms);
        let skip = from.0.saturating_sub(self.oldest.0) as usize;
        let mut bytes = 0;
        let wanted = self.entries.iter().skip(skip).take(max);
        let fitting = wanted.take_while(|entry| {
            let fits = bytes == 0 || bytes + entry.bytes.len() <= max_bytes;
            bytes += entry.bytes.len();
            fits
        });
        fitting.cloned().collect()
    }

    fn take_permit(&mut self, now_ms: u64) -> bool {
        let current_second = now_ms / 1_000;
        if current_second != self.current_second {
            self.current_second = current_second;
            self.appends_in_second = 0;
        }
        self.appends_in_second += 1;
        self.appends_in_second <= self.limits.appends_per_second
    }

    fn expire(&mut self, now_ms: u64) {
        let keep_from = now_ms.saturating_sub(self.limits.retention_ms);
        while self.entries.front().is_some_and(|e| e.time_ms < keep_from) {
            self.entries.pop_front();
            self.oldest = self.oldest.next();
        }
    }
}
