//! Runs one accepted request to its end: attempts, relaying, retries and resumes. Each request has
//! its own task, which a planned stop waits for and which cancels the upstream's work when the
//! caller disconnects.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_kernel::retry::{AttemptFailure, NextStep, RequestProgress, first_step, next_step};
use amaranth_net::answer;
use amaranth_net::client::HttpAnswer;
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_settings::upstream::UpstreamKind;
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use amaranth_wire::id::UpstreamId;
use amaranth_wire::record::StoredAnswer;
use bytes::Bytes;
use http::HeaderValue;
use serde::Deserialize;
use tokio::time::{sleep, timeout};
use volo_http::response::Response;

use crate::accept::OnlineRequest;
use crate::admit;
use crate::attempt::{self, AttemptLimits, EventReader};
use crate::caller_responder::CallerResponder;
use crate::context::{InstanceContext, Result};
use crate::keyed_call::{self, KeyedStep, ResultPlan};
use crate::relay::{self, RelayEnd, RelayedAnswer};
use crate::request_outcome::{RequestEnd, RequestTimes, level_sample, record_outcome};
use crate::request_registry::RequestHandle;
use crate::upstream_table::InFlightGuard;

/// Lowest status for a fault of the upstream itself.
const FIRST_FAULT_STATUS: u16 = 500;
/// Status with which an overloaded upstream refuses a call.
const BUSY_STATUS: u16 = 503;
/// Status that asks for a retry later.
const TOO_MANY_REQUESTS: u16 = 429;

/// Header that says where the result of a keyed request is stored: `log`, `peers=N` or `no`.
const KEPT_HEADER: &str = "amaranth-kept";

static STREAM_COUNTER: AtomicU64 = AtomicU64::new(0);

/// How one attempt or resume ended.
enum AttemptEnd {
    /// The request is done.
    Done(RequestEnd),
    /// The attempt failed; the retry policy decides what follows.
    Failed(AttemptFailure),
}

/// Runs a request in a task of its own and returns its response.
pub async fn answer(context: Arc<InstanceContext>, request: OnlineRequest) -> Result<Response> {
    let work = context.work.clone();
    let (caller, receiver) = CallerResponder::new(request.key.clone(), work.clone());
    work.spawn(run(context, request, caller));
    let lost = || CallError::new(ErrorKind::Internal, "the request's task ended early");
    receiver.await.map_err(|_| lost())?
}

async fn run(context: Arc<InstanceContext>, request: OnlineRequest, mut caller: CallerResponder) {
    let end = match keyed_call::begin(&context, &request).await {
        KeyedStep::Run(plan) => {
            context.upstreams.record_request(&request.tier.name);
            let mut run = RequestRun::new(context, request, caller, plan);
            let end = run.run_attempts().await;
            return run.finish(end).await;
        }
        KeyedStep::Replay(stored) => {
            let status = stored.status;
            caller.answer(Ok(keyed_call::replay(stored)));
            RequestEnd::Answered(status)
        }
        KeyedStep::Refuse(error) => {
            let end = RequestEnd::Failed(error.kind, error.ran);
            caller.fail(error);
            end
        }
    };
    record_outcome(&request, end, &RequestTimes::default(), steady_ms());
}

struct RequestRun {
    context: Arc<InstanceContext>,
    request: OnlineRequest,
    caller: CallerResponder,
    progress: RequestProgress,
    relayed: RelayedAnswer,
    plan: ResultPlan,
    current: Option<CurrentAttempt>,
    excluded: Vec<UpstreamId>,
    handle: RequestHandle,
}

/// The upstream and the stream id of the current attempt.
struct CurrentAttempt {
    guard: InFlightGuard,
    stream_id: String,
    started_ms: u64,
}

impl RequestRun {
    fn new(
        context: Arc<InstanceContext>,
        request: OnlineRequest,
        caller: CallerResponder,
        plan: ResultPlan,
    ) -> Self {
        let relayed = match plan {
            ResultPlan::NotStored => RelayedAnswer::new(),
            _ => RelayedAnswer::new().with_recorded_events(),
        };
        Self {
            progress: RequestProgress::new(request.repeatable, request.deadline_ms),
            relayed,
            plan,
            current: None,
            excluded: Vec::new(),
            handle: context.requests.register(&request),
            context,
            request,
            caller,
        }
    }

    /// Runs attempts until the request is done, at no more than one upstream at a time.
    async fn run_attempts(&mut self) -> RequestEnd {
        let mut step = first_step(&self.progress, steady_ms());
        loop {
            let end = match step {
                NextStep::Abandon => return RequestEnd::CallerGone,
                NextStep::GiveUp(kind, ran) => return RequestEnd::Failed(kind, ran),
                NextStep::Resume { delay_ms } => match self.back_off(delay_ms).await {
                    Some(()) => self.resume().await,
                    None => return RequestEnd::CallerGone,
                },
                NextStep::Retry { delay_ms } => {
                    self.cancel_current();
                    match self.back_off(delay_ms).await {
                        Some(()) => self.attempt().await,
                        None => return RequestEnd::CallerGone,
                    }
                }
            };
            let failure = match end {
                AttemptEnd::Done(end) => return end,
                AttemptEnd::Failed(failure) => failure,
            };
            self.handle
                .record_event(format!("attempt failed: {failure:?}"));
            self.progress.caller_connected = !self.caller.is_gone();
            let mut rng = rand::rng();
            step = self
                .context
                .upstreams
                .with_retry_budget(&self.request.tier.name, |budget| {
                    next_step(&self.progress, failure, steady_ms(), budget, &mut rng)
                });
        }
    }

    /// Waits before a call to an upstream; `None` if the caller disconnects meanwhile.
    async fn back_off(&mut self, delay_ms: u64) -> Option<()> {
        match delay_ms {
            0 => Some(()),
            _ => {
                self.caller
                    .wait(sleep(Duration::from_millis(delay_ms)))
                    .await
            }
        }
    }

    /// Sends the caller an error on failure, cancels unfinished work at the upstream, and records
    /// the outcome.
    async fn finish(&mut self, end: RequestEnd) {
        self.handle.record_event(format!("ended: {end:?}"));
        let plan = std::mem::replace(&mut self.plan, ResultPlan::NotStored);
        match end {
            RequestEnd::Answered(_) => {}
            RequestEnd::CallerGone => {
                self.cancel_current();
                keyed_call::record_no_answer(
                    &self.context,
                    &self.request,
                    plan,
                    self.progress.ran(),
                );
            }
            RequestEnd::Failed(kind, ran) => {
                self.cancel_current();
                let message = failure_message(kind);
                self.caller
                    .fail(CallError::new(kind, message).with_ran(ran));
                keyed_call::record_no_answer(&self.context, &self.request, plan, ran);
            }
        }
        let (times, now_ms) = (&self.relayed.times, steady_ms());
        record_outcome(&self.request, end, times, now_ms);
        let sample = level_sample(&self.request, end, times, now_ms);
        let tier = &self.request.tier.name;
        self.context.levels.record(tier, &sample, unix_ms());
    }

    /// Stores a non-streamed answer, then sends it to the caller.
    async fn send_unstreamed(
        &mut self,
        stored: StoredAnswer,
        content_type: &'static str,
        body: Bytes,
    ) {
        let status = stored.status;
        let location =
            keyed_call::store_answer(&self.context, &self.request, &self.plan, stored).await;
        let mut response = answer::bytes(status, content_type, body);
        if self.plan != ResultPlan::NotStored {
            let value = HeaderValue::from_str(&location).expect("a valid header value");
            response.headers_mut().insert(KEPT_HEADER, value);
        }
        self.caller.answer(Ok(response));
    }

    /// Stores a streamed answer, then sends its end marker.
    async fn end_stream(&mut self) {
        if let Some(mut body) = self.relayed.recorded_events.take() {
            body.extend_from_slice(&relay::end_event());
            let stored = StoredAnswer {
                status: 200,
                content_type: answer::EVENT_STREAM.to_owned(),
                body: body.to_vec(),
            };
            keyed_call::store_answer(&self.context, &self.request, &self.plan, stored).await;
        }
        self.caller.send(relay::end_event()).await;
    }

    fn record_answer(&mut self) {
        let tier = &self.request.tier.name;
        if let Some(current) = self.current.take() {
            let took_ms = steady_ms().saturating_sub(current.started_ms);
            self.context.admission.record_service_time(tier, took_ms);
            current.guard.upstream().record_success();
        }
    }

    fn remaining(&self) -> Duration {
        Duration::from_millis(self.request.deadline_ms.saturating_sub(steady_ms()))
    }

    fn attempt_limits(&self) -> AttemptLimits {
        let mean_service = self
            .context
            .admission
            .mean_service_time(&self.request.tier.name);
        AttemptLimits::new(&self.request, self.remaining(), mean_service)
    }

    /// Gets an upstream for an attempt. The first attempt waits in the admission queue; a retry has
    /// already passed the queue and the retry budget.
    async fn admit(&mut self) -> std::result::Result<InFlightGuard, AttemptEnd> {
        if self.progress.attempts == 0 {
            // Checked before queueing: batch work that delays the request may end before it leaves
            // the queue.
            let group = self.context.upstreams.group(&self.request.tier.upstreams);
            self.relayed.times.beside_batch = group.iter().any(|state| state.has_batch_items());
            let context = self.context.clone();
            let admitted = admit::admit(&context, &self.request);
            return match self.caller.wait(admitted).await {
                None => Err(AttemptEnd::Done(RequestEnd::CallerGone)),
                Some(Ok(guard)) => Ok(guard),
                Some(Err(refusal)) => {
                    let end = RequestEnd::Failed(refusal.kind, refusal.ran);
                    self.caller.fail(refusal);
                    Err(AttemptEnd::Done(end))
                }
            };
        }
        let group = &self.request.tier.upstreams;
        let picked = self.context.upstreams.pick(group, &self.excluded);
        // If only upstreams that were already tried are available, retry one of them.
        let picked = picked.or_else(|| self.context.upstreams.pick(group, &[]));
        picked.ok_or_else(|| {
            let ran = self.progress.ran();
            AttemptEnd::Done(RequestEnd::Failed(ErrorKind::NoUpstream, ran))
        })
    }

    async fn attempt(&mut self) -> AttemptEnd {
        let guard = match self.admit().await {
            Ok(guard) => guard,
            Err(end) => return end,
        };
        self.begin_attempt(guard);
        let limits = self.attempt_limits();
        let current = self.current.as_ref().expect("an attempt has begun");
        let upstream = current.guard.upstream();
        let sent = attempt::send(upstream, &self.request, &current.stream_id, limits);
        let Some(sent) = self.caller.wait(sent).await else {
            self.progress.may_have_run = true;
            return AttemptEnd::Done(RequestEnd::CallerGone);
        };
        match sent {
            Ok(answer) => self.handle_answer(answer, limits).await,
            Err(failure) => {
                self.progress.may_have_run |= failure != AttemptFailure::NotRun;
                self.record_failure();
                AttemptEnd::Failed(failure)
            }
        }
    }

    fn begin_attempt(&mut self, guard: InFlightGuard) {
        self.handle.record_sent(&guard.upstream().upstream);
        let number = STREAM_COUNTER.fetch_add(1, Ordering::Relaxed);
        let writer = self.context.config.writer.0;
        self.relayed.times.beside_batch |= guard.upstream().has_batch_items();
        self.excluded.push(guard.upstream().upstream.clone());
        self.current = Some(CurrentAttempt {
            guard,
            stream_id: format!("{writer:016x}-{number}"),
            started_ms: steady_ms(),
        });
        self.progress.attempts += 1;
        self.progress.resumes_without_token = 0;
        self.progress.resumable = false;
        self.relayed.times.attempts += 1;
        self.relayed.assembly.restart();
    }

    async fn handle_answer(&mut self, answer: HttpAnswer, limits: AttemptLimits) -> AttemptEnd {
        let status = answer.status();
        if status == 200 && self.request.stream {
            self.progress.may_have_run = true;
            self.progress.resumable = self.request.kind == UpstreamKind::Engine;
            return self.relay(answer, limits).await;
        }
        let content_type = content_type(&answer);
        let remaining = self.remaining();
        let Some(body) = self
            .caller
            .wait(attempt::read_unstreamed(answer, remaining))
            .await
        else {
            self.progress.may_have_run = true;
            return AttemptEnd::Done(RequestEnd::CallerGone);
        };
        let not_run = body
            .as_ref()
            .is_ok_and(|body| reports_not_run(status, body));
        self.progress.may_have_run |= !not_run;
        match body {
            Err(failure) => AttemptEnd::Failed(failure),
            Ok(_) if not_run => {
                if let Some(current) = self
                    .current
                    .as_ref()
                    .filter(|_| !is_overload_status(status))
                {
                    current.guard.record_error();
                }
                AttemptEnd::Failed(AttemptFailure::NotRun)
            }
            Ok(_) if status >= FIRST_FAULT_STATUS => {
                self.record_failure();
                AttemptEnd::Failed(AttemptFailure::Broken)
            }
            Ok(_) if self.caller.is_streaming() => AttemptEnd::Failed(AttemptFailure::WrongStream),
            Ok(body) => {
                self.record_answer();
                let stored = StoredAnswer {
                    status,
                    content_type: content_type.to_owned(),
                    body: match self.plan {
                        ResultPlan::NotStored => Vec::new(),
                        _ => body.to_vec(),
                    },
                };
                self.send_unstreamed(stored, content_type, body).await;
                AttemptEnd::Done(RequestEnd::Answered(status))
            }
        }
    }

    /// Asks the current upstream for the rest of its stream, on a connection of the newest
    /// generation of its pool.
    async fn resume(&mut self) -> AttemptEnd {
        self.progress.resumes_without_token += 1;
        self.relayed.times.resumes += 1;
        let limits = self.attempt_limits().for_resume();
        let current = self
            .current
            .as_ref()
            .expect("a resumable stream is current");
        let upstream = current.guard.upstream();
        let last = self.relayed.assembly.last_received();
        let resumed = attempt::resume(upstream, &current.stream_id, last, limits);
        match self.caller.wait(resumed).await {
            None => AttemptEnd::Done(RequestEnd::CallerGone),
            Some(Err(failure)) => {
                self.record_failure();
                AttemptEnd::Failed(failure)
            }
            Some(Ok(answer)) => self.relay(answer, limits).await,
        }
    }

    async fn relay(&mut self, answer: HttpAnswer, limits: AttemptLimits) -> AttemptEnd {
        self.caller.start_stream();
        let sent_before = self.relayed.assembly.last_received();
        let remaining = self.remaining();
        let events = EventReader::new(answer, limits);
        let arrived_ms = self.request.arrived_ms;
        let relay = relay::relay(events, &mut self.relayed, &mut self.caller, arrived_ms);
        let end = timeout(remaining, relay).await;
        if self.relayed.assembly.last_received() != sent_before {
            self.progress.resumes_without_token = 0;
        }
        match end {
            Err(_) => {
                let end = RequestEnd::Failed(ErrorKind::DeadlineMissed, RanState::Unknown);
                AttemptEnd::Done(end)
            }
            Ok(RelayEnd::Complete) => {
                self.record_answer();
                self.end_stream().await;
                AttemptEnd::Done(RequestEnd::Answered(200))
            }
            Ok(RelayEnd::CallerGone) => AttemptEnd::Done(RequestEnd::CallerGone),
            Ok(RelayEnd::Failed(failure)) => AttemptEnd::Failed(failure),
        }
    }

    /// Records a failure of the current upstream.
    fn record_failure(&self) {
        if let Some(current) = &self.current {
            current.guard.record_failure();
        }
    }

    /// Cancels the upstream's work for this request in the background.
    fn cancel_current(&mut self) {
        let Some(current) = self.current.take() else {
            return;
        };
        if self.request.kind != UpstreamKind::Engine {
            return;
        }
        self.context.work.spawn(async move {
            attempt::cancel(current.guard.upstream(), &current.stream_id).await;
        });
    }
}

fn content_type(answer: &HttpAnswer) -> &'static str {
    let value = answer.headers().get(http::header::CONTENT_TYPE);
    let value = value.and_then(|value| value.to_str().ok()).unwrap_or("");
    [answer::JSON, answer::EVENT_STREAM, answer::JSON_LINES]
        .into_iter()
        .find(|known| value.starts_with(known))
        .unwrap_or(match value.starts_with("text/") {
            true => answer::TEXT,
            false => "application/octet-stream",
        })
}

/// Whether an error answer of an upstream says that the work was not run.
fn reports_not_run(status: u16, body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Refusal {
        error: RefusalError,
    }
    #[derive(Deserialize)]
    struct RefusalError {
        ran: RanState,
    }
    let refused = status == TOO_MANY_REQUESTS || status >= FIRST_FAULT_STATUS;
    let refusal = || serde_json::from_slice::<Refusal>(body).ok();
    refused && refusal().is_some_and(|refusal| refusal.error.ran == RanState::No)
}

fn failure_message(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::DeadlineExceeded => "the deadline passed before the request was sent",
        ErrorKind::DeadlineMissed => "the deadline passed while the request ran",
        ErrorKind::NoUpstream => "no upstream of the tier is available",
        _ => "no upstream gave a whole answer",
    }
}

/// Whether a status means overload, which isn't counted as an error of the upstream's version.
fn is_overload_status(status: u16) -> bool {
    status == BUSY_STATUS || status == TOO_MANY_REQUESTS
}
