//! One attempt at an upstream: send, check whose answer it is, say what it proves.

use std::time::Duration;

use amaranth_wire::id::{RequestId, UpstreamId};
use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;
use tokio::time::{Instant, timeout_at};

use crate::call::{AttemptMarks, UpstreamCodec};
use crate::connection_pool::{OpenAnswer, SendError};
use crate::upstream_pool::{UpstreamPool, UpstreamReservation};

/// Headers that concern only one connection.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// A request as it is passed on.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    /// Its id.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, without those that concern only one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// How an attempt ended before its answer's body.
pub enum AttemptStep {
    /// The upstream answers.
    Answer(Box<OpenAnswer>, UpstreamReservation),
    /// Provably not run.
    NotRun {
        /// Why.
        why: String,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// It may have run.
    Broken {
        /// Why.
        why: String,
        /// The upstream.
        upstream: UpstreamId,
    },
}

/// Limits of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// When the answer's head is given up.
    pub head_by: Instant,
    /// What the upstream is told is left; none for work without a deadline.
    pub remaining: Option<Duration>,
    /// The last event that is already there.
    pub resume_after: Option<u64>,
}

/// Takes out the headers that concern only one connection.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named = headers.get(http::header::CONNECTION);
    let named = named.and_then(|value| value.to_str().ok()).unwrap_or("");
    let named: Vec<String> = named
        .split(',')
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Sends a request to an upstream and waits for the head of its answer.
pub async fn attempt(
    pool: &UpstreamPool,
    codec: &UpstreamCodec,
    reservation: UpstreamReservation,
    request: &ForwardRequest,
    limits: AttemptLimits,
) -> AttemptStep {
    let upstream = reservation.upstream.clone();
    let outgoing = outgoing(codec, &reservation, request, limits);
    let sent = timeout_at(
        limits.head_by,
        pool.connection_pool.send(reservation.key.clone(), outgoing),
    );
    match sent.await {
        Ok(Ok(answer)) => judge(codec, reservation, request, answer),
        Ok(Err(SendError::Unsent(why))) => {
            reservation.note_failure();
            AttemptStep::NotRun { why, upstream }
        }
        Ok(Err(SendError::Broken(why))) => {
            reservation.note_failure();
            AttemptStep::Broken { why, upstream }
        }
        Err(_) => {
            reservation.note_failure();
            let why = "no answer in time".to_owned();
            AttemptStep::Broken { why, upstream }
        }
    }
}

fn outgoing(
    codec: &UpstreamCodec,
    reservation: &UpstreamReservation,
    request: &ForwardRequest,
    limits: AttemptLimits,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.path.parse().unwrap_or_default();
    *outgoing.headers_mut() = request.headers.clone();
    let marks = AttemptMarks {
        request: request.id.as_str(),
        upstream: &reservation.upstream,
        remaining: limits.remaining,
        resume_after: limits.resume_after,
    };
    (codec.mark)(outgoing.headers_mut(), &marks);
    outgoing
}

fn judge(
    codec: &UpstreamCodec,
    reservation: UpstreamReservation,
    request: &ForwardRequest,
    answer: OpenAnswer,
) -> AttemptStep {
    let marks = (codec.read_answer)(answer.status(), answer.headers());
    let upstream = reservation.upstream.clone();
    if let Some(report) = marks.load {
        reservation.note_load(report);
    }
    if marks.not_run || marks.wrong_upstream {
        if marks.wrong_upstream {
            reservation.note_failure();
        }
        let why = format!("refused with {}", answer.status().as_u16());
        // The refusal has a short body: the connection serves the next request once it is read.
        tokio::spawn(answer.read_all(REFUSAL_BYTES));
        return AttemptStep::NotRun { why, upstream };
    }
    if marks.request.as_deref() != Some(request.id.as_str()) {
        reservation.note_failure();
        let why = format!("the answer names request {:?}", marks.request);
        return AttemptStep::Broken { why, upstream };
    }
    AttemptStep::Answer(Box::new(answer), reservation)
}

/// Most bytes of the body of a refusal.
const REFUSAL_BYTES: usize = 64 << 10;
