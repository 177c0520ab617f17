//! Builders for HTTP responses.

use amaranth_wire::error::{CallError, ErrorKind};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

/// Content type of JSON.
pub const JSON: &str = "application/json";
/// Content type of JSON Lines.
pub const JSON_LINES: &str = "application/jsonl";
/// Content type of MessagePack.
pub const MESSAGE_PACK: &str = "application/msgpack";
/// Content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Content type of plain text.
pub const TEXT: &str = "text/plain; charset=utf-8";
/// Default `Retry-After` of retryable errors, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Builds a response with a complete body.
pub fn bytes(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Response {
    stream(status, content_type, Body::from(body.into()))
}

/// Builds a response whose body may be a stream; an invalid status becomes 502.
pub fn stream(status: u16, content_type: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Builds a response in JSON.
pub fn json(status: u16, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("answers always encode");
    bytes(status, JSON, body)
}

/// Builds a response with status 200 in MessagePack.
pub fn message_pack(value: &impl Serialize) -> Response {
    let body = rmp_serde::to_vec_named(value).expect("answers always encode");
    bytes(StatusCode::OK.as_u16(), MESSAGE_PACK, body)
}

/// Builds a response without a body.
pub fn empty(status: u16) -> Response {
    bytes(status, TEXT, Bytes::new())
}

/// Builds the body of an error response.
pub fn error_json(error: &CallError) -> serde_json::Value {
    serde_json::json!({
        "error": {
            "type": error.kind,
            "code": error.kind,
            "kind": error.kind,
            "message": error.message,
            "ran": error.ran,
        }
    })
}

/// Builds the response for an error, with the status of its kind. It gets a `Retry-After` header if
/// a delay is known or the kind is retryable and not [`ErrorKind::Internal`].
pub fn error(error: &CallError) -> Response {
    let row = error.kind.row();
    let mut response = json(row.status, &error_json(error));
    if row.retryable && row.kind != ErrorKind::Internal || error.retry_after_ms.is_some() {
        let seconds = error.retry_after_ms.map(|ms| ms.div_ceil(1_000).max(1));
        let value = HeaderValue::from(seconds.unwrap_or(RETRY_AFTER_S));
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Converts a handler's result to a response.
pub fn from_result(result: Result<Response>) -> Response {
    result.unwrap_or_else(|e| error(&e))
}

/// Result of a handler.
pub type Result<T> = std::result::Result<T, CallError>;
