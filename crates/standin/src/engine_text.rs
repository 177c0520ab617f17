//! Parsing of completion requests and encoding of completion answers for the engine stand-in.

use amaranth_net::clock::{steady_us, unix_ms};
use amaranth_wire::error::{CallError, ErrorKind};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::token_text::TokenText;

/// Length of an answer if the request sets no limit, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Upper bound on the length of an answer, in tokens.
const MAX_TOKENS: u32 = 1 << 20;
/// A prompt or service call that contains this is always rejected.
pub const REJECTED_PROMPT_MARKER: &str = "[impossible]";
/// End marker of a complete event stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Which completion endpoint was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompletionKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl CompletionKind {
    fn chunk_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion.chunk",
            Self::Text => "text_completion",
        }
    }
}

/// A validated completion request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The endpoint that was called.
    pub kind: CompletionKind,
    /// Name of the model or adapter.
    pub model: String,
    /// Prompt text; multiple messages are joined by newlines.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Whether to answer with events.
    pub stream: bool,
    /// Whether a stream ends with an event that reports token usage.
    pub usage: bool,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum TextParts {
    One(String),
    Parts(Vec<TextPart>),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum TextPart {
    Plain(String),
    Typed { text: String },
}

#[derive(Deserialize)]
struct ChatMessage {
    content: TextParts,
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct RawRequest {
    model: String,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<TextParts>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

impl TextParts {
    fn join(self) -> String {
        match self {
            Self::One(text) => text,
            Self::Parts(parts) => {
                let texts = parts.into_iter().map(|part| match part {
                    TextPart::Plain(text) | TextPart::Typed { text } => text,
                });
                texts.collect::<Vec<_>>().join("\n")
            }
        }
    }
}

/// Parses a request body. Fails with `InvalidRequest` if it is malformed or has no prompt.
pub fn parse_request(kind: CompletionKind, body: &[u8]) -> Result<CompletionRequest, CallError> {
    let invalid = |message: String| CallError::new(ErrorKind::InvalidRequest, message);
    let raw: RawRequest =
        serde_json::from_slice(body).map_err(|e| invalid(format!("invalid request: {e}")))?;
    let prompt = match kind {
        CompletionKind::Chat => raw.messages.map(|messages| {
            let contents = messages.into_iter().map(|m| m.content.join());
            contents.collect::<Vec<_>>().join("\n")
        }),
        CompletionKind::Text => raw.prompt.map(TextParts::join),
    };
    let missing = match kind {
        CompletionKind::Chat => "missing field `messages`",
        CompletionKind::Text => "missing field `prompt`",
    };
    let tokens = raw.max_tokens.or(raw.max_completion_tokens);
    Ok(CompletionRequest {
        kind,
        model: raw.model,
        prompt: prompt.ok_or_else(|| invalid(missing.to_owned()))?,
        tokens: tokens.unwrap_or(DEFAULT_MAX_TOKENS).min(MAX_TOKENS),
        stream: raw.stream,
        usage: raw.stream_options.unwrap_or_default().include_usage,
    })
}

/// Encodes the answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerWriter {
    kind: CompletionKind,
    metadata: Value,
    /// Common start of every token event, up to `received_us`.
    event_prefix: String,
    prompt_tokens: usize,
    text: TokenText,
}

impl AnswerWriter {
    /// Creates a writer for a request that is served by the given model version.
    pub fn new(request: &CompletionRequest, id: String, version: &str) -> Self {
        let kind = request.kind;
        let metadata = json!({
            "id": id,
            "created": unix_ms() / 1_000,
            "model": request.model,
            "system_fingerprint": version,
        });
        let mut start = metadata.clone();
        start["object"] = json!(kind.chunk_object());
        let start = start.to_string();
        let start = start.trim_end_matches('}');
        Self {
            kind,
            event_prefix: format!("data: {start},\"timing\":{{\"received_us\":{}", steady_us()),
            metadata,
            prompt_tokens: request.prompt.split_whitespace().count(),
            text: TokenText::new(&request.prompt),
        }
    }

    fn metadata(&self, object: &str) -> Value {
        let mut metadata = self.metadata.clone();
        metadata["object"] = json!(object);
        metadata
    }

    fn usage(&self, tokens: u32) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens as usize,
        })
    }

    /// The complete answer as one JSON value.
    pub fn complete_json(&self, tokens: u32, finish_reason: &str) -> Value {
        let text = self.text.first_tokens(tokens);
        let (object, mut choice) = match self.kind {
            CompletionKind::Chat => (
                "chat.completion",
                json!({"message": {"role": "assistant", "content": text}}),
            ),
            CompletionKind::Text => ("text_completion", json!({"text": text})),
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(finish_reason);
        let mut answer = self.metadata(object);
        answer["choices"] = json!([choice]);
        answer["usage"] = self.usage(tokens);
        answer
    }

    /// Encodes the event of one token, without serde since this is the engine's hot path. `timing`
    /// holds the times of receiving the request and writing the event, on the monotonic clock.
    pub fn token_event(&self, index: u32, finish_reason: Option<&str>) -> Bytes {
        let token = self.text.token(index);
        let choice = match self.kind {
            CompletionKind::Chat => format!(r#""delta":{{"content":"{token}"}}"#),
            CompletionKind::Text => format!(r#""text":"{token}""#),
        };
        let finish = match finish_reason {
            Some(reason) => format!("\"{reason}\""),
            None => "null".to_owned(),
        };
        let written_us = steady_us();
        let start = &self.event_prefix;
        Bytes::from(format!(
            "id: {index}\n{start},\"written_us\":{written_us}}},\"choices\":[{{\"index\":0,{choice},\
             \"finish_reason\":{finish}}}]}}\n\n"
        ))
    }

    /// Encodes an event without a token that carries the finish reason.
    pub fn end_event(&self, finish_reason: &str) -> Bytes {
        let mut choice = match self.kind {
            CompletionKind::Chat => json!({"delta": {}}),
            CompletionKind::Text => json!({"text": ""}),
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(finish_reason);
        let mut chunk = self.metadata(self.kind.chunk_object());
        chunk["choices"] = json!([choice]);
        Bytes::from(format!("data: {chunk}\n\n"))
    }

    /// Encodes the event that reports token usage.
    pub fn usage_event(&self, tokens: u32) -> Bytes {
        let mut chunk = self.metadata(self.kind.chunk_object());
        chunk["choices"] = json!([]);
        chunk["usage"] = self.usage(tokens);
        Bytes::from(format!("data: {chunk}\n\n"))
    }
}
