//! The upstreams of every group, and the choice between them.

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

/// The routing policy that is used when the settings' is not known.
const DEFAULT_POLICY: &str = "two_choices";

/// What is asked of a choice.
#[derive(Debug, Clone, Copy, Default)]
pub struct PickRules<'a> {
    /// Upstreams that may not be chosen.
    pub excluded: &'a [UpstreamId],
    /// Hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// Whether only upstreams with room in this instance's share may be chosen.
    pub with_room: bool,
}

/// The result of a choice.
pub enum PickResult {
    /// An upstream, with the request counted there.
    Picked(InFlightGuard),
    /// Some could take it, but none has room now.
    Full,
    /// None can take it.
    Unavailable,
}

/// The upstreams by group.
pub struct UpstreamTable {
    groups: HashMap<String, Vec<Arc<UpstreamState>>>,
    tier_of_model: HashMap<String, TierSettings>,
    policy: &'static RoutingPolicy,
    counter: AtomicU64,
    withheld: RwLock<HashSet<UpstreamId>>,
    instances: AtomicU32,
    budgets: HashMap<TierId, Mutex<RetryBudget>>,
    room: Arc<Notify>,
}

impl UpstreamTable {
    /// The upstreams that the settings give addresses for.
    pub fn new(fleet: &FleetSettings) -> Self {
        let room = Arc::new(Notify::new());
        let groups = fleet.upstreams.iter();
        let groups = groups.map(|group| (group.name.clone(), group_states(group, &room)));
        let policy = routing_policy(&fleet.routing).or_else(|| routing_policy(DEFAULT_POLICY));
        Self {
            groups: groups.collect(),
            tier_of_model: models(fleet),
            policy: policy.expect("the default policy is registered"),
            counter: AtomicU64::new(0),
            withheld: RwLock::new(HashSet::new()),
            instances: AtomicU32::new(fleet.instances.len().max(1) as u32),
            budgets: budgets(fleet),
            room,
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

    /// Replaces the set of upstreams that plans keep new work from.
    pub fn set_withheld(&self, withheld: HashSet<UpstreamId>) {
        *self.withheld.write().expect("not poisoned") = withheld;
    }

    /// Whether a plan keeps new work from an upstream.
    pub fn is_withheld(&self, upstream: &UpstreamId) -> bool {
        let withheld = self.withheld.read().expect("not poisoned");
        withheld.contains(upstream)
    }

    /// The first tier that serves this model.
    pub fn tier_of_model(&self, model: &str) -> Option<&TierSettings> {
        self.tier_of_model.get(model)
    }

    /// The upstreams of a group.
    pub fn group(&self, group: &str) -> &[Arc<UpstreamState>] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    /// All upstreams, with their groups.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Arc<UpstreamState>)> {
        let groups = self.groups.iter();
        groups.flat_map(|(name, states)| states.iter().map(move |state| (name.as_str(), state)))
    }

    /// Notes how many instances share the upstreams.
    pub fn set_instances(&self, instances: usize) {
        let instances = instances.max(1) as u32;
        self.instances.store(instances, Ordering::Relaxed);
    }

    /// Waits until there may be room that was not there before.
    pub async fn room_changed(&self) {
        self.room.notified().await;
    }

    /// Picks an upstream of a group, leaving out some, and counts a request there.
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

    /// Picks an upstream of a group by some rules, and counts a request there.
    pub fn pick_by(&self, group: &str, rules: PickRules<'_>) -> PickResult {
        let states = self.group(group);
        let views = self.views(states, rules);
        if !views.iter().any(|(_, open)| *open) {
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

    /// What is known of some upstreams, and whether they take work at all, room or not.
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
            let open = healthy[index] && !snapshot.leaving && !excluded && !withheld;
            let view = UpstreamView {
                upstream: state.upstream.clone(),
                available: open && (snapshot.has_room || !rules.with_room),
                affine: open && (snapshot.has_affinity_room || !rules.with_room),
                in_flight: snapshot.load.own,
                load: snapshot.load.total,
                slots: snapshot.load.slots,
                speed: speeds[index],
            };
            (view, open)
        };
        (0..states.len()).map(view).collect()
    }
}

fn group_states(group: &UpstreamGroup, room: &Arc<Notify>) -> Vec<Arc<UpstreamState>> {
    let upstreams = group.upstreams().into_iter();
    let states =
        upstreams.filter_map(|settings| UpstreamState::new(settings, group.slots, room.clone()));
    states.map(Arc::new).collect()
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
