//! In-memory append-only log with retention, a rate limit and an entry size limit.

use std::collections::VecDeque;

use amaranth_wire::id::LogOffset;
use amaranth_wire::platform::RawEntry;

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Stored at this offset.
    Appended(LogOffset),
    /// Rejected because the rate limit is reached.
    RateLimited,
    /// Rejected because the entry exceeds the size limit.
    TooLarge,
}

/// Rate, retention and size limits of a log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Most appends in each clock second.
    pub appends_per_second: u64,
    /// Retention of entries, in milliseconds.
    pub retention_ms: u64,
    /// Largest accepted entry, in bytes.
    pub max_entry_bytes: usize,
}

/// Log entries in offset order, and the append count of the current second.
#[derive(Debug)]
pub struct LogStore {
    limits: LogLimits,
    entries: VecDeque<RawEntry>,
    oldest: LogOffset,
    current_second: u64,
    appends_in_second: u64,
}

impl LogStore {
    /// Creates an empty log whose next offset is 0.
    pub fn new(limits: LogLimits) -> Self {
        Self {
            limits,
            entries: VecDeque::new(),
            oldest: LogOffset(0),
            current_second: 0,
            appends_in_second: 0,
        }
    }

    /// Sets the retention, in milliseconds.
    pub fn set_retention_ms(&mut self, retention_ms: u64) {
        self.limits.retention_ms = retention_ms;
    }

    /// The offset of the next append.
    pub fn head(&self) -> LogOffset {
        LogOffset(self.oldest.0 + self.entries.len() as u64)
    }

    /// The oldest retained offset.
    pub fn oldest(&self) -> LogOffset {
        self.oldest
    }

    /// Appends an entry; `now_ms` is its time in Unix milliseconds.
    pub fn append(&mut self, bytes: Vec<u8>, now_ms: u64) -> AppendOutcome {
        if bytes.len() > self.limits.max_entry_bytes {
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

    /// Reads consecutive entries from an offset, up to `max` entries and `max_bytes`. The first
    /// entry is returned even if it alone exceeds `max_bytes`.
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
