//! The weight store: every model and version as zeros, sent at a limited rate shared by all
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

/// Content type of weights.
const WEIGHTS_CONTENT_TYPE: &str = "application/octet-stream";
/// Bytes that are sent at a time.
const CHUNK_BYTES: u64 = 64 << 10;

/// Sizes and rates of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightLimits {
    /// Bytes of each model.
    pub model_bytes: u64,
    /// Bytes that all readers together get in a second.
    pub bytes_per_second: u64,
}

/// The store.
#[derive(Debug)]
pub struct WeightStore {
    limits: WeightLimits,
    free_at: Mutex<Instant>,
}

impl WeightStore {
    /// A store that nobody reads yet.
    pub fn new(limits: WeightLimits) -> Self {
        Self {
            limits,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// The answer to one reader.
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

    /// When so many bytes may have been sent.
    fn reserve(&self, bytes: u64) -> Instant {
        let rate = self.limits.bytes_per_second.max(1) as f64;
        let time = Duration::from_secs_f64(bytes as f64 / rate);
        let mut free_at = self.free_at.lock().expect("not poisoned");
        *free_at = (*free_at).max(Instant::now()) + time;
        *free_at
    }
}
