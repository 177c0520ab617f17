//! Accounts of the work that each team was granted, for each group of upstreams.

use std::collections::HashMap;

use amaranth_kernel::slot_allocator::UpstreamSlots;
use amaranth_kernel::team_share::{ShareDecision, SlotOutcome, TeamShares};
use amaranth_net::state_lock::StateMutex;
use amaranth_wire::id::UpstreamGroupId;
use amaranth_wire::placement_message::{PlacementDemand, PlacementReply, RequestWork};
use rand::RngExt;

use crate::upstream_pool::PoolStep;

/// Factors by which the delays of requests that yield differ, as of those refused for lack of room.
const RETRY_SPREAD: std::ops::Range<f64> = 0.7..1.7;

/// How a request is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SharedDemand {
    /// With this demand.
    Place(PlacementDemand),
    /// Not at all.
    Refuse {
        /// Time after which it should return, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Reads a reply about these upstreams.
pub fn reply_outcome(reply: &PlacementReply, upstreams: &[UpstreamSlots]) -> SlotOutcome {
    let PlacementReply::Granted { upstream, load, .. } = reply else {
        return SlotOutcome::Refused;
    };
    let row = upstreams.iter().find(|row| row.upstream == *upstream);
    match row.is_none_or(|row| *load < f64::from(row.slots)) {
        true => SlotOutcome::Free,
        false => SlotOutcome::Queued,
    }
}

/// Reads this instance's own choice.
pub fn step_outcome(step: &PoolStep) -> SlotOutcome {
    match step {
        PoolStep::Send(permit) if permit.has_free_slot => SlotOutcome::Free,
        PoolStep::Send(_) => SlotOutcome::Queued,
        PoolStep::Refuse { .. } | PoolStep::NoUpstream => SlotOutcome::Refused,
    }
}

/// Accounts by group. Groups are those of the configuration, so their number is bounded.
#[derive(Debug, Default)]
pub struct GroupShares(StateMutex<HashMap<UpstreamGroupId, TeamShares>>);

impl GroupShares {
    /// Decides how long a request may wait for a slot, or that it yields. Requests without a team, and
    /// batch items, are placed as they are.
    pub fn decide(
        &self,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        work: Option<&RequestWork>,
        now_ms: u64,
    ) -> SharedDemand {
        let work = work.filter(|work| work.team.is_some());
        let (PlacementDemand::Online { objective_ms }, Some(work)) = (demand, work) else {
            return SharedDemand::Place(demand);
        };
        let mut groups = self.0.lock();
        let Some(shares) = groups.get_mut(group) else {
            return SharedDemand::Place(demand);
        };
        match shares.decide(work, now_ms) {
            ShareDecision::Compete { patience } => SharedDemand::Place(PlacementDemand::Online {
                objective_ms: (objective_ms as f64 * patience) as u64,
            }),
            ShareDecision::Yield { retry_after_ms } => {
                metrics::counter!("yielded_requests_total").increment(1);
                let factor = rand::rng().random_range(RETRY_SPREAD);
                SharedDemand::Refuse {
                    retry_after_ms: (retry_after_ms as f64 * factor) as u64,
                }
            }
        }
    }

    /// Records what an online request of a team found.
    pub fn record(
        &self,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        work: Option<&RequestWork>,
        outcome: SlotOutcome,
        now_ms: u64,
    ) {
        let work = work.filter(|work| work.team.is_some());
        if let (PlacementDemand::Online { .. }, Some(work)) = (demand, work) {
            let mut groups = self.0.lock();
            let shares = groups.entry(group.clone()).or_default();
            shares.record(work, outcome, now_ms);
        }
    }
}
