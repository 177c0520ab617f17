//! Messages between instances about the places that batch work gets at upstreams.
//!
//! One instance decides on the batch places of an upstream. Those that run batch items ask it for
//! places, and every instance tells it of its online work there.

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, UpstreamId};

/// Path of the ask for places: `POST`, [`SlotRequest`]; answered with a [`SlotGrant`] when the grant
/// changes, or after a while.
pub const BATCH_SLOTS_PATH: &str = "/v1/peer/batch-slots";
/// Path of the notice of online work: `POST`, [`OnlineNotice`].
pub const ONLINE_NOTICE_PATH: &str = "/v1/peer/online-notice";

/// Asks for batch places at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Who asks.
    pub instance: InstanceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Places that it could use.
    pub want: u32,
    /// Streams that it runs there.
    pub running: u32,
    /// What it was granted before.
    pub holds: SlotGrant,
}

/// Batch places at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Streams up to which the asker may start new ones, until it hears otherwise.
    pub granted: u32,
    /// Streams that may go on; those above it are to be cancelled at once.
    pub keep: u32,
}

/// Online work of one instance at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineCount {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests in flight there.
    pub online: u32,
}

/// Tells of an instance's online work at the upstreams that the receiver decides on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineNotice {
    /// Who tells.
    pub instance: InstanceId,
    /// When it tells, in milliseconds of its own clock that never goes back. Older notices that
    /// arrive later are ignored.
    pub told_ms: u64,
    /// Its work.
    pub counts: Vec<OnlineCount>,
}
