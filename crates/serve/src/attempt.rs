//! One attempt at an upstream: sends the request, checks that the answer belongs to it, and tells
//! whether a failed request may have run.

use std::time::Duration;

use amaranth_wire::id::{RequestId, UpstreamId};
use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;
use tokio::time::{Instant, timeout_at};

use crate::call::{AttemptMetadata, UpstreamCodec};
use crate::connection_pool::{OpenAnswer, SendError};
use crate::upstream_pool::{UpstreamPermit, UpstreamPool};

/// Hop-by-hop headers, which apply to a single connection.
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

/// A request as it is forwarded to upstreams.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    /// Id that the upstream must repeat in its answer.
    pub id: RequestId,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Outcome of an attempt, up to the head of the answer.
pub enum AttemptEnd {
    /// The upstream answered; the body is still to be read.
    Answer(Box<OpenAnswer>, UpstreamPermit),
    /// The request certainly didn't run.
    NotRun {
        /// Reason, for log lines.
        why: String,
        /// Upstream that was tried.
        upstream: UpstreamId,
    },
    /// The attempt failed and the request may have run.
    Broken {
        /// Reason, for log lines.
        why: String,
        /// Upstream that was tried.
        upstream: UpstreamId,
    },
}

/// Time limits of one attempt, and where a stream resumes.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Time by which the answer's head must arrive.
    pub head_deadline: Instant,
    /// Remaining time to tell the upstream; `None` for work without a deadline.
    pub remaining: Option<Duration>,
    /// Id of the last event already received, when a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Removes the hop-by-hop headers, including those named by `Connection`.
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

/// Sends a request to an upstream and waits for the head of the answer.
pub async fn attempt(
    pool: &UpstreamPool,
    codec: &UpstreamCodec,
    permit: UpstreamPermit,
    request: &ForwardRequest,
    limits: AttemptLimits,
) -> AttemptEnd {
    let upstream = permit.upstream.clone();
    let outgoing = outgoing(codec, &permit, request, limits);
    let sent = timeout_at(
        limits.head_deadline,
        pool.connection_pool.send(permit.key.clone(), outgoing),
    );
    match sent.await {
        Ok(Ok(answer)) => check_answer(codec, permit, request, answer),
        Ok(Err(SendError::Unsent(why))) => {
            permit.record_failure();
            AttemptEnd::NotRun { why, upstream }
        }
        Ok(Err(SendError::Broken(why))) => {
            permit.record_failure();
            AttemptEnd::Broken { why, upstream }
        }
        Err(_) => {
            permit.record_failure();
            let why = "no answer before the deadline".to_owned();
            AttemptEnd::Broken { why, upstream }
        }
    }
}

fn outgoing(
    codec: &UpstreamCodec,
    permit: &UpstreamPermit,
    request: &ForwardRequest,
    limits: AttemptLimits,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.path.parse().unwrap_or_default();
    *outgoing.headers_mut() = request.headers.clone();
    let metadata = AttemptMetadata {
        request: request.id.as_str(),
        upstream: &permit.upstream,
        remaining: limits.remaining,
        resume_after: limits.resume_after,
    };
    (codec.write_metadata)(outgoing.headers_mut(), &metadata);
    outgoing
}

fn check_answer(
    codec: &UpstreamCodec,
    permit: UpstreamPermit,
    request: &ForwardRequest,
    answer: OpenAnswer,
) -> AttemptEnd {
    let metadata = (codec.read_answer)(answer.status(), answer.headers());
    let upstream = permit.upstream.clone();
    if let Some(report) = metadata.load {
        permit.record_load(report);
    }
    if metadata.not_run || metadata.wrong_upstream {
        if metadata.wrong_upstream {
            permit.record_failure();
        }
        let why = format!("refused with {}", answer.status().as_u16());
        // The body of a refusal is short: reading it makes the connection reusable.
        tokio::spawn(answer.read_all(MAX_REFUSAL_BYTES));
        return AttemptEnd::NotRun { why, upstream };
    }
    if metadata.request.as_deref() != Some(request.id.as_str()) {
        permit.record_failure();
        let why = format!("the answer is for request {:?}", metadata.request);
        return AttemptEnd::Broken { why, upstream };
    }
    AttemptEnd::Answer(Box::new(answer), permit)
}

/// Largest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
