//! Messages of model engines, plain services and the weight store.
//!
//! A streamed answer is server-sent events whose `id` is the token's index. An engine keeps a
//! named stream for a while after its connection broke; it is resumed by `GET` with the standard
//! `last-event-id` header.

use serde::{Deserialize, Serialize};

use crate::id::{LeaseEpoch, ModelId, UpstreamId};

/// Header that names a stream at the engine, so that it can be cancelled, resumed or exported.
pub const STREAM_ID_HEADER: &str = "amaranth-stream-id";
/// Header with the index of the last token that was received.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Path prefix of named streams: `GET …/{id}` resumes, `POST …/{id}/cancel` and
/// `POST …/{id}/export` end the stream there.
pub const STREAMS_PATH: &str = "/engine/streams";
/// Path of the import call: `POST`, an exported stream as body; the answer is the rest of it.
pub const IMPORT_PATH: &str = "/engine/import";
/// Path of the load report: `GET`, a lagging [`EngineLoad`].
pub const LOAD_PATH: &str = "/engine/load";
/// Path of the cache events: `GET`, `from` in the query, [`CacheEvents`].
pub const CACHE_EVENTS_PATH: &str = "/engine/cache-events";
/// Path of the engine's real state: `GET`, [`EngineStatus`].
pub const STATUS_PATH: &str = "/engine/status";
/// Path of orders: `POST`, [`EngineOrder`].
pub const ORDERS_PATH: &str = "/engine/orders";
/// Path prefix of a plain service's own account of keyed calls: `GET …/{key}`, [`ServiceCalls`].
pub const SERVICE_CALLS_PATH: &str = "/service/calls";
/// Path prefix of the weight store: `GET …/{model}/{version}`, sent at a limited rate.
pub const WEIGHTS_PATH: &str = "/weights";
/// Bytes of prompt in one block of the prefix cache.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Serves whole requests.
    Serve,
    /// Only fills caches from prompts.
    Prefill,
    /// Only generates from imported caches.
    Decode,
}

/// A load report. It shows the engine as it was at `time_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// When it was so, Unix milliseconds.
    pub time_ms: u64,
    /// Streams in the running batch.
    pub active: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Places in the batch.
    pub slots: u32,
    /// Duration of the last step, in microseconds.
    pub step_us: u64,
    /// Whether the engine is leaving and should get no new work.
    pub leaving: bool,
}

/// What happened to one prefix in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub sequence: u64,
    /// Hash of the prompt from its start to the end of a block.
    pub prefix: u64,
    /// Whether it was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events from a number on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number to ask from next.
    pub next: u64,
    /// The events, late and with gaps.
    pub events: Vec<CacheEvent>,
}

/// An engine's real state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The model in service; `None` while the first one loads.
    pub model: Option<ModelId>,
    /// Its version.
    pub version: String,
    /// Loaded adapters, sorted.
    pub adapters: Vec<String>,
    /// Its role.
    pub role: EngineRole,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Id of the last order that was carried out.
    pub last_order: Option<String>,
    /// The highest fencing number seen; stays 0 on engines that ignore them.
    pub fence: LeaseEpoch,
    /// Whether it was told to leave.
    pub leaving: bool,
}

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Serve this model at this version; the weights are read from the weight store.
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
    /// Drop an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change role.
    SetRole {
        /// The role.
        role: EngineRole,
    },
    /// Take no new work, or take it again.
    SetLeaving {
        /// Whether to leave.
        leaving: bool,
    },
}

/// An order. Sent again with the same id it acts once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Names the order.
    pub id: String,
    /// Fencing number of the sender's lease.
    pub fence: LeaseEpoch,
    /// What to do.
    pub action: OrderAction,
}

/// A plain service's own account of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCalls {
    /// How many calls with the key it ran.
    pub runs: u64,
    /// The answer to the first, if it still has it.
    pub answer: Option<String>,
}

/// One upstream on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Its name.
    pub upstream: UpstreamId,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Hashes of a prompt's prefixes at the end of each whole block: 64-bit FNV-1a over the bytes.
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
