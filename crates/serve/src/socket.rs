//! Options of every TCP connection.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Buffer of one HTTP connection in bytes: a head of the largest allowed size fits.
pub const BUFFER_BYTES: usize = 32 << 10;
/// Time without acknowledgement after which a connection is given up. Under the 3 s within which
/// an instance must recover from a silent connection.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first keep-alive probe, and time between probes; the platform's kernels
/// take whole seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const MAX_PROBES: u32 = 2;

/// Result of setting options.
pub type Result<T> = io::Result<T>;

/// Makes a connection that went silent fail, and sends small pieces at once.
pub fn configure(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
