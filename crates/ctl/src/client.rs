//! HTTP client of the operator API. Any instance can answer; the next one is tried when one fails.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_entry::operator_command::{CommandCall, CommandOutcome};
use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_wire::id::CommandId;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Timeout for opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Timeout for a whole answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(15);
/// How long a command with an unknown outcome is retried.
const COMMAND_RETRY_LIMIT: Duration = Duration::from_secs(20);
/// Delay between retries of a command.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Statuses after which the next instance is tried.
const RETRYABLE_STATUSES: [u16; 2] = [502, 503];

/// Error of a call to the operator API.
#[derive(Debug)]
pub enum ClientError {
    /// No instance answered.
    NoInstance {
        /// Error of the last instance that was tried.
        reason: String,
        /// Whether an instance may have received the call.
        sent: bool,
    },
    /// An instance refused the call.
    Refused {
        /// `kind` field of the error answer.
        kind: String,
        /// `message` field of the error answer, one line of text.
        message: String,
    },
    /// The answer cannot be decoded; holds the decoder's message.
    BadAnswer(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoInstance { reason, .. } => write!(f, "no instance answered: {reason}"),
            Self::Refused { kind, message } => write!(f, "{kind}: {message}"),
            Self::BadAnswer(e) => write!(f, "unexpected answer: {e}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// Result of a call to the operator API.
pub type Result<T> = std::result::Result<T, ClientError>;

/// HTTP client of the operator API, with the instances in the order they are tried.
pub struct OperatorClient {
    http: HttpClient,
    instances: Vec<SocketAddr>,
    headers: HeaderMap,
}

impl OperatorClient {
    /// Creates a client that tries these instances in order.
    pub fn new(instances: Vec<SocketAddr>) -> Self {
        Self {
            http: HttpClient::new(CONNECT_LIMIT),
            instances,
            headers: HeaderMap::new(),
        }
    }

    /// Sends a key as bearer token with each call. Ignores a key that no header can hold.
    pub fn with_key(mut self, key: &str) -> Self {
        if let Ok(mut value) = HeaderValue::from_str(&format!("Bearer {key}")) {
            value.set_sensitive(true);
            self.headers.insert("authorization", value);
        }
        self
    }

    /// Runs a query and returns its JSON answer.
    pub async fn query(&self, text: &str) -> Result<Value> {
        let body = json!({"text": text}).to_string();
        let (_, answer) = self.call_any("/v1/operator/query", body).await?;
        decode(&answer)
    }

    /// Sends a command and retries until its outcome is known or [`COMMAND_RETRY_LIMIT`] has
    /// passed. All attempts carry the same id, so that the command takes effect at most once.
    pub async fn command(&self, command: &CommandId, text: &str) -> Result<CommandOutcome> {
        let call = CommandCall {
            command: command.clone(),
            text: text.to_owned(),
        };
        let body = serde_json::to_string(&call).expect("commands always encode");
        let deadline = Instant::now() + COMMAND_RETRY_LIMIT;
        let mut maybe_sent = false;
        loop {
            let answered = self.call_any("/v1/operator/command", body.clone()).await;
            let outcome = match answered {
                Ok((_, answer)) => decode(&answer)?,
                Err(ClientError::NoInstance { reason, sent: true }) => unknown(command, reason),
                Err(ClientError::Refused { kind, message }) if kind == "log_unavailable" => {
                    unknown(command, message)
                }
                Err(e) if !maybe_sent => return Err(e),
                Err(e) => unknown(command, e.to_string()),
            };
            let is_unknown = matches!(outcome, CommandOutcome::Unknown { .. });
            if !is_unknown || Instant::now() >= deadline {
                return Ok(outcome);
            }
            maybe_sent = true;
            sleep(RETRY_DELAY).await;
        }
    }

    /// Submits a batch job; a key that was used before returns the job submitted with it.
    pub async fn submit_batch(
        &self,
        key: &str,
        tier: Option<&str>,
        body: Vec<u8>,
    ) -> Result<Value> {
        let mut headers = self.headers.clone();
        let value = |text: &str| HeaderValue::from_str(text);
        if let Ok(key) = value(key) {
            headers.insert("idempotency-key", key);
        }
        if let Some(Ok(tier)) = tier.map(value) {
            headers.insert("amaranth-tier", tier);
        }
        let (_, answer) = self.post_any("/v1/batches", headers, body.into()).await?;
        decode(&answer)
    }

    async fn call_any(&self, path: &str, body: String) -> Result<(u16, Bytes)> {
        self.post_any(path, self.headers.clone(), body.into()).await
    }

    /// Calls the instances in order until one gives a final answer.
    async fn post_any(&self, path: &str, headers: HeaderMap, body: Bytes) -> Result<(u16, Bytes)> {
        let mut sent = false;
        let mut last_error = ClientError::NoInstance {
            reason: "none is known".to_owned(),
            sent,
        };
        for address in &self.instances {
            let call = HttpCall::post(*address, path)
                .with_headers(headers.clone())
                .with_body(body.clone());
            let limits = CallLimits::new(ANSWER_LIMIT);
            match self.http.fetch(call, limits).await {
                Ok((status, answer)) if is_final(status, &answer) => {
                    return check_status(status, answer);
                }
                Ok((status, answer)) => {
                    last_error = match check_status(status, answer) {
                        Err(e) => e,
                        Ok(answered) => return Ok(answered),
                    }
                }
                Err(e) => {
                    sent |= !e.is_unsent();
                    let reason = format!("{address}: {e}");
                    last_error = ClientError::NoInstance { reason, sent };
                }
            }
        }
        Err(last_error)
    }
}

/// Outcome of a command whose result no instance has reported.
fn unknown(command: &CommandId, reason: String) -> CommandOutcome {
    CommandOutcome::Unknown {
        command: command.clone(),
        offset: Default::default(),
        reason,
    }
}

/// Whether no other instance has to be tried after this answer.
fn is_final(status: u16, answer: &Bytes) -> bool {
    !RETRYABLE_STATUSES.contains(&status) || is_outcome(answer)
}

fn is_outcome(answer: &Bytes) -> bool {
    let value: Value = serde_json::from_slice(answer).unwrap_or_default();
    value.get("outcome").is_some()
}

fn check_status(status: u16, answer: Bytes) -> Result<(u16, Bytes)> {
    if (200..300).contains(&status) || is_outcome(&answer) {
        return Ok((status, answer));
    }
    let value: Value = serde_json::from_slice(&answer).unwrap_or_default();
    let text = |key: &str| value["error"][key].as_str().unwrap_or("").to_owned();
    Err(ClientError::Refused {
        kind: text("kind"),
        message: text("message"),
    })
}

fn decode<T: serde::de::DeserializeOwned>(answer: &Bytes) -> Result<T> {
    serde_json::from_slice(answer).map_err(|e| ClientError::BadAnswer(e.to_string()))
}
