//! HTTP calls by address, with limits on every wait.
//!
//! A connection that went silent comes back from the client's pool like any other. When a wait
//! runs out the whole pool generation is abandoned: later calls use a new client, and the old one
//! goes when the streams that still use it end.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind as VoloKind;
use volo_http::response::Response;

/// Limits on the waits of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Longest wait for the head of the answer, connecting included.
    pub first_byte: Duration,
    /// Longest wait between two pieces of the answer's body.
    pub gap: Duration,
}

impl CallLimits {
    /// The same limit on every wait.
    pub const fn new(limit: Duration) -> Self {
        Self {
            first_byte: limit,
            gap: limit,
        }
    }
}

/// Why a call failed.
#[derive(Debug)]
pub enum HttpError {
    /// No connection was made, so nothing was sent.
    Connect(String),
    /// The call was sent, at least in part, and failed.
    Broken(String),
    /// A wait ran out after the call may have been sent.
    TimedOut,
    /// The answer is not what it should be.
    BadAnswer(String),
}

impl HttpError {
    /// Whether the call provably did not reach the other side.
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

/// Result of a call.
pub type Result<T> = std::result::Result<T, HttpError>;

/// One call to make.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Where to.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Headers besides those that the client sets.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpCall {
    /// A `GET`.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// A `POST` without a body.
    pub fn post(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::POST, address, path)
    }

    /// A call without headers and body.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            address,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Replaces the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Replaces the headers.
    pub fn with_headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }
}

struct PoolGeneration {
    number: u64,
    client: Client,
}

/// Calls by address. Cheap to clone; clones share their connections.
#[derive(Clone)]
pub struct HttpClient {
    current: Arc<RwLock<Arc<PoolGeneration>>>,
    generations: Arc<AtomicU64>,
    connect_limit: Duration,
}

impl HttpClient {
    /// A client that waits at most so long for a connection.
    pub fn new(connect_limit: Duration) -> Self {
        let first = Arc::new(build_generation(0, connect_limit));
        Self {
            current: Arc::new(RwLock::new(first)),
            generations: Arc::new(AtomicU64::new(0)),
            connect_limit,
        }
    }

    /// How many pool generations were abandoned.
    pub fn abandoned(&self) -> u64 {
        self.generations.load(Ordering::Relaxed)
    }

    /// Makes a call and returns its answer as soon as the head is there.
    pub async fn send(&self, call: HttpCall, limits: CallLimits) -> Result<HttpAnswer> {
        let generation = self.current.read().expect("not poisoned").clone();
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
        Ok(HttpAnswer {
            response,
            gap: limits.gap,
            generation: generation.number,
            client: self.clone(),
        })
    }

    /// Makes a call and reads its whole answer.
    pub async fn fetch(&self, call: HttpCall, limits: CallLimits) -> Result<(u16, Bytes)> {
        let answer = self.send(call, limits).await?;
        let status = answer.status();
        Ok((status, answer.read_all().await?))
    }

    /// Makes a call whose answer must be a success in JSON.
    pub async fn fetch_json<T: DeserializeOwned>(
        &self,
        call: HttpCall,
        limits: CallLimits,
    ) -> Result<T> {
        let body = expect_success(self.fetch(call, limits).await?)?;
        serde_json::from_slice(&body).map_err(|e| HttpError::BadAnswer(e.to_string()))
    }

    /// Makes a call whose answer must be a success in MessagePack.
    pub async fn fetch_message<T: DeserializeOwned>(
        &self,
        call: HttpCall,
        limits: CallLimits,
    ) -> Result<T> {
        let body = expect_success(self.fetch(call, limits).await?)?;
        rmp_serde::from_slice(&body).map_err(|e| HttpError::BadAnswer(e.to_string()))
    }

    /// Replaces the pool unless that was done since the given generation.
    fn abandon(&self, number: u64) {
        let mut current = self.current.write().expect("not poisoned");
        if current.number != number {
            return;
        }
        self.generations.fetch_add(1, Ordering::Relaxed);
        *current = Arc::new(build_generation(number + 1, self.connect_limit));
    }
}

/// Whether no connection was made. A refused one is reported as an error of the request.
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

fn build_generation(number: u64, connect_limit: Duration) -> PoolGeneration {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(connect_limit);
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

/// An answer whose body is still to be read.
pub struct HttpAnswer {
    response: Response,
    gap: Duration,
    generation: u64,
    client: HttpClient,
}

impl HttpAnswer {
    /// Status code.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// Headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Replaces the longest wait between two pieces of the body.
    pub fn set_gap(&mut self, gap: Duration) {
        self.gap = gap;
    }

    /// The next piece of the body; `None` at its end.
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

    /// The rest of the body.
    pub async fn read_all(mut self) -> Result<Bytes> {
        let Some(first) = self.next_chunk().await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next_chunk().await? else {
            return Ok(first);
        };
        let mut whole = first.to_vec();
        whole.extend_from_slice(&second);
        while let Some(chunk) = self.next_chunk().await? {
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.into())
    }
}
