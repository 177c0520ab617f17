//! One streamed completion call whose every token is checked.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpAnswer, HttpCall, HttpClient, HttpError};
use amaranth_net::clock::steady_us;
use bytes::BytesMut;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::token_text::TokenText;

/// Path of the calls.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Where calls go and what they carry.
#[derive(Debug, Clone)]
pub struct LoadTarget {
    /// Its name in reports.
    pub name: String,
    /// Its addresses, called in turns.
    pub addresses: Vec<SocketAddr>,
    /// The model to ask for.
    pub model: String,
    /// Headers besides the content type.
    pub headers: HeaderMap,
}

impl LoadTarget {
    /// A target without further headers.
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

    /// The address for the call of this number.
    pub fn address(&self, number: u64) -> SocketAddr {
        self.addresses[(number % self.addresses.len() as u64) as usize]
    }

    /// Adds a header; one that is not valid is left out.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// With its end marker.
    Complete,
    /// It was answered with an error.
    Refused {
        /// The error's kind, or the status if it names none.
        kind: String,
        /// What the error claims about the work.
        ran: String,
    },
    /// No connection was made.
    NotConnected,
    /// It broke off.
    Broken,
    /// A wait ran out.
    Silent,
}

impl CallEnd {
    /// Whether the call was refused with the claim that nothing ran.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { ran, .. } if ran == "no")
    }
}

/// What came of a call. Times are microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReport {
    /// How it ended.
    pub end: CallEnd,
    /// From sending the call to the first token.
    pub first_token_us: Option<u64>,
    /// Between consecutive tokens.
    pub gaps_us: Vec<u64>,
    /// From sending the call to its end.
    pub total_us: u64,
    /// From sending the call until the engine had it.
    pub inbound_us: Option<u64>,
    /// From the engine's writing of a token until it was here, for each token.
    pub outbound_us: Vec<u64>,
    /// Tokens that came as they should.
    pub tokens: u32,
    /// Tokens that do not belong to the answer.
    pub wrong: u32,
    /// Tokens that are missing from what came.
    pub lost: u32,
    /// Tokens that came again.
    pub doubled: u32,
}

/// One call to make.
#[derive(Debug, Clone)]
pub struct LoadCall {
    /// Its number; decides which of the target's addresses is called.
    pub number: u64,
    /// The prompt.
    pub prompt: String,
    /// Tokens to ask for.
    pub tokens: u32,
    /// Limits on its waits.
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

/// Checks tokens as they come.
struct TokenChecker {
    text: TokenText,
    asked: u32,
    next: u32,
    sent: Instant,
    sent_us: u64,
    last: Option<Instant>,
    is_done: bool,
    report: CallReport,
}

impl LoadCall {
    /// The body of the call.
    pub fn body(&self, model: &str) -> String {
        json!({
            "model": model,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.tokens,
            "stream": true,
        })
        .to_string()
    }

    /// Makes the call.
    pub async fn run(&self, client: &HttpClient, target: &LoadTarget) -> CallReport {
        let call = HttpCall::post(target.address(self.number), CHAT_PATH)
            .with_headers(target.headers.clone())
            .with_body(self.body(&target.model));
        let mut checker = TokenChecker::new(self);
        let end = match client.send(call, self.limits).await {
            Ok(answer) if answer.status() == 200 => checker.read(answer).await,
            Ok(answer) => read_refusal(answer).await,
            Err(e) => failure(&e),
        };
        checker.finish(end)
    }
}

/// How a call that failed without an answer ended.
pub fn failure(e: &HttpError) -> CallEnd {
    match e {
        HttpError::Connect(_) => CallEnd::NotConnected,
        HttpError::TimedOut => CallEnd::Silent,
        HttpError::Broken(_) | HttpError::BadAnswer(_) => CallEnd::Broken,
    }
}

/// How a call that was answered with an error ended.
pub fn refusal(status: u16, body: &[u8]) -> CallEnd {
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
        Ok(body) => refusal(status, &body),
        Err(e) => failure(&e),
    }
}

impl TokenChecker {
    fn new(call: &LoadCall) -> Self {
        Self {
            text: TokenText::new(&call.prompt),
            asked: call.tokens,
            next: 0,
            sent: Instant::now(),
            sent_us: steady_us(),
            last: None,
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
                Err(e) => return failure(&e),
            }
            while let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") {
                let event = rest.split_to(end + 2);
                self.take_event(&event);
            }
        }
    }

    fn take_event(&mut self, event: &[u8]) {
        let lines = event.split(|&byte| byte == b'\n');
        for data in lines.filter_map(|line| line.strip_prefix(b"data: ")) {
            if data == b"[DONE]" {
                self.is_done = true;
                continue;
            }
            match serde_json::from_slice::<TokenEvent<'_>>(data) {
                Ok(event) => self.take_token(event),
                Err(_) => self.report.wrong += 1,
            }
        }
    }

    fn take_token(&mut self, event: TokenEvent<'_>) {
        let choice = event.choices.into_iter().next();
        let content = choice.and_then(|choice| choice.delta?.content);
        let Some(token) = content else { return };
        self.note_times(event.timing);
        let index = index_of(token).filter(|&index| self.text.token(index) == token);
        match index {
            None => self.report.wrong += 1,
            Some(index) if index >= self.asked => self.report.wrong += 1,
            Some(index) if index < self.next => self.report.doubled += 1,
            Some(index) => {
                self.report.lost += index - self.next;
                self.report.tokens += 1;
                self.next = index + 1;
            }
        }
    }

    fn note_times(&mut self, timing: Option<EventTiming>) {
        let now = Instant::now();
        let report = &mut self.report;
        match self.last.replace(now) {
            None => report.first_token_us = Some(micros(now - self.sent)),
            Some(last) => report.gaps_us.push(micros(now - last)),
        }
        if let Some(timing) = timing {
            let inbound = timing.received_us.saturating_sub(self.sent_us);
            report.inbound_us.get_or_insert(inbound);
            let outbound = steady_us().saturating_sub(timing.written_us);
            report.outbound_us.push(outbound);
        }
    }

    fn finish(mut self, end: CallEnd) -> CallReport {
        self.report.total_us = micros(self.sent.elapsed());
        if end == CallEnd::Complete {
            self.report.lost += self.asked - self.next;
        }
        self.report.end = end;
        self.report
    }
}

/// The index in a token's text, `HASH.INDEX` and a space.
fn index_of(token: &str) -> Option<u32> {
    let (_, index) = token.trim_end().split_once('.')?;
    index.parse().ok()
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
