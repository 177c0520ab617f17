//! A pool of HTTP/1.1 connections to upstreams and to the log, each used by one request at a time.
//!
//! A connection is reused only after a complete answer that allows it, and stays idle no longer
//! than the peer announced. A failed request is known to be unsent if no byte of it was written.

use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::answer_match::ConnectionUse::{self, Fresh, Reused};
use amaranth_kernel::memory_budget::MemoryUse;
use amaranth_net::client::is_final;
use amaranth_net::state_lock::StateMutex;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::memory_account::{MemoryAccount, MemoryGuard, OverBudget};
use crate::socket;
use hyper_util::rt::TokioIo;

/// Limit on connecting: many round trips between data centres, and far below the objective for a
/// first event.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is dropped if the peer announced none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from an announced idle time, so that a request does not race with the peer's close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Content type of event streams, before its parameters.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// Nothing listens at the address, so no byte of the request was written.
    Unreachable(String),
    /// No byte of the request was written.
    Unsent(String),
    /// There is no memory for an answer, so nothing was sent.
    NoMemory(OverBudget),
    /// The peer ended the connection before its answer was complete; it may have received the
    /// request.
    Lost(String),
    /// The request failed in another way after the peer may have received it.
    Broken(String),
}

impl SendError {
    /// Whether the request certainly did not reach the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Unreachable(_) | Self::Unsent(_) | Self::NoMemory(_)
        )
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) | Self::Unsent(why) => write!(f, "not sent: {why}"),
            Self::NoMemory(over) => write!(f, "not sent: {over}"),
            Self::Lost(why) => write!(f, "connection lost: {why}"),
            Self::Broken(why) => write!(f, "connection failed: {why}"),
        }
    }
}

impl From<OverBudget> for SendError {
    fn from(over: OverBudget) -> Self {
        Self::NoMemory(over)
    }
}

impl From<&hyper::Error> for SendError {
    /// Converts the error of a request that the peer may have received.
    fn from(error: &hyper::Error) -> Self {
        match is_connection_lost(error) {
            true => Self::Lost(error.to_string()),
            false => Self::Broken(error.to_string()),
        }
    }
}

fn is_connection_lost(error: &hyper::Error) -> bool {
    let io = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    error.is_incomplete_message()
        || io.is_some_and(|e| {
            matches!(
                e.kind(),
                ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            )
        })
}

impl Error for SendError {}

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendError>;

type Sender = SendRequest<Full<Bytes>>;

/// Aborts a connection's task when dropped.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct OpenConnection {
    sender: Sender,
    _task: ConnectionTask,
}

struct IdleConnection {
    connection: OpenConnection,
    until: Instant,
}

/// Identifies interchangeable connections by address and owner. When an address gets another
/// owner, the connections to the former one aren't reused.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConnectionKey {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Process expected at the address: an upstream's id, or another name for it.
    pub owner: String,
}

/// Idle connections of this process, by key.
#[derive(Default)]
pub struct ConnectionPool {
    /// Size of each buffer of a connection's socket, in bytes; `None` if the system chooses.
    buffer_bytes: Option<usize>,
    /// Memory for the buffers of answers.
    account: MemoryAccount,
    idle: StateMutex<HashMap<ConnectionKey, Vec<IdleConnection>>>,
}

/// An answer whose head was received. Dropping it before its end closes the connection.
pub struct OpenAnswer {
    response: Response<Incoming>,
    key: ConnectionKey,
    connection: OpenConnection,
    connection_use: ConnectionUse,
    /// Chunk that was read before it was asked for.
    peeked: Option<Bytes>,
    /// Memory of the connection's buffer.
    _buffer: MemoryGuard,
    pool: Arc<ConnectionPool>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits the buffers of the connections' sockets, in bytes.
    pub fn with_buffer_bytes(self, buffer_bytes: Option<usize>) -> Self {
        Self {
            buffer_bytes,
            ..self
        }
    }

    /// Holds the buffers of answers, which an upstream may fill, from an account.
    pub fn with_account(self, account: MemoryAccount) -> Self {
        Self { account, ..self }
    }

    /// Sends a request and returns its answer once the head is received. If a reused connection
    /// turns out to be closed before anything was sent, the request goes over another one.
    pub async fn send(
        self: &Arc<Self>,
        key: ConnectionKey,
        request: Request<Full<Bytes>>,
    ) -> Result<OpenAnswer> {
        let mut request = request;
        let mut buffer = self.account.guard(MemoryUse::Upstream);
        buffer.grow(socket::BUFFER_BYTES)?;
        while let Some(mut connection) = self.take_idle(&key) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.answer(key, connection, Reused, response, buffer),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::from(e.error())),
                },
            }
        }
        let mut connection = open(key.address, self.buffer_bytes).await?;
        metrics::counter!("connections_opened_total").increment(1);
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.answer(key, connection, Fresh, response, buffer),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::Unsent(e.error().to_string())),
                None => Err(SendError::from(e.error())),
            },
        }
    }

    /// Sends a request and reads its complete answer; a body over `max_bytes` is an error.
    pub async fn fetch(
        self: &Arc<Self>,
        key: ConnectionKey,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<(http::StatusCode, Bytes)> {
        let answer = self.send(key, request).await?;
        let status = answer.status();
        Ok((status, answer.read_all(max_bytes).await?))
    }

    /// Drops the idle connections to an owner.
    pub fn forget(&self, owner: &str) {
        let mut idle = self.idle.lock();
        idle.retain(|key, _| key.owner != owner);
    }

    /// Drops idle connections that have expired or are closed.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|_, connections| {
            connections.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Takes a response for the answer, unless its status is no final one.
    fn answer(
        self: &Arc<Self>,
        key: ConnectionKey,
        connection: OpenConnection,
        connection_use: ConnectionUse,
        response: Response<Incoming>,
        buffer: MemoryGuard,
    ) -> Result<OpenAnswer> {
        let status = response.status();
        if !is_final(status) {
            let why = format!("{} is no final status", status.as_u16());
            return Err(SendError::Broken(why));
        }
        Ok(OpenAnswer {
            response,
            key,
            connection,
            connection_use,
            peeked: None,
            _buffer: buffer,
            pool: self.clone(),
        })
    }

    fn take_idle(&self, key: &ConnectionKey) -> Option<OpenConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(key)?;
        while let Some(candidate) = connections.pop() {
            if now < candidate.until && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    fn keep(&self, key: ConnectionKey, connection: OpenConnection, idle_time: Duration) {
        let until = Instant::now() + idle_time;
        let mut idle = self.idle.lock();
        idle.entry(key)
            .or_default()
            .push(IdleConnection { connection, until });
    }
}

async fn open(address: SocketAddr, buffer_bytes: Option<usize>) -> Result<OpenConnection> {
    let unsent = |e: String| SendError::Unsent(e);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| unsent("connecting timed out".to_owned()))?
        .map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => SendError::Unreachable(e.to_string()),
            _ => unsent(e.to_string()),
        })?;
    let configured = socket::configure(&stream);
    let configured = configured.and_then(|()| socket::limit_buffers(&stream, buffer_bytes));
    configured.map_err(|e| unsent(e.to_string()))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(socket::BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unsent(e.to_string()))?;
    let task = tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!(
                "event=connection_ended address={address} error={:?}",
                e.to_string()
            );
        }
    });
    Ok(OpenConnection {
        sender,
        _task: ConnectionTask(task.abort_handle()),
    })
}

impl OpenAnswer {
    /// Status code.
    pub fn status(&self) -> http::StatusCode {
        self.response.status()
    }

    /// Headers.
    pub fn headers(&self) -> &http::HeaderMap {
        self.response.headers()
    }

    /// Whether the answer's connection was used by other requests before.
    pub fn connection_use(&self) -> ConnectionUse {
        self.connection_use
    }

    /// Whether the body has a length or chunks. Otherwise it ends with its connection, whether it is
    /// complete or not.
    pub fn is_framed(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// Whether the answer can be an event stream: a success that states no other type.
    pub fn may_be_events(&self) -> bool {
        let content_type = self.headers().get(CONTENT_TYPE);
        let is_other = content_type.is_some_and(|content_type| {
            let bytes = content_type.as_bytes();
            !bytes
                .get(..EVENT_STREAM.len())
                .is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
        });
        self.status().is_success() && !is_other
    }

    /// Waits for a chunk of the body, which [`Self::next_chunk`] returns next. Returns whether there
    /// is one.
    pub async fn peek_chunk(&mut self) -> Result<bool> {
        if self.peeked.is_none() {
            self.peeked = self.next_chunk().await?;
        }
        Ok(self.peeked.is_some())
    }

    /// Returns the next chunk of the body; `None` at its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        if let Some(chunk) = self.peeked.take() {
            return Ok(Some(chunk));
        }
        loop {
            match self.response.body_mut().frame().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(SendError::from(&e)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the complete body and returns the connection to the pool; a body over `max_bytes` is
    /// an error.
    pub async fn read_all(mut self, max_bytes: usize) -> Result<Bytes> {
        let mut buffer = Vec::new();
        while let Some(chunk) = self.next_chunk().await? {
            buffer.extend_from_slice(&chunk);
            if buffer.len() > max_bytes {
                return Err(SendError::Broken(
                    "the answer exceeds the size limit".to_owned(),
                ));
            }
        }
        self.finish();
        Ok(buffer.into())
    }

    /// Returns the connection to the pool. Must be called only after the end of the body.
    pub fn finish(self) {
        if let Some(idle_time) = reuse_timeout(self.response.headers()) {
            self.pool.keep(self.key, self.connection, idle_time);
        }
    }
}

/// Returns how long a connection may stay idle after an answer with these headers; `None` if it
/// must be closed.
pub fn reuse_timeout(headers: &http::HeaderMap) -> Option<Duration> {
    let mut options = headers.get_all(http::header::CONNECTION).into_iter();
    let closes = options.any(|value| {
        let options = value.to_str().unwrap_or_default().split(',');
        let mut options = options.map(str::trim);
        options.any(|option| option.eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let announced = text(http::HeaderName::from_static("keep-alive"));
    let seconds = announced.and_then(|value| {
        let timeout = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        timeout?.trim().parse::<u64>().ok()
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).checked_sub(IDLE_MARGIN),
        None => Some(DEFAULT_IDLE_TIMEOUT),
    }
}
