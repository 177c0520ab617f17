//! Which instances deal with which upstreams.
//!
//! The numbers of instances that deal with two upstreams differ by at most one, and no instance
//! gets more than a bounded share. Each instance computes the whole assignment from the same
//! lists, so nothing is agreed on; a change of one member moves few pairs.

use std::collections::HashMap;
use std::hash::Hash;

use crate::hashing::{hash_bytes, rendezvous_order};

/// An instance takes at most this many hundredths of the average number of upstreams.
pub const LOAD_BOUND_PERCENT: usize = 125;
/// Seed of the hash that chooses the upstreams with one instance more.
const EXTRA_SEED: u64 = 1;

/// Sizes of an assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetSizes {
    instances: usize,
    upstreams: usize,
    pairs: usize,
}

impl SubsetSizes {
    /// The sizes at which an instance deals with about so many upstreams and every upstream is
    /// dealt with.
    pub fn new(instances: usize, upstreams: usize, wanted: usize) -> Self {
        let pairs = wanted * instances;
        Self {
            instances,
            upstreams,
            pairs: pairs.clamp(upstreams, (instances * upstreams).max(upstreams)),
        }
    }

    /// Fewest instances that deal with one upstream; the most are one more.
    pub fn least_per_upstream(&self) -> usize {
        match self.upstreams {
            0 => 0,
            upstreams => (self.pairs / upstreams).min(self.instances),
        }
    }

    /// Most upstreams that one instance deals with.
    pub fn most_per_instance(&self) -> usize {
        let bound = 100 * self.instances.max(1);
        let most = (self.pairs * LOAD_BOUND_PERCENT).div_ceil(bound) + 1;
        most.min(self.upstreams)
    }

    /// Instances that deal with the upstream of this name. Which upstreams get one more depends
    /// on a hash of the name, so that a change of the average moves only a few.
    pub fn count_for(&self, upstream: &str) -> usize {
        let least = self.least_per_upstream();
        let rest = (self.pairs - least * self.upstreams) as u64;
        let draw = hash_bytes(upstream.as_bytes(), EXTRA_SEED) % self.upstreams as u64;
        (least + usize::from(draw < rest)).min(self.instances)
    }
}

/// The upstreams that each instance deals with, in the order of the upstreams.
pub fn assign_subsets<'a, I, U>(
    instances: &'a [I],
    upstreams: &'a [U],
    wanted: usize,
    instance_name: impl Fn(&I) -> &str + Copy,
    upstream_name: impl Fn(&U) -> &str,
) -> HashMap<&'a I, Vec<&'a U>>
where
    I: Hash + Eq,
{
    let sizes = SubsetSizes::new(instances.len(), upstreams.len(), wanted);
    let most = sizes.most_per_instance();
    let mut subsets: HashMap<&I, Vec<&U>> = instances.iter().map(|i| (i, Vec::new())).collect();
    for upstream in upstreams {
        let name = upstream_name(upstream);
        let order = rendezvous_order(name.as_bytes(), instances, instance_name);
        let free = order.into_iter().filter(|i| subsets[*i].len() < most);
        let chosen: Vec<_> = free.take(sizes.count_for(name)).collect();
        for instance in chosen {
            subsets.entry(instance).or_default().push(upstream);
        }
    }
    subsets
}
