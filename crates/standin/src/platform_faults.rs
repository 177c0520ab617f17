//! Faults of the platform stand-in, switched on by a call.

use serde::{Deserialize, Serialize};

/// Faults in force. A `POST` to `/faults` replaces them all; missing keys mean none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call of the log is refused.
    pub outage: bool,
    /// Appends are refused, reads go on.
    pub appends_down: bool,
    /// Delay before each answer of the log, in milliseconds.
    pub delay_ms: u64,
    /// Of 100 appends, how many take effect and lose their reply.
    pub lost_reply_percent: u8,
    /// Of 100 appends, how many are never answered at all though they take effect.
    pub silent_percent: u8,
    /// Replaces the time that the log keeps entries, in milliseconds.
    pub retention_ms: Option<u64>,
    /// The lists do not change any more.
    pub list_frozen: bool,
    /// The weight store refuses every call.
    pub weights_down: bool,
    /// Versions that the weight store does not have.
    pub weights_missing: Vec<String>,
}
