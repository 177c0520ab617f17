//! Accepts HTTP connections and serves calls on them, with a graceful shutdown.

use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::memory_budget;
use http::Request;
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::Answer;
use crate::caller_link::{self, ConnectionLimits, LinkPlace};
use crate::caller_stream::StreamBounds;
use crate::connection_slots::ConnectionSlots;
use crate::memory_account::MemoryAccount;

/// Limit on connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What all connections of a listener may take.
#[derive(Debug, Clone)]
pub struct ListenerBounds {
    /// Most connections.
    pub connections: usize,
    /// What each may take.
    pub stream: StreamBounds,
}

impl ListenerBounds {
    /// Creates the bounds of a machine with this memory, in bytes, and this many descriptors.
    pub fn new(memory_bytes: usize, max_fds: usize, account: MemoryAccount) -> Self {
        Self {
            connections: memory_budget::connection_limit(max_fds),
            stream: StreamBounds {
                account,
                buffer_bytes: memory_budget::socket_buffer_bytes(memory_bytes),
            },
        }
    }
}

impl Default for ListenerBounds {
    /// No limits.
    fn default() -> Self {
        Self {
            connections: usize::MAX,
            stream: StreamBounds::default(),
        }
    }
}

/// Result of binding a listener.
pub type Result<T> = std::io::Result<T>;

/// Binds a listener with address reuse.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves calls without a limit on the connections and their memory.
pub async fn serve<F, A>(
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits + Clone + Send + Sync + 'static,
    answer: F,
    connections: TaskTracker,
    stop: CancellationToken,
) where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let bounds = ListenerBounds::default();
    serve_within(listener, bounds, limits, answer, connections, stop).await;
}

/// Serves calls. Once the token is cancelled, no connection is accepted, open ones close after the
/// answer in progress, and the tracker waits for them.
pub async fn serve_within<F, A>(
    listener: TcpListener,
    bounds: ListenerBounds,
    limits: impl Fn() -> ConnectionLimits + Clone + Send + Sync + 'static,
    answer: F,
    connections: TaskTracker,
    stop: CancellationToken,
) where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let slots = Arc::new(ConnectionSlots::new(bounds.connections));
    let serve_one = |stream, caller, slot| {
        let (limits, answer, stop) = (limits.clone(), answer.clone(), stop.clone());
        let place = LinkPlace {
            slot,
            bounds: bounds.stream.clone(),
        };
        connections.spawn(caller_link::serve(
            stream, caller, place, limits, answer, stop,
        ));
    };
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, caller)) => serve_one(stream, caller, slots.take().await),
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets the connections in its queue.
    match take_queued(listener) {
        Ok(queued) => {
            for (stream, caller) in queued {
                serve_one(stream, caller, slots.take().await);
            }
        }
        Err(e) => log::warn!("event=accept_failed error={:?}", e.to_string()),
    }
}

/// Accepts the connections that wait for it, and closes the listener.
fn take_queued(listener: TcpListener) -> Result<Vec<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    let mut queued = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, caller)) => {
                stream.set_nonblocking(true)?;
                queued.push((TcpStream::from_std(stream)?, caller));
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(queued),
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                return Ok(queued);
            }
        }
    }
}
