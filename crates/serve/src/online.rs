//! Forwards online requests and relays their answers.

use std::sync::Arc;

use amaranth_kernel::attempt_plan::AnswerProgress;
use amaranth_kernel::memory_budget::MemoryUse;
use amaranth_kernel::route_table::{RouteKind, RouteRule, RouteTable};
use amaranth_wire::id::RequestId;
use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use rand::RngExt;

use crate::answer::{Answer, AnswerBody, RequestFailure, relay_answer};
use crate::attempt::{FailedAttempt, ForwardRequest, strip_connection_headers};
use crate::call::CallProgress;
use crate::connection_pool::{OpenAnswer, SendError};
use crate::forward_run::{ForwardContext, ForwardRun};
use crate::memory_account::{MemoryGuard, OverBudget};
use crate::request_trace::RequestTrace;
use crate::stream_relay::StreamRelay;
use crate::upstream_pool::UpstreamPermit;
use crate::whole_body::{WholeBody, WholeBuffer};

/// Largest answer that isn't a stream, in bytes. It is buffered until it is complete, so that the
/// request can be repeated at another upstream.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Result of forwarding a request.
pub type Result<T> = std::result::Result<T, RequestFailure>;

/// Forwards a request and returns its answer; a failure is logged and answered with an error.
pub async fn forward(
    context: &Arc<ForwardContext>,
    table: &RouteTable,
    route: &Arc<RouteRule>,
    request: ForwardRequest,
    caller_timeout_ms: Option<u64>,
    progress: CallProgress,
) -> Answer {
    let mut trace = RequestTrace::new(request.id.clone(), &route.name, table.revision)
        .with_parts(&request.shared_parts);
    let Some(group) = route.pick_group(rand::rng().random()) else {
        return answer_failure(trace, RequestFailure::NoRoute);
    };
    let (context, route, group) = (context.clone(), route.clone(), group.clone());
    let mut run = ForwardRun::new(
        context,
        route,
        group,
        request,
        trace.started(),
        caller_timeout_ms,
    )
    .with_progress(progress);
    match run.open(None).await {
        Ok((answer, permit)) => {
            trace.answered(&permit);
            relay(run, answer, permit, trace).await
        }
        Err(e) => {
            trace.end(e.outcome(), &e.reason(), run.count());
            e.answer()
        }
    }
}

/// Logs a call that wasn't forwarded and returns the error answer.
fn answer_failure(mut trace: RequestTrace, failure: RequestFailure) -> Answer {
    trace.end(failure.outcome(), &failure.reason(), Default::default());
    failure.answer()
}

/// Logs a call that fails before it is forwarded and returns the error answer.
pub fn refuse(id: RequestId, route: &str, table: &RouteTable, reason: RequestFailure) -> Answer {
    answer_failure(RequestTrace::new(id, route, table.revision), reason)
}

async fn relay(
    run: ForwardRun,
    answer: OpenAnswer,
    permit: UpstreamPermit,
    trace: RequestTrace,
) -> Answer {
    let is_stream = matches!(run.route().kind, RouteKind::Stream { .. });
    match is_stream && answer.status().is_success() {
        true => relay_stream(run, answer, permit, trace).await,
        false => relay_buffered(run, answer, permit, trace).await,
    }
}

async fn relay_buffered(
    mut run: ForwardRun,
    mut answer: OpenAnswer,
    mut permit: UpstreamPermit,
    mut trace: RequestTrace,
) -> Answer {
    loop {
        let status = answer.status();
        let headers = relayed_headers(answer.headers());
        let deadline = run.deadline();
        let upstream = permit.upstream.clone();
        let guard = run.account().guard(MemoryUse::Answer);
        let failed = match tokio::time::timeout_at(deadline, read_whole(answer, guard)).await {
            Ok(WholeAnswer::Complete(body)) => {
                let took = run.started().elapsed().as_secs_f64() * 1000.0;
                permit.record_success(status.is_success().then_some(took));
                run.record_answer();
                trace.end("served", "", run.count());
                return relay_answer(status, headers, body.boxed_unsync());
            }
            // The upstream isn't at fault, and another one's answer wouldn't fit either.
            Ok(WholeAnswer::OverBudget(over)) => {
                let failure = RequestFailure::Failed(over.to_string());
                trace.end(failure.outcome(), &failure.reason(), run.count());
                return failure.answer();
            }
            Ok(WholeAnswer::Broken(e)) => FailedAttempt::from_error(&permit, &e),
            Err(_) => {
                let why = "the answer was not complete by the deadline".to_owned();
                FailedAttempt::may_have_run(upstream, why)
            }
        };
        permit.record_failure();
        let next = retry(&mut run, failed.with_progress(AnswerProgress::Head)).await;
        match next {
            Ok((next_answer, next_permit)) => (answer, permit) = (next_answer, next_permit),
            Err(e) => {
                trace.end(e.outcome(), &e.reason(), run.count());
                return e.answer();
            }
        }
    }
}

/// An answer read to its end, or what ended it.
enum WholeAnswer {
    Complete(WholeBody),
    Broken(SendError),
    /// There is no memory for the rest.
    OverBudget(OverBudget),
}

/// Reads an answer, whose bytes are accounted for until the caller has taken them.
async fn read_whole(mut answer: OpenAnswer, guard: MemoryGuard) -> WholeAnswer {
    let mut buffer = WholeBuffer::new(guard);
    loop {
        let chunk = match answer.next_chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => {
                answer.finish();
                return WholeAnswer::Complete(buffer.into_body());
            }
            Err(e) => return WholeAnswer::Broken(e),
        };
        if buffer.len() + chunk.len() > MAX_ANSWER_BYTES {
            let why = "the answer exceeds the size limit";
            return WholeAnswer::Broken(SendError::Broken(why.to_owned()));
        }
        if let Err(over) = buffer.push(&chunk) {
            return WholeAnswer::OverBudget(over);
        }
    }
}

async fn retry(
    run: &mut ForwardRun,
    failed: FailedAttempt,
) -> Result<(OpenAnswer, UpstreamPermit)> {
    run.record_failure(failed).await?;
    run.open(None).await
}

async fn relay_stream(
    run: ForwardRun,
    answer: OpenAnswer,
    permit: UpstreamPermit,
    trace: RequestTrace,
) -> Answer {
    let mut relay = StreamRelay::new(run, answer, permit, trace);
    // The head is sent with the first events: until then the request can still fail with a status, or
    // another upstream may serve it.
    let first = relay.next_events().await;
    let (status, headers) = relay.head();
    let headers = relayed_headers(&headers);
    let first = match first {
        Some(Ok(events)) => events,
        Some(Err(e)) => return RequestFailure::Failed(e.to_string()).answer(),
        None => return relay_answer(status, headers, empty_body()),
    };
    let head = stream::once(async move { Ok(Frame::data(first)) });
    let rest = stream::unfold(relay, |mut relay| async move {
        let events = relay.next_events().await?;
        Some((events.map(Frame::data), relay))
    });
    let events = futures_util::StreamExt::chain(head, rest);
    let body: AnswerBody = StreamBody::new(events).boxed_unsync();
    relay_answer(status, headers, body)
}

fn empty_body() -> AnswerBody {
    Full::new(Bytes::new())
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Returns the headers of an upstream's answer that are relayed to the caller.
fn relayed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    strip_connection_headers(&mut headers);
    headers
}
