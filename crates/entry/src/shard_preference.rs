//! Weighted rendezvous hashing of shards to live instances.

use std::collections::HashMap;

use amaranth_kernel::hashing::weighted_rendezvous;
use amaranth_kernel::ledger::SHARD_COUNT;
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{InstanceId, ShardId};

use crate::context::InstanceContext;

/// Weight of an instance that is not in the settings.
const DEFAULT_WEIGHT: u32 = 1;
/// Interval between reads of the list of live instances, in milliseconds.
const REFRESH_MS: u64 = 250;

/// The shards for which this instance is preferred.
pub struct ShardPreference {
    weights: HashMap<InstanceId, u32>,
    live: Vec<InstanceId>,
    refreshed_ms: u64,
    displaced: Vec<DisplacedSince>,
}

/// Since when another instance is preferred for a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DisplacedSince {
    /// This instance is preferred.
    Never,
    /// Another instance is preferred since this time of the monotonic clock, in milliseconds.
    Since(u64),
}

impl ShardPreference {
    /// Creates a preference that knows no live instance yet.
    pub fn new(context: &InstanceContext) -> Self {
        let instances = context.config.fleet.instances.iter();
        Self {
            weights: instances.map(|i| (i.name.clone(), i.weight)).collect(),
            live: Vec::new(),
            refreshed_ms: 0,
            displaced: vec![DisplacedSince::Since(steady_ms()); SHARD_COUNT as usize],
        }
    }

    /// Reads the list of live instances and recomputes the preference if that is due.
    pub fn refresh(&mut self, context: &InstanceContext) {
        let now_ms = steady_ms();
        if now_ms < self.refreshed_ms + REFRESH_MS {
            return;
        }
        self.refreshed_ms = now_ms;
        let live = context.live_instances();
        if live == self.live {
            return;
        }
        self.live = live;
        for shard in 0..SHARD_COUNT {
            let preferred =
                self.preferred_instance(ShardId(shard)) == Some(&context.config.instance);
            let displaced = &mut self.displaced[shard as usize];
            *displaced = match (preferred, *displaced) {
                (true, _) => DisplacedSince::Never,
                (false, DisplacedSince::Never) => DisplacedSince::Since(now_ms),
                (false, since) => since,
            };
        }
    }

    /// Whether this instance is preferred for the shard.
    pub fn is_preferred(&self, shard: ShardId) -> bool {
        self.displaced[shard.0 as usize] == DisplacedSince::Never
    }

    /// For how long another instance has been preferred, in milliseconds; 0 if none is.
    pub fn displaced_ms(&self, shard: ShardId) -> u64 {
        match self.displaced[shard.0 as usize] {
            DisplacedSince::Never => 0,
            DisplacedSince::Since(since) => steady_ms().saturating_sub(since),
        }
    }

    fn preferred_instance(&self, shard: ShardId) -> Option<&InstanceId> {
        let weight = |instance: &InstanceId| {
            let known = self.weights.get(instance);
            known.copied().unwrap_or(DEFAULT_WEIGHT)
        };
        let key = shard.0.to_be_bytes();
        weighted_rendezvous(&key, &self.live, |instance| instance.as_str(), weight)
    }
}
