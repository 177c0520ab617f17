//! Answers to callers.

use std::fmt;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// A body that broke off. The connection to the caller is closed without the body's end, so that
/// the answer does not look whole.
#[derive(Debug)]
pub struct BrokenBody(pub String);

impl fmt::Display for BrokenBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BrokenBody {}

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenBody>;

/// An answer.
pub type Answer = Response<AnswerBody>;

/// Why a request gets no answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GiveUp {
    /// Provably not run, and it will not be.
    Refused {
        /// When there should be room, in milliseconds.
        retry_after_ms: u64,
        /// Why, for the log.
        why: String,
    },
    /// It may have run.
    Failed(String),
    /// The time is up; it may have run.
    Late,
    /// No route serves it.
    NoRoute,
    /// The call is not understood.
    Malformed(String),
    /// Its body is larger than allowed.
    TooLarge,
    /// The caller did not send it in time.
    SlowCaller,
}

impl GiveUp {
    /// Status code of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowCaller => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// One word for logs and counters.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Refused { .. } => "refused",
            Self::Failed(_) => "failed",
            Self::Late => "late",
            Self::NoRoute => "no_route",
            Self::Malformed(_) => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowCaller => "slow_caller",
        }
    }

    /// Why, for logs.
    pub fn reason(&self) -> String {
        match self {
            Self::Refused { why, .. } | Self::Failed(why) | Self::Malformed(why) => why.clone(),
            _ => String::new(),
        }
    }

    /// The answer.
    pub fn answer(&self) -> Answer {
        let mut answer = plain(self.status(), Bytes::from_static(self.outcome().as_bytes()));
        if let Self::Refused { retry_after_ms, .. } = self {
            let seconds = format!("{:.3}", *retry_after_ms as f64 / 1000.0);
            let value = HeaderValue::from_str(&seconds).expect("digits and a dot");
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        answer
    }
}

/// An answer with a whole body.
pub fn plain(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|e| match e {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// An answer in JSON.
pub fn json(body: impl Into<Bytes>) -> Answer {
    let mut answer = plain(StatusCode::OK, body);
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

/// An answer with the head of an upstream's.
pub fn passed_on(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
