//! Accepts connections and serves calls on them, until told to stop.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::Answer;
use crate::socket;

/// New connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, mostly for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Result of opening a listener.
pub type Result<T> = std::io::Result<T>;

/// Bounds of the connections that are accepted.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Most bytes of a head.
    pub head_bytes: usize,
    /// Longest wait for a head, also on a kept connection.
    pub head_wait: Duration,
}

/// Opens a listener.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves calls. Once the token is cancelled no connection is accepted, those that are open end
/// with the answer that they are at, and the tracker tells when they have.
pub async fn serve<F, A>(
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    answer: F,
    connections: TaskTracker,
    stop: CancellationToken,
) where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, _)) => {
                let served = serve_connection(stream, limits(), answer.clone(), stop.clone());
                connections.spawn(served);
            }
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F, A>(
    stream: TcpStream,
    limits: ConnectionLimits,
    answer: F,
    stop: CancellationToken,
) where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    if let Err(e) = socket::configure(&stream) {
        log::debug!("event=connection_setup_failed error={:?}", e.to_string());
        return;
    }
    let service = service_fn(move |call| {
        let answer = answer.clone();
        async move { Ok::<_, Infallible>(answer(call).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_wait)
        .max_buf_size(limits.head_bytes.max(socket::BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("event=connection_ended error={:?}", e.to_string());
    }
}
