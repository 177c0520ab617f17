//! What the driver asks of the fold, the settings and the other instances.

use std::net::SocketAddr;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_kernel::plan_state::PlanState;
use amaranth_kernel::rollout::RolloutLimits;
use amaranth_net::clock::unix_ms;
use amaranth_wire::change::PlanSpec;
use amaranth_wire::id::{CommandId, UpstreamId};

use crate::context::InstanceContext;
use crate::plan_driver::PLAN_SHARD;

/// How long engines that ignore fencing numbers are watched after a plan has ended, in
/// milliseconds.
const REPAIR_WINDOW_MS: u64 = 120_000;
const DEFAULT_LOAD_WIDTH: u64 = 2;
const DEFAULT_KEEP_PERCENT: u64 = 75;

/// Plans that need steps, oldest first.
pub fn driven_plans(context: &InstanceContext) -> Vec<(CommandId, PlanState)> {
    let changes = context.state.changes();
    let plans = changes.core().plans.active();
    let driven = plans.filter(|(_, plan)| !plan.spec.is_drain());
    let mut driven: Vec<_> = driven.map(|(id, p)| (id.clone(), p.clone())).collect();
    driven.sort_by_key(|(_, plan)| plan.offset);
    driven
}

/// Plans that ended a short while ago, on engines that would still carry out a late order.
pub fn watched_plans(context: &InstanceContext) -> Vec<(CommandId, PlanState)> {
    let changes = context.state.changes();
    let ended = changes
        .core()
        .plans
        .recently_ended(unix_ms(), REPAIR_WINDOW_MS);
    let unfenced = |plan: &&PlanState| {
        let mut names = plan.steps.keys();
        names.any(|name| !checks_fencing(context, name))
    };
    let watched = ended.into_iter().filter(|(_, plan)| unfenced(plan));
    watched
        .map(|(id, plan)| (id.clone(), plan.clone()))
        .collect()
}

/// Whether this instance should take the lease now.
pub fn may_claim(context: &InstanceContext) -> bool {
    let leases = context.state.leases();
    let lease = leases.get(PLAN_SHARD);
    if lease.is_some_and(|lease| !lease.is_claimable(unix_ms())) || !context.is_ready() {
        return false;
    }
    drop(leases);
    let live = context.members.live();
    let known = live.iter().filter(|name| !context.gossip.is_lost(name));
    let known: Vec<_> = known.cloned().collect();
    let key = PLAN_SHARD.0.to_be_bytes();
    let order = rendezvous_order(&key, &known, |instance| instance.as_str());
    order.first() == Some(&&context.config.instance)
}

/// Whether an engine refuses orders with an old fencing number.
pub fn checks_fencing(context: &InstanceContext, upstream: &UpstreamId) -> bool {
    let groups = context.config.fleet.upstreams.iter();
    let mut groups = groups.filter(|group| group.checks_fencing);
    groups.any(|group| group.upstreams().iter().any(|u| u.upstream == *upstream))
}

/// Address of an upstream, if the settings give one.
pub fn engine_address(context: &InstanceContext, upstream: &UpstreamId) -> Option<SocketAddr> {
    let mut all = context.upstreams.all();
    let found = all.find(|(_, state)| state.upstream == *upstream);
    found.map(|(_, state)| state.address)
}

/// The limits in force.
pub fn rollout_limits(context: &InstanceContext) -> RolloutLimits {
    let config = context.state.config();
    let number = |name: &str, default: u64| config.number(name).unwrap_or(default) as usize;
    RolloutLimits {
        max_loading: number("plan.load_width", DEFAULT_LOAD_WIDTH),
        keep_percent: number("plan.keep_percent", DEFAULT_KEEP_PERCENT),
        soaking: false,
    }
}

/// Whether the state must be carried on before its records expire.
pub fn is_carry_due(context: &InstanceContext) -> bool {
    let retention_ms = context.config.fleet.platform.retention.as_millis();
    let changes = context.state.changes();
    changes.is_snapshot_due(unix_ms(), retention_ms)
}

/// Whether a plan moves engines to another version, which may do harm.
pub fn is_rollout(plan: &PlanState) -> bool {
    matches!(plan.spec, PlanSpec::RollModel { .. })
}
