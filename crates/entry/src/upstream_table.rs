//! The upstreams of every group and what this instance has in flight there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::plugin::routing_policy;
use amaranth_kernel::retry::RetryBudget;
use amaranth_kernel::routing::{RoutingPolicy, UpstreamView};
use amaranth_net::client::HttpClient;
use amaranth_settings::fleet::FleetSettings;
use amaranth_settings::tier::TierSettings;
use amaranth_settings::upstream::UpstreamKind;
use amaranth_wire::id::{TierId, UpstreamId};

/// The routing policy that is used unless settings name another.
const DEFAULT_POLICY: &str = "two_choices";
/// Longest wait for a connection to an upstream.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// One upstream with its counters.
pub struct UpstreamState {
    /// Its name.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Calls of it. A connection that goes silent costs only this upstream's pool.
    pub client: HttpClient,
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
    budgets: HashMap<TierId, Mutex<RetryBudget>>,
}

impl UpstreamTable {
    /// The upstreams that the settings give addresses for.
    pub fn new(fleet: &FleetSettings) -> Self {
        let groups = fleet.upstreams.iter().map(|group| {
            let upstreams = group.upstreams().into_iter().filter_map(|settings| {
                Some(Arc::new(UpstreamState {
                    address: settings.address?,
                    client: HttpClient::new(CONNECT_LIMIT),
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
            budgets: budgets(fleet),
        }
    }

    /// Notes a new request of a tier.
    pub fn note_request(&self, tier: &TierId) {
        self.with_budget(tier, RetryBudget::add_request);
    }

    /// Does something with the retry budget of a tier.
    pub fn with_budget<T>(&self, tier: &TierId, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        match self.budgets.get(tier) {
            Some(budget) => act(&mut budget.lock().expect("not poisoned")),
            None => act(&mut RetryBudget::new()),
        }
    }

    /// The first tier that serves this model.
    pub fn tier_of_model(&self, model: &str) -> Option<&TierSettings> {
        self.tier_of_model.get(model)
    }

    /// Picks an upstream of a group, leaving out some, and counts a request there.
    pub fn pick(&self, group: &str, excluded: &[UpstreamId]) -> Option<InFlightGuard> {
        let upstreams = self.groups.get(group)?;
        let views: Vec<_> = upstreams
            .iter()
            .map(|state| UpstreamView {
                upstream: state.upstream.clone(),
                available: !excluded.contains(&state.upstream),
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

fn budgets(fleet: &FleetSettings) -> HashMap<TierId, Mutex<RetryBudget>> {
    let budget = |tier: &TierSettings| (tier.name.clone(), Mutex::new(RetryBudget::new()));
    fleet.tiers.iter().map(budget).collect()
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
