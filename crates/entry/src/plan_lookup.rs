//! Lookups of the plan driver in the folded state, the settings and the membership.

use std::net::SocketAddr;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_kernel::plan_state::PlanState;
use amaranth_kernel::rollout::RolloutLimits;
use amaranth_net::clock::unix_ms;
use amaranth_wire::change::PlanSpec;
use amaranth_wire::id::{CommandId, UpstreamId};

use crate::context::InstanceContext;
use crate::plan_driver::PLAN_SHARD;

/// Time after the end of a plan during which engines that do not check fencing tokens are
/// repaired, in milliseconds.
const REPAIR_WINDOW_MS: u64 = 120_000;
/// Value of `plan.load_width` while it is not set.
const DEFAULT_LOAD_WIDTH: u64 = 2;
/// Value of `plan.keep_percent` while it is not set.
const DEFAULT_KEEP_PERCENT: u64 = 75;

/// Active plans other than drains, oldest first. The driver writes no steps for drains.
pub fn driven_plans(context: &InstanceContext) -> Vec<(CommandId, PlanState)> {
    let changes = context.state.changes();
    let plans = changes.core().plans.active();
    let driven = plans.filter(|(_, plan)| !plan.spec.is_drain());
    let mut driven: Vec<_> = driven.map(|(id, p)| (id.clone(), p.clone())).collect();
    driven.sort_by_key(|(_, plan)| plan.offset);
    driven
}

/// Recently ended plans with an engine that would still execute a delayed order.
pub fn plans_to_repair(context: &InstanceContext) -> Vec<(CommandId, PlanState)> {
    let changes = context.state.changes();
    let ended = changes
        .core()
        .plans
        .recently_ended(unix_ms(), REPAIR_WINDOW_MS);
    let unfenced = |plan: &&PlanState| {
        let mut names = plan.steps.keys();
        names.any(|name| !checks_fencing(context, name))
    };
    let repairable = ended.into_iter().filter(|(_, plan)| unfenced(plan));
    repairable
        .map(|(id, plan)| (id.clone(), plan.clone()))
        .collect()
}

/// Whether the plan lease is free and this ready instance ranks first for it by rendezvous
/// hashing.
pub fn should_claim_lease(context: &InstanceContext) -> bool {
    let leases = context.state.leases();
    let lease = leases.get(PLAN_SHARD);
    if lease.is_some_and(|lease| !lease.is_claimable(unix_ms())) || !context.is_ready() {
        return false;
    }
    drop(leases);
    let live = context.members.live();
    let candidates = live
        .iter()
        .filter(|name| !context.gossip.is_presumed_gone(name));
    let candidates: Vec<_> = candidates.cloned().collect();
    let key = PLAN_SHARD.0.to_be_bytes();
    let order = rendezvous_order(&key, &candidates, |instance| instance.as_str());
    order.first() == Some(&&context.config.instance)
}

/// Whether an engine rejects orders with a stale fencing token.
pub fn checks_fencing(context: &InstanceContext, upstream: &UpstreamId) -> bool {
    let groups = context.config.fleet.upstreams.iter();
    let mut groups = groups.filter(|group| group.checks_fencing);
    groups.any(|group| group.upstreams().iter().any(|u| u.upstream == *upstream))
}

/// Address of an upstream; `None` if the upstream table does not have it.
pub fn engine_address(context: &InstanceContext, upstream: &UpstreamId) -> Option<SocketAddr> {
    let mut all = context.upstreams.all();
    let found = all.find(|(_, state)| state.upstream == *upstream);
    found.map(|(_, state)| state.address)
}

/// Rollout limits from the configuration in force, with `soaking` unset.
pub fn rollout_limits(context: &InstanceContext) -> RolloutLimits {
    let config = context.state.config();
    let number = |name: &str, default: u64| config.number(name).unwrap_or(default) as usize;
    RolloutLimits {
        max_loading: number("plan.load_width", DEFAULT_LOAD_WIDTH),
        keep_percent: number("plan.keep_percent", DEFAULT_KEEP_PERCENT),
        soaking: false,
    }
}

/// Whether configuration and plans must be written again before their records expire.
pub fn needs_snapshot(context: &InstanceContext) -> bool {
    let retention_ms = context.config.fleet.platform.retention.as_millis();
    let changes = context.state.changes();
    changes.is_snapshot_due(unix_ms(), retention_ms)
}

/// Whether a plan changes the model version and so needs soaking and regression checks.
pub fn is_rollout(plan: &PlanState) -> bool {
    matches!(plan.spec, PlanSpec::RollModel { .. })
}
