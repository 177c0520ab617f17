//! Reads request bodies within limits on size and time.

use std::time::Duration;

use amaranth_wire::error::{CallError, ErrorKind};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;

/// Bytes to read and discard from a body that is too large, so that its sender gets the response
/// before the connection closes.
const MAX_DISCARD_BYTES: u64 = 16 << 20;
/// Maximum time for discarding them.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, CallError>;

/// Limits for one body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size of the body.
    pub bytes: usize,
    /// Maximum time to receive the complete body.
    pub time: Duration,
}

/// Reads a body in chunks.
pub struct BodyReader {
    body: Body,
    max_bytes: u64,
    received: u64,
    deadline: Instant,
    gap: Duration,
    ended: bool,
}

impl BodyReader {
    /// Creates a reader that enforces these limits.
    pub fn new(body: Body, limits: BodyLimits) -> Self {
        Self {
            body,
            max_bytes: limits.bytes as u64,
            received: 0,
            deadline: Instant::now() + limits.time,
            gap: limits.time,
            ended: false,
        }
    }

    /// Limits the wait for each chunk.
    pub fn with_gap(mut self, gap: Duration) -> Self {
        self.gap = gap;
        self
    }

    /// Returns the next chunk; `None` at the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        let deadline = self.deadline.min(Instant::now() + self.gap);
        let next = next_data_frame(&mut self.body, deadline).await;
        let Some(chunk) = next.inspect_err(|_| self.ended = true)? else {
            return Ok(None);
        };
        self.received += chunk.len() as u64;
        if self.received > self.max_bytes {
            self.discard().await;
            let message = format!("the body is larger than {} bytes", self.max_bytes);
            return Err(CallError::new(ErrorKind::BodyTooLarge, message));
        }
        Ok(Some(chunk))
    }

    /// Reads and discards some of the rest, so that a client that is still sending gets to read the
    /// response. Does nothing if this was done before or the body failed or timed out.
    pub async fn discard(&mut self) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let deadline = Instant::now() + DISCARD_TIMEOUT;
        let mut remaining = MAX_DISCARD_BYTES;
        while let Ok(Some(chunk)) = next_data_frame(&mut self.body, deadline).await {
            remaining = remaining.saturating_sub(chunk.len() as u64);
            if remaining == 0 {
                return;
            }
        }
    }
}

async fn next_data_frame(body: &mut Body, deadline: Instant) -> Result<Option<Bytes>> {
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

/// Reads a complete body into memory.
pub async fn read_all(body: Body, limits: BodyLimits) -> Result<Bytes> {
    let mut reader = BodyReader::new(body, limits);
    let mut buffer = BytesMut::new();
    while let Some(chunk) = reader.next_chunk().await? {
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.freeze())
}

/// Reads a complete body as JSON.
pub async fn read_json<T: DeserializeOwned>(body: Body, limits: BodyLimits) -> Result<T> {
    let bytes = read_all(body, limits).await?;
    serde_json::from_slice(&bytes)
        .map_err(|e| CallError::new(ErrorKind::InvalidRequest, format!("invalid JSON: {e}")))
}
