//! Faults that the platform stand-in injects on request.

use serde::{Deserialize, Serialize};

/// Active faults. A `POST` to `/faults` replaces all of them; an omitted key means no such fault.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuses every log call.
    pub outage: bool,
    /// Refuses appends but not reads.
    pub appends_down: bool,
    /// Delay before each log call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Percentage of appends that take effect and whose connection then breaks without a reply.
    pub lost_reply_percent: u8,
    /// Percentage of appends that take effect but are never answered.
    pub silent_percent: u8,
    /// Overrides the retention of log entries, in milliseconds.
    pub retention_ms: Option<u64>,
    /// Ignores reports to the lists and stops the expiry of instances.
    pub list_frozen: bool,
    /// Refuses every weight download.
    pub weights_down: bool,
    /// Model versions for which the weight store answers 404.
    pub weights_missing: Vec<String>,
}
