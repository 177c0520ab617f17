//! What the runs of batch items share, and how they find their routes.

use std::sync::Arc;

use amaranth_kernel::refused_items::ItemFit;
use amaranth_wire::id::{ConfigRevision, UpstreamGroupId};
use tokio::sync::Semaphore;

use crate::batch::blobs::BlobStore;
use crate::batch::held_items::HeldItems;
use crate::batch::item_queue::ItemQueue;
use crate::batch::replica::JobReplica;
use crate::call::UpstreamCodec;
use crate::memory_account::MemoryAccount;
use crate::placement_service::PlacementService;
use crate::quarantine_service::QuarantineService;
use crate::route_state::RouteLookup;

/// Finds the route of a job in the current configuration, by the revision that it was received under,
/// its host and its path.
pub type RouteFinder = Arc<dyn Fn(ConfigRevision, &str, &str) -> RouteLookup + Send + Sync>;

/// Most items that run here at once. Each holds a connection, and its body and output as far as the memory
/// account allows.
pub const MAX_RUNNING_ITEMS: usize = 96;

/// Dependencies that all item runs share.
pub struct ItemContext {
    /// Places items at upstreams.
    pub placement: Arc<PlacementService>,
    /// Protocol of the upstreams.
    pub codec: UpstreamCodec,
    /// Stores bodies and outputs.
    pub blobs: Arc<BlobStore>,
    /// Tells whether the log was read recently enough to have seen the ends of jobs.
    pub replica: Arc<JobReplica>,
    /// Decides which item requests a permit next.
    pub queue: ItemQueue,
    /// Limits the items that run here at once, whatever their upstreams.
    pub run_slots: Arc<Semaphore>,
    /// Refuses items whose prompts crash upstreams.
    pub quarantine: Arc<QuarantineService>,
    /// Items that are held back as their prompts crash upstreams.
    pub held_items: Arc<HeldItems>,
    /// Finds the memory of upstreams.
    pub memory_tokens: MemoryFinder,
    /// Memory held for items.
    pub account: MemoryAccount,
}

/// Returns the memory of each upstream of a group in tokens, as the configuration has it; `None` if it isn't
/// known.
pub type MemoryFinder = Arc<dyn Fn(&UpstreamGroupId) -> Option<u64> + Send + Sync>;

/// Returns the refusals in a row after which an item is set aside.
pub type RefusalLimit = Box<dyn Fn(ItemFit) -> u32 + Send + Sync>;

/// Tells whether an item that has not run yet may still be started here.
pub type StartCheck = Box<dyn Fn() -> bool + Send + Sync>;
