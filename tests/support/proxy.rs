//! TCP proxy whose connections a test can cut, or whose requests it can hold back.

// Each test file is a crate of its own and uses only a part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Forwards connections to an address while it is open.
pub struct TestProxy {
    pub address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    held: Arc<watch::Sender<bool>>,
    task: JoinHandle<()>,
}

impl TestProxy {
    /// Starts an open proxy on a free port.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let open = Arc::new(watch::Sender::new(true));
        let held = Arc::new(watch::Sender::new(false));
        let forward = forward_connections(listener, target, open.clone(), held.clone());
        let task = tokio::spawn(forward);
        Self {
            address,
            open,
            held,
            task,
        }
    }

    /// Accepts connections again, or cuts all connections and accepts no more.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// Holds back what clients send, or lets it through. Answers always pass.
    pub fn hold_requests(&self, held: bool) {
        self.held.send_replace(held);
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
    held: Arc<watch::Sender<bool>>,
) {
    loop {
        let Ok((from, _)) = listener.accept().await else {
            return;
        };
        let mut state = open.subscribe();
        if !*state.borrow() {
            continue;
        }
        let held = held.subscribe();
        tokio::spawn(async move {
            let Ok(to) = TcpStream::connect(target).await else {
                return;
            };
            let (from_client, mut to_client) = from.into_split();
            let (mut from_target, to_target) = to.into_split();
            tokio::select! {
                _ = forward_requests(from_client, to_target, held) => {}
                _ = tokio::io::copy(&mut from_target, &mut to_client) => {}
                _ = state.wait_for(|open| !open) => {}
            }
        });
    }
}

/// Ends when either side ends, or when the proxy is dropped.
async fn forward_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut held: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 || held.wait_for(|held| !held).await.is_err() {
            return Ok(());
        }
        to.write_all(&buffer[..length]).await?;
    }
}
