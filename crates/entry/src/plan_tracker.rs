//! In-memory progress of one plan, kept while this instance holds the plan lease.

use std::collections::HashMap;

use amaranth_kernel::plan_state::PlanState;
use amaranth_kernel::rollout::{EngineObservation, OrderFencing};
use amaranth_net::clock::steady_ms;
use amaranth_wire::engine::EngineStatus;
use amaranth_wire::id::{CommandId, LeaseEpoch, UpstreamId};

use crate::context::InstanceContext;
use crate::plan_health::RolloutHealth;

/// Delay between taking an upstream out of service and the first order to it, in milliseconds, so
/// that every instance has folded the change.
const SETTLE_MS: u64 = 500;
/// Value of `plan.soak_ms` while it is not set.
const DEFAULT_SOAK_MS: u64 = 2_000;

/// Orders, timestamps and request health of one plan. A new lease holder starts from empty.
#[derive(Debug, Default)]
pub struct PlanTracker {
    /// Count of orders that each upstream may have accepted; reset when the plan halts.
    pub orders_sent: HashMap<UpstreamId, u32>,
    /// Number in the next order id of each upstream; not reused once an order may have arrived.
    pub next_order_numbers: HashMap<UpstreamId, u32>,
    /// When each upstream was taken out of service, on the steady clock.
    pub started_ms: HashMap<UpstreamId, u64>,
    /// When each unreachable upstream first failed to answer, on the steady clock.
    pub unreachable_since_ms: HashMap<UpstreamId, u64>,
    /// When an engine's step last finished, on the steady clock.
    pub finished_ms: Option<u64>,
    /// Request counts of the rollout by version.
    pub health: RolloutHealth,
}

impl PlanTracker {
    /// Records a status read, `None` if it failed, and returns the resulting observation.
    pub fn record_status(
        &mut self,
        upstream: &UpstreamId,
        status: Option<EngineStatus>,
    ) -> EngineObservation {
        let now_ms = steady_ms();
        let unreachable_ms = match &status {
            Some(_) => {
                self.unreachable_since_ms.remove(upstream);
                0
            }
            None => {
                let since = self.unreachable_since_ms.entry(upstream.clone());
                now_ms - *since.or_insert(now_ms)
            }
        };
        EngineObservation {
            status,
            unreachable_ms,
            orders: self.orders_sent.get(upstream).copied().unwrap_or(0),
            fencing: OrderFencing::default(),
        }
    }

    /// Whether the soak time after the last finished step is still running. A new driver starts
    /// it anew when it finds finished steps.
    pub fn is_soaking(&mut self, context: &InstanceContext, plan: &PlanState) -> bool {
        if plan.finished_count() == 0 {
            return false;
        }
        let finished_ms = *self.finished_ms.get_or_insert_with(steady_ms);
        let soak_ms = context.state.config().number("plan.soak_ms");
        steady_ms() < finished_ms + soak_ms.unwrap_or(DEFAULT_SOAK_MS)
    }

    /// Whether `SETTLE_MS` has passed since the upstream was taken out of service.
    pub fn is_settled(&self, upstream: &UpstreamId) -> bool {
        let started_ms = self.started_ms.get(upstream).copied().unwrap_or(0);
        steady_ms() >= started_ms + SETTLE_MS
    }

    /// Id of the next order. An order that was not accepted is sent again under the same id. After
    /// one that may have been accepted, the next follows only once the engine's status was read.
    pub fn order_id(&self, epoch: LeaseEpoch, plan: &CommandId, upstream: &UpstreamId) -> String {
        let number = self.next_order_numbers.get(upstream).copied().unwrap_or(0);
        format!("{plan}:{upstream}:{epoch}:{number}")
    }
}
