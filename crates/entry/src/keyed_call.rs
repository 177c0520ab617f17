//! Requests with a key: recognised when they come again, at most once where they may not be
//! repeated, and with a result that is kept.

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
use amaranth_wire::record::{CallEnding, KeptAnswer, LogRecord};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};
use volo_http::response::Response;

use crate::accept::OnlineRequest;
use crate::committer::CommitError;
use crate::context::{InstanceContext, Result};
use crate::kept_results::{self, ClaimVerdict};

/// Longest wait for a record to be appended and read back.
const COMMIT_LIMIT: Duration = Duration::from_secs(2);
/// Longest wait for a record that nobody waits for.
const LATE_COMMIT_LIMIT: Duration = Duration::from_secs(600);
/// Longest time that a request waits for its first run to end.
const RUNNING_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for a service's account of its calls.
const ACCOUNT_LIMIT: Duration = Duration::from_secs(1);
/// Times that the account is asked after a reply was lost.
const ACCOUNT_TRIES: u32 = 10;
/// Wait between them.
const ACCOUNT_DELAY: Duration = Duration::from_millis(200);
/// Largest body that is kept.
const MAX_KEPT_BYTES: usize = 256 << 10;
/// Time added to a claim beyond the request's deadline, in milliseconds.
const CLAIM_MARGIN_MS: u64 = 1_000;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// How a request's result is to be kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResultPlan {
    /// Not at all: the request has no key.
    Unkept,
    /// By two instances.
    Peers {
        /// The request.
        id: RequestId,
        /// What makes it the same as another.
        digest: String,
    },
    /// On the log, under the intent of this attempt.
    Log {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u64,
    },
}

/// What to do with a request.
pub enum KeyedStep {
    /// Run it.
    Run(ResultPlan),
    /// Give the answer that is kept.
    Replay(KeptAnswer),
    /// Answer with an error.
    Refuse(CallError),
}

/// Finds out whether a request is to be run, and how its result is kept.
pub async fn begin(context: &InstanceContext, request: &OnlineRequest) -> KeyedStep {
    let Some(id) = &request.key else {
        return KeyedStep::Run(ResultPlan::Unkept);
    };
    let digest = request.digest();
    match request.repeatable {
        true => claim(context, request, id, digest).await,
        false => announce(context, request, id, &digest).await,
    }
}

async fn claim(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
    digest: String,
) -> KeyedStep {
    let for_ms = left_ms(request) + CLAIM_MARGIN_MS;
    match kept_results::claim(context, id, &digest, for_ms).await {
        ClaimVerdict::Run => KeyedStep::Run(ResultPlan::Peers {
            id: id.clone(),
            digest,
        }),
        ClaimVerdict::Done(answer) => KeyedStep::Replay(answer),
        ClaimVerdict::Running => KeyedStep::Refuse(in_progress()),
        ClaimVerdict::Conflict => KeyedStep::Refuse(key_conflict()),
    }
}

fn left_ms(request: &OnlineRequest) -> u64 {
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

fn unknown() -> CallError {
    let message = "it is not known how the first request with this key ended";
    CallError::new(ErrorKind::OutcomeUnknown, message)
}

/// Announces a call on the log and reads the announcement back before the call is sent.
async fn announce(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
    digest: &str,
) -> KeyedStep {
    let attempt: u64 = rand::random::<u64>().max(1);
    let mut waited = false;
    let mut looked = false;
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
            IntentStep::Ended(_) => return KeyedStep::Refuse(unknown()),
            IntentStep::Conflict => return KeyedStep::Refuse(key_conflict()),
            IntentStep::AppendIntent => {
                if let Err(refusal) = intend(context, request, id, digest, attempt).await {
                    return KeyedStep::Refuse(refusal);
                }
            }
            IntentStep::Running if !waited => {
                waited = true;
                wait_ended(context, id, left_ms(request)).await;
            }
            IntentStep::Running | IntentStep::Unknown if !looked => {
                looked = true;
                settle_by_account(context, request, id, 1).await;
            }
            IntentStep::Running => return KeyedStep::Refuse(in_progress()),
            IntentStep::Unknown => return KeyedStep::Refuse(unknown()),
        }
    }
}

/// Appends an intent and reads it back. When that fails nothing was sent, and nothing will be.
async fn intend(
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
        limit_ms: left_ms(request),
    };
    let submitted = context.committer.submit(vec![record], COMMIT_LIMIT).await;
    let message = "the log cannot be reached, so the call was not sent";
    let refusal = CallError::new(ErrorKind::LogUnavailable, message).with_ran(RanState::No);
    match submitted {
        Ok(offset) if context.state.wait_folded(offset, COMMIT_LIMIT).await => Ok(()),
        Err(CommitError::NotAppended | CommitError::TooLarge) => Err(refusal),
        Ok(_) | Err(CommitError::Unknown) => {
            end_later(context, id.clone(), attempt, CallEnding::NotSent);
            Err(refusal)
        }
    }
}

/// Waits until a call has ended, for a while.
async fn wait_ended(context: &InstanceContext, id: &RequestId, left_ms: u64) {
    let mut folded = context.state.folded_watch();
    let ended = async {
        while folded.changed().await.is_ok() {
            let intents = context.state.intents();
            if intents.get(id).is_none_or(|call| call.ending.is_some()) {
                return;
            }
        }
    };
    let limit = RUNNING_WAIT.min(Duration::from_millis(left_ms));
    let _ = timeout(limit, ended).await;
}

/// Tells the log how a call ended, without waiting.
fn end_later(context: &InstanceContext, request: RequestId, attempt: u64, ending: CallEnding) {
    let committer = context.committer.clone();
    context.work.spawn(async move {
        let record = LogRecord::CallEnded {
            request,
            attempt,
            ending,
        };
        let _ = committer.submit(vec![record], LATE_COMMIT_LIMIT).await;
    });
}

/// How long results of the request's tier are kept, by the log if it says so, in milliseconds.
fn kept_ms(context: &InstanceContext, request: &OnlineRequest) -> u64 {
    let name = format!("tier.{}.kept_s", request.tier.name);
    let set = context.state.config().number(&name);
    set.map_or(request.tier.kept.as_millis(), |seconds| seconds * MS_PER_S)
}

/// Has an answer kept as planned. Returns where it is, for the caller.
pub async fn keep(
    context: &InstanceContext,
    request: &OnlineRequest,
    plan: &ResultPlan,
    kept: KeptAnswer,
) -> String {
    let fits = kept.body.len() <= MAX_KEPT_BYTES;
    match plan {
        ResultPlan::Unkept => "no".to_owned(),
        ResultPlan::Peers { id, digest } => {
            let kept_ms = kept_ms(context, request);
            let copies = match fits {
                true => kept_results::keep(context, id, digest, &kept, kept_ms).await,
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
                true => CallEnding::Answered(kept),
                false => CallEnding::AnswerNotKept,
            };
            let on_log = end(context, id, *attempt, ending.clone()).await;
            if !on_log {
                end_later(context, id.clone(), *attempt, ending);
            }
            match on_log && fits {
                true => "log".to_owned(),
                false => "no".to_owned(),
            }
        }
    }
}

/// Appends how a call ended and reads it back. False if that was not seen in time.
async fn end(context: &InstanceContext, id: &RequestId, attempt: u64, ending: CallEnding) -> bool {
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

/// Notes that a planned run ended without an answer.
pub fn fail(
    context: &Arc<InstanceContext>,
    request: &OnlineRequest,
    plan: ResultPlan,
    ran: RanState,
) {
    match (plan, ran) {
        (ResultPlan::Unkept, _) => {}
        (ResultPlan::Peers { id, .. }, _) => {
            let context = context.clone();
            let work = context.work.clone();
            work.spawn(async move { kept_results::release(&context, &id).await });
        }
        (ResultPlan::Log { id, attempt }, RanState::No) => {
            end_later(context, id, attempt, CallEnding::NotSent);
        }
        (ResultPlan::Log { id, .. }, RanState::Unknown) => {
            let (context, request) = (context.clone(), request.clone());
            let work = context.work.clone();
            work.spawn(async move {
                settle_by_account(&context, &request, &id, ACCOUNT_TRIES).await;
            });
        }
    }
}

/// Looks for a call in the services' own accounts and, if its answer is there, puts that on the
/// log.
async fn settle_by_account(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
    tries: u32,
) {
    if request.kind != UpstreamKind::Service {
        return;
    }
    for _ in 0..tries {
        if let Some(body) = accounted(context, request, id).await {
            let kept = KeptAnswer {
                status: 200,
                content_type: answer::JSON.to_owned(),
                body: body.into_bytes(),
            };
            end(context, id, 0, CallEnding::Answered(kept)).await;
            return;
        }
        sleep(ACCOUNT_DELAY).await;
    }
}

/// The answer to a call by any service's account. That no account has it proves nothing: the
/// call may still be on its way.
async fn accounted(
    context: &InstanceContext,
    request: &OnlineRequest,
    id: &RequestId,
) -> Option<String> {
    let states = context.upstreams.group(&request.tier.upstreams);
    let asked = states.iter().map(|state| {
        let call = HttpCall::get(state.address, format!("{SERVICE_CALLS_PATH}/{id}"));
        let limits = CallLimits::new(ACCOUNT_LIMIT);
        state.client.fetch_json::<ServiceCalls>(call, limits)
    });
    let accounts = join_all(asked).await;
    accounts
        .into_iter()
        .flatten()
        .filter(|account| account.runs > 0)
        .find_map(|account| account.answer)
}

/// The response that gives a kept answer again.
pub fn replay(kept: KeptAnswer) -> Response {
    let known = [answer::JSON, answer::EVENT_STREAM, answer::TEXT];
    let content_type = known.into_iter().find(|known| *known == kept.content_type);
    let content_type = content_type.unwrap_or("application/octet-stream");
    answer::bytes(kept.status, content_type, kept.body)
}

/// Handles a query for a result that was already given.
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
        Some(Some(CallEnding::Answered(kept))) => return Ok(replay(kept)),
        Some(Some(CallEnding::NotSent)) | None => {}
        Some(_) => return Err(unknown()),
    }
    let kept = kept_results::show(&context, &id).await;
    kept.map(replay).ok_or_else(not_found)
}
