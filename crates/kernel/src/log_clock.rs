//! An estimate of the log's clock that does not depend on the instance's wall clock.

/// A lower bound on the log's clock: the time in a reply of the log plus the monotonic time since
/// the reply arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogClock {
    log_ms: u64,
    received_ms: u64,
}

impl LogClock {
    /// Records the log's time from a reply that arrived at `steady_ms` of the monotonic clock. A
    /// reply that does not raise the estimate, such as a slow one, is ignored.
    pub fn observe(&mut self, log_ms: u64, steady_ms: u64) {
        if self.now(steady_ms).is_none_or(|now_ms| log_ms > now_ms) {
            *self = Self {
                log_ms,
                received_ms: steady_ms,
            };
        }
    }

    /// The lower bound at `steady_ms`, Unix milliseconds; `None` before the first reply.
    pub fn now(&self, steady_ms: u64) -> Option<u64> {
        let has_reply = self.log_ms > 0;
        has_reply.then(|| self.log_ms + steady_ms.saturating_sub(self.received_ms))
    }
}
