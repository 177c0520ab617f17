//! A model runner. A scenario may replace its answers to some requests.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::record::Record;

/// Requests that a runner works on at once.
pub const SLOTS: usize = 8;
/// Events of every answer, and the time between two of them.
pub const EVENTS: u64 = 20;
const GAP: Duration = Duration::from_millis(30);

/// Answers a request in place of the runner; `None` leaves it to the runner.
pub type Replacement =
    Box<dyn Fn(&Request, &str, &mut TcpStream) -> Option<io::Result<()>> + Send + Sync>;

/// A request that reached a runner and ran there.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub until: Option<Instant>,
}

pub struct Runner {
    pub id: String,
    record: Record,
    replacement: Replacement,
    /// Whether the replacement is in use.
    pub is_replaced: AtomicBool,
    running: AtomicUsize,
    pub runs: Mutex<Vec<Run>>,
}

impl Runner {
    pub fn start(id: &str, record: &Record, replacement: Replacement) -> (Arc<Self>, SocketAddr) {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            record: record.clone(),
            replacement,
            is_replaced: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
        });
        let served = runner.clone();
        let address = http::serve(move |request, stream| served.answer(&request, stream));
        (runner, address)
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if request.path == "/health" {
            return http::write_answer(stream, 200, &[("x-instance-id", &self.id)], b"");
        }
        let Some(id) = request.header("x-request-id") else {
            return http::write_answer(stream, 400, &[("x-not-executed", "1")], b"");
        };
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let headers = [
                ("x-request-id", id),
                ("x-instance-id", &self.id),
                ("x-not-executed", "1"),
            ];
            return http::write_answer(stream, 421, &headers, b"");
        }
        let is_replaced = self.is_replaced.load(Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let answered = match running >= SLOTS {
            true => refuse(id, stream),
            false => {
                let replaced = is_replaced
                    .then(|| (self.replacement)(request, id, stream))
                    .flatten();
                replaced.unwrap_or_else(|| self.run(request, id, stream))
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        answered
    }

    /// Works on a request and sends its events.
    fn run(&self, request: &Request, id: &str, stream: &mut TcpStream) -> io::Result<()> {
        let after: u64 = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let index = self.record_start(id, after);
        let sent = send_events(id, after, stream);
        self.record_end(index, &sent);
        sent
    }

    pub fn record_start(&self, id: &str, after: u64) -> usize {
        self.record
            .note(format!("run runner={} request={id} after={after}", self.id));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            request: id.to_owned(),
            until: None,
        });
        runs.len() - 1
    }

    fn record_end(&self, index: usize, sent: &io::Result<()>) {
        let mut runs = self.runs.lock().unwrap();
        runs[index].until = Some(Instant::now());
        if let Err(e) = sent {
            self.record.note(format!(
                "run-broken runner={} request={} error={e}",
                self.id, runs[index].request
            ));
        }
    }
}

/// Says that a request was not run as there is no room for it.
pub fn refuse(id: &str, stream: &mut TcpStream) -> io::Result<()> {
    http::write_answer(
        stream,
        503,
        &[("x-request-id", id), ("x-not-executed", "1")],
        b"",
    )
}

/// Begins the answer to a request that runs.
pub fn begin(id: &str, stream: &mut TcpStream) -> io::Result<()> {
    let headers = [
        ("x-request-id", id),
        ("x-server-signature", "signed"),
        ("content-type", "text/event-stream"),
    ];
    http::write_chunked_head(stream, 200, &headers)
}

fn send_events(id: &str, after: u64, stream: &mut TcpStream) -> io::Result<()> {
    begin(id, stream)?;
    for number in after + 1..=EVENTS {
        thread::sleep(GAP);
        http::write_chunk(stream, event(id, number).as_bytes())?;
    }
    http::write_chunk(stream, b"")
}

/// Sends the same bytes in chunks, at a rate, until the caller closes.
pub fn send_without_end(
    id: &str,
    junk: &[u8],
    bytes_per_s: u64,
    stream: &mut TcpStream,
) -> io::Result<()> {
    begin(id, stream)?;
    let (started, mut sent) = (Instant::now(), 0);
    loop {
        http::write_chunk(stream, junk)?;
        sent += junk.len() as u64;
        let due = Duration::from_secs_f64(sent as f64 / bytes_per_s as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
}

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}

/// Whole output of an item.
pub fn output(id: &str) -> String {
    let lines: Vec<_> = (1..=EVENTS)
        .map(|number| format!("{id}-{number}"))
        .collect();
    lines.join("\n")
}

/// Whole body of an answer.
pub fn body(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}
