//! Limits how many batch items an instance has started, for each set of upstream groups that items need.
//!
//! The load: a service has lost its upstreams, or is full, and jobs for it go on coming. Its items wait for
//! a slot, oldest first, for as long as their jobs may be given up. Under one limit for all they would keep
//! the items of services with idle upstreams from starting.

use std::collections::HashMap;
use std::hash::Hash;

/// Started items by the groups `G` that can serve them.
#[derive(Debug)]
pub struct StartLimit<G> {
    most: usize,
    started: HashMap<G, usize>,
}

impl<G: Eq + Hash> StartLimit<G> {
    /// Creates a limit on the items of each set of groups; none are started.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            started: HashMap::new(),
        }
    }

    /// Counts items that were started before.
    pub fn count(&mut self, groups: G, items: usize) {
        *self.started.entry(groups).or_default() += items;
    }

    /// Whether another item for these groups may be started.
    pub fn has_room(&self, groups: &G) -> bool {
        self.started.get(groups).copied().unwrap_or(0) < self.most
    }
}
