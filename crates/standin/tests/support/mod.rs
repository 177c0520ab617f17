//! Serves stand-ins on free ports for tests.

// Each test file is a separate crate and uses only a part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpAnswer, HttpCall, HttpClient, Result};
use amaranth_net::server;
use amaranth_standin::engine::EngineProfile;
use amaranth_standin::platform::{self, PlatformProfile, PlatformState};
use amaranth_standin::service::ServiceProfile;
use amaranth_standin::serving::ServedRouter;
use amaranth_standin::upstream_start::{start_engine, start_service};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};
use tokio_util::sync::{CancellationToken, DropGuard};
use volo_http::server::Router;

/// Timeout for calls and for conditions that tests wait for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A running stand-in and a client for it; stopped when dropped.
pub struct TestStandin {
    pub address: SocketAddr,
    pub client: HttpClient,
    pub limits: CallLimits,
    _stop: DropGuard,
}

impl TestStandin {
    /// Serves an engine.
    pub async fn engine(profile: EngineProfile) -> Self {
        let stop = CancellationToken::new();
        Self::serve(start_engine(profile, None, stop.clone()).served, stop).await
    }

    /// Serves a plain service.
    pub async fn service(profile: ServiceProfile) -> Self {
        let stop = CancellationToken::new();
        Self::serve(start_service(profile, None, stop.clone()).served, stop).await
    }

    /// Serves a platform.
    pub async fn platform(profile: PlatformProfile) -> Self {
        Self::serve_router(platform::router(Arc::new(PlatformState::new(profile)))).await
    }

    /// Serves a router.
    pub async fn serve_router(router: Router) -> Self {
        let served = ServedRouter {
            router,
            on_accept: None,
        };
        Self::serve(served, CancellationToken::new()).await
    }

    async fn serve(served: ServedRouter, stop: CancellationToken) -> Self {
        let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        tokio::spawn(server::serve_with(
            listener,
            served.router,
            stop.clone(),
            served.on_accept,
        ));
        Self {
            address,
            client: HttpClient::new(Duration::from_secs(1)),
            limits: CallLimits::new(TEST_TIMEOUT),
            _stop: stop.drop_guard(),
        }
    }

    /// A `GET` whose answer is JSON or nothing.
    pub async fn get(&self, path: &str) -> (u16, Value) {
        let call = HttpCall::get(self.address, path);
        read(self.client.fetch(call, self.limits).await)
    }

    /// A `POST` whose answer is JSON or nothing.
    pub async fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        read(self.try_post(path, &[], body).await)
    }

    /// A `POST` whose call may fail.
    pub async fn try_post(
        &self,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &Value,
    ) -> Result<(u16, bytes::Bytes)> {
        let answer = self.open(path, headers, body).await?;
        let status = answer.status();
        Ok((status, answer.read_all().await?))
    }

    /// A `POST` whose answer is read by the test.
    pub async fn open(
        &self,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &Value,
    ) -> Result<HttpAnswer> {
        let call = HttpCall::post(self.address, path)
            .with_headers(header_map(headers))
            .with_body(body.to_string());
        self.client.send(call, self.limits).await
    }

    /// Resumes a stream after the token with index `last`.
    pub async fn resume(&self, stream: &str, last: &str) -> Result<HttpAnswer> {
        let call = HttpCall::get(self.address, format!("/engine/streams/{stream}"))
            .with_headers(header_map(&[("last-event-id", last)]));
        self.client.send(call, self.limits).await
    }

    /// Replaces the active faults.
    pub async fn faults(&self, faults: Value) {
        assert_eq!(self.post("/faults", &faults).await.0, 204);
    }

    /// Waits until the JSON at a path meets a condition.
    pub async fn wait(&self, path: &str, holds: impl Fn(&Value) -> bool) -> Value {
        let start = Instant::now();
        loop {
            let (_, value) = self.get(path).await;
            if holds(&value) {
                return value;
            }
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{path} still answers {value}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn header_map(headers: &[(&'static str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("a plain value");
        map.insert(HeaderName::from_static(name), value);
    }
    map
}

fn read(answer: Result<(u16, bytes::Bytes)>) -> (u16, Value) {
    let (status, body) = answer.expect("an answer");
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Body of a chat completion call.
pub fn chat(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": "sketch-llm",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Events read from a stream.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReadEvents {
    /// Index and text of each token.
    pub tokens: Vec<(u32, String)>,
    /// The last finish reason.
    pub finish: Option<String>,
    /// Whether the end marker was received.
    pub done: bool,
    /// Whether the connection broke.
    pub broken: bool,
}

impl ReadEvents {
    /// The concatenated texts of the tokens.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|(_, text)| text.as_str()).collect()
    }

    /// Reads events until `stop_after` tokens are received or the stream ends.
    pub async fn read(answer: &mut HttpAnswer, stop_after: usize) -> Self {
        let mut events = Self::default();
        let mut rest = String::new();
        while events.tokens.len() < stop_after {
            match answer.next_chunk().await {
                Ok(Some(bytes)) => rest += std::str::from_utf8(&bytes).expect("text"),
                Ok(None) => break,
                Err(_) => {
                    events.broken = true;
                    break;
                }
            }
            while let Some(end) = rest.find("\n\n") {
                let event: String = rest.drain(..end + 2).collect();
                events.apply_event(event.trim_end());
            }
        }
        events
    }

    fn apply_event(&mut self, event: &str) {
        let mut id = None;
        for line in event.lines() {
            if let Some(text) = line.strip_prefix("id: ") {
                id = Some(text.parse().expect("an index"));
            }
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                self.done = true;
                return;
            }
            let chunk: Value = serde_json::from_str(data).expect("JSON");
            let choice = &chunk["choices"][0];
            if let Some(reason) = choice["finish_reason"].as_str() {
                self.finish = Some(reason.to_owned());
            }
            if let (Some(id), Some(text)) = (id, choice["delta"]["content"].as_str()) {
                self.tokens.push((id, text.to_owned()));
            }
        }
    }
}
