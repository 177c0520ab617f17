//! Subsetting: assigns each instance the upstreams that it sends to.
//!
//! The numbers of instances assigned to any two upstreams differ by at most one, and the upstreams
//! per instance are bounded. Each instance computes the whole assignment from the same lists, so no
//! coordination is needed. A change of one member moves few pairs.

use std::collections::HashMap;
use std::hash::Hash;

use crate::hashing::{hash_bytes, rendezvous_order};

/// Upper bound on the upstreams of one instance, as a percentage of the average.
pub const LOAD_BOUND_PERCENT: usize = 125;
/// Hash seed for choosing the upstreams that get one instance more.
const EXTRA_INSTANCE_SEED: u64 = 1;

/// Numbers of instances, upstreams and pairs of them in an assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetSizes {
    instances: usize,
    upstreams: usize,
    pairs: usize,
}

impl SubsetSizes {
    /// Sizes for about `wanted` upstreams per instance, with at least one instance per upstream.
    pub fn new(instances: usize, upstreams: usize, wanted: usize) -> Self {
        let pairs = wanted * instances;
        Self {
            instances,
            upstreams,
            pairs: pairs.clamp(upstreams, (instances * upstreams).max(upstreams)),
        }
    }

    /// Fewest instances assigned to an upstream; the maximum is one more.
    pub fn min_per_upstream(&self) -> usize {
        match self.upstreams {
            0 => 0,
            upstreams => (self.pairs / upstreams).min(self.instances),
        }
    }

    /// Most upstreams assigned to an instance.
    pub fn max_per_instance(&self) -> usize {
        let bound = 100 * self.instances.max(1);
        let max_upstreams = (self.pairs * LOAD_BOUND_PERCENT).div_ceil(bound) + 1;
        max_upstreams.min(self.upstreams)
    }

    /// Number of instances assigned to the upstream of this name. A hash of the name decides
    /// whether it gets one more than the minimum, so that a change of the average moves only a few
    /// pairs.
    pub fn instances_for(&self, upstream: &str) -> usize {
        let min_instances = self.min_per_upstream();
        let rest = (self.pairs - min_instances * self.upstreams) as u64;
        let draw = hash_bytes(upstream.as_bytes(), EXTRA_INSTANCE_SEED) % self.upstreams as u64;
        (min_instances + usize::from(draw < rest)).min(self.instances)
    }
}

/// The upstreams assigned to each instance, in the order of `upstreams`.
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
    let max_upstreams = sizes.max_per_instance();
    let mut subsets: HashMap<&I, Vec<&U>> = instances.iter().map(|i| (i, Vec::new())).collect();
    for upstream in upstreams {
        let name = upstream_name(upstream);
        let order = rendezvous_order(name.as_bytes(), instances, instance_name);
        let free = order
            .into_iter()
            .filter(|i| subsets[*i].len() < max_upstreams);
        let chosen: Vec<_> = free.take(sizes.instances_for(name)).collect();
        for instance in chosen {
            subsets.entry(instance).or_default().push(upstream);
        }
    }
    subsets
}
