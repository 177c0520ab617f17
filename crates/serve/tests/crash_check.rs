//! Upstreams that have crashed, and others that only end connections.

use std::net::SocketAddr;

use amaranth_serve::crash_check::has_crashed;
use tokio::net::TcpListener;

/// What happens at the address.
#[derive(Clone, Copy, Debug)]
enum Upstream {
    /// Nothing listens.
    Gone,
    /// Accepts one connection, then its listener and the connection are closed.
    Ending,
    /// Accepts connections and closes them at once.
    Full,
    /// Accepts connections and keeps them.
    Serving,
}

async fn start(upstream: Upstream) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    match upstream {
        Upstream::Gone => drop(listener),
        Upstream::Ending => {
            tokio::spawn(async move {
                let accepted = listener.accept().await;
                drop(listener);
                drop(accepted);
            });
        }
        Upstream::Full => {
            tokio::spawn(async move {
                while let Ok(accepted) = listener.accept().await {
                    drop(accepted);
                }
            });
        }
        Upstream::Serving => {
            tokio::spawn(async move {
                let mut kept = Vec::new();
                while let Ok(accepted) = listener.accept().await {
                    kept.push(accepted);
                }
            });
        }
    }
    address
}

#[tokio::test]
async fn only_an_upstream_that_stops_listening_has_crashed() {
    let cases = [
        (Upstream::Gone, true),
        (Upstream::Ending, true),
        (Upstream::Full, false),
        (Upstream::Serving, false),
    ];
    for (upstream, crashed) in cases {
        let address = start(upstream).await;
        assert_eq!(has_crashed(address).await, crashed, "{upstream:?}");
    }
}
