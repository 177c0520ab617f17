//! Requests with an idempotency key: duplicates are detected, requests that are not repeatable run
//! at most once, and results are stored.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::request_intents::IntentStep;
use amaranth_net::answer;
use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_net::clock::steady_ms;
use amaranth_net::route::RouteRequest;
use amaranth_settings::upstream::UpstreamKind;
use amaranth_wire::engine::{SERVICE_CALLS_PATH, ServiceCalls};
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use amaranth_wire::id::RequestId;
use amaranth_wire::record::{CallEnding, LogRecord, StoredAnswer};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};
use volo_http::response::Response;

use crate::accept::OnlineRequest;
use crate::committer::CommitError;
use crate::context::{InstanceContext, Result};
use crate::kept_results::{self, ClaimResult};

/// Longest wait for a record to be appended and read back.
const COMMIT_LIMIT: Duration = Duration::from_secs(2);
/// Timeout for appending a record in the background.
const BACKGROUND_COMMIT_LIMIT: Duration = Duration::from_secs(600);
/// Longest time that a duplicate waits for the first run to end.
const RUNNING_WAIT: Duration = Duration::from_secs(2);
/// Timeout for asking a service about its past calls.
const SERVICE_QUERY_LIMIT: Duration = Duration::from_secs(1);
/// Times that the services are asked after a reply was lost.
const SERVICE_QUERY_TRIES: u32 = 10;
/// Delay between these queries.
const SERVICE_QUERY_DELAY: Duration = Duration::from_millis(200);
/// Largest body that is stored, in bytes.
const MAX_STORED_BYTES: usize = 256 << 10;
/// Time added to a claim beyond the request's deadline, in milliseconds.
const CLAIM_MARGIN_MS: u64 = 1_000;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Where a request's result will be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResultPlan {
    /// Nowhere: the request has no key.
    NotStored,
    /// In the memory of two instances.
    Peers {
        /// Id of the request.
        id: RequestId,
        /// Digest that detects a key used for another request.
        digest: String,
    },
    /// On the log, under the intent of this attempt.
    Log {
        /// Id of the request.
        id: RequestId,
        /// Random number of the attempt, in its intent.
        attempt: u64,
    },
}

/// What to do with an online request.
pub enum KeyedStep {
    /// Run it and store its result as planned.
    Run(ResultPlan),
    /// Replay the stored answer.
    Replay(StoredAnswer),
    /// Answer with an error.
    Refuse(CallError),
}

/// Decides whether a request runs, is replayed or is refused, and where its result is stored.
pub async fn begin(context: &InstanceContext, request: &OnlineRequest) -> KeyedStep {
    let Some(id) = &request.key else {
        return KeyedStep::Run(ResultPlan::NotStored);
    };
    let digest = request.digest();
    match request.repeatable {
        true => begin_with_claim(context, request, id, digest).await,
        false => begin_with_intent(context, request, id, &digest).await,
    }
}

async fn begin_with_claim(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
    digest: String,
) -> KeyedStep {
    let for_ms = remaining_ms(request) + CLAIM_MARGIN_MS;
    match kept_results::claim(context, id, &digest, for_ms).await {
        ClaimResult::Run => KeyedStep::Run(ResultPlan::Peers {
            id: id.clone(),
            digest,
        }),
        ClaimResult::Done(answer) => KeyedStep::Replay(answer),
        ClaimResult::Running => KeyedStep::Refuse(in_progress()),
        ClaimResult::Conflict => KeyedStep::Refuse(key_conflict()),
    }
}

fn remaining_ms(request: &OnlineRequest) -> u64 {
    request.deadline_ms.saturating_sub(steady_ms())
}

fn in_progress() -> CallError {
    let message = "the first request with this key still runs";
    CallError::new(ErrorKind::InProgress, message)
}

fn key_conflict() -> CallError {
    let message = "the same idempotency key came with another body";
    CallError::new(ErrorKind::KeyConflict, message)
}

fn outcome_unknown() -> CallError {
    let message = "it is not known how the first request with this key ended";
    CallError::new(ErrorKind::OutcomeUnknown, message)
}

/// Decides by the intents on the log. The intent of a new call is appended and read back before
/// the call is sent.
async fn begin_with_intent(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
    digest: &str,
) -> KeyedStep {
    let attempt: u64 = rand::random::<u64>().max(1);
    let mut waited = false;
    let mut service_queried = false;
    loop {
        let log_now_ms = context.state.log_now_ms().unwrap_or(0);
        let step = context
            .state
            .intents()
            .next_step(id, digest, attempt, log_now_ms);
        match step {
            IntentStep::Send => {
                let id = id.clone();
                return KeyedStep::Run(ResultPlan::Log { id, attempt });
            }
            IntentStep::Ended(CallEnding::Answered(answer)) => return KeyedStep::Replay(answer),
            IntentStep::Ended(_) => return KeyedStep::Refuse(outcome_unknown()),
            IntentStep::Conflict => return KeyedStep::Refuse(key_conflict()),
            IntentStep::AppendIntent => {
                if let Err(refusal) = append_intent(context, request, id, digest, attempt).await {
                    return KeyedStep::Refuse(refusal);
                }
            }
            IntentStep::Running if !waited => {
                waited = true;
                wait_for_ending(context, id, remaining_ms(request)).await;
            }
            IntentStep::Running | IntentStep::Unknown if !service_queried => {
                service_queried = true;
                reconcile_with_service(context, request, id, 1).await;
            }
            IntentStep::Running => return KeyedStep::Refuse(in_progress()),
            IntentStep::Unknown => return KeyedStep::Refuse(outcome_unknown()),
        }
    }
}

/// Appends an intent and reads it back. On an error the call was not sent and won't be.
async fn append_intent(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
    digest: &str,
    attempt: u64,
) -> Result<()> {
    let record = LogRecord::CallIntended {
        request: id.clone(),
        digest: digest.to_owned(),
        attempt,
        limit_ms: remaining_ms(request),
    };
    let submitted = context.committer.submit(vec![record], COMMIT_LIMIT).await;
    let message = "the log cannot be reached, so the call was not sent";
    let refusal = CallError::new(ErrorKind::LogUnavailable, message).with_ran(RanState::No);
    match submitted {
        Ok(offset) if context.state.wait_folded(offset, COMMIT_LIMIT).await => Ok(()),
        Err(CommitError::NotAppended | CommitError::TooLarge) => Err(refusal),
        Ok(_) | Err(CommitError::Unknown) => {
            append_ending_in_background(context, id.clone(), attempt, CallEnding::NotSent);
            Err(refusal)
        }
    }
}

/// Waits until a call has ended, at most `RUNNING_WAIT` or the remaining time.
async fn wait_for_ending(context: &InstanceContext, id: &RequestId, remaining_ms: u64) {
    let mut folded = context.state.folded_watch();
    let ended = async {
        while folded.changed().await.is_ok() {
            let intents = context.state.intents();
            if intents.get(id).is_none_or(|call| call.ending.is_some()) {
                return;
            }
        }
    };
    let limit = RUNNING_WAIT.min(Duration::from_millis(remaining_ms));
    let _ = timeout(limit, ended).await;
}

/// Appends how a call ended, without waiting for the append.
fn append_ending_in_background(
    context: &InstanceContext,
    request: RequestId,
    attempt: u64,
    ending: CallEnding,
) {
    let committer = context.committer.clone();
    context.work.spawn(async move {
        let record = LogRecord::CallEnded {
            request,
            attempt,
            ending,
        };
        let _ = committer
            .submit(vec![record], BACKGROUND_COMMIT_LIMIT)
            .await;
    });
}

/// Retention of results of the request's tier in milliseconds: the value set on the log, else the
/// tier's setting.
fn retention_ms(context: &InstanceContext, request: &OnlineRequest) -> u64 {
    let name = format!("tier.{}.kept_s", request.tier.name);
    let set = context.state.config().number(&name);
    set.map_or(request.tier.result_retention.as_millis(), |seconds| {
        seconds * MS_PER_S
    })
}

/// Stores an answer as planned. Returns where it is stored, as the caller's header says it.
pub async fn store_answer(
    context: &InstanceContext,
    request: &OnlineRequest,
    plan: &ResultPlan,
    stored: StoredAnswer,
) -> String {
    let fits = stored.body.len() <= MAX_STORED_BYTES;
    match plan {
        ResultPlan::NotStored => "no".to_owned(),
        ResultPlan::Peers { id, digest } => {
            let retention_ms = retention_ms(context, request);
            let copies = match fits {
                true => kept_results::replicate(context, id, digest, &stored, retention_ms).await,
                false => 0,
            };
            if copies == 0 {
                kept_results::release(context, id).await;
            }
            match copies {
                0 => "no".to_owned(),
                _ => format!("peers={copies}"),
            }
        }
        ResultPlan::Log { id, attempt } => {
            let ending = match fits {
                true => CallEnding::Answered(stored),
                false => CallEnding::AnswerNotKept,
            };
            let on_log = append_ending(context, id, *attempt, ending.clone()).await;
            if !on_log {
                append_ending_in_background(context, id.clone(), *attempt, ending);
            }
            match on_log && fits {
                true => "log".to_owned(),
                false => "no".to_owned(),
            }
        }
    }
}

/// Appends how a call ended and reads it back. False if that failed or timed out.
async fn append_ending(
    context: &InstanceContext,
    id: &RequestId,
    attempt: u64,
    ending: CallEnding,
) -> bool {
    let record = LogRecord::CallEnded {
        request: id.clone(),
        attempt,
        ending,
    };
    match context.committer.submit(vec![record], COMMIT_LIMIT).await {
        Ok(offset) => context.state.wait_folded(offset, COMMIT_LIMIT).await,
        Err(_) => false,
    }
}

/// Handles a run that ended without an answer: releases the claims on it, logs that it was not
/// sent, or asks the services whether it ran.
pub fn record_no_answer(
    context: &Arc<InstanceContext>,
    request: &OnlineRequest,
    plan: ResultPlan,
    ran: RanState,
) {
    match (plan, ran) {
        (ResultPlan::NotStored, _) => {}
        (ResultPlan::Peers { id, .. }, _) => {
            let context = context.clone();
            let work = context.work.clone();
            work.spawn(async move { kept_results::release(&context, &id).await });
        }
        (ResultPlan::Log { id, attempt }, RanState::No) => {
            append_ending_in_background(context, id, attempt, CallEnding::NotSent);
        }
        (ResultPlan::Log { id, .. }, RanState::Unknown) => {
            let (context, request) = (context.clone(), request.clone());
            let work = context.work.clone();
            work.spawn(async move {
                reconcile_with_service(&context, &request, &id, SERVICE_QUERY_TRIES).await;
            });
        }
    }
}

/// Asks the services whether they ran a call and, if one has its answer, appends that to the log.
async fn reconcile_with_service(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
    tries: u32,
) {
    if request.kind != UpstreamKind::Service {
        return;
    }
    for _ in 0..tries {
        if let Some(body) = find_service_answer(context, request, id).await {
            let stored = StoredAnswer {
                status: 200,
                content_type: answer::JSON.to_owned(),
                body: body.into_bytes(),
            };
            append_ending(context, id, 0, CallEnding::Answered(stored)).await;
            return;
        }
        sleep(SERVICE_QUERY_DELAY).await;
    }
}

/// Asks all services of the tier for the answer to a call. That none has it proves nothing: the
/// call may still be in transit.
async fn find_service_answer(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
) -> Option<String> {
    let states = context.upstreams.group(&request.tier.upstreams);
    let queries = states.iter().map(|state| {
        let call = HttpCall::get(state.address, format!("{SERVICE_CALLS_PATH}/{id}"));
        let limits = CallLimits::new(SERVICE_QUERY_LIMIT);
        state.client.fetch_json::<ServiceCalls>(call, limits)
    });
    let service_calls = join_all(queries).await;
    service_calls
        .into_iter()
        .flatten()
        .filter(|account| account.runs > 0)
        .find_map(|account| account.answer)
}

/// Builds the response that replays a stored answer.
pub fn replay(stored: StoredAnswer) -> Response {
    let known = [answer::JSON, answer::EVENT_STREAM, answer::TEXT];
    let content_type = known
        .into_iter()
        .find(|known| *known == stored.content_type);
    let content_type = content_type.unwrap_or("application/octet-stream");
    answer::bytes(stored.status, content_type, stored.body)
}

/// Handles a caller's query for the stored result of an earlier request.
pub async fn show(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    context.callers.team(&request)?;
    let not_found = || CallError::new(ErrorKind::NotFound, "no result is kept under this id");
    let id: RequestId = request.param(0).parse().map_err(|_| not_found())?;
    let ending = context
        .state
        .intents()
        .get(&id)
        .map(|call| call.ending.clone());
    match ending {
        Some(Some(CallEnding::Answered(stored))) => return Ok(replay(stored)),
        Some(Some(CallEnding::NotSent)) | None => {}
        Some(_) => return Err(outcome_unknown()),
    }
    let stored = kept_results::look_up(&context, &id).await;
    stored.map(replay).ok_or_else(not_found)
}
