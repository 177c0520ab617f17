//! Options set on every TCP connection.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Buffer of an HTTP connection in bytes, which holds a head of the largest allowed size.
pub const BUFFER_BYTES: usize = 32 << 10;
/// Time after which a connection with unacknowledged data fails. Below the 3 s within which an
/// instance must recover from a silent connection.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first keep-alive probe, and time between probes. The platform's kernels
/// accept only whole seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection fails.
const MAX_PROBES: u32 = 2;

/// Result of setting socket options.
pub type Result<T> = io::Result<T>;

/// Makes a silent connection fail in time, and disables Nagle's algorithm.
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

/// Limits the buffers in which the kernel keeps what isn't read yet, and what the other side hasn't received.
/// The kernel takes up to twice the size. Without one, it chooses by itself, up to several MB.
pub fn limit_buffers(stream: &TcpStream, buffer_bytes: Option<usize>) -> Result<()> {
    let Some(bytes) = buffer_bytes else {
        return Ok(());
    };
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)
}
