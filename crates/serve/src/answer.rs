//! Answers to callers, and the failures that they report.

use std::fmt;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::call::CallProgress;

/// Reason for the failure of a call that the end of the instance interrupts.
const STOP_REASON: &str = "the instance ends";
/// Retry delay of a call that has not begun when its instance ends, in milliseconds: balancers have
/// left the instance by then, so that another one answers at once.
const STOP_RETRY_MS: u64 = 50;

/// An answer's body failed midway, with the reason. The connection to the caller is closed without
/// the end of the body, so that the answer doesn't look complete.
#[derive(Debug)]
pub struct BrokenBody(pub String);

impl fmt::Display for BrokenBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BrokenBody {}

/// Body of an answer: buffered or streamed.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenBody>;

/// Answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Marks an answer that is given before its request's body was read to its end. The caller may still
/// be sending, and the connection can't be used for another request.
#[derive(Debug, Clone, Copy)]
pub struct UnreadBody;

/// Marks the answer to a request that didn't run and won't run.
#[derive(Debug, Clone, Copy)]
pub struct NotRun;

/// Why a request isn't answered by an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestFailure {
    /// The request didn't run and won't run.
    Refused {
        /// Delay after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
        /// Reason, for log lines.
        why: String,
    },
    /// A quota on waiting work or on requests is used up; the request didn't run and won't run.
    OverQuota {
        /// Delay after which there may be room, in milliseconds; `None` if the request can never
        /// fit.
        retry_after_ms: Option<u64>,
        /// Reason, for log lines.
        why: String,
    },
    /// An attempt failed after the request may have run, with the reason.
    Failed(String),
    /// The deadline passed; the request may have run.
    Late,
    /// The call has no key, or one that isn't known.
    Unauthorized,
    /// No route, job or item matches the call.
    NoRoute,
    /// The call is invalid, with the reason.
    Malformed(String),
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller didn't send the body in time.
    SlowCaller,
}

impl RequestFailure {
    /// Creates the failure of a call that the end of the instance interrupts.
    pub fn stopped(progress: &CallProgress) -> Self {
        let why = STOP_REASON.to_owned();
        match progress.may_have_run() {
            true => Self::Failed(why),
            false => Self::Refused {
                retry_after_ms: STOP_RETRY_MS,
                why,
            },
        }
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowCaller => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Outcome label in log lines, metrics and the answer's body.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Refused { .. } => "refused",
            Self::OverQuota { .. } => "over_quota",
            Self::Failed(_) => "failed",
            Self::Late => "late",
            Self::Unauthorized => "unauthorized",
            Self::NoRoute => "no_route",
            Self::Malformed(_) => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowCaller => "slow_caller",
        }
    }

    /// Reason for log lines; empty if the outcome says it all.
    pub fn reason(&self) -> String {
        match self {
            Self::Refused { why, .. }
            | Self::OverQuota { why, .. }
            | Self::Failed(why)
            | Self::Malformed(why) => why.clone(),
            _ => String::new(),
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Refused { retry_after_ms, .. } => Some(*retry_after_ms),
            Self::OverQuota { retry_after_ms, .. } => *retry_after_ms,
            _ => None,
        }
    }

    /// Builds the error answer, with `Retry-After` if the request may succeed later.
    pub fn answer(&self) -> Answer {
        let mut answer = plain(self.status(), Bytes::from_static(self.outcome().as_bytes()));
        if let Some(retry_after_ms) = self.retry_after_ms() {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1000.0);
            let value = HeaderValue::from_str(&seconds).expect("digits and a dot");
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        if matches!(self, Self::Refused { .. } | Self::NoRoute) {
            answer.extensions_mut().insert(NotRun);
        }
        answer
    }
}

/// Builds an answer with a complete body.
pub fn plain(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|e| match e {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// Builds a successful answer with a JSON body.
pub fn json(body: impl Into<Bytes>) -> Answer {
    let mut answer = plain(StatusCode::OK, body);
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

/// Builds an answer with the status and headers of an upstream's answer.
pub fn relay_answer(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
