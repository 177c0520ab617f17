//! The model engine stand-in: continuous batching with steps that grow longer with more streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::body::{BodyLimits, read_json};
use amaranth_net::clock::unix_ms;
use amaranth_net::route::handler;
use amaranth_wire::error::{CallError, ErrorKind};
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::token_text::{token_at, whole_answer};

/// Tokens of an answer whose request names no limit.
const DEFAULT_TOKENS: u32 = 16;
const LIMITS: BodyLimits = BodyLimits {
    bytes: 8 << 20,
    time: Duration::from_secs(10),
};

/// How an engine stand-in behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Name of the model that it serves.
    pub model: String,
    /// Time of one step with a single stream.
    pub step: Duration,
    /// Growth of the step for each further stream, as a share of the step.
    pub step_growth: f64,
    /// Relative speed; steps are divided by it.
    pub speed: f64,
}

/// State of the stand-in.
pub struct EngineState {
    model: EngineModel,
    active: AtomicU32,
    served: AtomicU64,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

/// Counts a stream as active for as long as it lives.
struct ActiveStream(Arc<EngineState>);

impl ActiveStream {
    fn new(state: Arc<EngineState>) -> Self {
        state.active.fetch_add(1, Ordering::Relaxed);
        Self(state)
    }
}

impl Drop for ActiveStream {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EngineState {
    /// An idle engine.
    pub fn new(model: EngineModel) -> Self {
        Self {
            model,
            active: AtomicU32::new(0),
            served: AtomicU64::new(0),
        }
    }

    fn step_time(&self) -> Duration {
        let others = self.active.load(Ordering::Relaxed).saturating_sub(1);
        let factor = 1.0 + self.model.step_growth * f64::from(others);
        self.model.step.mul_f64(factor / self.model.speed)
    }

    async fn chat(self: Arc<Self>, body: Body) -> answer::Result<Response> {
        let request: ChatRequest = read_json(body, LIMITS).await?;
        if request.model != self.model.model {
            let message = format!("this engine serves {}", self.model.model);
            return Err(CallError::new(ErrorKind::UnknownTarget, message));
        }
        let id = format!("chatcmpl-{}", self.served.fetch_add(1, Ordering::Relaxed));
        let prompt: Vec<_> = request.messages.into_iter().map(|m| m.content).collect();
        let prompt = prompt.join("\n");
        let tokens = request.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if request.stream {
            return Ok(self.stream_answer(id, prompt, tokens));
        }
        let active = ActiveStream::new(self.clone());
        for _ in 0..tokens {
            sleep(self.step_time()).await;
        }
        drop(active);
        let text = whole_answer(&prompt, tokens);
        Ok(answer::json(
            200,
            &self.whole_json(&id, &prompt, &text, tokens),
        ))
    }

    fn whole_json(&self, id: &str, prompt: &str, text: &str, tokens: u32) -> serde_json::Value {
        let prompt_tokens = prompt.split_whitespace().count();
        json!({
            "id": id,
            "object": "chat.completion",
            "created": unix_ms() / 1_000,
            "model": self.model.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens + tokens as usize,
            },
        })
    }

    fn stream_answer(self: Arc<Self>, id: String, prompt: String, tokens: u32) -> Response {
        let active = ActiveStream::new(self.clone());
        let created = unix_ms() / 1_000;
        let chunks = stream::unfold((0, active), move |(index, active)| {
            let (state, id, prompt) = (self.clone(), id.clone(), prompt.clone());
            async move {
                if index > tokens {
                    return None;
                }
                if index == tokens {
                    let last = Bytes::from_static(b"data: [DONE]\n\n");
                    return Some((Ok(frame(last)), (index + 1, active)));
                }
                sleep(state.step_time()).await;
                let finish = (index + 1 == tokens).then_some("length");
                let chunk = json!({
                    "id": id,
                    "object": "chat.completion.chunk",
                    "created": created,
                    "model": state.model.model,
                    "choices": [{
                        "index": 0,
                        "delta": {"content": token_at(&prompt, index)},
                        "finish_reason": finish,
                    }],
                });
                let line = Bytes::from(format!("data: {chunk}\n\n"));
                Some((Ok(frame(line)), (index + 1, active)))
            }
        });
        answer::stream(200, answer::EVENT_STREAM, Body::from_stream(chunks))
    }

    fn load(&self) -> Response {
        let report = json!({
            "active": self.active.load(Ordering::Relaxed),
            "served": self.served.load(Ordering::Relaxed),
        });
        answer::json(200, &report)
    }
}

fn frame(bytes: Bytes) -> http_body::Frame<Bytes> {
    http_body::Frame::data(bytes)
}

/// The stand-in's paths.
pub fn router(state: Arc<EngineState>) -> Router {
    let chat = handler(&state, |state, request| async move {
        state.chat(request.into_body()).await
    });
    let load = handler(&state, |state, _| async move { Ok(state.load()) });
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/engine/load", get(load))
}
