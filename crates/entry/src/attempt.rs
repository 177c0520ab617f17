//! One call of one upstream: its limits, its headers and how its answer is read.

use std::time::Duration;

use amaranth_kernel::retry::AttemptFailure;
use amaranth_net::client::{CallLimits, HttpAnswer, HttpCall, HttpError};
use amaranth_net::telemetry::quote;
use amaranth_wire::engine::{LAST_EVENT_ID_HEADER, STREAM_ID_HEADER, STREAMS_PATH};
use amaranth_wire::unit::TimeSpan;
use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::stream::{self, BoxStream};
use futures_util::{StreamExt, TryStreamExt};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::accept::OnlineRequest;
use crate::upstream_table::UpstreamState;

/// Longest wait for the first token, as a multiple of the tier's objective.
const FIRST_TOKEN_FACTOR: u32 = 8;
/// Longest wait between tokens, as a multiple of the tier's objective.
const GAP_FACTOR: u32 = 15;
/// Shortest wait that is taken for silence, however strict the tier's objectives are.
const SILENCE_FLOOR: Duration = Duration::from_secs(1);
/// Longest wait for an answer in one piece that may be tried again, as a multiple of the usual
/// time.
const WHOLE_ANSWER_FACTOR: u32 = 4;
/// Longest wait for the answer to a cancel.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);
/// Longest answer in one piece that is taken from an upstream, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The events of a streamed answer.
pub type EventReader = BoxStream<'static, Result<Event>>;

/// Result of a call of an upstream.
pub type Result<T> = std::result::Result<T, AttemptFailure>;

/// Limits on the waits of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// For the head of the answer.
    pub head: Duration,
    /// For the first token.
    pub first_token: Duration,
    /// Between tokens.
    pub gap: Duration,
}

/// The wait after which an upstream counts as silent. A missed objective alone is no silence.
fn silence_limit(objective: TimeSpan, factor: u32) -> Duration {
    let limit = objective.duration() * factor;
    limit.max(SILENCE_FLOOR)
}

impl AttemptLimits {
    /// The limits on an attempt of a request. An answer in one piece shows no sign of life before
    /// its end: only a time far beyond the usual one is taken for silence, and none when nothing
    /// may follow.
    pub fn new(request: &OnlineRequest, left: Duration, usual: Option<Duration>) -> Self {
        let tier = &request.tier;
        let first_token = silence_limit(tier.first_token, FIRST_TOKEN_FACTOR);
        let head = match (request.stream, usual) {
            (true, _) => first_token,
            (false, Some(usual)) if request.repeatable => {
                (left / 2).max(usual * WHOLE_ANSWER_FACTOR)
            }
            (false, _) => left,
        };
        Self {
            head: head.min(left),
            first_token,
            gap: silence_limit(tier.token_gap, GAP_FACTOR),
        }
    }

    /// The limits on a resumed stream: its tokens are due at once.
    pub fn for_resume(self) -> Self {
        Self {
            head: self.gap.min(self.head),
            first_token: self.gap,
            gap: self.gap,
        }
    }

    fn call(self) -> CallLimits {
        CallLimits {
            first_byte: self.head,
            gap: self.first_token,
        }
    }
}

/// What kind of failure a call's error is.
pub fn classify(e: &HttpError) -> AttemptFailure {
    log::debug!("event=attempt_failed error={}", quote(&e.to_string()));
    match e.is_unsent() {
        true => AttemptFailure::NotRun,
        false => AttemptFailure::Broken,
    }
}

fn header(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).expect("stream names and numbers are plain text")
}

/// Sends a request under a stream name.
pub async fn send(
    upstream: &UpstreamState,
    request: &OnlineRequest,
    stream_id: &str,
    limits: AttemptLimits,
) -> Result<HttpAnswer> {
    let mut headers = request.headers.clone();
    headers.insert(HeaderName::from_static(STREAM_ID_HEADER), header(stream_id));
    let call = HttpCall::new(
        request.method.clone(),
        upstream.address,
        request.path.clone(),
    )
    .with_headers(headers)
    .with_body(request.body.clone());
    let sent = upstream.client.send(call, limits.call()).await;
    sent.map_err(|e| classify(&e))
}

/// Asks for the rest of a named stream behind its last received token.
pub async fn resume(
    upstream: &UpstreamState,
    stream_id: &str,
    last_received: Option<u32>,
    limits: AttemptLimits,
) -> Result<HttpAnswer> {
    let mut headers = HeaderMap::new();
    if let Some(last) = last_received {
        let name = HeaderName::from_static(LAST_EVENT_ID_HEADER);
        headers.insert(name, header(&last.to_string()));
    }
    let path = format!("{STREAMS_PATH}/{stream_id}");
    let call = HttpCall::get(upstream.address, path).with_headers(headers);
    let answer = upstream.client.send(call, limits.call()).await;
    let answer = answer.map_err(|e| classify(&e))?;
    match answer.status() {
        200 => Ok(answer),
        404 | 405 | 410 => Err(AttemptFailure::StreamUnknown),
        _ => Err(AttemptFailure::Broken),
    }
}

/// Ends a named stream at its upstream.
pub async fn cancel(upstream: &UpstreamState, stream_id: &str) {
    let path = format!("{STREAMS_PATH}/{stream_id}/cancel");
    let call = HttpCall::post(upstream.address, path);
    let limits = CallLimits::new(CANCEL_LIMIT);
    if let Err(e) = upstream.client.fetch(call, limits).await {
        log::debug!(
            "event=stream_cancel_failed upstream={} error={:?}",
            upstream.upstream,
            e.to_string()
        );
    }
}

/// Reads the events of a streamed answer. A wait that runs out abandons the upstream's pool.
pub fn events(mut answer: HttpAnswer, limits: AttemptLimits) -> EventReader {
    answer.set_gap(limits.first_token);
    let chunks = stream::try_unfold(answer, move |mut answer| async move {
        let chunk = answer.next_chunk().await?;
        answer.set_gap(limits.gap);
        Ok::<_, HttpError>(chunk.map(|chunk| (chunk, answer)))
    });
    let events = chunks.eventsource().map_err(|e| match e {
        EventStreamError::Transport(e) => classify(&e),
        EventStreamError::Utf8(_) | EventStreamError::Parser(_) => AttemptFailure::Broken,
    });
    events.boxed()
}

/// Reads an answer in one piece.
pub async fn read_whole(mut answer: HttpAnswer, left: Duration) -> Result<Bytes> {
    answer.set_gap(left);
    let body = answer.read_all().await.map_err(|e| classify(&e))?;
    match body.len() <= MAX_ANSWER_BYTES {
        true => Ok(body),
        false => Err(AttemptFailure::Broken),
    }
}
