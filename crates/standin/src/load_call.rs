//! A streamed completion call that checks every token of its answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpAnswer, HttpCall, HttpClient, HttpError};
use amaranth_net::clock::steady_us;
use bytes::BytesMut;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::token_text::TokenText;

/// Path of the completion endpoint that is called.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Destination of calls, and the model and headers that they carry.
#[derive(Debug, Clone)]
pub struct LoadTarget {
    /// Name of the target in reports.
    pub name: String,
    /// Addresses, called round-robin.
    pub addresses: Vec<SocketAddr>,
    /// Requested model.
    pub model: String,
    /// Additional request headers.
    pub headers: HeaderMap,
}

impl LoadTarget {
    /// Creates a target with one address and no additional headers.
    pub fn new(name: impl Into<String>, address: SocketAddr, model: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            addresses: vec![address],
            model: model.into(),
            headers: HeaderMap::new(),
        }
    }

    /// Adds an address.
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.addresses.push(address);
        self
    }

    /// The address of the call with this number.
    pub fn address(&self, number: u64) -> SocketAddr {
        self.addresses[(number % self.addresses.len() as u64) as usize]
    }

    /// Adds a header. An invalid value is ignored.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The end marker was received.
    Complete,
    /// An error status was returned.
    Refused {
        /// The error's kind, or the status if it names none.
        kind: String,
        /// Whether the work ran, according to the error: `no`, or `unknown` by default.
        ran: String,
    },
    /// The connection could not be established.
    NotConnected,
    /// The connection broke, or the answer was invalid or had no end marker.
    Broken,
    /// The call timed out.
    Silent,
}

impl CallEnd {
    /// Whether the call was refused with `ran` set to `no`.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { ran, .. } if ran == "no")
    }
}

/// Outcome and measurements of a call. Times are in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReport {
    /// Outcome of the call.
    pub end: CallEnd,
    /// From sending the call to the first token.
    pub first_token_us: Option<u64>,
    /// Between consecutive tokens.
    pub gaps_us: Vec<u64>,
    /// From sending the call to its end.
    pub total_us: u64,
    /// From sending the call until the engine received it, if the engine reports its times.
    pub inbound_us: Option<u64>,
    /// From writing a token at the engine until receiving it here, for each token.
    pub outbound_us: Vec<u64>,
    /// Correct tokens.
    pub tokens: u32,
    /// Tokens that do not belong to the answer, and events that can't be parsed.
    pub wrong: u32,
    /// Missing tokens: gaps, and in complete answers also a missing tail.
    pub lost: u32,
    /// Tokens received more than once.
    pub doubled: u32,
}

/// Parameters of a call.
#[derive(Debug, Clone)]
pub struct LoadCall {
    /// Sequence number, which selects one of the target's addresses.
    pub number: u64,
    /// Prompt text.
    pub prompt: String,
    /// Requested number of tokens.
    pub tokens: u32,
    /// Timeouts of the call.
    pub limits: CallLimits,
}

#[derive(Deserialize)]
struct EventTiming {
    received_us: u64,
    written_us: u64,
}

#[derive(Deserialize)]
struct EventDelta<'a> {
    content: Option<&'a str>,
}

#[derive(Deserialize)]
struct EventChoice<'a> {
    #[serde(borrow)]
    delta: Option<EventDelta<'a>>,
}

#[derive(Deserialize)]
struct TokenEvent<'a> {
    #[serde(borrow)]
    choices: Vec<EventChoice<'a>>,
    timing: Option<EventTiming>,
}

/// Checks the tokens of one answer as they arrive and measures their times.
struct TokenChecker {
    text: TokenText,
    expected_tokens: u32,
    next: u32,
    sent_at: Instant,
    sent_us: u64,
    last_token_at: Option<Instant>,
    is_done: bool,
    report: CallReport,
}

impl LoadCall {
    /// The JSON body of the call.
    pub fn body(&self, model: &str) -> String {
        json!({
            "model": model,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.tokens,
            "stream": true,
        })
        .to_string()
    }

    /// Makes the call and reads its answer to the end.
    pub async fn run(&self, client: &HttpClient, target: &LoadTarget) -> CallReport {
        let call = HttpCall::post(target.address(self.number), CHAT_PATH)
            .with_headers(target.headers.clone())
            .with_body(self.body(&target.model));
        let mut checker = TokenChecker::new(self);
        let end = match client.send(call, self.limits).await {
            Ok(answer) if answer.status() == 200 => checker.read(answer).await,
            Ok(answer) => read_refusal(answer).await,
            Err(e) => end_of_failure(&e),
        };
        checker.finish(end)
    }
}

/// Maps a failure without an answer to an outcome.
pub fn end_of_failure(e: &HttpError) -> CallEnd {
    match e {
        HttpError::Connect(_) => CallEnd::NotConnected,
        HttpError::TimedOut => CallEnd::Silent,
        HttpError::Broken(_) | HttpError::BadAnswer(_) => CallEnd::Broken,
    }
}

/// Maps an error answer to an outcome.
pub fn end_of_refusal(status: u16, body: &[u8]) -> CallEnd {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let error = &body["error"];
    let kind = error["kind"].as_str();
    CallEnd::Refused {
        kind: kind.map_or_else(|| status.to_string(), str::to_owned),
        ran: error["ran"].as_str().unwrap_or("unknown").to_owned(),
    }
}

async fn read_refusal(answer: HttpAnswer) -> CallEnd {
    let status = answer.status();
    match answer.read_all().await {
        Ok(body) => end_of_refusal(status, &body),
        Err(e) => end_of_failure(&e),
    }
}

impl TokenChecker {
    fn new(call: &LoadCall) -> Self {
        Self {
            text: TokenText::new(&call.prompt),
            expected_tokens: call.tokens,
            next: 0,
            sent_at: Instant::now(),
            sent_us: steady_us(),
            last_token_at: None,
            is_done: false,
            report: CallReport {
                end: CallEnd::Broken,
                first_token_us: None,
                gaps_us: Vec::new(),
                total_us: 0,
                inbound_us: None,
                outbound_us: Vec::new(),
                tokens: 0,
                wrong: 0,
                lost: 0,
                doubled: 0,
            },
        }
    }

    async fn read(&mut self, mut answer: HttpAnswer) -> CallEnd {
        let mut rest = BytesMut::new();
        loop {
            match answer.next_chunk().await {
                Ok(Some(chunk)) => rest.extend_from_slice(&chunk),
                Ok(None) if self.is_done => return CallEnd::Complete,
                Ok(None) => return CallEnd::Broken,
                Err(e) => return end_of_failure(&e),
            }
            while let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") {
                let event = rest.split_to(end + 2);
                self.check_event(&event);
            }
        }
    }

    fn check_event(&mut self, event: &[u8]) {
        let lines = event.split(|&byte| byte == b'\n');
        for data in lines.filter_map(|line| line.strip_prefix(b"data: ")) {
            if data == b"[DONE]" {
                self.is_done = true;
                continue;
            }
            match serde_json::from_slice::<TokenEvent<'_>>(data) {
                Ok(event) => self.check_token(event),
                Err(_) => self.report.wrong += 1,
            }
        }
    }

    fn check_token(&mut self, event: TokenEvent<'_>) {
        let choice = event.choices.into_iter().next();
        let content = choice.and_then(|choice| choice.delta?.content);
        let Some(token) = content else { return };
        self.record_times(event.timing);
        let index = index_of(token).filter(|&index| self.text.token(index) == token);
        match index {
            None => self.report.wrong += 1,
            Some(index) if index >= self.expected_tokens => self.report.wrong += 1,
            Some(index) if index < self.next => self.report.doubled += 1,
            Some(index) => {
                self.report.lost += index - self.next;
                self.report.tokens += 1;
                self.next = index + 1;
            }
        }
    }

    fn record_times(&mut self, timing: Option<EventTiming>) {
        let now = Instant::now();
        let report = &mut self.report;
        match self.last_token_at.replace(now) {
            None => report.first_token_us = Some(as_micros_u64(now - self.sent_at)),
            Some(last_token_at) => report.gaps_us.push(as_micros_u64(now - last_token_at)),
        }
        if let Some(timing) = timing {
            let inbound = timing.received_us.saturating_sub(self.sent_us);
            report.inbound_us.get_or_insert(inbound);
            let outbound = steady_us().saturating_sub(timing.written_us);
            report.outbound_us.push(outbound);
        }
    }

    fn finish(mut self, end: CallEnd) -> CallReport {
        self.report.total_us = as_micros_u64(self.sent_at.elapsed());
        if end == CallEnd::Complete {
            self.report.lost += self.expected_tokens - self.next;
        }
        self.report.end = end;
        self.report
    }
}

/// Parses the index from a token of the form `HASH.INDEX `, including the trailing space.
fn index_of(token: &str) -> Option<u32> {
    let (_, index) = token.trim_end().split_once('.')?;
    index.parse().ok()
}

fn as_micros_u64(time: Duration) -> u64 {
    time.as_micros() as u64
}
