//! Requests over raw TCP, for what no client library sends.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// What a sender does after its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterSend {
    /// Waits for the answer with the connection open.
    Wait,
    /// Ends its sending side and waits for the answer.
    HalfClose,
    /// Closes the connection at once.
    Leave,
}

/// An answer as it came.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: Value,
}

/// Sends bytes and reads one answer; `None` if the connection ended without one.
pub fn send(address: SocketAddr, bytes: &[u8], after: AfterSend) -> Option<RawAnswer> {
    let mut stream = TcpStream::connect(address).expect("the instance listens");
    stream
        .set_read_timeout(Some(ANSWER_LIMIT))
        .expect("a limit");
    // Many clients do not look for an answer once sending has failed.
    stream.write_all(bytes).ok()?;
    match after {
        AfterSend::Wait => {}
        AfterSend::HalfClose => _ = stream.shutdown(Shutdown::Write),
        AfterSend::Leave => return None,
    }
    read_answer(&mut stream)
}

/// A request with these header lines and this body.
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
    let mut piece = [0; 4_096];
    loop {
        if let Some(answer) = parse_answer(&received) {
            return Some(answer);
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(len) => received.extend_from_slice(&piece[..len]),
        }
    }
}

/// The answer, once all of it is there.
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
