//! Messages of the platform's services: the log and the lists of instances and upstreams.

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, InstanceId, LogOffset};

/// Path of the log's append call: `POST` with the entry as body.
pub const LOG_APPEND_PATH: &str = "/log/append";
/// Path of the log's read call: `GET` with `from`, `max` and `wait_ms` in the query.
pub const LOG_READ_PATH: &str = "/log/read";
/// Path of the instance list: `GET`, or `POST` by an instance about itself. The list may lag.
pub const LIST_PATH: &str = "/list/instances";
/// Path of the upstream list: `GET`, or `POST` by an upstream about itself. The list may lag.
pub const UPSTREAM_LIST_PATH: &str = "/list/upstreams";

/// Response to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the appended entry.
    pub offset: LogOffset,
}

/// Log entry whose content is not decoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawEntry {
    /// Offset of the entry.
    pub offset: LogOffset,
    /// Time of the append, in Unix milliseconds.
    pub time_ms: u64,
    /// Encoded content of the entry.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Response to a read, in MessagePack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Oldest offset that is still retained.
    pub oldest: LogOffset,
    /// Offset of the next append.
    pub head: LogOffset,
    /// Current time of the log's clock, in Unix milliseconds.
    pub now_ms: u64,
    /// Consecutive entries from the requested offset on.
    pub entries: Vec<RawEntry>,
}

/// State of an instance on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// Asked to stop.
    Leaving,
}

/// One instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address of the instance, `ip:port`.
    pub address: String,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// Last state that the platform knows.
    pub state: ListedState,
}
