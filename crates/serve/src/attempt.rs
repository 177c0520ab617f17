//! One attempt at an upstream: sends the request, checks that the answer belongs to it, and tells
//! whether a failed request may have run.

use std::time::Duration;

use amaranth_kernel::answer_match::{AnswerName, AnswerProof, AnswerStatement, prove};
use amaranth_kernel::attempt_plan::{AnswerProgress, FailureCause, FailureProof};
use amaranth_net::telemetry::quote;
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::id::{PromptPartId, RequestId, UpstreamId};
use amaranth_wire::placement_message::RequestWork;
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use tokio::time::{Instant, timeout, timeout_at};

use crate::call::{AnswerMetadata, AttemptMetadata, UpstreamCodec};
use crate::connection_pool::{OpenAnswer, SendError};
use crate::memory_account::OverBudget;
use crate::upstream_pool::{UpstreamPermit, UpstreamPool};

/// Hop-by-hop headers, which apply to a single connection, and the length of a body as it was received there.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// A request as it is forwarded to upstreams.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    /// Id that the upstream must repeat in its answer.
    pub id: RequestId,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Who sent it.
    pub caller: CallerIdentity,
    /// Parts of the prompt that other requests may have, too.
    pub shared_parts: Vec<PromptPartId>,
    /// What the allocator of its slot weighs; `None` if the configuration asks for nothing of it.
    pub work: Option<RequestWork>,
    /// Complete body.
    pub body: Bytes,
    /// Whether it may be sent again to an upstream that refused it. A second copy of the refusal would
    /// have its id, so the refusal's connection is closed.
    pub may_return: bool,
}

/// Outcome of an attempt, up to the head of the answer.
pub enum AttemptEnd {
    /// The upstream answered; the body is still to be read.
    Answer(Box<OpenAnswer>, UpstreamPermit),
    /// No answer came that belongs to the request.
    Failed(FailedAttempt),
}

/// An attempt that failed.
#[derive(Debug, Clone)]
pub struct FailedAttempt {
    /// Upstream that was tried.
    pub upstream: UpstreamId,
    /// Whether the request can have run.
    pub proof: FailureProof,
    /// Why it failed, as far as it tells about the upstream.
    pub cause: FailureCause,
    /// How much of the answer had arrived.
    pub progress: AnswerProgress,
    /// When its upstream was chosen, if it ended the connection.
    pub lost_since: Option<Instant>,
    /// Reason, for log lines.
    pub why: String,
}

impl FailedAttempt {
    /// Creates a failure of a request that certainly didn't run.
    pub fn not_run(upstream: UpstreamId, why: String) -> Self {
        Self {
            upstream,
            proof: FailureProof::NotRun,
            cause: FailureCause::Other,
            progress: AnswerProgress::None,
            lost_since: None,
            why,
        }
    }

    /// Creates a failure of a request that wasn't sent, as the upstream has left since it was chosen.
    pub fn left(upstream: UpstreamId) -> Self {
        Self {
            proof: FailureProof::Unreachable,
            ..Self::not_run(upstream, "the upstream has left".to_owned())
        }
    }

    /// Creates a failure of a request that may have run, before any of its answer arrived.
    pub fn may_have_run(upstream: UpstreamId, why: String) -> Self {
        Self {
            proof: FailureProof::MayHaveRun,
            ..Self::not_run(upstream, why)
        }
    }

    /// Creates a failure of sending a request or of reading its answer.
    pub fn from_error(permit: &UpstreamPermit, error: &SendError) -> Self {
        let upstream = permit.upstream.clone();
        let why = error.to_string();
        match error {
            SendError::Unreachable(_) => Self {
                proof: FailureProof::Unreachable,
                ..Self::not_run(upstream, why)
            },
            SendError::Unsent(_) | SendError::NoMemory(_) => Self::not_run(upstream, why),
            SendError::Lost(_) => Self {
                cause: FailureCause::ConnectionLost,
                lost_since: Some(permit.acquired_at),
                ..Self::may_have_run(upstream, why)
            },
            SendError::Broken(_) => Self::may_have_run(upstream, why),
        }
    }

    /// Creates a failure of reading an answer.
    pub fn from_broken(permit: &UpstreamPermit, broken: BrokenAnswer) -> Self {
        let is_lost = broken.cause == FailureCause::ConnectionLost;
        Self {
            cause: broken.cause,
            lost_since: is_lost.then_some(permit.acquired_at),
            ..Self::may_have_run(permit.upstream.clone(), broken.why)
        }
    }

    /// Sets how much of the answer had arrived.
    pub fn with_progress(mut self, progress: AnswerProgress) -> Self {
        self.progress = progress;
        self
    }
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

/// Removes the hop-by-hop headers, including those named by `Connection`, and the length, which is set from the
/// body that is sent.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(http::header::CONNECTION).into_iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|names| names.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Why an answer could not be read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenAnswer {
    /// Reason, for log lines.
    pub why: String,
    /// What it tells about the upstream.
    pub cause: FailureCause,
}

impl BrokenAnswer {
    /// Creates a reason that tells nothing about the upstream.
    pub fn new(why: impl Into<String>) -> Self {
        Self {
            why: why.into(),
            cause: FailureCause::Other,
        }
    }

    /// Creates the reason for an answer whose connection the upstream ended.
    pub fn lost(why: impl Into<String>) -> Self {
        Self {
            why: why.into(),
            cause: FailureCause::ConnectionLost,
        }
    }
}

impl From<OverBudget> for BrokenAnswer {
    fn from(over: OverBudget) -> Self {
        Self::new(over.to_string())
    }
}

impl From<SendError> for BrokenAnswer {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Lost(_) => Self::lost(error.to_string()),
            SendError::Unreachable(_)
            | SendError::Unsent(_)
            | SendError::NoMemory(_)
            | SendError::Broken(_) => Self::new(error.to_string()),
        }
    }
}

/// Joins the ids of a prompt's shared parts, for log lines.
pub fn join_parts(parts: &[PromptPartId]) -> String {
    let ids: Vec<_> = parts.iter().map(PromptPartId::as_str).collect();
    ids.join(",")
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
    if !permit.is_valid() {
        return AttemptEnd::Failed(FailedAttempt::left(upstream));
    }
    let outgoing = outgoing(codec, &permit, request, limits);
    let sent = timeout_at(
        limits.head_deadline,
        pool.connection_pool.send(permit.key.clone(), outgoing),
    );
    match sent.await {
        Ok(Ok(answer)) => check_answer(codec, permit, request, answer),
        Ok(Err(e)) => {
            match e {
                SendError::Unreachable(_) => permit.record_unreachable(),
                // The upstream isn't at fault.
                SendError::NoMemory(_) => {}
                _ => permit.record_failure(),
            }
            AttemptEnd::Failed(FailedAttempt::from_error(&permit, &e))
        }
        Err(_) => {
            permit.record_failure();
            let why = "no answer before the deadline".to_owned();
            AttemptEnd::Failed(FailedAttempt::may_have_run(upstream, why))
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
    *outgoing.uri_mut() = Uri::from(request.path.clone());
    *outgoing.headers_mut() = request.headers.clone();
    let metadata = AttemptMetadata {
        request: request.id.as_str(),
        upstream: &permit.upstream,
        remaining: limits.remaining,
        resume_after: limits.resume_after,
        caller: &request.caller,
    };
    (codec.write_metadata)(outgoing.headers_mut(), &metadata);
    outgoing
}

/// Decides what the answer proves about the request. An answer that may belong to another request is
/// dropped with its connection, and nothing in it is believed.
fn check_answer(
    codec: &UpstreamCodec,
    permit: UpstreamPermit,
    request: &ForwardRequest,
    answer: OpenAnswer,
) -> AttemptEnd {
    let metadata = (codec.read_answer)(answer.status(), answer.headers());
    let name = AnswerName::new(metadata.request.as_deref(), request.id.as_str());
    let proof = prove(name, statement(&metadata), answer.connection_use());
    let upstream = permit.upstream.clone();
    let status = answer.status().as_u16();
    let is_upstream = matches!(proof, AnswerProof::Outcome | AnswerProof::Refused);
    if metadata.leaving && is_upstream && name == AnswerName::Own {
        permit.record_leaving();
    }
    if let (true, Some(report)) = (is_upstream, metadata.load) {
        permit.record_load(report);
    }
    match proof {
        AnswerProof::Outcome => AttemptEnd::Answer(Box::new(answer), permit),
        AnswerProof::Refused => {
            // A copy of this refusal must not be taken for one of a later request.
            if name == AnswerName::Own && !request.may_return {
                tokio::spawn(read_refusal(answer));
            }
            let why = format!("refused with {status}");
            AttemptEnd::Failed(FailedAttempt::not_run(upstream, why))
        }
        AnswerProof::Misdirected => {
            permit.record_failure();
            let why = format!("refused with {status}");
            AttemptEnd::Failed(FailedAttempt::not_run(upstream, why))
        }
        AnswerProof::Nothing => {
            permit.record_failure();
            let why = format!("answer {status} is for request {:?}", metadata.request);
            AttemptEnd::Failed(FailedAttempt::may_have_run(upstream, why))
        }
    }
}

fn statement(metadata: &AnswerMetadata) -> AnswerStatement {
    match (metadata.wrong_upstream, metadata.not_run) {
        (true, _) => AnswerStatement::Misdirected,
        (false, true) => AnswerStatement::Refused,
        (false, false) => AnswerStatement::Outcome,
    }
}

async fn read_refusal(answer: OpenAnswer) {
    let read = timeout(REFUSAL_TIMEOUT, answer.read_all(MAX_REFUSAL_BYTES)).await;
    let why = match read {
        Ok(Ok(_)) => return,
        Ok(Err(e)) => e.to_string(),
        Err(_) => "its body was not complete in time".to_owned(),
    };
    log::debug!("event=refusal_not_read why={}", quote(&why));
}

/// Largest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Time limit on reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
