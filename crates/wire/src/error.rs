//! All error kinds, and the table that maps each kind to its HTTP response.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether refused or failed work may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// It certainly did not run.
    No,
    /// It may have run.
    Unknown,
}

/// Kinds of errors that callers and operators receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The body is not valid JSON or has a field of the wrong type.
    InvalidRequest,
    /// A batch contains lines that are not valid items.
    InvalidItems,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTimeout,
    /// No tier serves the requested model or service.
    UnknownTarget,
    /// No such job, request or path.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The caller's or operator's key is missing or wrong.
    Unauthorized,
    /// The key's role does not allow the call.
    Forbidden,
    /// The idempotency key was used before with another body.
    KeyConflict,
    /// The first request with the idempotency key is still running.
    InProgress,
    /// The expected configuration revision is outdated, or a concurrent command was applied first.
    Conflict,
    /// The job was cancelled.
    Cancelled,
    /// The tier's or team's limit is reached.
    Overloaded,
    /// The deadline cannot be met, or passed before the work was sent.
    DeadlineExceeded,
    /// The deadline passed while the work was running.
    DeadlineMissed,
    /// No upstream of the tier can take the work.
    NoUpstream,
    /// The upstream failed; the work may have run.
    UpstreamFailed,
    /// The upstream reported that it cannot process this request.
    UpstreamRejected,
    /// The log cannot be reached, so the work was not accepted.
    LogUnavailable,
    /// The append was sent, but its outcome is not known yet.
    OutcomeUnknown,
    /// The instance is starting, leaving or disconnected.
    NotReady,
    /// An internal error of the system.
    Internal,
}

/// HTTP response for one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerRow {
    /// The error kind.
    pub kind: ErrorKind,
    /// The kind's name in responses.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the work may have run, unless the sender knows more.
    pub ran: RanState,
    /// Whether a retry of the same request may succeed.
    pub retryable: bool,
}

const fn row(
    kind: ErrorKind,
    name: &'static str,
    status: u16,
    ran: RanState,
    retryable: bool,
) -> AnswerRow {
    AnswerRow {
        kind,
        name,
        status,
        ran,
        retryable,
    }
}

/// HTTP response of every error kind, in the order of [`ErrorKind`].
pub const ANSWER_TABLE: [AnswerRow; 23] = {
    use ErrorKind::*;
    use RanState::{No, Unknown};
    [
        row(InvalidRequest, "invalid_request", 400, No, false),
        row(InvalidItems, "invalid_items", 400, No, false),
        row(BodyTooLarge, "body_too_large", 413, No, false),
        row(BodyTimeout, "body_timeout", 408, No, true),
        row(UnknownTarget, "unknown_target", 404, No, false),
        row(NotFound, "not_found", 404, No, false),
        row(MethodNotAllowed, "method_not_allowed", 405, No, false),
        row(Unauthorized, "unauthorized", 401, No, false),
        row(Forbidden, "forbidden", 403, No, false),
        row(KeyConflict, "key_conflict", 422, No, false),
        row(InProgress, "in_progress", 409, Unknown, true),
        row(Conflict, "conflict", 409, No, false),
        row(Cancelled, "cancelled", 409, Unknown, false),
        row(Overloaded, "overloaded", 429, No, true),
        row(DeadlineExceeded, "deadline_exceeded", 504, No, false),
        row(DeadlineMissed, "deadline_missed", 504, Unknown, false),
        row(NoUpstream, "no_upstream", 503, No, true),
        row(UpstreamFailed, "upstream_failed", 502, Unknown, true),
        row(UpstreamRejected, "upstream_rejected", 422, Unknown, false),
        row(LogUnavailable, "log_unavailable", 503, No, true),
        row(OutcomeUnknown, "outcome_unknown", 503, Unknown, true),
        row(NotReady, "not_ready", 503, No, true),
        row(Internal, "internal", 500, Unknown, true),
    ]
};

impl ErrorKind {
    /// Returns the kind's row of [`ANSWER_TABLE`].
    pub fn row(self) -> &'static AnswerRow {
        // A test checks that the table is in the order of the enum.
        &ANSWER_TABLE[self as usize]
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.row().name)
    }
}

/// The string, which is kept in the error, is not the name of an error kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownKindError(pub String);

impl fmt::Display for UnknownKindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown error kind {:?}", self.0)
    }
}

impl std::error::Error for UnknownKindError {}

impl FromStr for ErrorKind {
    type Err = UnknownKindError;

    fn from_str(text: &str) -> Result<Self> {
        let row = ANSWER_TABLE.iter().find(|row| row.name == text);
        row.map(|row| row.kind)
            .ok_or_else(|| UnknownKindError(text.to_owned()))
    }
}

/// Result of parsing an error kind.
pub type Result<T> = std::result::Result<T, UnknownKindError>;

/// An error as sent between processes and to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallError {
    /// Category of the error.
    pub kind: ErrorKind,
    /// Human-readable description, on one line.
    pub message: String,
    /// Whether the work may have run.
    pub ran: RanState,
    /// Delay after which a retry may succeed, in milliseconds, if known.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl CallError {
    /// Creates an error with the `ran` state that [`ANSWER_TABLE`] gives for its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran: kind.row().ran,
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets whether the work may have run.
    pub fn with_ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for CallError {}
