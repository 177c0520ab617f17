//! Faults of the engine and service stand-ins, switched on by a call.

use serde::{Deserialize, Serialize};

/// Faults in force. A `POST` to `/faults` replaces them all; missing keys mean none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// New requests are refused with 503 before anything runs.
    pub refuse: bool,
    /// Of 100 requests, how many are answered 500 before anything runs.
    pub error_percent: u8,
    /// Every connection stays open and silent while this is set.
    pub freeze: bool,
    /// The connections that are open at the call go silent for good; new ones work.
    pub silence_existing: bool,
    /// Steps and service times take so many times as long.
    pub slow_factor: f64,
    /// A stream's connection breaks after so many tokens.
    pub break_after_tokens: Option<u32>,
    /// A stream whose connection broke by `break_after_tokens` can't be resumed.
    pub lose_broken: bool,
    /// Orders take effect and their connection breaks without an answer.
    pub lose_order_replies: bool,
    /// Of 100 calls of a plain service, how many run and have their connection broken without an
    /// answer.
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

/// Whether the call of this number is one of so many in a hundred, spread evenly.
pub fn is_hit(number: u64, percent: u8) -> bool {
    let percent = u64::from(percent);
    (number * percent) / 100 != ((number + 1) * percent) / 100
}
