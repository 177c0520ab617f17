//! The client must not resend a request on its own, because the first copy may have run.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(5));
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const BODY: &str = "call-17";

/// When a connection is closed after its first answer.
#[derive(Clone, Copy)]
enum CloseAt {
    /// As soon as the second request has been read.
    SecondRequest,
    /// Shortly after the response, while the client believes that the connection is open.
    Idle,
}

/// Responds to the first request on each connection, then closes it without another response.
/// Counts the requests whose body was received completely.
async fn serve(listener: TcpListener, seen: Arc<AtomicUsize>, close: CloseAt) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_one(stream, seen.clone(), close));
    }
}

async fn serve_one(mut stream: TcpStream, seen: Arc<AtomicUsize>, close: CloseAt) {
    read_request(&mut stream, &seen).await;
    let _ = stream.write_all(ANSWER).await;
    match close {
        CloseAt::Idle => sleep(Duration::from_millis(20)).await,
        CloseAt::SecondRequest => read_request(&mut stream, &seen).await,
    }
}

async fn read_request(stream: &mut TcpStream, seen: &AtomicUsize) {
    let mut text = Vec::new();
    while !text.ends_with(BODY.as_bytes()) {
        match stream.read_buf(&mut text).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    seen.fetch_add(1, Ordering::SeqCst);
}

/// Sends two requests with a pause between them. Returns the number of responses to the second one
/// and the number of requests that the server received.
async fn send_two_requests(close: CloseAt, pause: Duration) -> (usize, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let seen = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve(listener, seen.clone(), close));
    let client = HttpClient::new(Duration::from_secs(1));
    let call = || HttpCall::post(address, "/quote").with_body(BODY);
    client
        .fetch(call(), LIMITS)
        .await
        .expect("the first answer");
    sleep(pause).await;
    let answers = client.fetch(call(), LIMITS).await.iter().count();
    sleep(Duration::from_millis(100)).await;
    (answers, seen.load(Ordering::SeqCst))
}

#[tokio::test]
async fn a_request_is_not_resent_when_its_connection_closes() {
    let (answers, seen) = send_two_requests(CloseAt::SecondRequest, Duration::ZERO).await;
    assert_eq!((answers, seen), (0, 2));
}

/// The server closes the connection at about the time when the client takes it from its pool.
#[tokio::test]
async fn a_request_reaches_the_server_at_most_once_on_a_closing_connection() {
    for pause_ms in [0, 10, 18, 19, 20, 21, 22, 40] {
        let pause = Duration::from_millis(pause_ms);
        let (answers, seen) = send_two_requests(CloseAt::Idle, pause).await;
        assert_eq!(seen, 1 + answers, "pause of {pause_ms} ms");
    }
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let client = HttpClient::new(Duration::from_secs(1));
    let result = client.fetch(HttpCall::get(address, "/"), LIMITS).await;
    assert!(result.expect_err("nothing listens").is_unsent());
}
