//! Planned changes, as stored on the log.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::engine::EngineRole;
use crate::id::{InstanceId, ModelId, TierId, UpstreamId};

/// The intended result of a plan. It names every affected upstream, so that the log can be folded
/// without the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PlanSpec {
    /// Sends no new work to an upstream until the drain is ended.
    DrainUpstream {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Makes an instance leave, as if removed from the load balancer, until the drain is ended.
    DrainInstance {
        /// The instance.
        instance: InstanceId,
    },
    /// Changes the version of a model, upstream by upstream.
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
    /// Exchanges the roles of two engines.
    SwapRoles {
        /// One engine.
        first: UpstreamId,
        /// The other engine.
        second: UpstreamId,
    },
}

impl PlanSpec {
    /// Returns the affected upstreams, in the order in which they are changed.
    pub fn upstreams(&self) -> Vec<UpstreamId> {
        match self {
            Self::DrainUpstream { upstream } => vec![upstream.clone()],
            Self::DrainInstance { .. } => Vec::new(),
            Self::RollModel { upstreams, .. } => upstreams.clone(),
            Self::SwapRoles { first, second } => vec![first.clone(), second.clone()],
        }
    }

    /// Returns the affected instance; `None` for plans that change upstreams.
    pub fn instance(&self) -> Option<&InstanceId> {
        match self {
            Self::DrainInstance { instance } => Some(instance),
            _ => None,
        }
    }

    /// Returns whether the plan is a drain, which lasts until it is ended and sends no orders to
    /// engines.
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

/// State of one engine: what a plan wants, or what the engine had before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTarget {
    /// Model in service.
    pub model: Option<ModelId>,
    /// Version of the model.
    pub version: String,
    /// Role of the engine.
    pub role: EngineRole,
}

/// One step of a plan, written by the holder of the plan lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStep {
    /// A new holder takes over the plan; later steps of earlier epochs are ignored.
    TakenOver,
    /// The change of an upstream starts; it gets no new work.
    Started {
        /// The upstream.
        upstream: UpstreamId,
        /// State of the upstream before the change.
        before: EngineTarget,
    },
    /// The upstream reported the wanted state and gets work again.
    Finished {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The plan stopped and is rolled back.
    Halted {
        /// Cause of the rollback.
        reason: String,
    },
    /// The upstream reported its former state and gets work again.
    Restored {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Every upstream is in the wanted state.
    Committed,
    /// Every upstream is in its former state.
    Reverted,
}
