//! One forwarded request: its attempts, until an upstream answers or it is given up.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::attempt_plan::{
    AttemptBounds, AttemptCount, AttemptDecision, FailureProof, decide_after_failure,
};
use amaranth_kernel::retry::RetryBudget;
use amaranth_kernel::route_table::{RouteKind, RouteRule};
use amaranth_net::telemetry::quote;
use amaranth_wire::id::{UpstreamGroupId, UpstreamId};
use amaranth_wire::placement_message::PlacementDemand;
use tokio::time::Instant;

use crate::answer::GiveUp;
use crate::attempt::{AttemptLimits, AttemptStep, ForwardRequest, attempt};
use crate::call::UpstreamCodec;
use crate::connection_pool::OpenAnswer;
use crate::placement_service::PlacementService;
use crate::upstream_pool::{PoolDecision, UpstreamReservation};

/// Waits for the head of a repeatable request's answer, in objectives: an upstream that is silent
/// for longer than a queue within the objective explains is left for another one.
const HEAD_OBJECTIVES: u32 = 3;
/// Share of the objective in which a stream at a free slot must begin: usual ones begin within a
/// third, and as much is left for another upstream.
const FREE_SLOT_SHARE: f64 = 0.6;
/// Least of these waits: callers leave a stream that is silent for 2 s, so another upstream must
/// have answered by then.
const MIN_HEAD_WAIT: Duration = Duration::from_millis(1_000);
/// Pause that a caller is told when no upstream is known, in milliseconds: the time in which
/// announcements are read.
const NO_UPSTREAM_PAUSE_MS: u64 = 500;
/// Pause that a caller is told after upstreams refused, in milliseconds: about a short answer.
const REFUSED_PAUSE_MS: u64 = 300;

/// What forwarding needs.
pub struct ForwardPath {
    /// Finds places at upstreams.
    pub placement: Arc<PlacementService>,
    /// How they are spoken to.
    pub codec: UpstreamCodec,
    budget: Mutex<RetryBudget>,
}

impl ForwardPath {
    /// A path to these upstreams.
    pub fn new(placement: Arc<PlacementService>, codec: UpstreamCodec) -> Self {
        Self {
            placement,
            codec,
            budget: Mutex::new(RetryBudget::new()),
        }
    }
}

/// One forwarded request.
pub struct ForwardRun {
    path: Arc<ForwardPath>,
    route: Arc<RouteRule>,
    group: UpstreamGroupId,
    request: ForwardRequest,
    started: Instant,
    deadline: Instant,
    count: AttemptCount,
    excluded: Vec<UpstreamId>,
}

impl ForwardRun {
    /// A request that was received at `started`.
    pub fn new(
        path: Arc<ForwardPath>,
        route: Arc<RouteRule>,
        group: UpstreamGroupId,
        request: ForwardRequest,
        started: Instant,
        patience_ms: Option<u64>,
    ) -> Self {
        let limit_ms = patience_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        path.budget.lock().expect("not poisoned").add_request();
        Self {
            path,
            group,
            request,
            started,
            deadline: started + Duration::from_millis(limit_ms),
            count: AttemptCount::default(),
            excluded: Vec::new(),
            route,
        }
    }

    /// When the final answer is due.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// When the request was received.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Its route.
    pub fn route(&self) -> &RouteRule {
        &self.route
    }

    /// Attempts so far that may have run, and those that did not.
    pub fn count(&self) -> AttemptCount {
        self.count
    }

    /// Whether a broken answer can be followed by another attempt.
    fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Attempts until an upstream answers. `resume_after` is the last event that the caller has.
    pub async fn open(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<(OpenAnswer, UpstreamReservation), GiveUp> {
        loop {
            let reservation = self.choose(resume_after.is_some()).await?;
            let limits = self.limits(resume_after, reservation.has_free_slot);
            let path = self.path.clone();
            let step = attempt(
                &path.placement.pool,
                &path.codec,
                reservation,
                &self.request,
                limits,
            )
            .await;
            let (why, upstream, proof) = match step {
                AttemptStep::Answer(answer, reservation) => {
                    if self.retries_failure(&answer) {
                        let why = format!("answered {}", answer.status().as_u16());
                        (why, reservation.upstream.clone(), FailureProof::MayHaveRun)
                    } else {
                        return Ok((*answer, reservation));
                    }
                }
                AttemptStep::NotRun { why, upstream } => (why, upstream, FailureProof::NotRun),
                AttemptStep::Broken { why, upstream } => (why, upstream, FailureProof::MayHaveRun),
            };
            self.note_failure(upstream, proof, &why)?;
        }
    }

    /// Whether a failure that the upstream reports is worth another attempt.
    fn retries_failure(&self, answer: &OpenAnswer) -> bool {
        let attempts_left = self.count.may_have_run + 1 < self.route.max_attempts;
        answer.status().is_server_error() && self.is_repeatable() && attempts_left
    }

    /// Notes that an attempt failed, and says whether another may follow.
    pub fn note_failure(
        &mut self,
        upstream: UpstreamId,
        proof: FailureProof,
        why: &str,
    ) -> Result<(), GiveUp> {
        self.count.add(proof);
        let bounds = AttemptBounds {
            repeatable: self.is_repeatable(),
            max_attempts: self.route.max_attempts,
            remaining_ms: self.remaining().as_millis() as u64,
        };
        let mut budget = self.path.budget.lock().expect("not poisoned");
        let next = decide_after_failure(self.count, proof, bounds, &mut budget);
        drop(budget);
        log::info!(
            "event=attempt_failed request={} upstream={upstream} proof={proof:?} why={} attempts={} remaining_ms={} next={next:?}",
            self.request.id,
            quote(why),
            self.count.may_have_run + self.count.not_run,
            bounds.remaining_ms,
        );
        self.excluded.push(upstream);
        match next {
            AttemptDecision::Again => Ok(()),
            AttemptDecision::Late => Err(GiveUp::Late),
            AttemptDecision::Fail => Err(GiveUp::Failed(why.to_owned())),
            AttemptDecision::Refuse => Err(GiveUp::Refused {
                retry_after_ms: REFUSED_PAUSE_MS,
                why: why.to_owned(),
            }),
        }
    }

    async fn choose(&self, resuming: bool) -> Result<UpstreamReservation, GiveUp> {
        let objective = Duration::from_millis(self.route.objective_ms);
        // A request that has come so far is not refused: its work would be lost.
        let left = match resuming || self.count != AttemptCount::default() {
            true => self.remaining(),
            false => objective.saturating_sub(self.started.elapsed()),
        };
        let demand = PlacementDemand::Online {
            objective_ms: left.as_millis() as u64,
        };
        let step = self
            .path
            .placement
            .reserve(&self.group, demand, &self.excluded)
            .await;
        let (retry_after_ms, why) = match step {
            PoolDecision::Send(reservation) => return Ok(reservation),
            PoolDecision::Refuse { retry_after_ms } => (retry_after_ms, "upstreams are full"),
            PoolDecision::NoUpstream => (NO_UPSTREAM_PAUSE_MS, "no upstream"),
        };
        match self.count.may_have_run > 0 {
            true => Err(GiveUp::Failed(why.to_owned())),
            false => Err(GiveUp::Refused {
                retry_after_ms,
                why: why.to_owned(),
            }),
        }
    }

    fn limits(&self, resume_after: Option<u64>, has_free_slot: bool) -> AttemptLimits {
        let head_by = match self.is_repeatable() && self.may_attempt_again() {
            true => (Instant::now() + self.head_wait(has_free_slot)).min(self.deadline),
            false => self.deadline,
        };
        AttemptLimits {
            head_by,
            remaining: Some(self.remaining()),
            resume_after,
        }
    }

    /// Longest wait for the head of an answer. A stream at a free slot begins within a part of
    /// its objective; an upstream that has died is left early enough for another to be on time.
    fn head_wait(&self, has_free_slot: bool) -> Duration {
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        match is_stream && has_free_slot && self.count == AttemptCount::default() {
            true => Duration::from_millis(self.route.objective_ms).mul_f64(FREE_SLOT_SHARE),
            false => self.silence_limit(),
        }
    }

    fn may_attempt_again(&self) -> bool {
        self.count.may_have_run + 1 < self.route.max_attempts
    }

    /// Longest silence of an upstream before another one is tried.
    pub fn silence_limit(&self) -> Duration {
        let objective = Duration::from_millis(self.route.objective_ms);
        (objective * HEAD_OBJECTIVES).max(MIN_HEAD_WAIT)
    }

    /// When a silent stream is left for another upstream.
    pub fn silence_deadline(&self) -> Instant {
        let resumable = matches!(self.route.kind, RouteKind::Stream { resumable: true });
        match resumable && self.may_attempt_again() {
            true => (Instant::now() + self.silence_limit()).min(self.deadline),
            false => self.deadline,
        }
    }

    /// Its id, for logs.
    pub fn id(&self) -> &str {
        self.request.id.as_str()
    }
}
