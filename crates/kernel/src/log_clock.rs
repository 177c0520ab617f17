//! The log's clock as an instance can know it, without trusting the instance's own calendar.

/// A lower bound on the log's clock: what the log last said, plus the time since it was heard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogClock {
    log_ms: u64,
    heard_ms: u64,
}

impl LogClock {
    /// Takes the log's clock from an answer that arrived at a time of the steady clock. An answer
    /// that took long says less than the time since an earlier one, and is ignored.
    pub fn observe(&mut self, log_ms: u64, steady_ms: u64) {
        if self.now(steady_ms).is_none_or(|now_ms| log_ms > now_ms) {
            *self = Self {
                log_ms,
                heard_ms: steady_ms,
            };
        }
    }

    /// The earliest that the log's clock can show now, Unix milliseconds; `None` before the first
    /// answer.
    pub fn now(&self, steady_ms: u64) -> Option<u64> {
        let known = self.log_ms > 0;
        known.then(|| self.log_ms + steady_ms.saturating_sub(self.heard_ms))
    }
}
