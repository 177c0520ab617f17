//! The upstreams of every group and what this instance has in flight there.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};

use amaranth_kernel::plugin::routing_policy;
use amaranth_kernel::routing::{RoutingPolicy, UpstreamView};
use amaranth_settings::fleet::FleetSettings;
use amaranth_settings::tier::TierSettings;
use amaranth_settings::upstream::UpstreamKind;
use amaranth_wire::id::UpstreamId;

/// The routing policy that is used unless settings name another.
const DEFAULT_POLICY: &str = "two_choices";

/// One upstream with its counters.
#[derive(Debug)]
pub struct UpstreamState {
    /// Its name.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    speed: f64,
    in_flight: AtomicU32,
}

/// Counts one request at an upstream for as long as it lives.
pub struct InFlightGuard(Arc<UpstreamState>);

impl InFlightGuard {
    /// Where the request is.
    pub fn upstream(&self) -> &UpstreamState {
        &self.0
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The upstreams by group.
pub struct UpstreamTable {
    groups: HashMap<String, Vec<Arc<UpstreamState>>>,
    tier_of_model: HashMap<String, TierSettings>,
    policy: &'static RoutingPolicy,
    counter: AtomicU64,
    withheld: RwLock<HashSet<UpstreamId>>,
}

impl UpstreamTable {
    /// The upstreams that the settings give addresses for.
    pub fn new(fleet: &FleetSettings) -> Self {
        let groups = fleet.upstreams.iter().map(|group| {
            let upstreams = group.upstreams().into_iter().filter_map(|settings| {
                Some(Arc::new(UpstreamState {
                    address: settings.address?,
                    upstream: settings.upstream,
                    speed: settings.speed,
                    in_flight: AtomicU32::new(0),
                }))
            });
            (group.name.clone(), upstreams.collect())
        });
        Self {
            groups: groups.collect(),
            tier_of_model: models(fleet),
            policy: routing_policy(DEFAULT_POLICY).expect("the default policy is registered"),
            counter: AtomicU64::new(0),
            withheld: RwLock::new(HashSet::new()),
        }
    }

    /// Replaces the set of upstreams that plans keep new work from.
    pub fn set_withheld(&self, withheld: HashSet<UpstreamId>) {
        *self.withheld.write().expect("not poisoned") = withheld;
    }

    /// Whether a plan keeps new work from an upstream.
    pub fn is_withheld(&self, upstream: &UpstreamId) -> bool {
        let withheld = self.withheld.read().expect("not poisoned");
        withheld.contains(upstream)
    }

    /// Every upstream with its group and what this instance has in flight there.
    pub fn all(&self) -> Vec<(String, UpstreamId, SocketAddr, u32)> {
        let groups = self.groups.iter();
        let rows = groups.flat_map(|(group, upstreams)| {
            upstreams.iter().map(|state| {
                let in_flight = state.in_flight.load(Ordering::Relaxed);
                (
                    group.clone(),
                    state.upstream.clone(),
                    state.address,
                    in_flight,
                )
            })
        });
        rows.collect()
    }

    /// The first tier that serves this model.
    pub fn tier_of_model(&self, model: &str) -> Option<&TierSettings> {
        self.tier_of_model.get(model)
    }

    /// Picks an upstream of a group, leaving out some, and counts a request there.
    pub fn pick(&self, group: &str, excluded: &[UpstreamId]) -> Option<InFlightGuard> {
        let upstreams = self.groups.get(group)?;
        let withheld = self.withheld.read().expect("not poisoned");
        let views: Vec<_> = upstreams
            .iter()
            .map(|state| UpstreamView {
                upstream: state.upstream.clone(),
                available: !excluded.contains(&state.upstream)
                    && !withheld.contains(&state.upstream),
                in_flight: state.in_flight.load(Ordering::Relaxed),
                speed: state.speed,
            })
            .collect();
        let counter = self.counter.fetch_add(1, Ordering::Relaxed);
        let index = (self.policy.pick)(&views, counter, &mut rand::rng())?;
        let picked = upstreams[index].clone();
        picked.in_flight.fetch_add(1, Ordering::Relaxed);
        Some(InFlightGuard(picked))
    }
}

fn models(fleet: &FleetSettings) -> HashMap<String, TierSettings> {
    let mut models = HashMap::new();
    for tier in &fleet.tiers {
        let group = fleet.group(&tier.upstreams);
        let engines = group.filter(|group| group.kind == UpstreamKind::Engine);
        if let Some(model) = engines.and_then(|group| group.model.as_ref()) {
            models
                .entry(model.to_string())
                .or_insert_with(|| tier.clone());
        }
    }
    models
}
