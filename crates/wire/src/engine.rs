//! Messages of model engines, plain services and the weight store.
//!
//! A streamed response consists of server-sent events whose `id` is the token's index. An engine
//! keeps a named stream for a while after its connection is lost; the stream is resumed by `GET`
//! with the standard `last-event-id` header.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{LeaseEpoch, ModelId, ParseIdError, ShardId, UpstreamId};

/// Header with the name under which a stream can be cancelled, resumed or exported.
pub const STREAM_ID_HEADER: &str = "amaranth-stream-id";
/// Header of a batch item with the lease under which it is sent, a [`ShardFence`]. An engine refuses it
/// if an item came under a newer lease of the shard.
pub const SHARD_FENCE_HEADER: &str = "amaranth-shard-fence";
/// Header with the index of the last token that the client received.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Path prefix of named streams: `GET …/{id}` resumes, `POST …/{id}/cancel` and
/// `POST …/{id}/export` end the stream at this engine.
pub const STREAMS_PATH: &str = "/engine/streams";
/// Path of the import call: `POST` with an exported stream as body; the response is the rest of it.
pub const IMPORT_PATH: &str = "/engine/import";
/// Path of the load report: `GET`, [`EngineLoad`], which may be out of date.
pub const LOAD_PATH: &str = "/engine/load";
/// Path of the cache events: `GET` with `from` in the query, [`CacheEvents`].
pub const CACHE_EVENTS_PATH: &str = "/engine/cache-events";
/// Path of the engine's actual state: `GET`, [`EngineStatus`].
pub const STATUS_PATH: &str = "/engine/status";
/// Path of orders to the engine: `POST`, [`EngineOrder`].
pub const ORDERS_PATH: &str = "/engine/orders";
/// Path prefix of a plain service's record of keyed calls: `GET …/{key}`, [`ServiceCalls`].
pub const SERVICE_CALLS_PATH: &str = "/service/calls";
/// Path prefix of the weight store: `GET …/{model}/{version}`; the transfer rate is limited.
pub const WEIGHTS_PATH: &str = "/weights";
/// Prompt bytes per block of the prefix cache.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// The lease under which an owner of a shard sends an item, written as `SHARD:EPOCH`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardFence {
    /// Shard of the item's job.
    pub shard: ShardId,
    /// Epoch of the lease, which grows with each owner.
    pub epoch: LeaseEpoch,
}

impl fmt::Display for ShardFence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.shard, self.epoch)
    }
}

impl FromStr for ShardFence {
    type Err = ParseIdError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseIdError> {
        let (shard, epoch) = text.split_once(':').ok_or(ParseIdError::NotANumber)?;
        Ok(Self {
            shard: shard.parse()?,
            epoch: epoch.parse()?,
        })
    }
}

/// Phases of a request that an engine handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Serves whole requests.
    Serve,
    /// Only prefills caches from prompts.
    Prefill,
    /// Only generates from imported caches.
    Decode,
}

/// Load of an engine at `time_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Time of the measurement, in Unix milliseconds.
    pub time_ms: u64,
    /// Streams in the running batch.
    pub active: u32,
    /// Requests that wait for a slot in the batch.
    pub waiting: u32,
    /// Slots in the batch.
    pub slots: u32,
    /// Duration of the last step, in microseconds.
    pub step_us: u64,
    /// Whether the engine is leaving and should get no new work.
    pub leaving: bool,
}

/// A prefix was stored in the cache or evicted from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the prompt up to the end of a block.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events from a sequence number on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number for the next query.
    pub next: u64,
    /// Events; they may be delayed and have gaps.
    pub events: Vec<CacheEvent>,
}

/// Actual state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Model in service; `None` until the first one is loaded.
    pub model: Option<ModelId>,
    /// Version of the model.
    pub version: String,
    /// Names of the loaded adapters, sorted.
    pub adapters: Vec<String>,
    /// Current role.
    pub role: EngineRole,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Id of the last completed order.
    pub last_order: Option<String>,
    /// Highest fencing number seen; always 0 on engines that do not check them.
    pub fence: LeaseEpoch,
    /// Whether the engine was told to leave.
    pub leaving: bool,
}

/// Action that an engine is ordered to take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load this model version from the weight store and serve it.
    LoadModel {
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change role.
    SetRole {
        /// The role.
        role: EngineRole,
    },
    /// Stop or resume accepting new work.
    SetLeaving {
        /// Whether to leave.
        leaving: bool,
    },
}

/// An order to an engine. An order that is sent again with the same id takes effect once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Idempotency key of the order.
    pub id: String,
    /// Fencing number of the sender's lease.
    pub fence: LeaseEpoch,
    /// Action to take.
    pub action: OrderAction,
}

/// A plain service's record of the calls with one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCalls {
    /// Number of calls that the service ran.
    pub runs: u64,
    /// Response to the first call, if the service still has it.
    pub answer: Option<String>,
}

/// One upstream on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Whether the upstream is leaving.
    pub leaving: bool,
}

/// Returns the 64-bit FNV-1a hashes of the prompt's prefixes that end at a whole block.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = FNV_BASIS;
    let mut hashes = Vec::new();
    for block in prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES) {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        hashes.push(hash);
    }
    hashes
}
