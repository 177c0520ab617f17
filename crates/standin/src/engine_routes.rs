//! HTTP routes of the engine stand-in.

use std::sync::Arc;
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::body::{read_all, read_json};
use amaranth_net::clock::unix_ms;
use amaranth_net::route::{RouteRequest, handler};
use amaranth_wire::engine::{
    CACHE_EVENTS_PATH, EngineRole, IMPORT_PATH, LAST_EVENT_ID_HEADER, LOAD_PATH, ORDERS_PATH,
    SHARD_FENCE_HEADER, STATUS_PATH, STREAM_ID_HEADER, STREAMS_PATH,
};
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::ParseIdError;
use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::connection_gate::GateWaiter;
use crate::engine::EngineState;
use crate::engine_faults::EngineFaults;
use crate::engine_stream::{EventReader, ReadStep, ReaderGuard, StreamEnd, StreamState};
use crate::engine_text::{CompletionKind, CompletionRequest, parse_request};
use crate::fault_injector::{BODY_LIMITS, broken_connection, common_routes};

/// Path of the engine's counters.
pub const COUNTS_PATH: &str = "/engine/counts";
/// Path of the starts of named streams.
pub const STARTS_PATH: &str = "/engine/starts";
/// Exported cache bytes for each byte of text.
const CACHE_BYTES_PER_TEXT_BYTE: usize = 16;
/// Text bytes that each generated token adds to the size of an export.
const TOKEN_BYTES: usize = 10;

/// An exported stream, encoded as MessagePack.
#[derive(Debug, Serialize, Deserialize)]
struct ExportedStream {
    request: CompletionRequest,
    version: String,
    produced: u32,
    #[serde(with = "serde_bytes")]
    cache: Vec<u8>,
}

/// Answer to a cancel call.
#[derive(Debug, Serialize)]
struct EndedStream {
    produced: u32,
    end: Option<&'static str>,
}

#[derive(Debug, Deserialize)]
struct EventQuery {
    #[serde(default)]
    from: u64,
}

/// Builds the router of an engine stand-in.
pub fn router(state: &Arc<EngineState>) -> Router {
    let chat = handler(state, |state, request| {
        complete(state, request, CompletionKind::Chat)
    });
    let text = handler(state, |state, request| {
        complete(state, request, CompletionKind::Text)
    });
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(text))
        .route(
            format!("{STREAMS_PATH}/{{id}}"),
            get(handler(state, resume)),
        )
        .route(
            format!("{STREAMS_PATH}/{{id}}/cancel"),
            post(handler(state, cancel)),
        )
        .route(
            format!("{STREAMS_PATH}/{{id}}/export"),
            post(handler(state, export)),
        )
        .route(IMPORT_PATH, post(handler(state, import)))
        .route(ORDERS_PATH, post(handler(state, order)))
        .route(LOAD_PATH, get(handler(state, load)))
        .route(CACHE_EVENTS_PATH, get(handler(state, cache_events)))
        .route(STATUS_PATH, get(handler(state, status)))
        .route(COUNTS_PATH, get(handler(state, counts)))
        .route(STARTS_PATH, get(handler(state, starts)))
        .route("/readyz", get(handler(state, ready)))
        .merge(common_routes(&state.injector))
}

async fn complete(
    state: Arc<EngineState>,
    request: RouteRequest,
    kind: CompletionKind,
) -> answer::Result<Response> {
    let waiter = state.injector.gate.waiter(request.peer());
    let faults = state.injector.admit(&request).await?;
    let name = request.header(STREAM_ID_HEADER).map(str::to_owned);
    let fence = request.header(SHARD_FENCE_HEADER).map(str::parse);
    let fence = fence.transpose().map_err(|e: ParseIdError| {
        let message = format!("{SHARD_FENCE_HEADER}: {e}");
        CallError::new(ErrorKind::InvalidRequest, message)
    })?;
    let body = read_all(request.into_body(), BODY_LIMITS).await?;
    let completion = parse_request(kind, &body)?;
    if let Some(fence) = fence {
        state.check_fence(fence)?;
    }
    let stream = state.start_stream(completion, name)?;
    answer_stream(&state, stream, waiter, &faults, 0).await
}

/// Answers with events from token `from` on, or with one JSON value if no stream was requested.
async fn answer_stream(
    state: &Arc<EngineState>,
    stream: Arc<StreamState>,
    waiter: GateWaiter,
    faults: &EngineFaults,
    from: u32,
) -> answer::Result<Response> {
    if !stream.request.stream {
        return unstreamed_answer(stream, waiter).await;
    }
    let guard = ReaderGuard::new(stream.clone());
    wait_for_first_token(&stream, from).await?;
    let reader = EventReader::new(stream, waiter, from, faults.break_after_tokens);
    drop(guard);
    let (state, loses_stream) = (state.clone(), faults.lose_broken);
    let chunks = stream::unfold(Some(reader), move |reader| {
        next_chunk(state.clone(), reader, loses_stream)
    });
    let body = Body::from_stream(chunks);
    Ok(answer::stream(200, answer::EVENT_STREAM, body))
}

type BodyChunk = Result<Frame<Bytes>, BoxError>;

async fn next_chunk(
    state: Arc<EngineState>,
    reader: Option<EventReader>,
    loses_stream: bool,
) -> Option<(BodyChunk, Option<EventReader>)> {
    let mut reader = reader?;
    match reader.step().await {
        ReadStep::Send(bytes) => Some((Ok(Frame::data(bytes)), Some(reader))),
        ReadStep::End => None,
        ReadStep::Break => {
            if loses_stream {
                state.lose_stream(reader.stream());
            }
            // The server flushes its buffer only while the body is pending.
            tokio::task::yield_now().await;
            let error = CallError::new(ErrorKind::Internal, "broken by a fault");
            Some((Err(error.into()), None))
        }
    }
}

/// Waits for a token after `from`, so that a stream refused in the queue gets an error status.
async fn wait_for_first_token(stream: &StreamState, from: u32) -> answer::Result<()> {
    let mut progress = stream.watch();
    let begun = progress.wait_for(|p| p.produced > from || p.end.is_some());
    let end = begun.await.map_or(Some(StreamEnd::Lost), |p| p.end);
    match end {
        Some(StreamEnd::Refused) => Err(refused_while_waiting()),
        _ => Ok(()),
    }
}

fn refused_while_waiting() -> CallError {
    let message = "the engine changed while the request waited";
    CallError::new(ErrorKind::NotReady, message)
}

async fn unstreamed_answer(
    stream: Arc<StreamState>,
    mut waiter: GateWaiter,
) -> answer::Result<Response> {
    let guard = ReaderGuard::new(stream.clone());
    let mut progress = stream.watch();
    let ended = progress.wait_for(|p| p.end.is_some()).await;
    let progress = ended.map(|p| *p).unwrap_or_default();
    waiter.wait().await;
    drop(guard);
    let end = progress.end.unwrap_or(StreamEnd::Lost);
    match end {
        StreamEnd::Finished | StreamEnd::Prefilled => {
            let answer_json = stream.writer.complete_json(progress.produced, end.reason());
            Ok(answer::json(200, &answer_json))
        }
        StreamEnd::Refused => Err(refused_while_waiting()),
        StreamEnd::Lost => Ok(broken_connection()),
        StreamEnd::Cancelled | StreamEnd::Exported => {
            let message = format!("the request was {}", end.reason());
            Err(CallError::new(ErrorKind::Cancelled, message))
        }
    }
}

/// Index of the first token that the caller lacks, from its `last-event-id` header, if any.
fn first_missing_token(request: &RouteRequest) -> answer::Result<Option<u32>> {
    let Some(text) = request.header(LAST_EVENT_ID_HEADER) else {
        return Ok(None);
    };
    let last: u32 = text.parse().map_err(|_| {
        let message = format!("{LAST_EVENT_ID_HEADER} must be the index of a token");
        CallError::new(ErrorKind::InvalidRequest, message)
    })?;
    Ok(Some(last.saturating_add(1)))
}

async fn resume(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    let waiter = state.injector.gate.waiter(request.peer());
    let faults = state.injector.admit(&request).await?;
    let from = first_missing_token(&request)?.unwrap_or(0);
    let stream = state.named(request.param(0))?;
    if !stream.request.stream {
        let message = "only streamed answers can be resumed";
        return Err(CallError::new(ErrorKind::Conflict, message));
    }
    state.core().counts.resumes += 1;
    answer_stream(&state, stream, waiter, &faults, from).await
}

async fn cancel(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    state.injector.admit(&request).await?;
    let stream = state.named(request.param(0))?;
    if stream.end(StreamEnd::Cancelled) {
        state.core().counts.cancels += 1;
        state.wake();
    }
    let progress = stream.progress();
    let ended = EndedStream {
        produced: progress.produced,
        end: progress.end.map(StreamEnd::reason),
    };
    Ok(answer::json(200, &ended))
}

async fn export(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    state.injector.admit(&request).await?;
    let stream = state.named(request.param(0))?;
    let prefilled = stream.progress().end == Some(StreamEnd::Prefilled);
    if !stream.end(StreamEnd::Exported) && !prefilled {
        let message = "the stream has ended";
        return Err(CallError::new(ErrorKind::Conflict, message));
    }
    state.wake();
    let produced = stream.progress().produced;
    let text_bytes = stream.request.prompt.len() + produced as usize * TOKEN_BYTES;
    sleep(state.transfer_time(text_bytes)).await;
    state.core().counts.exports += 1;
    let exported = ExportedStream {
        request: stream.request.clone(),
        version: state.core().status.version.clone(),
        produced,
        cache: vec![0; text_bytes * CACHE_BYTES_PER_TEXT_BYTE],
    };
    Ok(answer::message_pack(&exported))
}

async fn import(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    let waiter = state.injector.gate.waiter(request.peer());
    let faults = state.injector.admit(&request).await?;
    let name = request.header(STREAM_ID_HEADER).map(str::to_owned);
    let from = first_missing_token(&request)?;
    let body = read_all(request.into_body(), BODY_LIMITS).await?;
    let exported: ExportedStream = rmp_serde::from_slice(&body).map_err(|e| {
        let message = format!("not an exported stream: {e}");
        CallError::new(ErrorKind::InvalidRequest, message)
    })?;
    sleep(state.transfer_time(exported.cache.len() / CACHE_BYTES_PER_TEXT_BYTE)).await;
    let from = from.unwrap_or(exported.produced);
    let stream = state.import_stream(exported, name)?;
    answer_stream(&state, stream, waiter, &faults, from).await
}

async fn order(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    let faults = state.injector.admit(&request).await?;
    let order = read_json(request.into_body(), BODY_LIMITS).await?;
    state.accept_order(order)?;
    if faults.lose_order_replies {
        return Ok(broken_connection());
    }
    Ok(answer::json(202, &state.core().status))
}

async fn load(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    state.injector.admit(&request).await?;
    Ok(answer::json(200, &state.load()))
}

async fn cache_events(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    state.injector.admit(&request).await?;
    let query: EventQuery = request.query()?;
    let events = state.core().batch.cache().events(query.from, unix_ms());
    Ok(answer::json(200, &events))
}

async fn status(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    state.injector.admit(&request).await?;
    Ok(answer::json(200, &state.core().status))
}

/// Exempt from injected faults, so that tests can always read the counters.
async fn counts(state: Arc<EngineState>, _: RouteRequest) -> answer::Result<Response> {
    let core = state.core();
    let mut counts = core.counts.clone();
    counts.tokens = core.batch.produced();
    drop(core);
    Ok(answer::json(200, &counts))
}

/// Exempt from injected faults, as the counters are.
async fn starts(state: Arc<EngineState>, _: RouteRequest) -> answer::Result<Response> {
    let starts = state.core().starts.clone();
    Ok(answer::json(200, &starts))
}

async fn ready(state: Arc<EngineState>, request: RouteRequest) -> answer::Result<Response> {
    state.injector.admit(&request).await?;
    match state.core().status.leaving {
        true => Err(CallError::new(ErrorKind::NotReady, "leaving")),
        false => Ok(answer::bytes(200, answer::TEXT, "ready\n")),
    }
}

impl EngineState {
    fn named(&self, name: &str) -> answer::Result<Arc<StreamState>> {
        let named = self.core().named.get(name).cloned();
        named.ok_or_else(|| CallError::new(ErrorKind::NotFound, "no such stream"))
    }

    fn lose_stream(&self, stream: &StreamState) {
        stream.end(StreamEnd::Lost);
        if let Some(name) = &stream.name {
            self.core().named.remove(name);
        }
    }

    fn transfer_time(&self, text_bytes: usize) -> Duration {
        let per_kib = self.profile.transfer_per_kib;
        per_kib.mul_f64(text_bytes as f64 / 1024.0)
    }

    fn import_stream(
        &self,
        exported: ExportedStream,
        name: Option<String>,
    ) -> answer::Result<Arc<StreamState>> {
        let mut core = self.core();
        if core.status.role == EngineRole::Prefill {
            let message = "this engine only fills caches";
            return Err(CallError::new(ErrorKind::NotReady, message));
        }
        if core.status.version != exported.version {
            let message = "the stream was exported by another version";
            return Err(CallError::new(ErrorKind::Conflict, message));
        }
        if name.as_ref().is_some_and(|n| core.named.contains_key(n)) {
            let message = "the stream exists";
            return Err(CallError::new(ErrorKind::InProgress, message));
        }
        let writer = core.validate_request(&exported.request)?;
        let stream = StreamState::imported(name, exported.request, writer, exported.produced);
        let stream = Arc::new(stream);
        core.add_stream(&stream);
        core.counts.imports += 1;
        drop(core);
        self.wake();
        Ok(stream)
    }
}
