//! Finds another upstream for a request whose upstream is silent.

use amaranth_kernel::attempt_plan::{AttemptCount, FailureProof};
use amaranth_kernel::hand_over::{
    SilenceStep, SilentAttempt, SilentRequest, after_silence, goes_on_alone, may_return,
    may_take_place,
};
use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::PlacementDemand;
use tokio::time::Instant;

use super::{ForwardRun, UpstreamSilence};
use crate::attempt::FailedAttempt;
use crate::upstream_pool::{PoolStep, SharedSilence, UpstreamPermit};

/// A place at another upstream.
pub(super) struct FoundSuccessor {
    /// The place.
    pub permit: UpstreamPermit,
    /// Whether the upstream has run the request before. The silent one is then left for good.
    pub returns: bool,
    /// Whether the place was paid for from the retry budget.
    pub takes_retry: bool,
}

impl ForwardRun {
    /// Takes a place at another upstream, without those that refused the request lately; `None` if no
    /// other attempt is allowed or none has room.
    pub(super) async fn find_successor(
        &self,
        silence: &UpstreamSilence,
        refused: &mut Vec<(UpstreamId, Instant)>,
    ) -> Option<FoundSuccessor> {
        if self
            .context
            .quarantine
            .is_refused(&self.request.shared_parts)
        {
            return None;
        }
        refused.retain(|(_, until)| *until > Instant::now());
        let refused: Vec<_> = refused.iter().map(|(upstream, _)| upstream).collect();
        let attempt = self.silent_attempt(silence);
        match self.find_tried(silence, &attempt, &refused) {
            Some(found) => Some(found),
            None => self.find_untried(silence, &attempt, &refused).await,
        }
    }

    /// Takes a place at an upstream that has run the request before. It doesn't count as another
    /// attempt.
    fn find_tried(
        &self,
        silence: &UpstreamSilence,
        attempt: &SilentAttempt,
        refused: &[&UpstreamId],
    ) -> Option<FoundSuccessor> {
        let pool = &self.context.placement.pool;
        let mut upstreams = self.tried();
        upstreams.retain(|upstream| {
            let is_asked = *upstream != silence.upstream && !refused.contains(&upstream);
            let signs = pool.signs(upstream);
            is_asked
                && match self.left.contains(upstream) {
                    true => goes_on_alone(attempt, &signs),
                    false => may_return(attempt, &signs),
                }
        });
        let count = self.count_without([&silence.upstream, upstreams.first()?]);
        let max_wait_ms = self.max_wait_ms(attempt, count)?;
        let step = self.place_among(&upstreams, max_wait_ms);
        self.take_place(step, max_wait_ms, true)
    }

    /// Takes a place at an upstream that has not had the request. One that shares the silence is
    /// asked only if all do, and none has been tried.
    async fn find_untried(
        &self,
        silence: &UpstreamSilence,
        attempt: &SilentAttempt,
        refused: &[&UpstreamId],
    ) -> Option<FoundSuccessor> {
        let count = self.count_without([&silence.upstream]);
        let max_wait_ms = self.max_wait_ms(attempt, count)?;
        let placement = &self.context.placement;
        let avoided = refused.iter().copied().chain([&silence.upstream]);
        let avoided = avoided.chain(&self.ran);
        let mut excluded: Vec<_> = self.excluded.iter().chain(avoided).cloned().collect();
        match placement
            .pool
            .shared_silence(&self.group, attempt, &excluded)
        {
            SharedSilence::Some(silent) => excluded.extend(silent),
            SharedSilence::All if self.has_tried() => return None,
            SharedSilence::All => {}
        }
        let demand = PlacementDemand::Online {
            objective_ms: max_wait_ms,
        };
        let step = placement
            .acquire(&self.group, demand, self.request.work.as_ref(), &excluded)
            .await;
        self.take_place(step, max_wait_ms, false)
    }

    /// Upstreams that may have run the request and may run it again.
    pub(super) fn tried(&self) -> Vec<UpstreamId> {
        let tried = self.ran.iter();
        let tried = tried.filter(|upstream| !self.excluded.contains(upstream));
        tried.cloned().collect()
    }

    /// Upstreams that a request returns to after a failure: those that were dropped in a hand-over, or
    /// else those that it left.
    pub(super) fn returnable(&self) -> Vec<UpstreamId> {
        let (left, dropped): (Vec<_>, Vec<_>) = self
            .tried()
            .into_iter()
            .partition(|upstream| self.left.contains(upstream));
        match dropped.is_empty() {
            true => left,
            false => dropped,
        }
    }

    /// Whether an upstream was dropped in a hand-over that may run the request again.
    pub(super) fn has_dropped(&self) -> bool {
        let tried = self.tried();
        tried.iter().any(|upstream| !self.left.contains(upstream))
    }

    /// Whether an upstream that may have run the request may run it again.
    pub(super) fn has_tried(&self) -> bool {
        !self.tried().is_empty()
    }

    /// Counts a failed attempt. Upstreams that may have run the request count once.
    pub(super) fn count_failure(&mut self, failed: &FailedAttempt) {
        match failed.proof {
            FailureProof::MayHaveRun => self.count_run(&failed.upstream),
            proof => self.count.add(proof),
        }
    }

    /// Counts an upstream that may have run the request.
    pub(super) fn count_run(&mut self, upstream: &UpstreamId) {
        if !self.ran.contains(upstream) {
            self.count.add(FailureProof::MayHaveRun);
            self.ran.push(upstream.clone());
        }
    }

    /// Failed attempts apart from those at upstreams that have the request again.
    fn count_without<const N: usize>(&self, upstreams: [&UpstreamId; N]) -> AttemptCount {
        let ran_again = upstreams
            .iter()
            .filter(|upstream| self.ran.contains(upstream));
        AttemptCount {
            may_have_run: self.count.may_have_run - ran_again.count() as u32,
            ..self.count
        }
    }

    /// Longest wait at another upstream; `None` if no other attempt is allowed.
    fn max_wait_ms(&self, attempt: &SilentAttempt, count: AttemptCount) -> Option<u64> {
        let request = SilentRequest {
            silent_ms: attempt.silent_ms,
            count,
            bounds: self.bounds(),
        };
        match after_silence(&request, &self.context.budget.lock()) {
            SilenceStep::FindSuccessor { max_wait_ms } => Some(max_wait_ms),
            SilenceStep::Wait => None,
        }
    }

    /// Places the request at one of a few upstreams, by the estimates of this instance.
    pub(super) fn place_among(&self, upstreams: &[UpstreamId], max_wait_ms: u64) -> PoolStep {
        let pool = &self.context.placement.pool;
        let others = pool.serving(&self.group, upstreams);
        let others: Vec<_> = others.into_iter().map(|(upstream, _)| upstream).collect();
        let demand = PlacementDemand::Online {
            objective_ms: max_wait_ms,
        };
        pool.choose(&self.group, demand, &others)
    }

    fn take_place(
        &self,
        step: PoolStep,
        max_wait_ms: u64,
        returns: bool,
    ) -> Option<FoundSuccessor> {
        let PoolStep::Send(permit) = step else {
            return None;
        };
        let takes_retry = !permit.has_free_slot && max_wait_ms > 0;
        let mut budget = self.context.budget.lock();
        let is_taken = may_take_place(permit.has_free_slot, max_wait_ms, &mut budget);
        drop(budget);
        is_taken.then_some(FoundSuccessor {
            permit,
            returns,
            takes_retry,
        })
    }
}
