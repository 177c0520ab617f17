//! Online requests: forwards one and passes its answer on.

use std::sync::Arc;

use amaranth_kernel::attempt_plan::FailureProof;
use amaranth_kernel::route_table::{RouteKind, RouteRule, RouteTable};
use amaranth_wire::id::RequestId;
use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use rand::RngExt;

use crate::answer::{Answer, AnswerBody, GiveUp, passed_on};
use crate::attempt::{ForwardRequest, strip_connection_headers};
use crate::connection_pool::OpenAnswer;
use crate::forward_run::{ForwardPath, ForwardRun};
use crate::request_trace::RequestTrace;
use crate::stream_relay::StreamRelay;
use crate::upstream_pool::UpstreamReservation;

/// Most bytes of a whole answer: it is held until it is known to be complete, so that it can be
/// asked for again elsewhere.
const WHOLE_ANSWER_BYTES: usize = 8 << 20;

/// Result of answering.
pub type Result<T> = std::result::Result<T, GiveUp>;

/// Forwards a request and returns its answer; a failure is written to the log and answered.
pub async fn forward(
    path: &Arc<ForwardPath>,
    table: &RouteTable,
    route: &Arc<RouteRule>,
    request: ForwardRequest,
    patience_ms: Option<u64>,
) -> Answer {
    let mut trace = RequestTrace::new(request.id.clone(), &route.name, table.revision);
    let Some(group) = route.pick_group(rand::rng().random()) else {
        return give_up(trace, GiveUp::NoRoute);
    };
    let (path, route, group) = (path.clone(), route.clone(), group.clone());
    let mut run = ForwardRun::new(path, route, group, request, trace.started(), patience_ms);
    match run.open(None).await {
        Ok((answer, reservation)) => {
            trace.answered(reservation.upstream.as_str(), reservation.load);
            relay(run, answer, reservation, trace).await
        }
        Err(e) => {
            trace.end(e.outcome(), &e.reason(), run.count());
            e.answer()
        }
    }
}

/// Answers a call that was not forwarded.
fn give_up(mut trace: RequestTrace, give_up: GiveUp) -> Answer {
    trace.end(give_up.outcome(), &give_up.reason(), Default::default());
    give_up.answer()
}

/// Answers a call that is refused before it is forwarded.
pub fn refuse(id: RequestId, route: &str, table: &RouteTable, reason: GiveUp) -> Answer {
    give_up(RequestTrace::new(id, route, table.revision), reason)
}

async fn relay(
    run: ForwardRun,
    answer: OpenAnswer,
    reservation: UpstreamReservation,
    trace: RequestTrace,
) -> Answer {
    let is_stream = matches!(run.route().kind, RouteKind::Stream { .. });
    match is_stream && answer.status().is_success() {
        true => relay_stream(run, answer, reservation, trace).await,
        false => relay_whole(run, answer, reservation, trace).await,
    }
}

async fn relay_whole(
    mut run: ForwardRun,
    mut answer: OpenAnswer,
    mut reservation: UpstreamReservation,
    mut trace: RequestTrace,
) -> Answer {
    loop {
        let status = answer.status();
        let headers = passed_headers(answer.headers());
        let deadline = run.deadline();
        let why = match tokio::time::timeout_at(deadline, answer.read_all(WHOLE_ANSWER_BYTES)).await
        {
            Ok(Ok(body)) => {
                let took = run.started().elapsed().as_secs_f64() * 1000.0;
                reservation.note_success(status.is_success().then_some(took));
                trace.end("served", "", run.count());
                let body = Full::new(body).map_err(|e| match e {}).boxed_unsync();
                return passed_on(status, headers, body);
            }
            Ok(Err(e)) => e.to_string(),
            Err(_) => "the answer did not end in time".to_owned(),
        };
        reservation.note_failure();
        let next = again(&mut run, &reservation, &why).await;
        match next {
            Ok((next_answer, next_reservation)) => {
                (answer, reservation) = (next_answer, next_reservation)
            }
            Err(e) => {
                trace.end(e.outcome(), &e.reason(), run.count());
                return e.answer();
            }
        }
    }
}

async fn again(
    run: &mut ForwardRun,
    reservation: &UpstreamReservation,
    why: &str,
) -> Result<(OpenAnswer, UpstreamReservation)> {
    run.note_failure(reservation.upstream.clone(), FailureProof::MayHaveRun, why)?;
    run.open(None).await
}

async fn relay_stream(
    run: ForwardRun,
    answer: OpenAnswer,
    reservation: UpstreamReservation,
    trace: RequestTrace,
) -> Answer {
    let status = answer.status();
    let headers = passed_headers(answer.headers());
    let mut relay = StreamRelay::new(run, answer, reservation, trace);
    // The head goes out with the first events: until then the request can still be refused.
    let first = match relay.next_events().await {
        Some(Ok(events)) => events,
        Some(Err(e)) => return GiveUp::Failed(e.to_string()).answer(),
        None => Bytes::new(),
    };
    let head = stream::once(async move { Ok(Frame::data(first)) });
    let rest = stream::unfold(relay, |mut relay| async move {
        let events = relay.next_events().await?;
        Some((events.map(Frame::data), relay))
    });
    let events = futures_util::StreamExt::chain(head, rest);
    let body: AnswerBody = StreamBody::new(events).boxed_unsync();
    passed_on(status, headers, body)
}

/// The headers of an upstream's answer that its caller gets. The length is set anew from the body.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    headers
}
