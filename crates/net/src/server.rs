//! HTTP server that runs until its cancellation token is cancelled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::{fmt, io};

use futures_util::FutureExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};
use volo_http::server::{Router, Server};

/// Result of starting a server.
pub type Result<T> = io::Result<T>;

/// Callback that gets the client's address of each accepted connection.
pub type AcceptHook = Arc<dyn Fn(SocketAddr) + Send + Sync>;

/// Accepts connections until its token is cancelled, then closes the listener.
struct StoppableIncoming {
    listener: Option<TcpListener>,
    on_accept: Option<AcceptHook>,
    stop: CancellationToken,
}

impl fmt::Debug for StoppableIncoming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("StoppableIncoming");
        debug.field("listener", &self.listener).finish()
    }
}

impl Incoming for StoppableIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        if let Some(listener) = &self.listener {
            let accepted = tokio::select! {
                accepted = listener.accept() => Some(accepted),
                () = self.stop.cancelled() => None,
            };
            if let Some(accepted) = accepted {
                let (stream, peer) = accepted?;
                stream.set_nodelay(true)?;
                if let Some(on_accept) = &self.on_accept {
                    on_accept(peer);
                }
                return Ok(Some(Conn::from(stream)));
            }
        }
        // The server calls `accept` again whatever this returns, so never return after the stop.
        self.listener = None;
        std::future::pending().await
    }
}

impl MakeIncoming for StoppableIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

/// Opens a listener on this address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves until the token is cancelled. Signals do not stop the server directly: the process
/// cancels the token when its own requests are done.
pub async fn serve(listener: TcpListener, router: Router, stop: CancellationToken) {
    serve_with(listener, router, stop, None).await;
}

/// Serves like [`serve`] and calls the hook for each accepted connection.
pub async fn serve_with(
    listener: TcpListener,
    router: Router,
    stop: CancellationToken,
    on_accept: Option<AcceptHook>,
) {
    let incoming = StoppableIncoming {
        listener: Some(listener),
        on_accept,
        stop: stop.clone(),
    };
    let shutdown_token = stop.clone();
    let mut server = Server::new(router)
        .register_shutdown_hook(move || async move { shutdown_token.cancelled().await }.boxed());
    // A caller may close its sending side and still read the response.
    server.http1_config().set_half_close(true);
    tokio::select! {
        result = server.run(incoming) => {
            if let Err(e) = result {
                log::error!("event=server_failed error={:?}", e.to_string());
            }
        }
        () = stop.cancelled() => {}
    }
}
