//! Messages of the platform's services: the log and the list of instances.

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, InstanceId, LogOffset};

/// Path of the log's append call: `POST`, the entry as body.
pub const LOG_APPEND_PATH: &str = "/log/append";
/// Path of the log's read call: `GET`, `from`, `max` and `wait_ms` in the query.
pub const LOG_READ_PATH: &str = "/log/read";
/// Path of the list of instances: `GET`, or `POST` by an instance about itself.
pub const LIST_PATH: &str = "/list/instances";
/// Path of the list of upstreams: `GET`, lagging as the other; `POST` by an upstream about itself.
pub const UPSTREAM_LIST_PATH: &str = "/list/upstreams";

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Where the entry stands.
    pub offset: LogOffset,
}

/// One raw entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawEntry {
    /// Its offset.
    pub offset: LogOffset,
    /// When the log took it, Unix milliseconds.
    pub time_ms: u64,
    /// Its bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Answer to a read, in MessagePack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Oldest offset still kept.
    pub oldest: LogOffset,
    /// The offset that the next append will get.
    pub head: LogOffset,
    /// The log's clock, Unix milliseconds.
    pub now_ms: u64,
    /// Consecutive entries from the offset asked for.
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
    /// Its name.
    pub instance: InstanceId,
    /// Its address, `ip:port`.
    pub address: String,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// What the platform believes of it.
    pub state: ListedState,
}
