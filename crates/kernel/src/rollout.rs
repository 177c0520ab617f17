//! Decides the next actions of a plan's driver: how many engines to change at once, which order to
//! send to each, when to undo the plan and when to end it.

use std::collections::BTreeMap;

use amaranth_wire::change::{EngineTarget, PlanSpec};
use amaranth_wire::engine::{EngineRole, EngineStatus, OrderAction};
use amaranth_wire::id::{LeaseEpoch, UpstreamId};

use crate::plan_state::{PlanPhase, PlanState, StepPhase};

/// Orders that one engine may be sent without reaching its target before the plan is undone.
const MAX_ORDERS: u32 = 5;
/// How long an engine that is being changed may be unreachable before the plan is undone.
const UNREACHABLE_LIMIT_MS: u64 = 30_000;

/// Whether an order sent earlier can still reach an engine and be carried out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OrderFencing {
    /// None can: the engine rejects earlier epochs, or the longest delivery time has passed.
    #[default]
    Safe,
    /// Orders of earlier epochs can, until any order of the current epoch raises the engine's
    /// fencing token.
    RaiseToken,
    /// An order can still arrive; wait until it has been answered or has timed out.
    Wait,
}

/// What the driver last observed of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineObservation {
    /// Status just read; `None` if the engine did not answer.
    pub status: Option<EngineStatus>,
    /// Milliseconds since the engine stopped answering.
    pub unreachable_ms: u64,
    /// Orders that this driver has sent to the engine in the current plan phase.
    pub orders: u32,
    /// Whether an earlier order can still be carried out.
    pub fencing: OrderFencing,
}

/// Limits on how many engines change at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutLimits {
    /// Engines that may load weights at the same time.
    pub max_loading: usize,
    /// Share of the engines that must stay in service, in percent.
    pub keep_percent: usize,
    /// Whether the engines changed last are still being evaluated. Meanwhile no further engine is
    /// started and the plan is not committed.
    pub soaking: bool,
}

impl RolloutLimits {
    /// Engines that may be out of service at once; at least one, or no rollout could start.
    pub fn max_out_of_service(&self, engines: usize) -> usize {
        let kept = (engines * self.keep_percent).div_ceil(100);
        engines.saturating_sub(kept).min(self.max_loading).max(1)
    }
}

/// An action of the driver. Actions that are returned together are independent of each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanAction {
    /// Log that this driver takes over the plan.
    TakeOver,
    /// Log that an upstream is taken out of service to be changed.
    Start {
        /// The upstream.
        upstream: UpstreamId,
        /// What it serves now, for a restore.
        before: EngineTarget,
    },
    /// Send an order to an engine.
    Order {
        /// The upstream.
        upstream: UpstreamId,
        /// The order.
        action: OrderAction,
    },
    /// Log that an upstream is in its target state.
    Finish(UpstreamId),
    /// Log that an upstream is back in its previous state.
    Restore(UpstreamId),
    /// Log that the plan is undone, with the reason.
    Halt(String),
    /// Log that the plan is committed.
    Commit,
    /// Log that the plan is reverted.
    Revert,
}

/// The next actions of a plan for the driver of this epoch. `regression` describes the harm that
/// the change does to requests, if any; the plan is then undone.
pub fn next_actions(
    plan: &PlanState,
    epoch: LeaseEpoch,
    observations: &BTreeMap<UpstreamId, EngineObservation>,
    limits: RolloutLimits,
    regression: Option<String>,
) -> Vec<PlanAction> {
    if plan.phase.is_ended() || plan.spec.is_drain() {
        return Vec::new();
    }
    if plan.epoch != epoch {
        return vec![PlanAction::TakeOver];
    }
    match plan.phase {
        PlanPhase::Running => advance_rollout(plan, observations, limits, regression),
        _ => undo_rollout(plan, observations),
    }
}

fn advance_rollout(
    plan: &PlanState,
    observations: &BTreeMap<UpstreamId, EngineObservation>,
    limits: RolloutLimits,
    regression: Option<String>,
) -> Vec<PlanAction> {
    if let Some(reason) = regression.or_else(|| find_failure(plan, observations)) {
        return vec![PlanAction::Halt(reason)];
    }
    if plan.finished_count() == plan.steps.len() && !limits.soaking {
        return commit_if_converged(plan, observations);
    }
    let mut actions = Vec::new();
    for (upstream, phase) in &plan.steps {
        if let StepPhase::Started { .. } = phase
            && let Some(target) = upstream_target(plan, upstream)
        {
            let finish = PlanAction::Finish(upstream.clone());
            actions.extend(converge_engine(
                upstream,
                &target,
                observations.get(upstream),
                finish,
            ));
        }
    }
    if !limits.soaking {
        actions.extend(next_starts(plan, observations, limits));
    }
    actions
}

/// Commits once every engine is confirmed in its target state. A late order of an earlier driver
/// can have changed one; that one is sent an order again.
fn commit_if_converged(
    plan: &PlanState,
    observations: &BTreeMap<UpstreamId, EngineObservation>,
) -> Vec<PlanAction> {
    let mut actions = Vec::new();
    let mut converged = true;
    for upstream in plan.steps.keys() {
        let Some(target) = upstream_target(plan, upstream) else {
            continue;
        };
        let observation = observations.get(upstream);
        let is_safe = |observation: &EngineObservation| observation.fencing == OrderFencing::Safe;
        converged &= observation.is_some_and(|seen| matches_target(seen, &target) && is_safe(seen));
        let done = PlanAction::Finish(upstream.clone());
        let next = converge_engine(upstream, &target, observation, done);
        actions.extend(next.filter(|action| matches!(action, PlanAction::Order { .. })));
    }
    match converged {
        true => vec![PlanAction::Commit],
        false => actions,
    }
}

fn undo_rollout(
    plan: &PlanState,
    observations: &BTreeMap<UpstreamId, EngineObservation>,
) -> Vec<PlanAction> {
    let mut actions = Vec::new();
    for (upstream, phase) in &plan.steps {
        if let StepPhase::Started { before } | StepPhase::Finished { before } = phase {
            let restored = PlanAction::Restore(upstream.clone());
            actions.extend(converge_engine(
                upstream,
                before,
                observations.get(upstream),
                restored,
            ));
        }
    }
    let is_touched = |phase: &StepPhase| {
        matches!(
            phase,
            StepPhase::Started { .. } | StepPhase::Finished { .. }
        )
    };
    match plan.steps.values().any(is_touched) {
        true => actions,
        false => vec![PlanAction::Revert],
    }
}

/// The order that brings an engine closer to its target, or `on_reached` if it is there. `None`
/// while the engine is unreachable or busy, or an earlier order can still arrive.
fn converge_engine(
    upstream: &UpstreamId,
    target: &EngineTarget,
    observation: Option<&EngineObservation>,
    on_reached: PlanAction,
) -> Option<PlanAction> {
    let observation = observation?;
    let status = observation.status.as_ref()?;
    if status.busy || observation.fencing == OrderFencing::Wait {
        return None;
    }
    if matches_target(observation, target) {
        let leaving = status.leaving;
        return Some(match observation.fencing {
            OrderFencing::RaiseToken => PlanAction::Order {
                upstream: upstream.clone(),
                action: OrderAction::SetLeaving { leaving },
            },
            _ => on_reached,
        });
    }
    let action = match &target.model {
        Some(model) if status.model != target.model || status.version != target.version => {
            OrderAction::LoadModel {
                model: model.clone(),
                version: target.version.clone(),
            }
        }
        _ => OrderAction::SetRole { role: target.role },
    };
    Some(PlanAction::Order {
        upstream: upstream.clone(),
        action,
    })
}

/// Orders that return engines to the state in which an ended plan left them, after a late order of
/// an earlier driver changed them. Upstreams for which `superseded` is true belong to a later plan.
pub fn repair_orders(
    plan: &PlanState,
    observations: &BTreeMap<UpstreamId, EngineObservation>,
    superseded: impl Fn(&UpstreamId) -> bool,
) -> Vec<PlanAction> {
    let mut actions = Vec::new();
    for (upstream, phase) in &plan.steps {
        let final_target = match phase {
            StepPhase::Finished { .. } => upstream_target(plan, upstream),
            StepPhase::Restored { before } => Some(before.clone()),
            StepPhase::Waiting | StepPhase::Started { .. } => None,
        };
        let Some(final_target) = final_target.filter(|_| !superseded(upstream)) else {
            continue;
        };
        let done = PlanAction::Finish(upstream.clone());
        let next = converge_engine(upstream, &final_target, observations.get(upstream), done);
        actions.extend(next.filter(|action| matches!(action, PlanAction::Order { .. })));
    }
    actions
}

fn matches_target(observation: &EngineObservation, target: &EngineTarget) -> bool {
    observation.status.as_ref().is_some_and(|status| {
        !status.busy
            && status.role == target.role
            && status.model == target.model
            && status.version == target.version
    })
}

fn next_starts(
    plan: &PlanState,
    observations: &BTreeMap<UpstreamId, EngineObservation>,
    limits: RolloutLimits,
) -> Vec<PlanAction> {
    let phases = plan.steps.values();
    let started = phases.filter(|phase| matches!(phase, StepPhase::Started { .. }));
    let unreachable = plan.steps.keys().filter(|name| {
        let observation = observations.get(*name);
        plan.steps[*name] == StepPhase::Waiting && observation.is_none_or(|s| s.status.is_none())
    });
    let room = match plan.spec {
        // Both roles must change together: prefill and decode engines work in pairs.
        PlanSpec::SwapRoles { .. } => plan.steps.len(),
        _ => limits.max_out_of_service(plan.steps.len()),
    };
    // Unreachable engines count as out of service, but one engine may always be started.
    let out_of_service = started.count();
    let room = match out_of_service {
        0 => room.saturating_sub(unreachable.count()).max(1),
        out_of_service => room.saturating_sub(out_of_service + unreachable.count()),
    };
    let order = plan.spec.upstreams().into_iter();
    let waiting = order.filter(|name| plan.steps[name] == StepPhase::Waiting);
    let ready = waiting.filter_map(|upstream| {
        let status = observations.get(&upstream)?.status.as_ref()?;
        let before = (!status.busy).then(|| current_target(status))?;
        Some(PlanAction::Start { upstream, before })
    });
    ready.take(room).collect()
}

fn current_target(status: &EngineStatus) -> EngineTarget {
    EngineTarget {
        model: status.model.clone(),
        version: status.version.clone(),
        role: status.role,
    }
}

/// The plan's target for an upstream; `None` for drains, and while the upstream, or the other one
/// of a role swap, has not been started.
fn upstream_target(plan: &PlanState, upstream: &UpstreamId) -> Option<EngineTarget> {
    let before = previous_target(plan.steps.get(upstream)?)?;
    match &plan.spec {
        PlanSpec::RollModel { model, version, .. } => Some(EngineTarget {
            model: Some(model.clone()),
            version: version.clone(),
            role: before.role,
        }),
        PlanSpec::SwapRoles { first, second } => {
            let other = if upstream == first { second } else { first };
            let role: EngineRole = self::previous_target(plan.steps.get(other)?)?.role;
            Some(EngineTarget {
                role,
                ..before.clone()
            })
        }
        PlanSpec::DrainUpstream { .. } | PlanSpec::DrainInstance { .. } => None,
    }
}

fn previous_target(phase: &StepPhase) -> Option<&EngineTarget> {
    match phase {
        StepPhase::Started { before } | StepPhase::Finished { before } => Some(before),
        StepPhase::Waiting | StepPhase::Restored { .. } => None,
    }
}

/// Why the plan must be undone because of an engine, if any failed.
fn find_failure(
    plan: &PlanState,
    observations: &BTreeMap<UpstreamId, EngineObservation>,
) -> Option<String> {
    let started = plan.steps.iter();
    let mut started = started.filter(|(_, phase)| matches!(phase, StepPhase::Started { .. }));
    started.find_map(|(upstream, _)| {
        let observation = observations.get(upstream)?;
        let busy = observation
            .status
            .as_ref()
            .is_some_and(|status| status.busy);
        if observation.unreachable_ms >= UNREACHABLE_LIMIT_MS {
            let seconds = observation.unreachable_ms / 1_000;
            return Some(format!("{upstream} did not answer for {seconds} s"));
        }
        if observation.orders >= MAX_ORDERS && !busy {
            return Some(format!("{upstream} failed {} orders", observation.orders));
        }
        None
    })
}

/// Request counters of one upstream or a group of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamSample {
    /// Completed requests, failed ones included.
    pub requests: u64,
    /// Failed requests.
    pub errors: u64,
    /// Total duration of the requests, in milliseconds.
    pub total_ms: u64,
}

impl UpstreamSample {
    /// The difference to an earlier sample.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            errors: self.errors.saturating_sub(earlier.errors),
            total_ms: self.total_ms.saturating_sub(earlier.total_ms),
        }
    }

    /// The sum of two samples.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            errors: self.errors + other.errors,
            total_ms: self.total_ms + other.total_ms,
        }
    }

    fn mean_ms(&self) -> u64 {
        self.total_ms / self.requests.max(1)
    }
}

/// Fewer requests than this are not evaluated, unless most of them fail.
const MIN_REQUESTS: u64 = 20;
/// Failures that suffice if most requests fail. Routing soon avoids a failing engine, so
/// [`MIN_REQUESTS`] may never be reached.
const MIN_FAILURES: u64 = 3;
/// Share of failed requests, in percent, at which [`MIN_FAILURES`] suffices.
const MAJORITY_PERCENT: u64 = 50;
/// Factor by which the mean request time may grow.
const MAX_SLOWDOWN: u64 = 2;
/// Mean request times of the old version below this are not compared, in milliseconds.
const MIN_COMPARED_MS: u64 = 5;

/// Describes how the new version fails more or is slower than the old one, if it is. Both samples
/// must cover the same period.
pub fn detect_regression(
    old: UpstreamSample,
    new: UpstreamSample,
    error_percent: u64,
) -> Option<String> {
    let share = new.errors * 100 / new.requests.max(1);
    let majority_failed = new.errors >= MIN_FAILURES && share >= MAJORITY_PERCENT;
    if new.requests < MIN_REQUESTS && !majority_failed {
        return None;
    }
    let usual = old.errors * 100 / old.requests.max(1);
    if share >= error_percent && share > 2 * usual {
        return Some(format!(
            "{share} % of requests at the new version fail, {usual} % at the old"
        ));
    }
    let (slow, usual) = (new.mean_ms(), old.mean_ms());
    if old.requests >= MIN_REQUESTS && usual >= MIN_COMPARED_MS && slow > MAX_SLOWDOWN * usual {
        return Some(format!(
            "requests take {slow} ms at the new version, {usual} ms at the old"
        ));
    }
    None
}
