//! HTTP client that calls servers by address, with a timeout on every wait.
//!
//! The pool hands out a connection that no longer responds like any other. On a timeout, the whole
//! pool generation is therefore abandoned: later calls use a new client, and the old one is dropped
//! when the streams that still use it end.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind as VoloKind;
use volo_http::response::Response;

use crate::state_lock::StateRwLock;

/// Largest response that is read whole, in bytes: above a non-streamed answer of the largest context.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Timeouts of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Maximum time to the head of the response, including the time to connect.
    pub first_byte: Duration,
    /// Maximum time between two chunks of the response body.
    pub gap: Duration,
}

impl CallLimits {
    /// Creates limits with the same timeout for every wait.
    pub const fn new(limit: Duration) -> Self {
        Self {
            first_byte: limit,
            gap: limit,
        }
    }
}

/// Reason why a call failed.
#[derive(Debug)]
pub enum HttpError {
    /// The connection could not be opened, so nothing was sent.
    Connect(String),
    /// The call failed after at least part of it may have been sent.
    Broken(String),
    /// A timeout passed after the call may have been sent.
    TimedOut,
    /// The response has an unexpected status or content.
    BadAnswer(String),
}

impl HttpError {
    /// Returns whether the call certainly did not reach the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(e) => write!(f, "no connection: {e}"),
            Self::Broken(e) => write!(f, "the call broke off: {e}"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::BadAnswer(e) => write!(f, "unexpected answer: {e}"),
        }
    }
}

impl std::error::Error for HttpError {}

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, HttpError>;

/// An HTTP request and the address to send it to.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// Request method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Headers in addition to those that the client sets.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

impl HttpCall {
    /// Creates a `GET` without a body.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Creates a `POST` without a body.
    pub fn post(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::POST, address, path)
    }

    /// Creates a call without headers and body.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the headers.
    pub fn with_headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }
}

/// A client with its connection pool, numbered from 0.
struct PoolGeneration {
    number: u64,
    client: Client,
}

/// HTTP client with a connection pool. Cheap to clone; clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    current: Arc<StateRwLock<Arc<PoolGeneration>>>,
    abandoned_count: Arc<AtomicU64>,
    connect_timeout: Duration,
}

impl HttpClient {
    /// Creates a client with a timeout for connecting.
    pub fn new(connect_timeout: Duration) -> Self {
        let first = Arc::new(build_generation(0, connect_timeout));
        Self {
            current: Arc::new(StateRwLock::new(first)),
            abandoned_count: Arc::new(AtomicU64::new(0)),
            connect_timeout,
        }
    }

    /// Returns the number of abandoned pool generations.
    pub fn abandoned(&self) -> u64 {
        self.abandoned_count.load(Ordering::Relaxed)
    }

    /// Makes a call and returns its response as soon as the head is received.
    pub async fn send(&self, call: HttpCall, limits: CallLimits) -> Result<HttpAnswer> {
        let generation = self.current.read().clone();
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = generation
            .client
            .request(call.method, uri)
            .address(call.address);
        request.headers_mut().extend(call.headers);
        let request = request.body(Body::from(call.body));
        let response = match timeout(limits.first_byte, request.send()).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) if is_connect_error(&e) => {
                return Err(HttpError::Connect(e.to_string()));
            }
            Ok(Err(e)) => return Err(HttpError::Broken(e.to_string())),
            Err(_) => {
                self.abandon(generation.number);
                return Err(HttpError::TimedOut);
            }
        };
        if !is_final(response.status()) {
            let why = format!("{} is no final status", response.status().as_u16());
            return Err(HttpError::Broken(why));
        }
        Ok(HttpAnswer {
            response,
            gap: limits.gap,
            generation: generation.number,
            client: self.clone(),
        })
    }

    /// Makes a call and reads the complete response.
    pub async fn fetch(&self, call: HttpCall, limits: CallLimits) -> Result<(u16, Bytes)> {
        let answer = self.send(call, limits).await?;
        let status = answer.status();
        Ok((status, answer.read_all().await?))
    }

    /// Makes a call and decodes the response from JSON; any status but 2xx is an error.
    pub async fn fetch_json<T: DeserializeOwned>(
        &self,
        call: HttpCall,
        limits: CallLimits,
    ) -> Result<T> {
        let body = expect_success(self.fetch(call, limits).await?)?;
        serde_json::from_slice(&body).map_err(|e| HttpError::BadAnswer(e.to_string()))
    }

    /// Makes a call and decodes the response from MessagePack; any status but 2xx is an error.
    pub async fn fetch_message<T: DeserializeOwned>(
        &self,
        call: HttpCall,
        limits: CallLimits,
    ) -> Result<T> {
        let body = expect_success(self.fetch(call, limits).await?)?;
        rmp_serde::from_slice(&body).map_err(|e| HttpError::BadAnswer(e.to_string()))
    }

    /// Replaces the pool, unless this generation was already replaced.
    fn abandon(&self, number: u64) {
        let mut current = self.current.write();
        if current.number != number {
            return;
        }
        self.abandoned_count.fetch_add(1, Ordering::Relaxed);
        *current = Arc::new(build_generation(number + 1, self.connect_timeout));
    }
}

/// Returns whether a status ends a call, as HTTP defines it. A client hands out a switch of protocols that it
/// didn't ask for, and numbers without a meaning, like any other response.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether the connection could not be opened. Volo reports a refused connection as a
/// request error, so the error's sources are searched for it.
fn is_connect_error(e: &ClientError) -> bool {
    let mut source = std::error::Error::source(e);
    while let Some(cause) = source {
        let refused = cause
            .downcast_ref::<io::Error>()
            .is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
        source = cause.source();
    }
    *e.kind() == VoloKind::Connect
}

fn build_generation(number: u64, connect_timeout: Duration) -> PoolGeneration {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(connect_timeout);
    let client = builder.build().expect("the client's settings are constant");
    PoolGeneration { number, client }
}

fn expect_success((status, body): (u16, Bytes)) -> Result<Bytes> {
    if (200..300).contains(&status) {
        return Ok(body);
    }
    let text = String::from_utf8_lossy(&body);
    Err(HttpError::BadAnswer(format!("status {status}: {text}")))
}

/// A response whose body has not been read yet.
pub struct HttpAnswer {
    response: Response,
    gap: Duration,
    generation: u64,
    client: HttpClient,
}

impl HttpAnswer {
    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// Returns the response headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Sets the maximum time between two chunks of the body.
    pub fn set_gap(&mut self, gap: Duration) {
        self.gap = gap;
    }

    /// Returns the next chunk of the body; `None` at its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = match timeout(self.gap, self.response.body_mut().frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    self.client.abandon(self.generation);
                    return Err(HttpError::TimedOut);
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(e)) => return Err(HttpError::Broken(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the rest of the body; one over 64 MiB is an error.
    pub async fn read_all(mut self) -> Result<Bytes> {
        let Some(first) = self.next_chunk().await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next_chunk().await? else {
            return Ok(first);
        };
        let mut buffer = first.to_vec();
        buffer.extend_from_slice(&second);
        while let Some(chunk) = self.next_chunk().await? {
            if buffer.len() + chunk.len() > MAX_BODY_BYTES {
                let why = "the response exceeds the size limit";
                return Err(HttpError::BadAnswer(why.to_owned()));
            }
            buffer.extend_from_slice(&chunk);
        }
        Ok(buffer.into())
    }
}
