//! Weight store that sends zeros for every model and version, at a rate limit shared by all
//! readers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_net::answer;
use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use tokio::time::{Instant, sleep_until};
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

/// Content type of a weight download.
const WEIGHTS_CONTENT_TYPE: &str = "application/octet-stream";
/// Bytes sent in one chunk.
const CHUNK_BYTES: u64 = 64 << 10;

/// Model size and bandwidth of a weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightLimits {
    /// Size of every model.
    pub model_bytes: u64,
    /// Total bandwidth of all readers.
    pub bytes_per_second: u64,
}

/// Answers weight downloads and schedules their chunks.
#[derive(Debug)]
pub struct WeightStore {
    limits: WeightLimits,
    available_at: Mutex<Instant>,
}

impl WeightStore {
    /// Creates an idle store.
    pub fn new(limits: WeightLimits) -> Self {
        Self {
            limits,
            available_at: Mutex::new(Instant::now()),
        }
    }

    /// Starts a download of one model.
    pub fn answer(self: &Arc<Self>) -> Response {
        let store = self.clone();
        let chunks = stream::unfold(self.limits.model_bytes, move |left| {
            let store = store.clone();
            async move {
                let bytes = left.min(CHUNK_BYTES);
                if bytes == 0 {
                    return None;
                }
                sleep_until(store.reserve(bytes)).await;
                let chunk = Bytes::from(vec![0; bytes as usize]);
                let frame: Result<_, BoxError> = Ok(Frame::data(chunk));
                Some((frame, left - bytes))
            }
        });
        answer::stream(200, WEIGHTS_CONTENT_TYPE, Body::from_stream(chunks))
    }

    /// Reserves bandwidth for a chunk and returns when the chunk may be sent.
    fn reserve(&self, bytes: u64) -> Instant {
        let rate = self.limits.bytes_per_second.max(1) as f64;
        let time = Duration::from_secs_f64(bytes as f64 / rate);
        let mut available_at = self.available_at.lock().expect("not poisoned");
        *available_at = (*available_at).max(Instant::now()) + time;
        *available_at
    }
}
