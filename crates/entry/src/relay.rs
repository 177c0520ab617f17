//! Sends an accepted request to an upstream and relays the answer to the caller.

use std::sync::Arc;
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::client::{CallLimits, HttpAnswer, HttpCall, HttpError};
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body::Frame;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::accept::OnlineRequest;
use crate::context::{InstanceContext, Result};
use crate::upstream_table::InFlightGuard;

/// Pieces of a streamed answer that may wait for a slow caller.
const STREAM_BUFFER: usize = 64;
/// Longest wait for the head of an upstream's answer.
const FIRST_BYTE_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait between two pieces of an upstream's answer.
const GAP_LIMIT: Duration = Duration::from_secs(5);

type Piece = std::result::Result<Frame<Bytes>, volo_http::error::BoxError>;

/// Gets the answer to a request and relays it.
pub async fn answer(context: Arc<InstanceContext>, request: OnlineRequest) -> Result<Response> {
    let group = &request.tier.upstreams;
    let Some(guard) = context.upstreams.pick(group, &[]) else {
        let message = format!("no upstream of {group} is available");
        return Err(CallError::new(ErrorKind::NoUpstream, message));
    };
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, http::HeaderValue::from_static(answer::JSON));
    let call = HttpCall::post(guard.upstream().address, request.path.clone())
        .with_headers(headers)
        .with_body(request.body.clone());
    let limits = CallLimits {
        first_byte: FIRST_BYTE_LIMIT,
        gap: GAP_LIMIT,
    };
    let upstream_answer = context.client.send(call, limits).await;
    let upstream_answer = upstream_answer.map_err(|e| {
        guard.note_failure();
        upstream_error(&e)
    })?;
    if upstream_answer.status() >= 500 {
        guard.note_failure();
    }
    if request.stream && upstream_answer.status() == 200 {
        return Ok(relay_stream(&context, upstream_answer, guard));
    }
    let status = upstream_answer.status();
    let body = upstream_answer.read_all().await;
    let body = body.map_err(|e| upstream_error(&e))?;
    Ok(answer::bytes(status, answer::JSON, body))
}

fn upstream_error(e: &HttpError) -> CallError {
    let error = CallError::new(ErrorKind::UpstreamFailed, e.to_string());
    match e.is_unsent() {
        true => error.with_ran(RanState::No),
        false => error,
    }
}

/// Relays a stream piece by piece in a task that a planned stop waits for.
fn relay_stream(
    context: &InstanceContext,
    upstream_answer: HttpAnswer,
    guard: InFlightGuard,
) -> Response {
    let (sender, receiver) = mpsc::channel::<Piece>(STREAM_BUFFER);
    context.work.spawn(copy(upstream_answer, guard, sender));
    let pieces = stream::unfold(receiver, |mut receiver| async {
        let piece = receiver.recv().await?;
        Some((piece, receiver))
    });
    answer::stream(200, answer::EVENT_STREAM, Body::from_stream(pieces))
}

async fn copy(mut upstream_answer: HttpAnswer, guard: InFlightGuard, sender: mpsc::Sender<Piece>) {
    let _in_flight = guard;
    loop {
        let piece = match upstream_answer.next_chunk().await {
            Ok(None) => return,
            Ok(Some(bytes)) => Ok(Frame::data(bytes)),
            Err(e) => Err(Box::new(e).into()),
        };
        let broken = piece.is_err();
        if sender.send(piece).await.is_err() || broken {
            return;
        }
    }
}
