//! Accepts HTTP connections and serves calls on them, with a graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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
use crate::{panic_guard, socket};

/// Limit on connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Result of binding a listener.
pub type Result<T> = std::io::Result<T>;

/// Limits of accepted connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Size limit of a request's head, in bytes.
    pub head_bytes: usize,
    /// Longest wait for a request's head, also on an idle keep-alive connection.
    pub head_wait: Duration,
}

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

/// Serves calls. Once the token is cancelled, no connection is accepted, open ones close after the
/// answer in progress, and the tracker waits for them.
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
            Ok((stream, caller)) => {
                let served =
                    serve_connection(stream, caller, limits(), answer.clone(), stop.clone());
                connections.spawn(served);
            }
            Err(e) => {
                log::warn!("event=accept_failed error={:?}", e.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Calls of one connection.
#[derive(Debug, Default)]
struct CallCount {
    received: AtomicU64,
    answered: AtomicU64,
}

async fn serve_connection<F, A>(
    stream: TcpStream,
    caller: SocketAddr,
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
    let count = Arc::new(CallCount::default());
    let counted = count.clone();
    let service = service_fn(move |call| {
        let (answer, count) = (answer.clone(), counted.clone());
        async move {
            count.received.fetch_add(1, Ordering::Relaxed);
            let answer = panic_guard::contain_call(caller, async { answer(call).await }).await;
            count.answered.fetch_add(1, Ordering::Relaxed);
            Ok::<_, Infallible>(answer)
        }
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
        log_failed_connection(caller, &count, &e);
    }
}

/// Logs a connection that ended within a call. The ends of idle connections are many and lose nothing.
fn log_failed_connection(caller: SocketAddr, count: &CallCount, error: &hyper::Error) {
    let received = count.received.load(Ordering::Relaxed);
    let answered = count.answered.load(Ordering::Relaxed);
    let (is_timeout, error) = (error.is_timeout(), error.to_string());
    let level = match received > answered || !is_timeout {
        true => log::Level::Info,
        false => log::Level::Debug,
    };
    log::log!(
        level,
        "event=connection_failed caller={caller} received={received} answered={answered} timeout={is_timeout} error={error:?}"
    );
}
