//! Reading request bodies within limits of size and time.

use std::time::Duration;

use amaranth_wire::error::{CallError, ErrorKind};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, CallError>;

/// Limits for one body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Most bytes that are taken.
    pub bytes: usize,
    /// Longest wait for the whole body.
    pub time: Duration,
}

/// Reads the next piece of a body; `None` at its end.
pub async fn next_chunk(body: &mut Body, deadline: Instant) -> Result<Option<Bytes>> {
    loop {
        let frame = timeout_at(deadline, body.frame()).await;
        let frame = frame.map_err(|_| {
            CallError::new(ErrorKind::BodyTimeout, "the body was not received in time")
        })?;
        match frame {
            None => return Ok(None),
            Some(Err(e)) => {
                let message = format!("the body broke off: {e}");
                return Err(CallError::new(ErrorKind::InvalidRequest, message));
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Reads a whole body.
pub async fn read_all(mut body: Body, limits: BodyLimits) -> Result<Bytes> {
    let deadline = Instant::now() + limits.time;
    let mut whole = BytesMut::new();
    while let Some(chunk) = next_chunk(&mut body, deadline).await? {
        if whole.len() + chunk.len() > limits.bytes {
            let message = format!("the body is larger than {} bytes", limits.bytes);
            return Err(CallError::new(ErrorKind::BodyTooLarge, message));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Reads a whole body as JSON.
pub async fn read_json<T: DeserializeOwned>(body: Body, limits: BodyLimits) -> Result<T> {
    let bytes = read_all(body, limits).await?;
    serde_json::from_slice(&bytes)
        .map_err(|e| CallError::new(ErrorKind::InvalidRequest, format!("invalid JSON: {e}")))
}
