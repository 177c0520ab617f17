//! Sends requests over raw TCP that no client library would send.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Read timeout of the connection.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// Action of the sender after its bytes are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterSend {
    /// Keeps the connection open and waits for the answer.
    Wait,
    /// Shuts down the sending side and waits for the answer.
    HalfClose,
    /// Closes the connection without reading.
    Disconnect,
}

/// Parsed HTTP answer; the head is in lower case.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: Value,
}

/// Sends bytes and reads one answer; `None` if the connection closed first.
pub fn send(address: SocketAddr, bytes: &[u8], after: AfterSend) -> Option<RawAnswer> {
    let mut stream = TcpStream::connect(address).expect("the instance listens");
    stream
        .set_read_timeout(Some(ANSWER_LIMIT))
        .expect("a limit");
    // Many clients do not read the answer after a failed write.
    stream.write_all(bytes).ok()?;
    match after {
        AfterSend::Wait => {}
        AfterSend::HalfClose => _ = stream.shutdown(Shutdown::Write),
        AfterSend::Disconnect => return None,
    }
    read_answer(&mut stream)
}

/// Builds an HTTP/1.1 request.
pub fn request(line: &str, headers: &[&str], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "{line} HTTP/1.1\r\nhost: test\r\ncontent-length: {}\r\n",
        body.len()
    );
    for header in headers {
        head += header;
        head += "\r\n";
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn read_answer(stream: &mut TcpStream) -> Option<RawAnswer> {
    let mut received = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        if let Some(answer) = parse_answer(&received) {
            return Some(answer);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(len) => received.extend_from_slice(&chunk[..len]),
        }
    }
}

/// Parses the answer once it is complete.
fn parse_answer(received: &[u8]) -> Option<RawAnswer> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.unwrap_or("0").trim().parse().ok()?;
    if body.len() < length {
        return None;
    }
    let body = serde_json::from_str(body).unwrap_or(Value::Null);
    Some(RawAnswer { status, head, body })
}
