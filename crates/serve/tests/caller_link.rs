//! Time limits of callers' connections, with calls that take long for a reason of the caller.

use std::time::Duration;

use amaranth_serve::answer::plain;
use amaranth_serve::caller_link::ConnectionLimits;
use amaranth_serve::listener;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const IDLE_TIME: Duration = Duration::from_millis(300);
/// Body that doesn't fit into the buffers of the two kernels.
const LARGE_BODY: usize = 32 << 20;

#[tokio::test]
async fn answers_outlast_the_idle_limit_while_the_caller_does_not_read() {
    let listener = listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = || ConnectionLimits {
        head_bytes: 16 << 10,
        head_wait: IDLE_TIME,
        idle_wait: IDLE_TIME,
    };
    let answer = |_| async { plain(StatusCode::OK, vec![b'x'; LARGE_BODY]) };
    let (connections, stop) = (TaskTracker::new(), CancellationToken::new());
    tokio::spawn(listener::serve(listener, limits, answer, connections, stop));
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    sleep(IDLE_TIME * 5).await;
    let mut received = Vec::new();
    let read = caller.read_to_end(&mut received);
    timeout(Duration::from_secs(20), read)
        .await
        .expect("the connection is closed when it is idle")
        .unwrap();
    assert!(received.len() > LARGE_BODY, "{}", received.len());
}
