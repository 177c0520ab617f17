//! A small HTTP/1.1 server and client on blocking sockets.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Stack of a connection's thread, in bytes; there may be a few hundred.
const THREAD_STACK: usize = 256 << 10;

/// A request that was read whole.
#[derive(Debug, Clone)]
pub struct Request {
    /// Path and query as sent.
    pub target: String,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target.split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Length that the head announces.
    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head is cut off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no colon"))?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the chunks are cut off"));
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk size"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        read_chunks(reader, &mut body)?;
    } else if let Some(length) = headers.get("content-length") {
        body.resize(length.parse().map_err(|_| invalid("content-length"))?, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads the head of a request, after empty lines; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    while line.trim().is_empty() {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    Ok(Some(Request { target, headers, body: Vec::new() }))
}

/// Reads the body that follows a head.
pub fn read_rest(reader: &mut impl BufRead, request: &mut Request) -> io::Result<()> {
    request.body = read_body(reader, &request.headers)?;
    Ok(())
}

/// Reads a whole request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(mut request) = read_head(reader)? else {
        return Ok(None);
    };
    read_rest(reader, &mut request)?;
    Ok(Some(request))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Serves each connection on a thread until `answer` fails or the peer ends it.
pub fn serve_on<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            spawn(move || {
                let _ = serve_connection(stream, answer.as_ref());
            });
        }
    });
}

fn serve_connection<F>(mut stream: TcpStream, answer: &F) -> io::Result<()>
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<()>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        answer(&request, &mut stream)?;
    }
    Ok(())
}

pub fn spawn(work: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(THREAD_STACK);
    thread.spawn(work).expect("a thread");
}

fn read_length(reader: &mut impl BufRead, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
    while body.len() < length {
        let piece = reader.fill_buf()?;
        if piece.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let taken = piece.len().min(length - body.len());
        body.extend_from_slice(&piece[..taken]);
        reader.consume(taken);
    }
    Ok(())
}

/// An answer as a client saw it. `complete` tells whether its body ended as announced.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a connection of its own and reads the answer; an error if none came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    call_paced(address, method, target, headers, body, limit, Duration::ZERO)
}

/// Bytes that a paced client reads at once.
const PACE_BYTES: usize = 64 << 10;

/// A stream that is read with a pause before each read.
struct PacedStream {
    stream: TcpStream,
    pause: Duration,
}

impl Read for PacedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        thread::sleep(self.pause);
        self.stream.read(buffer)
    }
}

/// As [`call`], with a pause before each read of up to 64 KiB.
pub fn call_paced(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    pause: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::with_capacity(PACE_BYTES, PacedStream { stream, pause });
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(invalid("closed without an answer"));
    }
    let status = line.split_whitespace().nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| invalid("no status"))?;
    let headers = read_headers(&mut reader)?;
    let mut body = Vec::new();
    let is_chunked = headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let complete = match (is_chunked, headers.get("content-length")) {
        (true, _) => read_chunks(&mut reader, &mut body).is_ok(),
        (false, Some(length)) => {
            let length: usize = length.parse().map_err(|_| invalid("content-length"))?;
            read_length(&mut reader, length, &mut body).is_ok()
        }
        (false, None) => reader.read_to_end(&mut body).is_ok(),
    };
    Ok(Answer { status, headers, body, complete })
}
