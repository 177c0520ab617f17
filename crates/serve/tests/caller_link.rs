//! Time limits of callers' connections, with calls that take long for a reason of the caller, and what they hold
//! while they are idle.

use std::time::Duration;

use amaranth_kernel::memory_budget::{MemoryBudget, MemoryPool};
use amaranth_serve::answer::plain;
use amaranth_serve::caller_link::ConnectionLimits;
use amaranth_serve::caller_stream::StreamBounds;
use amaranth_serve::listener::{self, ListenerBounds};
use amaranth_serve::memory_account::MemoryAccount;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const LONG_TIME: Duration = Duration::from_secs(20);
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

/// Guards against kept connections that hold the memory of each head they ever sent (review/12): they filled the
/// account, and every answer that had to wait was cut.
#[tokio::test]
async fn idle_connections_hold_no_memory_of_earlier_requests() {
    let account = MemoryAccount::new(MemoryBudget::new(100 << 20));
    let bounds = ListenerBounds {
        stream: StreamBounds {
            account: account.clone(),
            buffer_bytes: None,
        },
        ..ListenerBounds::default()
    };
    let listener = listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = || ConnectionLimits {
        head_bytes: 16 << 10,
        head_wait: LONG_TIME,
        idle_wait: LONG_TIME,
    };
    let answer = |_| async { plain(StatusCode::OK, "ok") };
    let (connections, stop) = (TaskTracker::new(), CancellationToken::new());
    let serve = listener::serve_within(listener, bounds, limits, answer, connections, stop);
    tokio::spawn(serve);
    let held = || account.held(MemoryPool::Connections);
    let head = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx-own: {}\r\n\r\n",
        "x".repeat(1_000)
    );
    let half = head.len() / 2;
    let mut caller = TcpStream::connect(address).await.unwrap();
    let mut buffer = vec![0; 4_096];
    for cut in [head.len(), half, head.len(), 1] {
        caller.write_all(&head.as_bytes()[..cut]).await.unwrap();
        if cut < head.len() {
            sleep(IDLE_TIME).await;
            assert_eq!(held(), cut, "an incomplete head is held");
            caller.write_all(&head.as_bytes()[cut..]).await.unwrap();
        }
        let received = timeout(LONG_TIME, caller.read(&mut buffer)).await.unwrap();
        assert!(received.unwrap() > 0);
        sleep(IDLE_TIME).await;
        assert_eq!(held(), 0, "an idle connection holds nothing");
    }
    drop(caller);
}
