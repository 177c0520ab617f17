//! Gossip between instances: heartbeats within a data centre, and one digest for each data centre
//! between data centres.

use serde::{Deserialize, Serialize};

use crate::id::{ConfigRevision, DataCentreId, InstanceId, LogOffset};

/// Path of the gossip call: `POST`, [`GossipMessage`]; the response is one, too.
pub const GOSSIP_PATH: &str = "/peer/gossip";
/// Maximum number of member rows in one message.
pub const MAX_MEMBER_ROWS: usize = 64;
/// Maximum number of digests in one message within a data centre.
pub const MAX_DIGEST_ROWS: usize = 8;
/// Maximum number of missing instances that one digest names.
pub const MAX_GONE_NAMES: usize = 8;

/// Latest heartbeat of an instance that the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The instance.
    pub instance: InstanceId,
    /// Start time of the instance's process, in Unix milliseconds; higher after a restart.
    pub started_ms: u64,
    /// Heartbeat counter; increases by one with each heartbeat since the start.
    pub beat: u64,
    /// Whether the instance accepts no new work.
    pub leaving: bool,
    /// Offset of the next log entry that the instance will fold.
    pub folded: LogOffset,
    /// Configuration revision in force on the instance.
    pub revision: ConfigRevision,
    /// Time since the sender received this heartbeat, in milliseconds.
    pub age_ms: u64,
}

impl MemberRow {
    /// Returns whether this heartbeat is newer than another of the same instance.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.started_ms, self.beat) > (other.started_ms, other.beat)
    }
}

/// State of one data centre as its reporter sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreDigest {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Creation time of the digest, in Unix milliseconds of the reporter's clock.
    pub made_ms: u64,
    /// Number of live instances.
    pub live: u32,
    /// Highest log offset that the reporter has ever learned of.
    pub folded: LogOffset,
    /// Lowest configuration revision in force on any live instance.
    pub lowest_revision: ConfigRevision,
    /// Some of the listed instances that send no heartbeats.
    pub gone: Vec<InstanceId>,
}

/// Request or response of one gossip exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Sending instance.
    pub sender: InstanceId,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Instances of the sender's data centre; empty in messages to another data centre.
    pub members: Vec<MemberRow>,
    /// Digests of data centres that the sender knows.
    pub digests: Vec<DataCentreDigest>,
}
