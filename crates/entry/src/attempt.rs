//! One call to one upstream: its timeouts, its headers and how its answer is read.

use std::time::Duration;

use amaranth_kernel::event_framing::{EventFraming, FramedEvent};
use amaranth_kernel::retry::AttemptFailure;
use amaranth_net::client::{CallLimits, HttpAnswer, HttpCall, HttpError};
use amaranth_net::telemetry::quote;
use amaranth_wire::engine::{LAST_EVENT_ID_HEADER, STREAM_ID_HEADER, STREAMS_PATH};
use amaranth_wire::unit::TimeSpan;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use tokio::time::timeout;

use crate::accept::OnlineRequest;
use crate::upstream_table::UpstreamState;

/// Longest wait for the first token, as a multiple of the tier's objective.
const FIRST_TOKEN_FACTOR: u32 = 8;
/// Longest wait between tokens, as a multiple of the tier's objective.
const GAP_FACTOR: u32 = 15;
/// Lower bound of the waits after which an upstream counts as silent, however strict the tier's
/// objectives are.
const MIN_SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Longest wait for a non-streamed answer that may be retried, as a multiple of the mean service
/// time.
const UNSTREAMED_ANSWER_FACTOR: u32 = 4;
/// Timeout for a cancel call.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// Result of a call to an upstream.
pub type Result<T> = std::result::Result<T, AttemptFailure>;

/// Reads the events of a streamed answer.
pub struct EventReader {
    answer: HttpAnswer,
    framing: EventFraming,
    /// Longest wait for each chunk after the first.
    gap: Duration,
}

impl EventReader {
    /// Creates a reader of an answer whose head was received.
    pub fn new(mut answer: HttpAnswer, limits: AttemptLimits) -> Self {
        answer.set_gap(limits.first_token);
        Self {
            answer,
            framing: EventFraming::new(),
            gap: limits.gap,
        }
    }

    /// Returns the next event with data; `None` at the end of the answer. Events without data are comments. A
    /// timeout abandons the upstream's connection pool, and too many bytes without an event are a failure.
    pub async fn next_event(&mut self) -> Result<Option<FramedEvent>> {
        loop {
            while let Some(event) = self.framing.next_event() {
                if event.has_data() {
                    self.framing.accept();
                    return Ok(Some(event));
                }
            }
            let chunk = self.answer.next_chunk().await.map_err(|e| classify(&e))?;
            let Some(chunk) = chunk else {
                return Ok(None);
            };
            self.answer.set_gap(self.gap);
            let pushed = self.framing.push(&chunk);
            pushed.map_err(|_| AttemptFailure::Broken)?;
        }
    }
}

/// Timeouts of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// For the status and headers of the answer.
    pub head: Duration,
    /// For the first token.
    pub first_token: Duration,
    /// Between tokens.
    pub gap: Duration,
}

/// The wait after which an upstream counts as silent. Missing the objective alone does not make it
/// silent.
fn silence_limit(objective: TimeSpan, factor: u32) -> Duration {
    let limit = objective.duration() * factor;
    limit.max(MIN_SILENCE_LIMIT)
}

impl AttemptLimits {
    /// The timeouts for an attempt of a request. A non-streamed answer shows no progress before its
    /// end, so the upstream counts as silent only far beyond the mean time, and not at all when
    /// the request must not be retried.
    pub fn new(
        request: &OnlineRequest,
        remaining: Duration,
        mean_service: Option<Duration>,
    ) -> Self {
        let tier = &request.tier;
        let first_token = silence_limit(tier.first_token, FIRST_TOKEN_FACTOR);
        let head = match (request.stream, mean_service) {
            (true, _) => first_token,
            (false, Some(mean_service)) if request.repeatable => {
                (remaining / 2).max(mean_service * UNSTREAMED_ANSWER_FACTOR)
            }
            (false, _) => remaining,
        };
        Self {
            head: head.min(remaining),
            first_token,
            gap: silence_limit(tier.token_gap, GAP_FACTOR),
        }
    }

    /// The timeouts for a resumed stream, whose next token is due at once.
    pub fn for_resume(self) -> Self {
        Self {
            head: self.gap.min(self.head),
            first_token: self.gap,
            gap: self.gap,
        }
    }

    fn call_limits(self) -> CallLimits {
        CallLimits {
            first_byte: self.head,
            gap: self.first_token,
        }
    }
}

/// Classifies a call's error by whether the request may have run.
pub fn classify(e: &HttpError) -> AttemptFailure {
    log::debug!("event=attempt_failed error={}", quote(&e.to_string()));
    match e.is_unsent() {
        true => AttemptFailure::NotRun,
        false => AttemptFailure::Broken,
    }
}

fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).expect("stream ids and numbers are valid header values")
}

/// Sends a request, with a stream id under which it can be resumed or cancelled.
pub async fn send(
    upstream: &UpstreamState,
    request: &OnlineRequest,
    stream_id: &str,
    limits: AttemptLimits,
) -> Result<HttpAnswer> {
    let mut headers = request.headers.clone();
    headers.insert(
        HeaderName::from_static(STREAM_ID_HEADER),
        header_value(stream_id),
    );
    let call = HttpCall::new(
        request.method.clone(),
        upstream.address,
        request.path.clone(),
    )
    .with_headers(headers)
    .with_body(request.body.clone());
    let sent = upstream.client.send(call, limits.call_limits()).await;
    sent.map_err(|e| classify(&e))
}

/// Asks for the rest of a stream after its last received token.
pub async fn resume(
    upstream: &UpstreamState,
    stream_id: &str,
    last_received: Option<u32>,
    limits: AttemptLimits,
) -> Result<HttpAnswer> {
    let mut headers = HeaderMap::new();
    if let Some(last) = last_received {
        let name = HeaderName::from_static(LAST_EVENT_ID_HEADER);
        headers.insert(name, header_value(&last.to_string()));
    }
    let path = format!("{STREAMS_PATH}/{stream_id}");
    let call = HttpCall::get(upstream.address, path).with_headers(headers);
    let answer = upstream.client.send(call, limits.call_limits()).await;
    let answer = answer.map_err(|e| classify(&e))?;
    match answer.status() {
        200 => Ok(answer),
        404 | 405 | 410 => Err(AttemptFailure::StreamUnknown),
        _ => Err(AttemptFailure::Broken),
    }
}

/// Cancels a stream at its upstream.
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

/// Reads a non-streamed answer within the remaining time.
pub async fn read_unstreamed(mut answer: HttpAnswer, remaining: Duration) -> Result<Bytes> {
    answer.set_gap(remaining);
    let read = timeout(remaining, answer.read_all()).await;
    read.unwrap_or(Err(HttpError::TimedOut))
        .map_err(|e| classify(&e))
}
