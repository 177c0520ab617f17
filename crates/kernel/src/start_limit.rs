//! Limits how many batch items an instance has started, for each set of upstream groups that items need.
//!
//! The load: a service has lost its upstreams, or is full, and jobs for it go on coming. Its items wait for
//! a slot, oldest first, for as long as their jobs may be given up. Under one limit for all they would keep
//! the items of services with idle upstreams from starting.

use std::collections::HashMap;
use std::hash::Hash;

/// Part of the limit, one in so many, that items which were refused before may take ahead of others.
const RETURNED_PART: usize = 4;

/// Started items by the groups `G` that can serve them.
#[derive(Debug)]
pub struct StartLimit<G> {
    most: usize,
    started: HashMap<G, usize>,
    /// Those of them that were refused before.
    returned: HashMap<G, usize>,
}

/// The order in which items are started, each pass from the oldest on. Those that were refused before go first
/// within their share, so that they are tried, and for the rest of the limit last, so that they keep no others
/// from being tried once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartPass {
    /// Items that were refused before, within their share.
    Returned,
    /// Items that were not.
    Fresh,
    /// Items that were refused before, in what room is left.
    Rest,
}

impl StartPass {
    /// The passes in their order.
    pub const ALL: [Self; 3] = [Self::Returned, Self::Fresh, Self::Rest];

    /// Whether the pass takes an item.
    pub fn takes(self, was_refused: bool) -> bool {
        was_refused == (self != Self::Fresh)
    }
}

impl<G: Eq + Hash> StartLimit<G> {
    /// Creates a limit on the items of each set of groups; none are started.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            started: HashMap::new(),
            returned: HashMap::new(),
        }
    }

    /// Counts items that were started before.
    pub fn count(&mut self, groups: G, items: usize) {
        *self.started.entry(groups).or_default() += items;
    }

    /// Counts items, of those counted as started, that were refused before.
    pub fn count_returned(&mut self, groups: G, items: usize) {
        *self.returned.entry(groups).or_default() += items;
    }

    /// Whether another item for these groups may be started in a pass.
    pub fn has_room(&self, groups: &G, pass: StartPass) -> bool {
        let count = |items: &HashMap<G, usize>| items.get(groups).copied().unwrap_or(0);
        let share = self.most / RETURNED_PART;
        count(&self.started) < self.most
            && (pass != StartPass::Returned || count(&self.returned) < share)
    }
}
