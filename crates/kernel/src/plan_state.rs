//! Plans folded from the log: who is allowed which step, and how far each plan is.

use std::collections::BTreeMap;
use std::fmt;

use amaranth_wire::change::{EngineTarget, PlanSpec, PlanStep};
use amaranth_wire::id::{CommandId, InstanceId, LeaseEpoch, LogOffset, UpstreamId};
use serde::{Deserialize, Serialize};

/// How many ended plans are remembered.
const ENDED_LIMIT: usize = 256;
/// Most upstreams that one plan may touch.
const UPSTREAM_LIMIT: usize = 10_000;

/// How far a plan is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanPhase {
    /// Steps are being made.
    Running,
    /// Steps are being taken back.
    Undoing,
    /// Every step is made.
    Committed,
    /// Every step that was made is taken back.
    Reverted,
}

impl PlanPhase {
    /// Whether nothing more will happen.
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

/// How far a plan is with one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepPhase {
    /// Untouched.
    Waiting,
    /// Out of service while it is changed.
    Started {
        /// What it served before.
        before: EngineTarget,
    },
    /// In the wanted state.
    Finished {
        /// What it served before.
        before: EngineTarget,
    },
    /// Back in its former state.
    Restored {
        /// What it served before.
        before: EngineTarget,
    },
}

/// One plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanState {
    /// What it is to bring about.
    pub spec: PlanSpec,
    /// Who asked for it.
    pub author: String,
    /// Where it was accepted.
    pub offset: LogOffset,
    /// How far it is.
    pub phase: PlanPhase,
    /// Why it goes back, if it does.
    pub reason: Option<String>,
    /// The highest epoch that drove it.
    pub epoch: LeaseEpoch,
    /// Where its last change stands.
    pub changed: LogOffset,
    /// When its last change was taken by the log, Unix milliseconds.
    pub changed_ms: u64,
    /// How far each of its upstreams is.
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

    /// Whether the plan keeps new work from this upstream.
    pub fn withholds(&self, upstream: &UpstreamId) -> bool {
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

    /// How many upstreams are in the wanted state.
    pub fn finished(&self) -> usize {
        let phases = self.steps.values();
        phases
            .filter(|phase| matches!(phase, StepPhase::Finished { .. }))
            .count()
    }

    fn go_back(&mut self, reason: &str) {
        self.phase = PlanPhase::Undoing;
        self.reason = Some(reason.to_owned());
        let untouched = |phase: &StepPhase| matches!(phase, StepPhase::Waiting);
        if self.spec.is_drain() || self.steps.values().all(untouched) {
            self.phase = PlanPhase::Reverted;
        }
    }

    /// Makes a step if it fits. False when it is ignored.
    fn step(&mut self, epoch: LeaseEpoch, step: &PlanStep) -> bool {
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
                let fits = |phase: &StepPhase| *phase == StepPhase::Waiting;
                let next = |_: &StepPhase| StepPhase::Started { before };
                self.phase == PlanPhase::Running && self.advance(upstream, fits, next)
            }
            PlanStep::Finished { upstream } => {
                let fits = |phase: &StepPhase| matches!(phase, StepPhase::Started { .. });
                let next = |phase: &StepPhase| match phase {
                    StepPhase::Started { before } => StepPhase::Finished {
                        before: before.clone(),
                    },
                    other => other.clone(),
                };
                self.phase == PlanPhase::Running && self.advance(upstream, fits, next)
            }
            PlanStep::Restored { upstream } => {
                let fits = |phase: &StepPhase| {
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
                self.phase == PlanPhase::Undoing && self.advance(upstream, fits, next)
            }
            PlanStep::Halted { reason } => {
                let running = self.phase == PlanPhase::Running;
                if running {
                    self.go_back(reason);
                }
                running
            }
            PlanStep::Committed => {
                let all = self.finished() == self.steps.len();
                self.end(PlanPhase::Running, all, PlanPhase::Committed)
            }
            PlanStep::Reverted => {
                let untouched = |phase: &StepPhase| {
                    matches!(phase, StepPhase::Waiting | StepPhase::Restored { .. })
                };
                let all = self.steps.values().all(untouched);
                self.end(PlanPhase::Undoing, all, PlanPhase::Reverted)
            }
        }
    }

    fn advance(
        &mut self,
        upstream: &UpstreamId,
        fits: impl FnOnce(&StepPhase) -> bool,
        next: impl FnOnce(&StepPhase) -> StepPhase,
    ) -> bool {
        match self.steps.get_mut(upstream) {
            Some(phase) if fits(phase) => {
                *phase = next(phase);
                true
            }
            _ => false,
        }
    }

    fn end(&mut self, from: PlanPhase, all: bool, to: PlanPhase) -> bool {
        let fits = self.phase == from && all;
        if fits {
            self.phase = to;
        }
        fits
    }
}

/// Why a plan is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanError {
    /// Another plan that stands earlier on the log touches the same upstream or instance.
    Conflict {
        /// The plan that won.
        winner: CommandId,
        /// Who asked for it.
        author: String,
        /// Where it was accepted.
        offset: LogOffset,
        /// What both touch.
        target: String,
    },
    /// The plan makes no sense.
    Invalid(&'static str),
    /// There is no such plan.
    Unknown(CommandId),
    /// The plan has ended.
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

/// Result of a command on plans.
pub type Result<T> = std::result::Result<T, PlanError>;

/// Every plan, by the command that asked for it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanTable {
    plans: BTreeMap<CommandId, PlanState>,
}

impl PlanTable {
    /// Accepts a plan unless an earlier one that still lasts touches the same.
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
        self.forget_oldest();
        Ok(())
    }

    /// Makes a plan go back.
    pub fn undo(&mut self, offset: LogOffset, author: &str, plan: &CommandId) -> Result<()> {
        let state = self.plans.get_mut(plan);
        let state = state.ok_or_else(|| PlanError::Unknown(plan.clone()))?;
        match state.phase {
            PlanPhase::Committed | PlanPhase::Reverted => Err(PlanError::Ended(plan.clone())),
            PlanPhase::Undoing => Ok(()),
            PlanPhase::Running => {
                state.go_back(&format!("undone by {author}"));
                state.changed = offset;
                Ok(())
            }
        }
    }

    /// Makes a step of a plan. False when the step is ignored.
    pub fn step(
        &mut self,
        (offset, time_ms): (LogOffset, u64),
        plan: &CommandId,
        epoch: LeaseEpoch,
        step: &PlanStep,
    ) -> bool {
        let Some(state) = self.plans.get_mut(plan) else {
            return false;
        };
        let made = state.step(epoch, step);
        if made {
            state.changed = offset;
            state.changed_ms = time_ms;
        }
        made
    }

    /// One plan.
    pub fn get(&self, plan: &CommandId) -> Option<&PlanState> {
        self.plans.get(plan)
    }

    /// Every plan that is remembered.
    pub fn all(&self) -> impl Iterator<Item = (&CommandId, &PlanState)> {
        self.plans.iter()
    }

    /// Plans that ended not long before a time of the log's clock, newest first, each with the
    /// upstreams that no later plan touches.
    pub fn just_ended(&self, now_ms: u64, window_ms: u64) -> Vec<(&CommandId, &PlanState)> {
        let mut ended: Vec<_> = self
            .plans
            .iter()
            .filter(|(_, plan)| plan.phase.is_ended() && !plan.spec.is_drain())
            .filter(|(_, plan)| now_ms < plan.changed_ms + window_ms)
            .collect();
        ended.sort_by_key(|(_, plan)| std::cmp::Reverse(plan.changed));
        ended
    }

    /// Whether a plan that was accepted later touches this upstream.
    pub fn is_superseded(&self, plan: &PlanState, upstream: &UpstreamId) -> bool {
        let mut later = self.plans.values().filter(|p| p.offset > plan.offset);
        later.any(|p| p.steps.contains_key(upstream) && !p.spec.is_drain())
    }

    /// The plans that have not ended.
    pub fn lasting(&self) -> impl Iterator<Item = (&CommandId, &PlanState)> {
        self.plans.iter().filter(|(_, plan)| !plan.phase.is_ended())
    }

    /// Whether a plan keeps new work from this upstream.
    pub fn withholds(&self, upstream: &UpstreamId) -> bool {
        self.lasting().any(|(_, plan)| plan.withholds(upstream))
    }

    /// Whether a plan makes this instance leave.
    pub fn drains_instance(&self, instance: &InstanceId) -> bool {
        self.lasting()
            .any(|(_, plan)| plan.spec.instance() == Some(instance))
    }

    /// The plan that drains exactly this upstream or instance.
    pub fn find_drain(&self, spec: &PlanSpec) -> Option<&CommandId> {
        let found = self.lasting().find(|(_, plan)| plan.spec == *spec);
        found.map(|(command, _)| command)
    }

    fn find_conflict(&self, spec: &PlanSpec) -> Option<PlanError> {
        let wanted = spec.upstreams();
        self.lasting().find_map(|(command, plan)| {
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

    fn forget_oldest(&mut self) {
        let ended = self.plans.iter().filter(|(_, plan)| plan.phase.is_ended());
        if ended.clone().count() <= ENDED_LIMIT {
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
        _ if upstreams.len() > UPSTREAM_LIMIT => invalid("the plan names too many upstreams"),
        PlanSpec::RollModel { version, .. } if version.is_empty() => {
            invalid("the version is empty")
        }
        PlanSpec::RollModel { upstreams, .. } if upstreams.is_empty() => {
            invalid("the plan names no upstream")
        }
        _ => Ok(()),
    }
}
