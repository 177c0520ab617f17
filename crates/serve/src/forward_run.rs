//! Runs one forwarded request: attempts it until an upstream answers or no attempt may follow.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::attempt_plan::{
    AttemptBounds, AttemptCount, AttemptDecision, FailureProof, decide_after_failure,
};
use amaranth_kernel::retry::RetryBudget;
use amaranth_kernel::route_table::{RouteKind, RouteRule};
use amaranth_net::state_lock::StateMutex;
use amaranth_net::telemetry::quote;
use amaranth_wire::id::{UpstreamGroupId, UpstreamId};
use amaranth_wire::placement_message::{PlacementDemand, RequestWork};
use tokio::time::{Instant, timeout_at};

use crate::answer::RequestFailure;
use crate::attempt::{
    AttemptEnd, AttemptLimits, FailedAttempt, ForwardRequest, attempt, join_parts,
};
use crate::call::{CallProgress, UpstreamCodec};
use crate::connection_pool::OpenAnswer;
use crate::memory_account::MemoryAccount;
use crate::placement_service::PlacementService;
use crate::quarantine_service::{LostRequest, QuarantineService};
use crate::upstream_pool::{PoolStep, UpstreamPermit};

mod silence_watch;
mod successor;

pub use silence_watch::{UpstreamSilence, WatchEnd};

/// Limit on an upstream's silence before another is looked for, as a multiple of the objective: a queue
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
    /// Memory held for callers.
    pub account: MemoryAccount,
    budget: StateMutex<RetryBudget>,
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
            account: MemoryAccount::default(),
            budget: StateMutex::new(RetryBudget::new()),
        }
    }

    /// Accounts for what is held for callers.
    pub fn with_account(self, account: MemoryAccount) -> Self {
        Self { account, ..self }
    }
}

/// Result of forwarding a request.
pub type Result<T> = std::result::Result<T, RequestFailure>;

/// An upstream's answer with the place that the request takes there.
pub type PlacedAnswer = (OpenAnswer, UpstreamPermit);

/// An attempt whose answer has not begun. Dropping it closes its connection.
pub struct RunningAttempt {
    upstream: UpstreamId,
    sent: Instant,
    head_wait: Duration,
    end: Pin<Box<dyn Future<Output = AttemptEnd> + Send>>,
}

impl RunningAttempt {
    /// The silence since the request was sent.
    fn silence(&self) -> UpstreamSilence {
        UpstreamSilence {
            upstream: self.upstream.clone(),
            since: self.sent,
            limit: self.head_wait,
            has_begun: false,
        }
    }
}

/// A forwarded request and its attempts so far.
pub struct ForwardRun {
    context: Arc<ForwardContext>,
    route: Arc<RouteRule>,
    group: UpstreamGroupId,
    request: Arc<ForwardRequest>,
    started: Instant,
    deadline: Instant,
    count: AttemptCount,
    excluded: Vec<UpstreamId>,
    /// Upstreams that may have run it and are counted as failed attempts. Those that are not excluded
    /// may run it again: they were silent, or it stayed with a silent one.
    ran: Vec<UpstreamId>,
    /// Those of them that it left as they were silent.
    left: Vec<UpstreamId>,
    /// Whether the next attempt goes to one of these.
    returns: bool,
    /// Whether an upstream has answered it, at least in part.
    answered: bool,
    progress: CallProgress,
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
        context.budget.lock().add_request();
        Self {
            context,
            group,
            request: Arc::new(request),
            started,
            deadline: started + Duration::from_millis(limit_ms),
            count: AttemptCount::default(),
            excluded: Vec::new(),
            ran: Vec::new(),
            left: Vec::new(),
            returns: false,
            answered: false,
            progress: CallProgress::new(),
            route,
        }
    }

    /// Sets where the request records that it may have run.
    pub fn with_progress(mut self, progress: CallProgress) -> Self {
        self.progress = progress;
        self
    }

    /// Memory held for callers.
    pub fn account(&self) -> &MemoryAccount {
        &self.context.account
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
    pub async fn open(&mut self, resume_after: Option<u64>) -> Result<PlacedAnswer> {
        loop {
            let permit = self.acquire_upstream(resume_after.is_some()).await?;
            let head_wait = self.head_wait(permit.has_free_slot);
            let request = self.request.clone();
            let running = self.start_attempt(permit, request, head_wait, resume_after);
            match self.await_answer(running, resume_after).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => self.record_failure(failed).await?,
            }
        }
    }

    /// Sends the request to an upstream that may refuse it and be asked again.
    fn start_successor(&self, permit: UpstreamPermit, resume_after: Option<u64>) -> RunningAttempt {
        let request = ForwardRequest {
            may_return: true,
            ..(*self.request).clone()
        };
        self.start_attempt(
            permit,
            Arc::new(request),
            self.silence_limit(),
            resume_after,
        )
    }

    /// Sends the request to an upstream, which counts as silent after `head_wait`. Dropping the attempt
    /// closes its connection.
    fn start_attempt(
        &self,
        permit: UpstreamPermit,
        request: Arc<ForwardRequest>,
        head_wait: Duration,
        resume_after: Option<u64>,
    ) -> RunningAttempt {
        let limits = AttemptLimits {
            head_deadline: self.deadline,
            remaining: Some(self.remaining()),
            resume_after,
        };
        let context = self.context.clone();
        self.progress.record_run();
        RunningAttempt {
            upstream: permit.upstream.clone(),
            sent: Instant::now(),
            head_wait,
            end: Box::pin(async move {
                let (pool, codec) = (&context.placement.pool, &context.codec);
                let end = attempt(pool, codec, permit, &request, limits).await;
                match resume_after {
                    None => end,
                    Some(_) => begin_rest(end, limits.head_deadline).await,
                }
            }),
        }
    }

    /// Waits for the answer to an attempt, or to that of an upstream which takes the request over.
    pub(crate) async fn await_answer(
        &mut self,
        mut running: RunningAttempt,
        resume_after: Option<u64>,
    ) -> std::result::Result<PlacedAnswer, FailedAttempt> {
        loop {
            let silence = running.silence();
            let watched = self.watch(&silence, &mut running.end, Self::accept, resume_after);
            match watched.await {
                WatchEnd::Heard(answer) => return answer,
                WatchEnd::Answered(answer) => return Ok(*answer),
                WatchEnd::Left(successor) => running = successor,
            }
        }
    }

    /// Takes the end of an attempt for the request's answer, unless another attempt may do better.
    fn accept(&self, end: AttemptEnd) -> std::result::Result<PlacedAnswer, FailedAttempt> {
        match end {
            AttemptEnd::Answer(answer, permit) if self.retries_failure(&answer) => {
                Err(error_answer(&answer, &permit))
            }
            AttemptEnd::Answer(answer, permit) => Ok((*answer, permit)),
            AttemptEnd::Failed(failed) => Err(failed),
        }
    }

    fn bounds(&self) -> AttemptBounds {
        AttemptBounds {
            repeatable: self.is_repeatable(),
            max_attempts: self.route.max_attempts,
            remaining_ms: self.remaining().as_millis() as u64,
        }
    }

    fn decide_next(&self, proof: FailureProof, bounds: AttemptBounds) -> AttemptDecision {
        let mut budget = self.context.budget.lock();
        decide_after_failure(self.count, proof, bounds, &mut budget)
    }

    /// Whether a server error from the upstream is followed by another attempt.
    fn retries_failure(&self, answer: &OpenAnswer) -> bool {
        let attempts_left = self.count.may_have_run + 1 < self.route.max_attempts;
        let attempts_left = attempts_left || self.has_dropped();
        answer.status().is_server_error() && self.is_repeatable() && attempts_left
    }

    /// Records a failed attempt; an error if no other may follow.
    pub async fn record_failure(&mut self, failed: FailedAttempt) -> Result<()> {
        let is_suspect = self.report_loss(&failed).await;
        self.count_failure(&failed);
        self.excluded.push(failed.upstream.clone());
        let next = match is_suspect {
            // Another attempt would probably crash another upstream.
            true => AttemptDecision::Fail,
            false => self.decide_next(failed.proof, self.bounds()),
        };
        self.returns = next == AttemptDecision::Fail && !is_suspect && self.has_tried();
        let next = match self.returns {
            true => AttemptDecision::Again,
            false => next,
        };
        self.log_failed_attempt(&failed, &format!("{next:?}"));
        let why = failed.why;
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

    fn log_failed_attempt(&self, failed: &FailedAttempt, next: &str) {
        let FailedAttempt {
            upstream,
            proof,
            cause,
            progress,
            why,
            ..
        } = failed;
        log::info!(
            "event=attempt_failed request={} upstream={upstream} proof={proof:?} cause={cause:?} progress={progress:?} parts={} why={} attempts={} remaining_ms={} next={next}",
            self.request.id,
            join_parts(&self.request.shared_parts),
            quote(why),
            self.count.total(),
            self.remaining().as_millis(),
        );
    }

    async fn acquire_upstream(&self, resuming: bool) -> Result<UpstreamPermit> {
        let parts = &self.request.shared_parts;
        if let Some(remaining) = self.context.quarantine.refusal(parts) {
            return Err(self.refuse_prompt(remaining));
        }
        let objective = Duration::from_millis(self.route.objective_ms);
        // A resumed or retried request may use all its remaining time: refusing it would waste the
        // work done.
        let is_repeated = resuming || self.count != AttemptCount::default();
        let left = match is_repeated {
            true => self.remaining(),
            false => objective.saturating_sub(self.started.elapsed()),
        };
        let work = self.request.work.clone();
        let work = work.map(|work| match is_repeated {
            true => work.into_repeated(),
            false => work,
        });
        let step = self.place(left.as_millis() as u64, work.as_ref()).await;
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

    /// Places the request at an upstream that has not had it; without one, at one that may run it again.
    async fn place(&self, objective_ms: u64, work: Option<&RequestWork>) -> PoolStep {
        let tried = self.tried();
        if self.returns {
            return self.place_among(&self.returnable(), objective_ms);
        }
        let demand = PlacementDemand::Online { objective_ms };
        let excluded: Vec<_> = self.excluded.iter().chain(&tried).cloned().collect();
        let placement = &self.context.placement;
        let step = placement
            .acquire(&self.group, demand, work, &excluded)
            .await;
        match step {
            PoolStep::Refuse { .. } | PoolStep::NoUpstream if !tried.is_empty() => {
                self.place_among(&self.returnable(), objective_ms)
            }
            step => step,
        }
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

    /// Time after which an upstream that hasn't begun its answer counts as silent. A stream at a free
    /// slot begins well within its objective, so another upstream can still meet it.
    fn head_wait(&self, has_free_slot: bool) -> Duration {
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        match is_stream && has_free_slot && self.count == AttemptCount::default() {
            true => Duration::from_millis(self.route.objective_ms).mul_f64(FREE_SLOT_SHARE),
            false => self.silence_limit(),
        }
    }

    /// Silence of an upstream after which another one is looked for.
    pub fn silence_limit(&self) -> Duration {
        let objective = Duration::from_millis(self.route.objective_ms);
        (objective * SILENCE_OBJECTIVES).max(MIN_SILENCE_LIMIT)
    }

    /// Id of the request, for log lines.
    pub fn id(&self) -> &str {
        self.request.id.as_str()
    }
}

/// Waits until the rest of a stream has begun. An empty one doesn't continue it.
async fn begin_rest(end: AttemptEnd, deadline: Instant) -> AttemptEnd {
    let (mut answer, permit) = match end {
        AttemptEnd::Answer(answer, permit) => (answer, permit),
        AttemptEnd::Failed(failed) => return AttemptEnd::Failed(failed),
    };
    if !answer.may_be_events() {
        return AttemptEnd::Failed(error_answer(&answer, &permit));
    }
    let upstream = permit.upstream.clone();
    let failed = match timeout_at(deadline, answer.peek_chunk()).await {
        Ok(Ok(true)) => return AttemptEnd::Answer(answer, permit),
        Ok(Ok(false)) => FailedAttempt::may_have_run(upstream, "no event follows".to_owned()),
        Ok(Err(e)) => FailedAttempt::from_error(&permit, &e),
        Err(_) => FailedAttempt::may_have_run(upstream, "no event by the deadline".to_owned()),
    };
    permit.record_failure();
    AttemptEnd::Failed(failed)
}

/// Failure of an attempt whose answer is an error.
pub fn error_answer(answer: &OpenAnswer, permit: &UpstreamPermit) -> FailedAttempt {
    let why = format!("answered with {}", answer.status().as_u16());
    FailedAttempt::may_have_run(permit.upstream.clone(), why)
}
