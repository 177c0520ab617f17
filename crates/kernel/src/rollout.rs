//! What the driver of a plan does next: how many engines change at once, which order each needs,
//! when the plan goes back, and when it has ended.

use std::collections::BTreeMap;

use amaranth_wire::change::{EngineTarget, PlanSpec};
use amaranth_wire::engine::{EngineRole, EngineStatus, OrderAction};
use amaranth_wire::id::{LeaseEpoch, UpstreamId};

use crate::plan_state::{PlanPhase, PlanState, StepPhase};

/// Orders that an engine may fail before the plan goes back.
const MAX_ORDERS: u32 = 5;
/// How long an engine that is being changed may be out of reach before the plan goes back.
const UNREACHABLE_LIMIT_MS: u64 = 30_000;

/// Whether an order that was sent earlier can still land on an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OrderGuard {
    /// None can: the engine refuses earlier epochs, or they were waited out.
    #[default]
    Closed,
    /// Earlier epochs can until the engine has seen this one, by any order.
    Raise,
    /// They can for a while yet.
    Wait,
}

/// What the driver knows of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineSight {
    /// Its state as just read; `None` when it did not answer.
    pub status: Option<EngineStatus>,
    /// How long it has not answered, in milliseconds.
    pub unreachable_ms: u64,
    /// Orders of this plan phase that it was given by this driver.
    pub orders: u32,
    /// Whether an earlier order can still land.
    pub guard: OrderGuard,
}

/// How many engines may change at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutLimits {
    /// Engines that load weights at once.
    pub width: usize,
    /// Share of the engines that stays in service, in percent.
    pub keep_percent: usize,
    /// Whether the engines that were changed last are still being judged, so that no further one
    /// is started and nothing is committed.
    pub soaking: bool,
}

impl RolloutLimits {
    /// Engines of so many that may be out of service together; at least one, or nothing moves.
    pub fn room(&self, engines: usize) -> usize {
        let kept = (engines * self.keep_percent).div_ceil(100);
        engines.saturating_sub(kept).min(self.width).max(1)
    }
}

/// One thing to do. Actions of one look are independent of each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanAction {
    /// Write that this driver has the plan.
    TakeOver,
    /// Take an upstream out of service.
    Start {
        /// The upstream.
        upstream: UpstreamId,
        /// What it serves.
        before: EngineTarget,
    },
    /// Order an engine.
    Order {
        /// The upstream.
        upstream: UpstreamId,
        /// What to do.
        action: OrderAction,
    },
    /// Write that an upstream is in the wanted state.
    Finish(UpstreamId),
    /// Write that an upstream is in its former state.
    Restore(UpstreamId),
    /// Write that the plan goes back.
    Halt(String),
    /// Write that all is done.
    Commit,
    /// Write that all is undone.
    Revert,
}

/// The next actions of a plan for the driver of this epoch. `worsened` tells why the change does
/// harm, if it does.
pub fn next_actions(
    plan: &PlanState,
    epoch: LeaseEpoch,
    sights: &BTreeMap<UpstreamId, EngineSight>,
    limits: RolloutLimits,
    worsened: Option<String>,
) -> Vec<PlanAction> {
    if plan.phase.is_ended() || plan.spec.is_drain() {
        return Vec::new();
    }
    if plan.epoch != epoch {
        return vec![PlanAction::TakeOver];
    }
    match plan.phase {
        PlanPhase::Running => go_on(plan, sights, limits, worsened),
        _ => go_back(plan, sights),
    }
}

fn go_on(
    plan: &PlanState,
    sights: &BTreeMap<UpstreamId, EngineSight>,
    limits: RolloutLimits,
    worsened: Option<String>,
) -> Vec<PlanAction> {
    if let Some(reason) = worsened.or_else(|| find_failure(plan, sights)) {
        return vec![PlanAction::Halt(reason)];
    }
    if plan.finished() == plan.steps.len() && !limits.soaking {
        return commit(plan, sights);
    }
    let mut actions = Vec::new();
    for (upstream, phase) in &plan.steps {
        if let StepPhase::Started { .. } = phase
            && let Some(wanted) = wanted(plan, upstream)
        {
            let finish = PlanAction::Finish(upstream.clone());
            actions.extend(toward(upstream, &wanted, sights.get(upstream), finish));
        }
    }
    if !limits.soaking {
        actions.extend(starts(plan, sights, limits));
    }
    actions
}

/// Reads every engine back before the end. A late order of an earlier driver is repaired.
fn commit(plan: &PlanState, sights: &BTreeMap<UpstreamId, EngineSight>) -> Vec<PlanAction> {
    let mut actions = Vec::new();
    let mut settled = true;
    for upstream in plan.steps.keys() {
        let Some(wanted) = wanted(plan, upstream) else {
            continue;
        };
        let sight = sights.get(upstream);
        let closed = |sight: &EngineSight| sight.guard == OrderGuard::Closed;
        settled &= sight.is_some_and(|sight| is_settled(sight, &wanted) && closed(sight));
        let done = PlanAction::Finish(upstream.clone());
        let next = toward(upstream, &wanted, sight, done);
        actions.extend(next.filter(|action| matches!(action, PlanAction::Order { .. })));
    }
    match settled {
        true => vec![PlanAction::Commit],
        false => actions,
    }
}

fn go_back(plan: &PlanState, sights: &BTreeMap<UpstreamId, EngineSight>) -> Vec<PlanAction> {
    let mut actions = Vec::new();
    for (upstream, phase) in &plan.steps {
        if let StepPhase::Started { before } | StepPhase::Finished { before } = phase {
            let restored = PlanAction::Restore(upstream.clone());
            actions.extend(toward(upstream, before, sights.get(upstream), restored));
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

/// The action that brings an engine nearer to a state, or tells that it is there.
fn toward(
    upstream: &UpstreamId,
    wanted: &EngineTarget,
    sight: Option<&EngineSight>,
    there: PlanAction,
) -> Option<PlanAction> {
    let sight = sight?;
    let status = sight.status.as_ref()?;
    if status.busy || sight.guard == OrderGuard::Wait {
        return None;
    }
    if is_settled(sight, wanted) {
        let leaving = status.leaving;
        return Some(match sight.guard {
            OrderGuard::Raise => PlanAction::Order {
                upstream: upstream.clone(),
                action: OrderAction::SetLeaving { leaving },
            },
            _ => there,
        });
    }
    let action = match &wanted.model {
        Some(model) if status.model != wanted.model || status.version != wanted.version => {
            OrderAction::LoadModel {
                model: model.clone(),
                version: wanted.version.clone(),
            }
        }
        _ => OrderAction::SetRole { role: wanted.role },
    };
    Some(PlanAction::Order {
        upstream: upstream.clone(),
        action,
    })
}

/// Orders that bring engines back to where an ended plan left them, after a late order of an
/// earlier driver landed. `superseded` tells whether a later plan has an upstream.
pub fn repairs(
    plan: &PlanState,
    sights: &BTreeMap<UpstreamId, EngineSight>,
    superseded: impl Fn(&UpstreamId) -> bool,
) -> Vec<PlanAction> {
    let mut actions = Vec::new();
    for (upstream, phase) in &plan.steps {
        let kept = match phase {
            StepPhase::Finished { .. } => wanted(plan, upstream),
            StepPhase::Restored { before } => Some(before.clone()),
            StepPhase::Waiting | StepPhase::Started { .. } => None,
        };
        let Some(kept) = kept.filter(|_| !superseded(upstream)) else {
            continue;
        };
        let done = PlanAction::Finish(upstream.clone());
        let next = toward(upstream, &kept, sights.get(upstream), done);
        actions.extend(next.filter(|action| matches!(action, PlanAction::Order { .. })));
    }
    actions
}

fn is_settled(sight: &EngineSight, wanted: &EngineTarget) -> bool {
    sight.status.as_ref().is_some_and(|status| {
        !status.busy
            && status.role == wanted.role
            && status.model == wanted.model
            && status.version == wanted.version
    })
}

fn starts(
    plan: &PlanState,
    sights: &BTreeMap<UpstreamId, EngineSight>,
    limits: RolloutLimits,
) -> Vec<PlanAction> {
    let phases = plan.steps.values();
    let started = phases.filter(|phase| matches!(phase, StepPhase::Started { .. }));
    let away = plan.steps.keys().filter(|name| {
        let sight = sights.get(*name);
        plan.steps[*name] == StepPhase::Waiting && sight.is_none_or(|s| s.status.is_none())
    });
    let room = match plan.spec {
        // Both roles change together, or a request finds no partner.
        PlanSpec::SwapRoles { .. } => plan.steps.len(),
        _ => limits.room(plan.steps.len()),
    };
    // Runners that are away count as out of service, though one step is always allowed.
    let out = started.count();
    let room = match out {
        0 => room.saturating_sub(away.count()).max(1),
        out => room.saturating_sub(out + away.count()),
    };
    let order = plan.spec.upstreams().into_iter();
    let waiting = order.filter(|name| plan.steps[name] == StepPhase::Waiting);
    let ready = waiting.filter_map(|upstream| {
        let status = sights.get(&upstream)?.status.as_ref()?;
        let before = (!status.busy).then(|| target_of(status))?;
        Some(PlanAction::Start { upstream, before })
    });
    ready.take(room).collect()
}

fn target_of(status: &EngineStatus) -> EngineTarget {
    EngineTarget {
        model: status.model.clone(),
        version: status.version.clone(),
        role: status.role,
    }
}

/// What the plan wants of an upstream; `None` while that depends on one that has not started.
fn wanted(plan: &PlanState, upstream: &UpstreamId) -> Option<EngineTarget> {
    let before = before(plan.steps.get(upstream)?)?;
    match &plan.spec {
        PlanSpec::RollModel { model, version, .. } => Some(EngineTarget {
            model: Some(model.clone()),
            version: version.clone(),
            role: before.role,
        }),
        PlanSpec::SwapRoles { first, second } => {
            let other = if upstream == first { second } else { first };
            let role: EngineRole = self::before(plan.steps.get(other)?)?.role;
            Some(EngineTarget {
                role,
                ..before.clone()
            })
        }
        PlanSpec::DrainUpstream { .. } | PlanSpec::DrainInstance { .. } => None,
    }
}

fn before(phase: &StepPhase) -> Option<&EngineTarget> {
    match phase {
        StepPhase::Started { before } | StepPhase::Finished { before } => Some(before),
        StepPhase::Waiting | StepPhase::Restored { .. } => None,
    }
}

/// Why the plan cannot go on, if it can't.
fn find_failure(plan: &PlanState, sights: &BTreeMap<UpstreamId, EngineSight>) -> Option<String> {
    let started = plan.steps.iter();
    let mut started = started.filter(|(_, phase)| matches!(phase, StepPhase::Started { .. }));
    started.find_map(|(upstream, _)| {
        let sight = sights.get(upstream)?;
        let busy = sight.status.as_ref().is_some_and(|status| status.busy);
        if sight.unreachable_ms >= UNREACHABLE_LIMIT_MS {
            let seconds = sight.unreachable_ms / 1_000;
            return Some(format!("{upstream} did not answer for {seconds} s"));
        }
        if sight.orders >= MAX_ORDERS && !busy {
            return Some(format!("{upstream} failed {} orders", sight.orders));
        }
        None
    })
}

/// What the requests to one upstream came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamSample {
    /// Requests that ended.
    pub requests: u64,
    /// Those that failed.
    pub errors: u64,
    /// Time that all of them took, in milliseconds.
    pub total_ms: u64,
}

impl UpstreamSample {
    /// What came after an earlier sample.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            errors: self.errors.saturating_sub(earlier.errors),
            total_ms: self.total_ms.saturating_sub(earlier.total_ms),
        }
    }

    /// Sum of two samples.
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

/// Requests below which nothing is judged.
const JUDGED_REQUESTS: u64 = 20;
/// How many times slower requests may get.
const SLOWER_LIMIT: u64 = 2;
/// Mean times below this are not compared, in milliseconds.
const COMPARED_MS: u64 = 5;

/// Why the engines at the new version do worse than those at the old one, if they do. Both
/// samples are of the same time.
pub fn judge(old: UpstreamSample, new: UpstreamSample, error_percent: u64) -> Option<String> {
    if new.requests < JUDGED_REQUESTS {
        return None;
    }
    let share = new.errors * 100 / new.requests;
    let usual = old.errors * 100 / old.requests.max(1);
    if share >= error_percent && share > 2 * usual {
        return Some(format!(
            "{share} % of requests at the new version fail, {usual} % at the old"
        ));
    }
    let (slow, usual) = (new.mean_ms(), old.mean_ms());
    if old.requests >= JUDGED_REQUESTS && usual >= COMPARED_MS && slow > SLOWER_LIMIT * usual {
        return Some(format!(
            "requests take {slow} ms at the new version, {usual} ms at the old"
        ));
    }
    None
}
