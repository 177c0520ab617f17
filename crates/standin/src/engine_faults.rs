//! Faults that the engine and service stand-ins inject on request.

use serde::{Deserialize, Serialize};

/// Active faults. A `POST` to `/faults` replaces all of them; an omitted key means no such fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Rejects new requests with 503 before they run.
    pub refuse: bool,
    /// Percentage of requests that are answered 500 before they run.
    pub error_percent: u8,
    /// Keeps every connection open without answering while set.
    pub freeze: bool,
    /// Permanently stops answering on the connections that are open now; new ones work.
    pub silence_existing: bool,
    /// Multiplies step times and service times.
    pub slow_factor: f64,
    /// Breaks a stream's connection after this many tokens.
    pub break_after_tokens: Option<u32>,
    /// Discards a stream broken by `break_after_tokens`, so that it can't be resumed.
    pub lose_broken: bool,
    /// Breaks the connection of an order that was accepted instead of answering.
    pub lose_order_replies: bool,
    /// Percentage of service calls that run and whose connection then breaks without an answer.
    pub lost_reply_percent: u8,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            refuse: false,
            error_percent: 0,
            freeze: false,
            silence_existing: false,
            slow_factor: 1.0,
            break_after_tokens: None,
            lose_broken: false,
            lose_order_replies: false,
            lost_reply_percent: 0,
        }
    }
}

/// Whether the call with this number belongs to the given percentage, spread evenly.
pub fn is_sampled(number: u64, percent: u8) -> bool {
    let percent = u64::from(percent);
    (number * percent) / 100 != ((number + 1) * percent) / 100
}
