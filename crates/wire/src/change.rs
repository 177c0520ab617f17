//! Planned changes as they stand on the log.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::engine::EngineRole;
use crate::id::{InstanceId, ModelId, TierId, UpstreamId};

/// What a plan is to bring about. The spec names every upstream that it touches, so that the fold
/// needs no settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PlanSpec {
    /// Give an upstream no new work until the drain is ended.
    DrainUpstream {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Make an instance leave as if the balancer had been told, until the drain is ended.
    DrainInstance {
        /// The instance.
        instance: InstanceId,
    },
    /// Serve a model at another version, upstream by upstream.
    RollModel {
        /// The tier whose upstreams are rolled.
        tier: TierId,
        /// The model.
        model: ModelId,
        /// The version to serve.
        version: String,
        /// The upstreams, in the order in which they are rolled.
        upstreams: Vec<UpstreamId>,
    },
    /// Exchange the roles of two engines.
    SwapRoles {
        /// One of them.
        first: UpstreamId,
        /// The other.
        second: UpstreamId,
    },
}

impl PlanSpec {
    /// The upstreams that the plan touches, in its order.
    pub fn upstreams(&self) -> Vec<UpstreamId> {
        match self {
            Self::DrainUpstream { upstream } => vec![upstream.clone()],
            Self::DrainInstance { .. } => Vec::new(),
            Self::RollModel { upstreams, .. } => upstreams.clone(),
            Self::SwapRoles { first, second } => vec![first.clone(), second.clone()],
        }
    }

    /// The instance that the plan touches.
    pub fn instance(&self) -> Option<&InstanceId> {
        match self {
            Self::DrainInstance { instance } => Some(instance),
            _ => None,
        }
    }

    /// Whether the plan lasts until it is ended, without orders to engines.
    pub fn is_drain(&self) -> bool {
        matches!(
            self,
            Self::DrainUpstream { .. } | Self::DrainInstance { .. }
        )
    }
}

impl fmt::Display for PlanSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DrainUpstream { upstream } => write!(f, "drain upstream {upstream}"),
            Self::DrainInstance { instance } => write!(f, "drain instance {instance}"),
            Self::RollModel {
                tier,
                model,
                version,
                ..
            } => write!(f, "roll model {model} to version {version} on tier {tier}"),
            Self::SwapRoles { first, second } => write!(f, "swap {first} with {second}"),
        }
    }
}

/// What a plan wants of one engine, or what the engine had before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTarget {
    /// The model.
    pub model: Option<ModelId>,
    /// Its version.
    pub version: String,
    /// The role.
    pub role: EngineRole,
}

/// One step of a plan, written by the holder of the plan lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStep {
    /// A driver takes the plan over; steps of earlier epochs are ignored from here on.
    TakenOver,
    /// An upstream gets no new work from here on; `before` is what it served.
    Started {
        /// The upstream.
        upstream: UpstreamId,
        /// Its state before the change.
        before: EngineTarget,
    },
    /// The upstream was read back in the wanted state and gets work again.
    Finished {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The plan goes back.
    Halted {
        /// Why.
        reason: String,
    },
    /// The upstream was read back in its former state and gets work again.
    Restored {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Every upstream is in the wanted state.
    Committed,
    /// Every upstream is in its former state.
    Reverted,
}
