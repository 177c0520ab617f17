//! Runners: engines that stream events, and plain services.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use std::io::BufReader;

use crate::http::{self, Request, read_head, read_rest, write_answer};
use crate::record::Record;
use crate::store::Store;

/// Bytes from which a body is long.
const LONG_BODY: usize = 64 << 10;
/// Time between two entries of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a runner serves.
#[derive(Debug, Clone)]
pub struct Work {
    /// Events of a stream; 0 for a whole answer.
    pub events: u64,
    /// Time before the first event, or before the whole answer.
    pub first: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Bytes of an event's data.
    pub event_bytes: usize,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    slots: u64,
    born: u64,
    work: Work,
    running: AtomicU64,
    sequence: AtomicU64,
    /// Items or requests that began, by their id, with how often.
    pub runs: Mutex<BTreeMap<String, u64>>,
    record: Arc<Record>,
    /// Whether it answers before it has read a long body, which it reads later.
    pub answers_early: AtomicBool,
    /// Bodies of the requests that began, by their id.
    pub bodies: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl Runner {
    pub fn start(record: &Arc<Record>, id: &str, service: &str, slots: u64, work: Work) -> Arc<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a date");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots,
            born: born.as_millis() as u64,
            work,
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            record: record.clone(),
            answers_early: AtomicBool::new(false),
            bodies: Mutex::default(),
        });
        let served = runner.clone();
        http::spawn(move || served.accept(listener));
        runner
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let runner = self.clone();
            http::spawn(move || {
                let _ = runner.serve(stream);
            });
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(mut request) = read_head(&mut reader)? {
            let is_early = self.answers_early.load(Ordering::SeqCst) && request.length() >= LONG_BODY;
            if !is_early {
                read_rest(&mut reader, &mut request)?;
            }
            self.answer(&request, &mut stream)?;
            if is_early {
                read_rest(&mut reader, &mut request)?;
                self.record.line(&format!(
                    "runner {} has read the rest of {}, {} bytes, which begin with {:?}",
                    self.id,
                    request.header("x-request-id"),
                    request.body.len(),
                    String::from_utf8_lossy(&request.body[..request.body.len().min(60)])
                ));
            }
        }
        Ok(())
    }

    /// Writes the runner's entry now and then at each heartbeat.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        self.write_entry(store);
        let (runner, store) = (self.clone(), store.clone());
        http::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                runner.write_entry(&store);
            }
        });
    }

    fn write_entry(&self, store: &Store) {
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"sul-poa","version":"v1","slots":{},"state":"ready","coldRemainingMs":0,"seq":{},"born":{}}}"#,
            self.service,
            self.address,
            self.slots,
            self.sequence.fetch_add(1, Ordering::SeqCst),
            self.born
        );
        store.put("keyed.servers", &self.id, Some(&entry));
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let id = request.header("x-request-id").to_owned();
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots);
        let signature = format!("{}.{id}", self.id);
        let mut headers = vec![("X-Request-Id", id.as_str()), ("X-Server-Load", load.as_str())];
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            headers.push(("X-Not-Executed", "1"));
            return write_answer(stream, 421, &headers, b"");
        }
        if self.running.load(Ordering::SeqCst) >= self.slots {
            headers.push(("X-Not-Executed", "1"));
            return write_answer(stream, 503, &headers, b"");
        }
        headers.push(("X-Server-Signature", signature.as_str()));
        headers.push(("X-Weight-Versions", "1"));
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        self.bodies.lock().unwrap().insert(id.clone(), request.body.clone());
        let after = request.header("last-event-id").parse().unwrap_or(0);
        self.record.line(&format!(
            "run request={id} runner={} service={} path={} after={after} body_bytes={}",
            self.id,
            self.service,
            request.path(),
            request.body.len()
        ));
        self.running.fetch_add(1, Ordering::SeqCst);
        let work = &self.work;
        let served = match work.events {
            0 => {
                sleep(work.first);
                write_answer(stream, 200, &headers, format!("answer of {}", self.service).as_bytes())
            }
            events => self.stream(stream, &headers, (after, events), work),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        served
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        headers: &[(&str, &str)],
        (after, events): (u64, u64),
        work: &Work,
    ) -> io::Result<()> {
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        sleep(work.first);
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=events {
            if number > after + 1 {
                sleep(work.gap);
            }
            let data = format!("piece {number:0>width$}", width = work.event_bytes.saturating_sub(6));
            let event = format!("id: {number}\ndata: {data}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
