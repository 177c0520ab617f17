//! Reading request bodies within limits of size and time.

use std::time::Duration;

use amaranth_wire::error::{CallError, ErrorKind};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;

/// Bytes that are still read from a body that is too large, so that its sender gets the answer
/// before the connection closes.
const DISCARD_BYTES: u64 = 16 << 20;
/// Longest wait for those bytes.
const DISCARD_LIMIT: Duration = Duration::from_secs(1);

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

/// Reads a body piece by piece.
pub struct BodyReader {
    body: Body,
    most: u64,
    received: u64,
    deadline: Instant,
    gap: Duration,
    ended: bool,
}

impl BodyReader {
    /// A reader that takes bodies within these limits.
    pub fn new(body: Body, limits: BodyLimits) -> Self {
        Self {
            body,
            most: limits.bytes as u64,
            received: 0,
            deadline: Instant::now() + limits.time,
            gap: limits.time,
            ended: false,
        }
    }

    /// Limits the wait for each piece.
    pub fn with_gap(mut self, gap: Duration) -> Self {
        self.gap = gap;
        self
    }

    /// The next piece; `None` at the end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        let deadline = self.deadline.min(Instant::now() + self.gap);
        let next = next_data(&mut self.body, deadline).await;
        let Some(chunk) = next.inspect_err(|_| self.ended = true)? else {
            return Ok(None);
        };
        self.received += chunk.len() as u64;
        if self.received > self.most {
            self.discard().await;
            let message = format!("the body is larger than {} bytes", self.most);
            return Err(CallError::new(ErrorKind::BodyTooLarge, message));
        }
        Ok(Some(chunk))
    }

    /// Reads a little more, so that a sender that is busy sending reads the answer. Does nothing
    /// for a body that was read before to its limit or stopped coming.
    pub async fn discard(&mut self) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let deadline = Instant::now() + DISCARD_LIMIT;
        let mut left = DISCARD_BYTES;
        while let Ok(Some(chunk)) = next_data(&mut self.body, deadline).await {
            left = left.saturating_sub(chunk.len() as u64);
            if left == 0 {
                return;
            }
        }
    }
}

async fn next_data(body: &mut Body, deadline: Instant) -> Result<Option<Bytes>> {
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
pub async fn read_all(body: Body, limits: BodyLimits) -> Result<Bytes> {
    let mut reader = BodyReader::new(body, limits);
    let mut whole = BytesMut::new();
    while let Some(chunk) = reader.next_chunk().await? {
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
