//! The upstreams of each group and the routing of requests to them.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use amaranth_kernel::ejection;
use amaranth_kernel::plugin::routing_policy;
use amaranth_kernel::retry::RetryBudget;
use amaranth_kernel::routing::{RouteHint, RoutingPolicy, UpstreamView, measured_speeds};
use amaranth_net::clock::unix_ms;
use amaranth_settings::fleet::FleetSettings;
use amaranth_settings::tier::TierSettings;
use amaranth_settings::upstream::{UpstreamGroup, UpstreamKind};
use amaranth_wire::id::{TierId, UpstreamId};
use tokio::sync::Notify;

pub use crate::upstream_state::{InFlightGuard, UpstreamState};

/// Routing policy used when the settings name an unknown one.
const DEFAULT_POLICY: &str = "two_choices";

/// Constraints on a pick.
#[derive(Debug, Clone, Copy, Default)]
pub struct PickRules<'a> {
    /// Upstreams that must not be picked.
    pub excluded: &'a [UpstreamId],
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix: Option<u64>,
    /// Whether to pick only upstreams with room in this instance's share.
    pub with_room: bool,
}

/// The result of a pick.
pub enum PickResult {
    /// An upstream, with the request counted as in flight.
    Picked(InFlightGuard),
    /// Some upstreams accept work, but none has room now.
    Full,
    /// No upstream accepts work.
    Unavailable,
}

/// All upstreams by group, with the retry budget of each tier.
pub struct UpstreamTable {
    groups: HashMap<String, Vec<Arc<UpstreamState>>>,
    tier_of_model: HashMap<String, TierSettings>,
    policy: &'static RoutingPolicy,
    counter: AtomicU64,
    withheld: RwLock<HashSet<UpstreamId>>,
    instances: AtomicU32,
    retry_budgets: HashMap<TierId, Mutex<RetryBudget>>,
    room_notify: Arc<Notify>,
}

impl UpstreamTable {
    /// Builds the table from the settings, leaving out upstreams without an address.
    pub fn new(fleet: &FleetSettings) -> Self {
        let room_notify = Arc::new(Notify::new());
        let groups = fleet.upstreams.iter();
        let groups = groups.map(|group| (group.name.clone(), group_states(group, &room_notify)));
        let policy = routing_policy(&fleet.routing).or_else(|| routing_policy(DEFAULT_POLICY));
        Self {
            groups: groups.collect(),
            tier_of_model: tiers_by_model(fleet),
            policy: policy.expect("the default policy is registered"),
            counter: AtomicU64::new(0),
            withheld: RwLock::new(HashSet::new()),
            instances: AtomicU32::new(fleet.instances.len().max(1) as u32),
            retry_budgets: retry_budgets(fleet),
            room_notify,
        }
    }

    /// Credits a tier's retry budget with a new request.
    pub fn record_request(&self, tier: &TierId) {
        self.with_retry_budget(tier, RetryBudget::add_request);
    }

    /// Calls `update` with the retry budget of a tier, or with a new one for an unknown tier.
    pub fn with_retry_budget<T>(
        &self,
        tier: &TierId,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        match self.retry_budgets.get(tier) {
            Some(budget) => update(&mut budget.lock().expect("not poisoned")),
            None => update(&mut RetryBudget::new()),
        }
    }

    /// Replaces the set of upstreams that plans withhold from new work.
    pub fn set_withheld(&self, withheld: HashSet<UpstreamId>) {
        *self.withheld.write().expect("not poisoned") = withheld;
    }

    /// Whether a plan withholds an upstream from new work.
    pub fn is_withheld(&self, upstream: &UpstreamId) -> bool {
        let withheld = self.withheld.read().expect("not poisoned");
        withheld.contains(upstream)
    }

    /// The first tier in the settings that serves a model.
    pub fn tier_of_model(&self, model: &str) -> Option<&TierSettings> {
        self.tier_of_model.get(model)
    }

    /// The upstreams of a group, empty if it is unknown.
    pub fn group(&self, group: &str) -> &[Arc<UpstreamState>] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    /// All upstreams, each with the name of its group.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Arc<UpstreamState>)> {
        let groups = self.groups.iter();
        groups.flat_map(|(name, states)| states.iter().map(move |state| (name.as_str(), state)))
    }

    /// Sets the number of instances that share the upstreams, at least 1.
    pub fn set_instance_count(&self, instances: usize) {
        let instances = instances.max(1) as u32;
        self.instances.store(instances, Ordering::Relaxed);
    }

    /// Waits until room may have become free at an upstream.
    pub async fn wait_for_room(&self) {
        self.room_notify.notified().await;
    }

    /// Picks an upstream that is not excluded, room or not, and counts a request there.
    pub fn pick(&self, group: &str, excluded: &[UpstreamId]) -> Option<InFlightGuard> {
        let rules = PickRules {
            excluded,
            ..PickRules::default()
        };
        match self.pick_by(group, rules) {
            PickResult::Picked(guard) => Some(guard),
            PickResult::Full | PickResult::Unavailable => None,
        }
    }

    /// Picks an upstream by the routing policy within `rules`, and counts a request there.
    pub fn pick_by(&self, group: &str, rules: PickRules<'_>) -> PickResult {
        let states = self.group(group);
        let views = self.views(states, rules);
        if !views.iter().any(|(_, accepts_work)| *accepts_work) {
            return PickResult::Unavailable;
        }
        let views: Vec<_> = views.into_iter().map(|(view, _)| view).collect();
        let hint = RouteHint {
            counter: self.counter.fetch_add(1, Ordering::Relaxed),
            prefix: rules.prefix,
        };
        match (self.policy.pick)(&views, hint, &mut rand::rng()) {
            Some(index) => PickResult::Picked(InFlightGuard::new(states[index].clone())),
            None => PickResult::Full,
        }
    }

    /// Routing views of some upstreams, each with whether it accepts work, regardless of room.
    fn views(
        &self,
        states: &[Arc<UpstreamState>],
        rules: PickRules<'_>,
    ) -> Vec<(UpstreamView, bool)> {
        let now_ms = unix_ms();
        let withheld = self.withheld.read().expect("not poisoned");
        let instances = self.instances.load(Ordering::Relaxed);
        let snapshots: Vec<_> = states
            .iter()
            .map(|state| state.snapshot(now_ms, instances))
            .collect();
        let healths: Vec<_> = snapshots.iter().map(|snapshot| snapshot.health).collect();
        let healthy = ejection::available(&healths, now_ms);
        let settings: Vec<_> = states.iter().map(|state| state.speed).collect();
        let steps: Vec<_> = snapshots.iter().map(|s| s.load.step_us).collect();
        let speeds = measured_speeds(&settings, &steps);
        let view = |index: usize| {
            let (state, snapshot) = (&states[index], &snapshots[index]);
            let excluded = rules.excluded.contains(&state.upstream);
            let withheld = withheld.contains(&state.upstream);
            let accepts_work = healthy[index] && !snapshot.leaving && !excluded && !withheld;
            let view = UpstreamView {
                upstream: state.upstream.clone(),
                available: accepts_work && (snapshot.has_room || !rules.with_room),
                affine: accepts_work && (snapshot.has_affinity_room || !rules.with_room),
                in_flight: snapshot.load.own,
                load: snapshot.load.total,
                slots: snapshot.load.slots,
                speed: speeds[index],
            };
            (view, accepts_work)
        };
        (0..states.len()).map(view).collect()
    }
}

fn group_states(group: &UpstreamGroup, room_notify: &Arc<Notify>) -> Vec<Arc<UpstreamState>> {
    let upstreams = group.upstreams().into_iter();
    let states = upstreams
        .filter_map(|settings| UpstreamState::new(settings, group.slots, room_notify.clone()));
    states.map(Arc::new).collect()
}

fn retry_budgets(fleet: &FleetSettings) -> HashMap<TierId, Mutex<RetryBudget>> {
    let budget = |tier: &TierSettings| (tier.name.clone(), Mutex::new(RetryBudget::new()));
    fleet.tiers.iter().map(budget).collect()
}

fn tiers_by_model(fleet: &FleetSettings) -> HashMap<String, TierSettings> {
    let mut tiers_by_model = HashMap::new();
    for tier in &fleet.tiers {
        let group = fleet.group(&tier.upstreams);
        let engines = group.filter(|group| group.kind == UpstreamKind::Engine);
        if let Some(model) = engines.and_then(|group| group.model.as_ref()) {
            tiers_by_model
                .entry(model.to_string())
                .or_insert_with(|| tier.clone());
        }
    }
    tiers_by_model
}
