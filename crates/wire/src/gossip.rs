//! Messages by which instances learn of each other: heartbeats within a data centre, one digest
//! for each data centre between them.

use serde::{Deserialize, Serialize};

use crate::id::{ConfigRevision, DataCentreId, InstanceId, LogOffset};

/// Path of the gossip call: `POST`, a [`GossipMessage`]; the answer is another.
pub const GOSSIP_PATH: &str = "/peer/gossip";
/// Most member rows in one message.
pub const MAX_MEMBER_ROWS: usize = 64;
/// Most data centre digests in one message within a data centre.
pub const MAX_DIGEST_ROWS: usize = 8;
/// Most instances that one digest names as gone.
pub const MAX_GONE_NAMES: usize = 8;

/// What one instance said of itself last, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The instance.
    pub instance: InstanceId,
    /// When this run of it started, Unix milliseconds; a restart has a higher one.
    pub started_ms: u64,
    /// Grows by one with each heartbeat of this run.
    pub beat: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The next offset it will fold.
    pub folded: LogOffset,
    /// The configuration revision in force on it.
    pub revision: ConfigRevision,
    /// How long ago the sender heard of this heartbeat, in milliseconds.
    pub age_ms: u64,
}

impl MemberRow {
    /// Whether this row says something newer than the other of the same instance.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.started_ms, self.beat) > (other.started_ms, other.beat)
    }
}

/// One data centre as its reporter sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreDigest {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// When the digest was made, Unix milliseconds by the reporter's clock.
    pub made_ms: u64,
    /// Live instances.
    pub live: u32,
    /// The highest offset that the reporter ever heard of.
    pub folded: LogOffset,
    /// The lowest configuration revision in force on any live one.
    pub lowest_revision: ConfigRevision,
    /// Some of the instances that are listed but gone.
    pub gone: Vec<InstanceId>,
}

/// One exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Who sends it.
    pub sender: InstanceId,
    /// Where the sender runs.
    pub data_centre: DataCentreId,
    /// Rows of the sender's data centre; empty towards another.
    pub members: Vec<MemberRow>,
    /// Digests of data centres.
    pub digests: Vec<DataCentreDigest>,
}
