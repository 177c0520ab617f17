//! A panic in the task of one call.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_serve::answer::{Answer, BrokenBody, plain, relay_answer};
use amaranth_serve::batch::replica::JobReplica;
use amaranth_serve::caller_link::ConnectionLimits;
use amaranth_serve::listener;
use amaranth_serve::panic_guard::TaskGuard;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Request, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Answers `/panic` with a panic, `/stream` with one in the middle of a stream, and all else with 200.
async fn answer(call: Request<Incoming>) -> Answer {
    match call.uri().path() {
        "/panic" => panic!("the call panics"),
        "/late-panic" => {
            tokio::task::yield_now().await;
            panic!("the call panics after an await")
        }
        "/stream" => {
            let events = stream::unfold(0, |sent| async move {
                tokio::time::sleep(Duration::from_millis(20)).await;
                assert!(sent < 2, "the stream panics");
                let event = Frame::data(Bytes::from_static(b"data: x\n\n"));
                Some((Ok::<_, BrokenBody>(event), sent + 1))
            });
            let body = StreamBody::new(events).boxed_unsync();
            relay_answer(StatusCode::OK, HeaderMap::new(), body)
        }
        _ => plain(StatusCode::OK, "fine"),
    }
}

fn start() -> (SocketAddr, TaskTracker) {
    start_with(answer)
}

fn start_with<F, A>(answer: F) -> (SocketAddr, TaskTracker)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let listener = listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = || ConnectionLimits {
        head_bytes: 16 << 10,
        head_wait: Duration::from_secs(30),
        idle_wait: Duration::from_secs(30),
    };
    let connections = TaskTracker::new();
    let stop = CancellationToken::new();
    tokio::spawn(listener::serve(
        listener,
        limits,
        answer,
        connections.clone(),
        stop,
    ));
    (address, connections)
}

async fn send(connection: &mut TcpStream, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    connection.write_all(head.as_bytes()).await.unwrap();
}

/// Reads until the text ends the bytes received, or the connection is closed.
async fn read_until(connection: &mut TcpStream, end: &str) -> String {
    let mut received = Vec::new();
    while !received.ends_with(end.as_bytes()) {
        let mut buffer = [0; 1024];
        match connection.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
        }
    }
    String::from_utf8(received).unwrap()
}

#[tokio::test]
async fn a_call_that_panics_is_answered_and_its_connection_serves_the_next() {
    for path in ["/panic", "/late-panic"] {
        let (address, _) = start();
        let mut connection = TcpStream::connect(address).await.unwrap();
        send(&mut connection, path).await;
        let received = read_until(&mut connection, "failed").await;
        assert!(received.starts_with("HTTP/1.1 502"), "{path}: {received:?}");
        send(&mut connection, "/").await;
        let received = read_until(&mut connection, "fine").await;
        assert!(received.starts_with("HTTP/1.1 200"), "{path}: {received:?}");
    }
}

#[tokio::test]
async fn a_stream_that_panics_does_not_look_complete() {
    let (address, connections) = start();
    let mut connection = TcpStream::connect(address).await.unwrap();
    send(&mut connection, "/stream").await;
    let received = read_until(&mut connection, "0\r\n\r\n").await;
    assert!(received.contains("data: x"), "{received:?}");
    assert!(!received.ends_with("0\r\n\r\n"), "{received:?}");
    let mut other = TcpStream::connect(address).await.unwrap();
    send(&mut other, "/").await;
    assert!(read_until(&mut other, "fine").await.ends_with("fine"));
    drop(other);
    connections.close();
    connections.wait().await;
}

#[tokio::test]
async fn a_background_task_that_panics_does_not_end_unnoticed() {
    let guard = TaskGuard::new();
    guard.spawn("sound", async {});
    guard.spawn("waiting", std::future::pending());
    tokio::task::yield_now().await;
    assert!(!guard.panicked.is_cancelled());
    guard.spawn("panicking", async { panic!("the task panics") });
    guard.panicked.cancelled().await;
    assert_eq!(guard.tasks.len(), 1, "the other tasks go on");
}

/// A lock that is held during a panic is free again, for calls and for other tasks.
#[tokio::test]
async fn a_panic_while_a_lock_is_held_does_not_end_later_calls() {
    let replica = Arc::new(JobReplica::new());
    let reads = replica.clone();
    let answer = move |call: Request<Incoming>| {
        let replica = reads.clone();
        async move {
            let panics = call.uri().path() == "/panic";
            replica.with_table(|_| assert!(!panics, "the call panics"));
            plain(StatusCode::OK, "fine")
        }
    };
    let (address, _) = start_with(answer);
    for path in ["/", "/panic", "/", "/panic", "/"] {
        let mut connection = TcpStream::connect(address).await.unwrap();
        send(&mut connection, path).await;
        let expected = if path == "/" { "fine" } else { "failed" };
        let received = read_until(&mut connection, expected).await;
        assert!(received.ends_with(expected), "{path}: {received:?}");
    }
    assert!(!replica.is_loaded());
}
