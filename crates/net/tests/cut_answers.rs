//! Responses that end before they are whole.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(20));
const ANSWERS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nx-a: b\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
];

/// Sends a text after the head of a request, and closes the connection.
async fn start_server(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut head).await.unwrap() > 0, "a request");
        }
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
    });
    address
}

/// Guards against a server that stops within its response's head, or body, and closes: the response
/// must not look whole.
#[tokio::test]
async fn responses_that_are_cut_anywhere_are_failures() {
    for answer in ANSWERS {
        for cut in 0..=answer.len() {
            let address = start_server(answer[..cut].to_owned()).await;
            let client = HttpClient::new(Duration::from_secs(5));
            let fetched = client.fetch(HttpCall::get(address, "/"), LIMITS).await;
            let body = fetched.ok().map(|(_, body)| body);
            let expected = (cut == answer.len()).then_some(&b"abc"[..]);
            assert_eq!(body.as_deref(), expected, "after {:?}", &answer[..cut]);
        }
    }
}
