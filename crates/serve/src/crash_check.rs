//! Tells a crashed upstream from one that only ended a connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection_pool::CONNECT_TIMEOUT;

/// Time in which a process that ends closes its listener and the connections that it has accepted.
const CLOSE_TIME: Duration = Duration::from_millis(30);
/// Connections that are tried: a process that ends may still accept the first one.
const MAX_CONNECTIONS: u32 = 2;

/// Whether nothing listens at an address any more. An upstream that limits its connections may close
/// new ones at once, but goes on accepting.
pub async fn has_crashed(address: SocketAddr) -> bool {
    for _ in 0..MAX_CONNECTIONS {
        match check_once(address).await {
            CheckStep::Crashed => return true,
            CheckStep::Serving => return false,
            CheckStep::Unclear => {}
        }
    }
    false
}

enum CheckStep {
    /// Nothing listens.
    Crashed,
    /// The connection stays open.
    Serving,
    /// The connection was closed at once, or could not be opened in time.
    Unclear,
}

async fn check_once(address: SocketAddr) -> CheckStep {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => CheckStep::Crashed,
        Ok(Ok(stream)) => match is_closed_soon(stream).await {
            true => CheckStep::Unclear,
            false => CheckStep::Serving,
        },
        Ok(Err(_)) | Err(_) => CheckStep::Unclear,
    }
}

async fn is_closed_soon(mut stream: TcpStream) -> bool {
    let read = timeout(CLOSE_TIME, stream.read_u8()).await;
    matches!(read, Ok(Err(_)))
}
