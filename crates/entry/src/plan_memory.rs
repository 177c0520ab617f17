//! What the driver remembers of a plan for as long as it holds the lease.

use std::collections::HashMap;

use amaranth_kernel::plan_state::PlanState;
use amaranth_kernel::rollout::{EngineObservation, OrderFencing};
use amaranth_net::clock::steady_ms;
use amaranth_wire::engine::EngineStatus;
use amaranth_wire::id::{CommandId, LeaseEpoch, UpstreamId};

use crate::context::InstanceContext;
use crate::plan_health::HealthWatch;

/// How long an upstream is out of service before it is ordered, so that every instance has read
/// it, in milliseconds.
const SETTLE_MS: u64 = 500;
const DEFAULT_SOAK_MS: u64 = 2_000;

/// What the driver remembers of one plan, for as long as it holds the lease.
#[derive(Debug, Default)]
pub struct PlanMemory {
    /// Orders by upstream since the plan last changed its direction.
    pub orders: HashMap<UpstreamId, u32>,
    /// Numbers of the next orders; never used twice.
    pub order_numbers: HashMap<UpstreamId, u32>,
    /// When upstreams were taken out of service, on the steady clock.
    pub started_ms: HashMap<UpstreamId, u64>,
    /// Since when upstreams do not answer, on the steady clock.
    pub silent_since_ms: HashMap<UpstreamId, u64>,
    /// When an engine was last seen to be done, on the steady clock.
    pub finished_ms: Option<u64>,
    /// What requests came to meanwhile.
    pub health: HealthWatch,
}

impl PlanMemory {
    /// Notes what was read of an engine.
    pub fn note(
        &mut self,
        upstream: &UpstreamId,
        status: Option<EngineStatus>,
    ) -> EngineObservation {
        let now_ms = steady_ms();
        let unreachable_ms = match &status {
            Some(_) => {
                self.silent_since_ms.remove(upstream);
                0
            }
            None => {
                let since = self.silent_since_ms.entry(upstream.clone());
                now_ms - *since.or_insert(now_ms)
            }
        };
        EngineObservation {
            status,
            unreachable_ms,
            orders: self.orders.get(upstream).copied().unwrap_or(0),
            fencing: OrderFencing::default(),
        }
    }

    /// Whether the engines that were changed last are still being judged. A new driver judges
    /// those that it finds changed.
    pub fn is_soaking(&mut self, context: &InstanceContext, plan: &PlanState) -> bool {
        if plan.finished_count() == 0 {
            return false;
        }
        let finished_ms = *self.finished_ms.get_or_insert_with(steady_ms);
        let soak_ms = context.state.config().number("plan.soak_ms");
        steady_ms() < finished_ms + soak_ms.unwrap_or(DEFAULT_SOAK_MS)
    }

    /// Whether the upstream has been out of service long enough for every instance to know.
    pub fn is_settled(&self, upstream: &UpstreamId) -> bool {
        let started_ms = self.started_ms.get(upstream).copied().unwrap_or(0);
        steady_ms() >= started_ms + SETTLE_MS
    }

    /// The id of the next order. One that was not taken is sent again under the same id; one
    /// that may have been taken is followed only after the engine's state was read back.
    pub fn order_id(&self, epoch: LeaseEpoch, plan: &CommandId, upstream: &UpstreamId) -> String {
        let number = self.order_numbers.get(upstream).copied().unwrap_or(0);
        format!("{plan}:{upstream}:{epoch}:{number}")
    }
}
