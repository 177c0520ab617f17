//! Messages between instances about the slots that batch work gets at upstreams.
//!
//! One instance allocates the batch slots of an upstream. Instances that run batch items request
//! slots from it, and every instance reports its online work at the upstream to it.

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, UpstreamId};

/// Path of slot requests: `POST`, [`SlotRequest`]. A long poll, answered with a [`SlotGrant`] when
/// the grant changes or a timeout passes.
pub const BATCH_SLOTS_PATH: &str = "/v1/peer/batch-slots";
/// Path of reports of online work: `POST`, [`OnlineNotice`].
pub const ONLINE_NOTICE_PATH: &str = "/v1/peer/online-notice";

/// Requests batch slots at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Requesting instance.
    pub instance: InstanceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Slots that the instance could use.
    pub want: u32,
    /// Batch streams that the instance runs there.
    pub running: u32,
    /// The previous grant.
    pub holds: SlotGrant,
}

/// Batch slots that an instance is granted at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Number of streams up to which the instance may start new ones, until the next grant.
    pub granted: u32,
    /// Number of streams that may continue; excess streams must be cancelled at once.
    pub keep: u32,
}

/// Online requests of one instance at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineCount {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Online requests in flight there.
    pub online: u32,
}

/// Reports an instance's online work at the upstreams whose slots the receiver allocates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineNotice {
    /// Reporting instance.
    pub instance: InstanceId,
    /// Time of the report in milliseconds of the sender's monotonic clock. Older notices that
    /// arrive late are ignored.
    pub told_ms: u64,
    /// Online requests by upstream.
    pub counts: Vec<OnlineCount>,
}
