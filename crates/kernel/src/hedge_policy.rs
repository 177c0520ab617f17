//! Decides when an append without a reply is sent again.
//!
//! Two failures look alike to a writer: replies that are lost, where a second append soon after the
//! first helps, and a log that is slow because its queue is long, where each further append makes
//! the queue longer. The policy tells them apart by the replies that do arrive: the delay before a
//! hedge grows with their latency, and a budget, refilled by appends that needed no hedge, limits
//! the share of hedges. Plays the load of hundreds of writers on one partition.

/// Least delay before a hedge, in milliseconds: many times the usual 4 ms of an append.
pub const MIN_HEDGE_DELAY_MS: u64 = 100;
/// Most delay before a hedge, in milliseconds: the timeout of a call, after which its reply is lost.
pub const MAX_HEDGE_DELAY_MS: u64 = 1_200;
/// Delay of a hedge as a multiple of the recent latency of replies.
const LATENCY_MULTIPLE: u64 = 4;
/// Part of the recent latency that one lower reply replaces. A higher reply replaces all of it, so
/// that a log that turns slow is noticed with the first reply.
const DECAY_DIVISOR: u64 = 4;
/// Hedges that the budget holds at most. Small, since all writers may spend theirs at once.
const MAX_TOKENS: f64 = 2.0;
/// Hedges that an append without a hedge adds to the budget.
const TOKENS_PER_APPEND: f64 = 0.5;

/// Hedging state of one writer of a partition.
#[derive(Debug, Clone, PartialEq)]
pub struct HedgePolicy {
    recent_latency_ms: u64,
    tokens: f64,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl HedgePolicy {
    /// Creates a policy with a full budget that has seen no reply.
    pub fn new() -> Self {
        Self {
            recent_latency_ms: 0,
            tokens: MAX_TOKENS,
        }
    }

    /// Delay before the next hedge, in milliseconds since the latest attempt; it grows by half
    /// with each hedge that was already sent.
    pub fn delay_ms(&self, hedges: u32) -> u64 {
        let delay_ms = self.recent_latency_ms.saturating_mul(LATENCY_MULTIPLE);
        let delay_ms = delay_ms.clamp(MIN_HEDGE_DELAY_MS, MAX_HEDGE_DELAY_MS);
        delay_ms + delay_ms / 2 * u64::from(hedges)
    }

    /// Takes a hedge from the budget. Returns whether it may be sent.
    pub fn take_hedge(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Records the latency of a reply, in milliseconds since its own attempt was sent.
    pub fn record_reply(&mut self, latency_ms: u64) {
        let excess_ms = self.recent_latency_ms.saturating_sub(latency_ms);
        self.recent_latency_ms = match excess_ms {
            0 => latency_ms,
            excess_ms => self.recent_latency_ms - excess_ms.div_ceil(DECAY_DIVISOR),
        };
    }

    /// Records an append that was answered without a hedge, which refills the budget.
    pub fn record_unhedged_append(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_APPEND).min(MAX_TOKENS);
    }
}
