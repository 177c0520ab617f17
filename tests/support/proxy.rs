//! TCP proxy whose connections a test can cut.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Forwards connections to an address while it is open.
pub struct TestProxy {
    pub address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    task: JoinHandle<()>,
}

impl TestProxy {
    /// Starts an open proxy on a free port.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let open = Arc::new(watch::Sender::new(true));
        let task = tokio::spawn(forward_connections(listener, target, open.clone()));
        Self {
            address,
            open,
            task,
        }
    }

    /// Accepts connections again, or cuts all connections and accepts no more.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

impl Drop for TestProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_connections(
    listener: TcpListener,
    target: SocketAddr,
    open: Arc<watch::Sender<bool>>,
) {
    loop {
        let Ok((mut from, _)) = listener.accept().await else {
            return;
        };
        let mut state = open.subscribe();
        if !*state.borrow() {
            continue;
        }
        tokio::spawn(async move {
            let Ok(mut to) = TcpStream::connect(target).await else {
                return;
            };
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut from, &mut to) => {}
                _ = state.wait_for(|open| !open) => {}
            }
        });
    }
}
