//! Answers callers: reads a call, finds its route, and forwards it or handles it as a batch job.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use amaranth_kernel::memory_budget::MemoryUse;
use amaranth_kernel::route_table::{RouteKind, RouteRule, RouteTable};
use amaranth_wire::batch_entry::JobQuota;
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::id::{ConfigRevision, RequestId};
use amaranth_wire::placement_message::PromptShape;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderValue, Method, Request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout};

use crate::answer::{Answer, NotRun, RequestFailure, UnreadBody, plain};
use crate::attempt::{ForwardRequest, strip_connection_headers};
use crate::batch::intake::{self, JobIntake, ReceivedJob};
use crate::batch::item_head::ItemHead;
use crate::batch::job_reader::JobReader;
use crate::call::{CallMetadata, CallProgress, CallerCall, CallerKey, ItemList};
use crate::caller_access::{IdentifiedCaller, identify};
use crate::forward_run::ForwardContext;
use crate::memory_account::{HeldBuffer, MemoryGuard};
use crate::online;
use crate::quota_service::QuotaService;
use crate::route_state::{RouteSource, RouteState};
use crate::start_wait::wait_first_state;

/// Retry delay sent to callers while this instance has no configuration, in milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 500;
/// Retry delay sent to callers whose key or route this instance may not have read yet, in milliseconds.
/// Another instance probably has.
const STALE_CONFIGURATION_RETRY_MS: u64 = 100;

/// Retry delay sent to callers whose request comes too late in a shutdown, in milliseconds: other
/// instances can take it at once.
const CLOSING_RETRY_MS: u64 = 0;
/// Part of the time that a request may take which must be left in a shutdown for it to be forwarded.
/// Most requests take far less.
const CLOSING_TIME_PART: u32 = 2;

/// Copies of a job's body that exist at once while it is put on the log: its decoded items, their encoding,
/// and the append. 32 jobs of 1.9 MB each took 220 MB.
const SUBMISSION_COPIES: usize = 3;

/// Time after the start after which readiness doesn't wait for the rules against prompts. Their topic
/// alone must not keep a fleet from serving.
const RULE_WAIT_LIMIT: Duration = Duration::from_secs(3);

/// Answers the calls of callers.
pub struct Gateway {
    /// Routes in force.
    pub routes: Arc<RouteState>,
    /// Forwards online requests.
    pub forward: Arc<ForwardContext>,
    /// Limits the requests of teams.
    pub quota: Arc<QuotaService>,
    /// Accepts batch jobs.
    pub intake: JobIntake,
    /// Reads batch jobs and their results.
    pub reader: JobReader,
    /// Whether placement weighs which upstreams hold a request's prompt.
    weighs_prompts: bool,
    started: Instant,
    leaving: AtomicBool,
    /// When calls are cut off, once no connection is accepted any more.
    closing: OnceLock<Instant>,
}

impl Gateway {
    /// Creates a gateway; its start-up wait begins now.
    pub fn new(
        routes: Arc<RouteState>,
        forward: Arc<ForwardContext>,
        quota: Arc<QuotaService>,
        intake: JobIntake,
        reader: JobReader,
    ) -> Self {
        Self {
            routes,
            forward,
            quota,
            intake,
            reader,
            weighs_prompts: false,
            started: Instant::now(),
            leaving: AtomicBool::new(false),
            closing: OnceLock::new(),
        }
    }

    /// Sets whether placement weighs which upstreams hold a request's prompt.
    pub fn with_kept_prompts(mut self, weighs_prompts: bool) -> Self {
        self.weighs_prompts = weighs_prompts;
        self
    }

    /// Reports this instance as not ready, and closes each connection after its next answer.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Sets when calls are cut off. From now on, requests that may take longer are refused: their
    /// callers had the time to reach other instances.
    pub fn set_closing(&self, calls_end: Instant) {
        self.closing.get_or_init(|| calls_end);
    }

    /// Whether this instance accepts callers. If the log is unavailable, readiness doesn't wait for
    /// the batch jobs: online requests don't need them, and calls for jobs are told to retry.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed)
            && !self.forward.placement.pool.is_empty()
            && match self.routes.source() {
                None => false,
                Some(RouteSource::Log) => self.intake.replica.is_loaded() && self.has_rules(),
                Some(RouteSource::Peer) => true,
            }
    }

    /// Whether the rules against prompts that crash upstreams have been read, or can't be read for now.
    fn has_rules(&self) -> bool {
        self.forward.quarantine.is_loaded() || self.started.elapsed() >= RULE_WAIT_LIMIT
    }

    /// Answers one call; failures become error answers.
    pub async fn answer(&self, call: Request<Incoming>) -> Answer {
        let (parts, body) = call.into_parts();
        let mut answer = match (self.reader.codec.read_call)(&parts) {
            CallerCall::Forward(metadata) => self.forward(parts, body, metadata).await,
            CallerCall::Malformed(why) => {
                log::info!("event=call_malformed why={why:?}");
                before_body(RequestFailure::Malformed(why).answer(), &body)
            }
            job_call => match self.identify_job_caller(&parts) {
                Ok(caller) => {
                    call_progress(&parts).record_run();
                    self.answer_job_call(job_call, &caller).await
                }
                Err(e) => {
                    log::info!("event=job_call_refused outcome={}", e.outcome());
                    before_body(e.answer(), &body)
                }
            },
        };
        if self.leaving.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }

    /// Answers a call that reads or ends a job.
    async fn answer_job_call(&self, call: CallerCall, caller: &CallerIdentity) -> Answer {
        match call {
            CallerCall::ReadJob { job, after, wait } => {
                self.reader.results(job, after, wait, caller).await
            }
            CallerCall::ReadItem { job, item } => self.reader.item_body(job, item, caller).await,
            CallerCall::EndJob { job } => match self.reader.check_known(&job, caller).await {
                None => intake::end_job(&self.intake.replica, &self.intake.committer, job).await,
                Some(answer) => answer,
            },
            CallerCall::Forward(_) | CallerCall::Malformed(_) => RequestFailure::NoRoute.answer(),
        }
    }

    /// Identifies the caller of a job, whose call names no route.
    fn identify_job_caller(&self, parts: &Parts) -> Result<CallerIdentity, RequestFailure> {
        let table = self.routes.current().ok_or_else(no_configuration)?;
        let caller = self.identify(&table, parts, table.has_anonymous_jobs());
        caller.map(|caller| caller.identity)
    }

    fn identify(
        &self,
        table: &RouteTable,
        parts: &Parts,
        allows_anonymous: bool,
    ) -> Result<IdentifiedCaller, RequestFailure> {
        let key = match &table.teams {
            Some(_) => (self.reader.codec.read_key)(&parts.headers),
            None => CallerKey::Missing,
        };
        let caller = identify(table.teams.as_ref(), key, allows_anonymous);
        caller.map_err(|failure| self.unless_stale(failure))
    }

    /// A table that isn't the newest one can't tell that a key or a route doesn't exist.
    fn unless_stale(&self, failure: RequestFailure) -> RequestFailure {
        match self.routes.is_fresh() {
            true => failure,
            false => RequestFailure::Refused {
                retry_after_ms: STALE_CONFIGURATION_RETRY_MS,
                why: format!("{}, by a configuration that may be old", failure.outcome()),
            },
        }
    }

    async fn forward(&self, parts: Parts, body: Incoming, metadata: CallMetadata) -> Answer {
        let (pool, quarantine) = (&self.forward.placement.pool, &self.forward.quarantine);
        wait_first_state(self.started, &self.routes, pool, quarantine).await;
        let Some(table) = self.routes.current() else {
            log::info!(
                "event=request_ended request={} outcome=refused why=no_configuration",
                metadata.request
            );
            return before_body(no_configuration().answer(), &body);
        };
        let host = parts
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or("");
        let Some(route) = table.find(host, parts.uri.path()) else {
            let failure = self.unless_stale(RequestFailure::NoRoute);
            let refused = online::refuse(metadata.request, "none", &table, failure);
            return before_body(refused, &body);
        };
        let caller = match self.identify(&table, &parts, route.allows_anonymous) {
            Ok(caller) => caller,
            Err(e) => {
                let refused = online::refuse(metadata.request, &route.name, &table, e);
                return before_body(refused, &body);
            }
        };
        let guard = self.forward.account.guard(MemoryUse::Body);
        match read_body(&parts, body, guard, &table, route).await {
            Ok(body) => match self.check_time_left(route, metadata.caller_timeout_ms) {
                Ok(()) => {
                    self.dispatch(parts, body, metadata, caller, &table, route)
                        .await
                }
                Err(e) => online::refuse(metadata.request, &route.name, &table, e),
            },
            Err(e) => with_unread_body(online::refuse(metadata.request, &route.name, &table, e)),
        }
    }

    /// Refuses a request that was read so late in a shutdown that its answer would probably be cut
    /// off. Jobs are not: an append is short, and a job whose append is cut off is submitted again.
    fn check_time_left(
        &self,
        route: &RouteRule,
        caller_timeout_ms: Option<u64>,
    ) -> Result<(), RequestFailure> {
        let is_job = matches!(route.kind, RouteKind::Batch { .. });
        let Some(calls_end) = self.closing.get().filter(|_| !is_job) else {
            return Ok(());
        };
        let time_ms = caller_timeout_ms.map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
        let left = calls_end.saturating_duration_since(Instant::now());
        match left >= Duration::from_millis(time_ms) / CLOSING_TIME_PART {
            true => Ok(()),
            false => Err(RequestFailure::Refused {
                retry_after_ms: CLOSING_RETRY_MS,
                why: format!("the instance ends in {} ms", left.as_millis()),
            }),
        }
    }

    async fn dispatch(
        &self,
        parts: Parts,
        body: Bytes,
        metadata: CallMetadata,
        caller: IdentifiedCaller,
        table: &RouteTable,
        route: &Arc<RouteRule>,
    ) -> Answer {
        if let RouteKind::Batch {
            max_waiting_tokens, ..
        } = route.kind
        {
            let quota = JobQuota {
                scope: quota_scope(route, &caller.identity),
                max_tokens: max_waiting_tokens,
            };
            let terms = JobTerms {
                quota,
                revision: table.revision,
                caller: caller.identity,
            };
            call_progress(&parts).record_run();
            return match parts.method {
                Method::POST => self.submit(&parts, body, metadata.request, terms).await,
                _ => RequestFailure::Malformed("jobs are submitted with POST".to_owned()).answer(),
            };
        }
        let team = caller.team.clone();
        let placement = &self.forward.placement;
        let taken = self
            .quota
            .take(placement, team.as_deref(), &metadata.request);
        let grant = match taken.await {
            Ok(grant) => grant,
            Err(e) => return online::refuse(metadata.request, &route.name, table, e),
        };
        let progress = call_progress(&parts);
        let path = parts.uri.path_and_query().cloned();
        let prompt = (self.forward.codec.read_prompt)(&parts.headers);
        let mut request = ForwardRequest {
            id: metadata.request,
            method: parts.method,
            path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
            shared_parts: prompt.shared_ids(),
            work: caller.work(route, self.placed_prompt(route, prompt)),
            caller: caller.identity,
            headers: parts.headers,
            body,
            may_return: false,
        };
        strip_connection_headers(&mut request.headers);
        let answer = online::forward(
            &self.forward,
            table,
            route,
            request,
            metadata.caller_timeout_ms,
            progress,
        )
        .await;
        if answer.extensions().get::<NotRun>().is_some() {
            self.quota
                .give_back(placement, team.as_deref(), grant)
                .await;
        }
        answer
    }

    /// What placement is told of a prompt.
    fn placed_prompt(&self, route: &RouteRule, prompt: PromptShape) -> PromptShape {
        match self.weighs_prompts && route.shares_prompts {
            true => prompt,
            false => PromptShape::default(),
        }
    }

    async fn submit(
        &self,
        parts: &Parts,
        body: Bytes,
        request: RequestId,
        terms: JobTerms,
    ) -> Answer {
        let host = parts
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or("");
        let mut guard = self.forward.account.guard(MemoryUse::Submission);
        if let Err(over) = guard.grow(body.len().saturating_mul(SUBMISSION_COPIES)) {
            let failure = RequestFailure::from(over);
            log::info!(
                "event=job_not_accepted job={request} outcome={} why={:?}",
                failure.outcome(),
                failure.reason()
            );
            return failure.answer();
        }
        let list = (self.reader.codec.read_items)(&body).and_then(|list| check_items(list, host));
        drop(body);
        let list = match list {
            Ok(list) => list,
            Err(why) => {
                log::info!("event=job_malformed job={request} why={why:?}");
                return RequestFailure::Malformed(why).answer();
            }
        };
        let Ok(job) = request.as_str().parse() else {
            return RequestFailure::Malformed("the request id is not a valid job id".to_owned())
                .answer();
        };
        let received = ReceivedJob {
            job,
            host: host.to_owned(),
            path: parts.uri.path().to_owned(),
            list,
            quota: terms.quota,
            revision: terms.revision,
            caller: terms.caller,
        };
        self.intake.submit(received).await
    }

    /// Answers the load balancer's readiness probe.
    pub fn readiness(&self) -> Answer {
        match self.is_ready() {
            true => plain(http::StatusCode::OK, "ready"),
            false => plain(http::StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        }
    }
}

/// What the configuration and the caller's key say of a job.
struct JobTerms {
    quota: JobQuota,
    revision: ConfigRevision,
    caller: CallerIdentity,
}

/// Jobs of one team on one route share a quota. Names of teams contain no spaces.
fn quota_scope(route: &RouteRule, caller: &CallerIdentity) -> String {
    match caller.team() {
        Some(team) => format!("{team} {}", route.name),
        None => route.name.clone(),
    }
}

fn no_configuration() -> RequestFailure {
    RequestFailure::Refused {
        retry_after_ms: NO_CONFIGURATION_RETRY_MS,
        why: "no configuration".to_owned(),
    }
}

/// Checks that each item can be sent to an upstream as it is.
fn check_items(list: ItemList, host: &str) -> std::result::Result<ItemList, String> {
    for (item, request) in list.items.iter().zip(&list.requests) {
        ItemHead::new(request, host)
            .map_err(|why| format!("item {:?}: {why}", item.id.as_str()))?;
    }
    Ok(list)
}

/// Marks an answer that is given before any of the body was read, if the request has one.
fn before_body(answer: Answer, body: &Incoming) -> Answer {
    match body.is_end_stream() {
        true => answer,
        false => with_unread_body(answer),
    }
}

fn with_unread_body(mut answer: Answer) -> Answer {
    answer.extensions_mut().insert(UnreadBody);
    answer
}

async fn read_body(
    parts: &Parts,
    mut body: Incoming,
    guard: MemoryGuard,
    table: &RouteTable,
    route: &RouteRule,
) -> Result<Bytes, RequestFailure> {
    let max_bytes = table.limits.body_bytes;
    let content_length = parts.headers.get(CONTENT_LENGTH);
    let content_length =
        content_length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > max_bytes) {
        return Err(RequestFailure::TooLarge);
    }
    let mut buffer = HeldBuffer::new(guard, content_length.unwrap_or(0));
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| RequestFailure::Malformed(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                buffer.push(&data)?;
            }
            if buffer.len() > max_bytes {
                return Err(RequestFailure::TooLarge);
            }
        }
        Ok(())
    };
    match timeout(Duration::from_millis(route.timeout_ms), read).await {
        Ok(Ok(())) => Ok(buffer.into_bytes()),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(RequestFailure::SlowCaller),
    }
}

fn call_progress(parts: &Parts) -> CallProgress {
    let progress = parts.extensions.get::<CallProgress>();
    progress.cloned().unwrap_or_default()
}
