//! Multi-step plans, rebuilt by replaying the log: which steps are valid, and the progress of each
//! plan. Steps of drivers with an outdated lease epoch are ignored.

use std::collections::BTreeMap;
use std::fmt;

use amaranth_wire::change::{EngineTarget, PlanSpec, PlanStep};
use amaranth_wire::id::{CommandId, InstanceId, LeaseEpoch, LogOffset, UpstreamId};
use serde::{Deserialize, Serialize};

/// Ended plans that are retained.
const MAX_ENDED_PLANS: usize = 256;
/// Upstreams that one plan may name.
const MAX_PLAN_UPSTREAMS: usize = 10_000;

/// State of a plan. The names are also shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanPhase {
    /// Upstreams are being changed.
    Running,
    /// Changed upstreams are being restored.
    Undoing,
    /// Every upstream is in its target state; final.
    Committed,
    /// Every changed upstream is restored; final.
    Reverted,
}

impl PlanPhase {
    /// Whether the phase is final.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Committed | Self::Reverted)
    }
}

impl fmt::Display for PlanPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Undoing => "undoing",
            Self::Committed => "committed",
            Self::Reverted => "reverted",
        })
    }
}

/// State of one upstream within a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepPhase {
    /// Not changed yet.
    Waiting,
    /// Out of service while it is being changed.
    Started {
        /// What it served before.
        before: EngineTarget,
    },
    /// In its target state and back in service.
    Finished {
        /// What it served before.
        before: EngineTarget,
    },
    /// Returned to its state before the plan.
    Restored {
        /// What it served before.
        before: EngineTarget,
    },
}

/// A plan and its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanState {
    /// The requested change.
    pub spec: PlanSpec,
    /// Operator or tool that proposed the plan.
    pub author: String,
    /// Log offset at which the plan was accepted.
    pub offset: LogOffset,
    /// Current phase.
    pub phase: PlanPhase,
    /// Why the plan is being undone, or was.
    pub reason: Option<String>,
    /// Lease epoch of the latest driver to take over; steps of any other epoch are ignored.
    pub epoch: LeaseEpoch,
    /// Log offset of the last change of state.
    pub changed: LogOffset,
    /// When the last step was appended to the log, Unix milliseconds; 0 before the first step.
    pub changed_ms: u64,
    /// Progress of each upstream.
    pub steps: BTreeMap<UpstreamId, StepPhase>,
}

impl PlanState {
    fn new(spec: PlanSpec, author: &str, offset: LogOffset) -> Self {
        let upstreams = spec.upstreams().into_iter();
        Self {
            steps: upstreams.map(|name| (name, StepPhase::Waiting)).collect(),
            spec,
            author: author.to_owned(),
            offset,
            phase: PlanPhase::Running,
            reason: None,
            epoch: LeaseEpoch(0),
            changed: offset,
            changed_ms: 0,
        }
    }

    /// Whether the plan keeps this upstream from receiving new work.
    pub fn excludes_upstream(&self, upstream: &UpstreamId) -> bool {
        if self.phase.is_ended() {
            return false;
        }
        match self.steps.get(upstream) {
            Some(StepPhase::Started { .. }) => true,
            Some(StepPhase::Waiting) => self.spec.is_drain(),
            Some(StepPhase::Finished { .. }) => self.phase == PlanPhase::Undoing,
            Some(StepPhase::Restored { .. }) | None => false,
        }
    }

    /// Number of upstreams in their target state.
    pub fn finished_count(&self) -> usize {
        let phases = self.steps.values();
        phases
            .filter(|phase| matches!(phase, StepPhase::Finished { .. }))
            .count()
    }

    fn start_undo(&mut self, reason: &str) {
        self.phase = PlanPhase::Undoing;
        self.reason = Some(reason.to_owned());
        let untouched = |phase: &StepPhase| matches!(phase, StepPhase::Waiting);
        if self.spec.is_drain() || self.steps.values().all(untouched) {
            self.phase = PlanPhase::Reverted;
        }
    }

    /// Applies a step that is valid in the current phase. Returns false if it is ignored.
    fn apply_step(&mut self, epoch: LeaseEpoch, step: &PlanStep) -> bool {
        if self.phase.is_ended() || epoch < self.epoch {
            return false;
        }
        if *step == PlanStep::TakenOver {
            self.epoch = epoch;
            return true;
        }
        if epoch != self.epoch || self.spec.is_drain() {
            return false;
        }
        match step {
            PlanStep::TakenOver => false,
            PlanStep::Started { upstream, before } => {
                let before = before.clone();
                let is_valid = |phase: &StepPhase| *phase == StepPhase::Waiting;
                let next = |_: &StepPhase| StepPhase::Started { before };
                self.phase == PlanPhase::Running && self.advance_step(upstream, is_valid, next)
            }
            PlanStep::Finished { upstream } => {
                let is_valid = |phase: &StepPhase| matches!(phase, StepPhase::Started { .. });
                let next = |phase: &StepPhase| match phase {
                    StepPhase::Started { before } => StepPhase::Finished {
                        before: before.clone(),
                    },
                    other => other.clone(),
                };
                self.phase == PlanPhase::Running && self.advance_step(upstream, is_valid, next)
            }
            PlanStep::Restored { upstream } => {
                let is_valid = |phase: &StepPhase| {
                    matches!(
                        phase,
                        StepPhase::Started { .. } | StepPhase::Finished { .. }
                    )
                };
                let next = |phase: &StepPhase| match phase {
                    StepPhase::Started { before } | StepPhase::Finished { before } => {
                        StepPhase::Restored {
                            before: before.clone(),
                        }
                    }
                    other => other.clone(),
                };
                self.phase == PlanPhase::Undoing && self.advance_step(upstream, is_valid, next)
            }
            PlanStep::Halted { reason } => {
                let running = self.phase == PlanPhase::Running;
                if running {
                    self.start_undo(reason);
                }
                running
            }
            PlanStep::Committed => {
                let all_done = self.finished_count() == self.steps.len();
                self.end_phase(PlanPhase::Running, all_done, PlanPhase::Committed)
            }
            PlanStep::Reverted => {
                let untouched = |phase: &StepPhase| {
                    matches!(phase, StepPhase::Waiting | StepPhase::Restored { .. })
                };
                let all_done = self.steps.values().all(untouched);
                self.end_phase(PlanPhase::Undoing, all_done, PlanPhase::Reverted)
            }
        }
    }

    fn advance_step(
        &mut self,
        upstream: &UpstreamId,
        is_valid: impl FnOnce(&StepPhase) -> bool,
        next: impl FnOnce(&StepPhase) -> StepPhase,
    ) -> bool {
        match self.steps.get_mut(upstream) {
            Some(phase) if is_valid(phase) => {
                *phase = next(phase);
                true
            }
            _ => false,
        }
    }

    fn end_phase(&mut self, from: PlanPhase, all_done: bool, to: PlanPhase) -> bool {
        let is_valid = self.phase == from && all_done;
        if is_valid {
            self.phase = to;
        }
        is_valid
    }
}

/// Why a plan, or a command on one, is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanError {
    /// An active plan already holds one of the upstreams or the instance.
    Conflict {
        /// The active plan.
        winner: CommandId,
        /// Author of the active plan.
        author: String,
        /// Log offset at which the active plan was accepted.
        offset: LogOffset,
        /// The upstream or instance that both plans name.
        target: String,
    },
    /// The specification is malformed.
    Invalid(&'static str),
    /// No plan of this id is retained.
    Unknown(CommandId),
    /// The plan is already committed or reverted.
    Ended(CommandId),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict {
                winner,
                author,
                offset,
                target,
            } => write!(
                f,
                "{target} is in the hands of plan {winner} by {author}, accepted at offset {offset}"
            ),
            Self::Invalid(reason) => f.write_str(reason),
            Self::Unknown(plan) => write!(f, "there is no plan {plan}"),
            Self::Ended(plan) => write!(f, "plan {plan} has ended"),
        }
    }
}

impl std::error::Error for PlanError {}

/// Result of proposing or undoing a plan.
pub type Result<T> = std::result::Result<T, PlanError>;

/// Active plans and recently ended ones, by the id of the proposing command.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanTable {
    plans: BTreeMap<CommandId, PlanState>,
}

impl PlanTable {
    /// Accepts a plan unless an active one holds the same upstream or instance.
    pub fn propose(
        &mut self,
        offset: LogOffset,
        command: &CommandId,
        author: &str,
        spec: &PlanSpec,
    ) -> Result<()> {
        check_spec(spec)?;
        if let Some(conflict) = self.find_conflict(spec) {
            return Err(conflict);
        }
        let plan = PlanState::new(spec.clone(), author, offset);
        self.plans.insert(command.clone(), plan);
        self.evict_oldest_ended();
        Ok(())
    }

    /// Starts undoing a running plan; no effect if it is already being undone.
    pub fn undo(&mut self, offset: LogOffset, author: &str, plan: &CommandId) -> Result<()> {
        let state = self.plans.get_mut(plan);
        let state = state.ok_or_else(|| PlanError::Unknown(plan.clone()))?;
        match state.phase {
            PlanPhase::Committed | PlanPhase::Reverted => Err(PlanError::Ended(plan.clone())),
            PlanPhase::Undoing => Ok(()),
            PlanPhase::Running => {
                state.start_undo(&format!("undone by {author}"));
                state.changed = offset;
                Ok(())
            }
        }
    }

    /// Applies a step to a plan. Returns false if the step is ignored.
    pub fn apply_step(
        &mut self,
        (offset, time_ms): (LogOffset, u64),
        plan: &CommandId,
        epoch: LeaseEpoch,
        step: &PlanStep,
    ) -> bool {
        let Some(state) = self.plans.get_mut(plan) else {
            return false;
        };
        let applied = state.apply_step(epoch, step);
        if applied {
            state.changed = offset;
            state.changed_ms = time_ms;
        }
        applied
    }

    /// The plan of this id, if it is retained.
    pub fn get(&self, plan: &CommandId) -> Option<&PlanState> {
        self.plans.get(plan)
    }

    /// Every retained plan, active or ended.
    pub fn all(&self) -> impl Iterator<Item = (&CommandId, &PlanState)> {
        self.plans.iter()
    }

    /// Rollouts and role swaps that ended within `window_ms` before `now_ms` on the log's clock,
    /// newest first.
    pub fn recently_ended(&self, now_ms: u64, window_ms: u64) -> Vec<(&CommandId, &PlanState)> {
        let mut ended: Vec<_> = self
            .plans
            .iter()
            .filter(|(_, plan)| plan.phase.is_ended() && !plan.spec.is_drain())
            .filter(|(_, plan)| now_ms < plan.changed_ms + window_ms)
            .collect();
        ended.sort_by_key(|(_, plan)| std::cmp::Reverse(plan.changed));
        ended
    }

    /// Whether a plan that was accepted later changes this upstream; drains don't count.
    pub fn is_superseded(&self, plan: &PlanState, upstream: &UpstreamId) -> bool {
        let mut later = self.plans.values().filter(|p| p.offset > plan.offset);
        later.any(|p| p.steps.contains_key(upstream) && !p.spec.is_drain())
    }

    /// Plans that are running or being undone.
    pub fn active(&self) -> impl Iterator<Item = (&CommandId, &PlanState)> {
        self.plans.iter().filter(|(_, plan)| !plan.phase.is_ended())
    }

    /// Whether an active plan keeps this upstream from receiving new work.
    pub fn excludes_upstream(&self, upstream: &UpstreamId) -> bool {
        self.active()
            .any(|(_, plan)| plan.excludes_upstream(upstream))
    }

    /// Whether an active plan drains this instance.
    pub fn drains_instance(&self, instance: &InstanceId) -> bool {
        self.active()
            .any(|(_, plan)| plan.spec.instance() == Some(instance))
    }

    /// The active plan with exactly this specification, such as a drain to be ended.
    pub fn find_drain(&self, spec: &PlanSpec) -> Option<&CommandId> {
        let found = self.active().find(|(_, plan)| plan.spec == *spec);
        found.map(|(command, _)| command)
    }

    fn find_conflict(&self, spec: &PlanSpec) -> Option<PlanError> {
        let wanted = spec.upstreams();
        self.active().find_map(|(command, plan)| {
            let shared = wanted.iter().find(|name| plan.steps.contains_key(*name));
            let target = match (shared, spec.instance()) {
                (Some(upstream), _) => format!("upstream {upstream}"),
                (None, Some(instance)) if plan.spec.instance() == Some(instance) => {
                    format!("instance {instance}")
                }
                _ => return None,
            };
            Some(PlanError::Conflict {
                winner: command.clone(),
                author: plan.author.clone(),
                offset: plan.offset,
                target,
            })
        })
    }

    fn evict_oldest_ended(&mut self) {
        let ended = self.plans.iter().filter(|(_, plan)| plan.phase.is_ended());
        if ended.clone().count() <= MAX_ENDED_PLANS {
            return;
        }
        let oldest = ended.min_by_key(|(_, plan)| plan.changed);
        if let Some(command) = oldest.map(|(command, _)| command.clone()) {
            self.plans.remove(&command);
        }
    }
}

fn check_spec(spec: &PlanSpec) -> Result<()> {
    let invalid = |reason| Err(PlanError::Invalid(reason));
    let upstreams = spec.upstreams();
    let mut sorted = upstreams.clone();
    sorted.sort();
    sorted.dedup();
    match spec {
        _ if sorted.len() != upstreams.len() => invalid("an upstream is named twice"),
        _ if upstreams.len() > MAX_PLAN_UPSTREAMS => invalid("the plan names too many upstreams"),
        PlanSpec::RollModel { version, .. } if version.is_empty() => {
            invalid("the version is empty")
        }
        PlanSpec::RollModel { upstreams, .. } if upstreams.is_empty() => {
            invalid("the plan names no upstream")
        }
        _ => Ok(()),
    }
}
