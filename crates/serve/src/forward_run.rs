//! Runs one forwarded request: attempts it until an upstream answers or no attempt may follow.

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

use crate::answer::RequestFailure;
use crate::attempt::{
    AttemptEnd, AttemptLimits, FailedAttempt, ForwardRequest, attempt, join_parts,
};
use crate::call::UpstreamCodec;
use crate::connection_pool::OpenAnswer;
use crate::placement_service::PlacementService;
use crate::quarantine_service::{LostRequest, QuarantineService};
use crate::upstream_pool::{PoolStep, UpstreamPermit};

/// Limit on an upstream's silence before another is tried, as a multiple of the objective: a queue
/// that meets the objective doesn't explain a longer wait.
const SILENCE_OBJECTIVES: u32 = 3;
/// Share of the objective within which a stream at a free slot must begin: streams usually begin
/// within a third of it, and as much is left for another upstream.
const FREE_SLOT_SHARE: f64 = 0.6;
/// Lower bound of the silence limit: callers abandon a stream that is silent for 2 s, so another
/// upstream must have answered by then.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// Retry delay sent to a caller when no upstream is known, in milliseconds: the time in which
/// announcements are read.
const NO_UPSTREAM_RETRY_MS: u64 = 500;
/// Retry delay sent to a caller after upstreams refused, in milliseconds: about the duration of a
/// short answer.
const REFUSED_RETRY_MS: u64 = 300;

/// Dependencies shared by all forwarded requests.
pub struct ForwardContext {
    /// Places requests at upstreams.
    pub placement: Arc<PlacementService>,
    /// Codec of the upstreams' protocol.
    pub codec: UpstreamCodec,
    /// Refuses requests whose prompts crash upstreams.
    pub quarantine: Arc<QuarantineService>,
    budget: Mutex<RetryBudget>,
}

impl ForwardContext {
    /// Creates a context with a new retry budget.
    pub fn new(
        placement: Arc<PlacementService>,
        codec: UpstreamCodec,
        quarantine: Arc<QuarantineService>,
    ) -> Self {
        Self {
            placement,
            codec,
            quarantine,
            budget: Mutex::new(RetryBudget::new()),
        }
    }
}

/// A forwarded request and its attempts so far.
pub struct ForwardRun {
    context: Arc<ForwardContext>,
    route: Arc<RouteRule>,
    group: UpstreamGroupId,
    request: ForwardRequest,
    started: Instant,
    deadline: Instant,
    count: AttemptCount,
    excluded: Vec<UpstreamId>,
    /// Whether an upstream has answered it, at least in part.
    answered: bool,
}

impl ForwardRun {
    /// Starts a request that was received at `started`. Its deadline is the caller's timeout or the
    /// route's, whichever is shorter.
    pub fn new(
        context: Arc<ForwardContext>,
        route: Arc<RouteRule>,
        group: UpstreamGroupId,
        request: ForwardRequest,
        started: Instant,
        caller_timeout_ms: Option<u64>,
    ) -> Self {
        let limit_ms = caller_timeout_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        context.budget.lock().expect("not poisoned").add_request();
        Self {
            context,
            group,
            request,
            started,
            deadline: started + Duration::from_millis(limit_ms),
            count: AttemptCount::default(),
            excluded: Vec::new(),
            answered: false,
            route,
        }
    }

    /// Time by which the answer must be complete.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Time at which the request was received.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Route that the request matched.
    pub fn route(&self) -> &RouteRule {
        &self.route
    }

    /// Failed attempts so far, by whether they may have run.
    pub fn count(&self) -> AttemptCount {
        self.count
    }

    /// Records that an upstream goes on after it began to answer, or has answered completely.
    pub fn record_answer(&mut self) {
        if !self.answered {
            self.answered = true;
            let parts = &self.request.shared_parts;
            self.context.quarantine.record_answer(parts);
        }
    }

    /// Reports an attempt whose upstream may have crashed. Returns whether this request is suspected.
    async fn report_loss(&self, failed: &FailedAttempt) -> bool {
        let address = self.context.placement.pool.address(&failed.upstream);
        let Some(address) = address.filter(|_| !self.answered) else {
            return false;
        };
        let lost = LostRequest {
            request: &self.request.id,
            parts: &self.request.shared_parts,
            failed,
            address,
        };
        self.context.quarantine.report_loss(lost).await
    }

    /// Whether another attempt may follow one that may have run.
    fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Attempts the request until an upstream answers. `resume_after` is the last event that the
    /// caller has received.
    pub async fn open(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<(OpenAnswer, UpstreamPermit), RequestFailure> {
        loop {
            let permit = self.acquire_upstream(resume_after.is_some()).await?;
            let limits = self.limits(resume_after, permit.has_free_slot);
            let context = self.context.clone();
            let step = attempt(
                &context.placement.pool,
                &context.codec,
                permit,
                &self.request,
                limits,
            )
            .await;
            let failed = match step {
                AttemptEnd::Answer(answer, permit) => {
                    if !self.retries_failure(&answer) {
                        return Ok((*answer, permit));
                    }
                    let why = format!("answered with {}", answer.status().as_u16());
                    FailedAttempt::may_have_run(permit.upstream.clone(), why)
                }
                AttemptEnd::Failed(failed) => failed,
            };
            self.record_failure(failed).await?;
        }
    }

    fn decide_next(&self, proof: FailureProof, bounds: AttemptBounds) -> AttemptDecision {
        let mut budget = self.context.budget.lock().expect("not poisoned");
        decide_after_failure(self.count, proof, bounds, &mut budget)
    }

    /// Whether a server error from the upstream is followed by another attempt.
    fn retries_failure(&self, answer: &OpenAnswer) -> bool {
        let attempts_left = self.count.may_have_run + 1 < self.route.max_attempts;
        answer.status().is_server_error() && self.is_repeatable() && attempts_left
    }

    /// Records a failed attempt; an error if no other may follow.
    pub async fn record_failure(&mut self, failed: FailedAttempt) -> Result<(), RequestFailure> {
        let is_suspect = self.report_loss(&failed).await;
        let FailedAttempt {
            upstream,
            proof,
            cause,
            progress,
            why,
        } = failed;
        self.count.add(proof);
        let bounds = AttemptBounds {
            repeatable: self.is_repeatable(),
            max_attempts: self.route.max_attempts,
            remaining_ms: self.remaining().as_millis() as u64,
        };
        let next = match is_suspect {
            // Another attempt would probably crash another upstream.
            true => AttemptDecision::Fail,
            false => self.decide_next(proof, bounds),
        };
        log::info!(
            "event=attempt_failed request={} upstream={upstream} proof={proof:?} cause={cause:?} progress={progress:?} parts={} why={} attempts={} remaining_ms={} next={next:?}",
            self.request.id,
            join_parts(&self.request.shared_parts),
            quote(&why),
            self.count.total(),
            bounds.remaining_ms,
        );
        self.excluded.push(upstream);
        match next {
            AttemptDecision::Again => Ok(()),
            AttemptDecision::Late => Err(RequestFailure::Late),
            AttemptDecision::Fail => Err(RequestFailure::Failed(why)),
            AttemptDecision::Refuse => Err(RequestFailure::Refused {
                retry_after_ms: REFUSED_RETRY_MS,
                why,
            }),
        }
    }

    async fn acquire_upstream(&self, resuming: bool) -> Result<UpstreamPermit, RequestFailure> {
        let parts = &self.request.shared_parts;
        if let Some(remaining) = self.context.quarantine.refusal(parts) {
            return Err(self.refuse_prompt(remaining));
        }
        let objective = Duration::from_millis(self.route.objective_ms);
        // A resumed or retried request may use all its remaining time: refusing it would waste the
        // work done.
        let left = match resuming || self.count != AttemptCount::default() {
            true => self.remaining(),
            false => objective.saturating_sub(self.started.elapsed()),
        };
        let demand = PlacementDemand::Online {
            objective_ms: left.as_millis() as u64,
        };
        let step = self
            .context
            .placement
            .acquire(&self.group, demand, &self.excluded)
            .await;
        let (retry_after_ms, why) = match step {
            PoolStep::Send(permit) => match self.context.quarantine.admit(parts) {
                None => return Ok(permit),
                Some(remaining) => return Err(self.refuse_prompt(remaining)),
            },
            PoolStep::Refuse { retry_after_ms } => (retry_after_ms, "all upstreams are full"),
            PoolStep::NoUpstream => (NO_UPSTREAM_RETRY_MS, "no upstream is available"),
        };
        Err(self.give_up(retry_after_ms, why))
    }

    fn refuse_prompt(&self, remaining: Duration) -> RequestFailure {
        self.give_up(remaining.as_millis() as u64, "its prompt crashes upstreams")
    }

    /// Failure of a request that is not attempted any more.
    fn give_up(&self, retry_after_ms: u64, why: &str) -> RequestFailure {
        let why = why.to_owned();
        match self.count.may_have_run > 0 {
            true => RequestFailure::Failed(why),
            false => RequestFailure::Refused {
                retry_after_ms,
                why,
            },
        }
    }

    fn limits(&self, resume_after: Option<u64>, has_free_slot: bool) -> AttemptLimits {
        let head_deadline = match self.is_repeatable() && self.may_attempt_again() {
            true => (Instant::now() + self.head_wait(has_free_slot)).min(self.deadline),
            false => self.deadline,
        };
        AttemptLimits {
            head_deadline,
            remaining: Some(self.remaining()),
            resume_after,
        }
    }

    /// Limit on waiting for the head of an answer. A stream at a free slot begins well within its
    /// objective, so a dead upstream is abandoned early enough for another to meet it.
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
        (objective * SILENCE_OBJECTIVES).max(MIN_SILENCE_LIMIT)
    }

    /// Time at which a silent stream is abandoned for another upstream.
    pub fn silence_deadline(&self) -> Instant {
        let resumable = matches!(self.route.kind, RouteKind::Stream { resumable: true });
        match resumable && self.may_attempt_again() {
            true => (Instant::now() + self.silence_limit()).min(self.deadline),
            false => self.deadline,
        }
    }

    /// Id of the request, for log lines.
    pub fn id(&self) -> &str {
        self.request.id.as_str()
    }
}
