//! A stand-in for a model runner: streams events after a prefill, and can crash and start again.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;

/// Time for which an idle connection is kept, in seconds.
const KEEP_ALIVE_S: u64 = 60;

/// How a runner answers.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Requests at once; further ones are refused as not run.
    pub slots: u64,
    /// Time from a request to its first event.
    pub prefill: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Events of a whole answer.
    pub events: u64,
}

/// One incarnation's sockets.
#[derive(Default)]
struct Life {
    up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Connections so far, and the first of them that isn't silent.
    opened: AtomicU64,
    first_heard: AtomicU64,
}

/// A request that a runner works on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// Its id.
    pub id: String,
    /// Events sent so far.
    pub events: u64,
}

/// A runner.
pub struct Runner {
    /// Its id in the store.
    pub id: String,
    /// Where it listens while it is up.
    pub address: SocketAddr,
    pace: Pace,
    record: Arc<Record>,
    life: Mutex<Arc<Life>>,
    running: Mutex<Vec<(u64, Running)>>,
    next: AtomicU64,
    /// Whose requests it ran, and when.
    tenants: Mutex<Vec<(Duration, String)>>,
}

impl Runner {
    /// Starts a runner.
    pub fn start(id: &str, pace: Pace, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let runner = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            pace,
            record,
            life: Mutex::default(),
            running: Mutex::default(),
            next: AtomicU64::new(0),
            tenants: Mutex::default(),
        });
        runner.listen(listener);
        runner
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let life = Arc::new(Life::default());
        life.up.store(true, Ordering::SeqCst);
        *self.life.lock().unwrap() = life.clone();
        listener.set_nonblocking(true).unwrap();
        let runner = self.clone();
        thread::spawn(move || {
            while life.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                life.connections
                    .lock()
                    .unwrap()
                    .push(stream.try_clone().unwrap());
                let (runner, life) = (runner.clone(), life.clone());
                thread::spawn(move || runner.serve(stream, &life));
            }
        });
    }

    /// Ends the process: nothing listens any more, and all connections end.
    pub fn crash(&self) {
        self.record.write(&format!(
            "runner {} crashes with {:?}",
            self.id,
            self.running()
        ));
        let life = self.life.lock().unwrap().clone();
        life.up.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for connection in life.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts again at the same address, without any memory.
    pub fn restart(self: &Arc<Self>) {
        let listener = (0..200).find_map(|_| {
            thread::sleep(Duration::from_millis(10));
            TcpListener::bind(self.address).ok()
        });
        self.listen(listener.expect("the runner's address is free"));
        self.record
            .write(&format!("runner {} is up again", self.id));
    }

    /// Makes all open connections silent for good, in both directions. New ones work. Returns their number.
    pub fn silence_connections(&self) -> usize {
        let life = self.life.lock().unwrap().clone();
        let opened = life.opened.load(Ordering::SeqCst);
        life.first_heard.store(opened, Ordering::SeqCst);
        life.connections.lock().unwrap().len()
    }

    /// Requests that it works on.
    pub fn running(&self) -> Vec<Running> {
        let running = self.running.lock().unwrap();
        running.iter().map(|(_, running)| running.clone()).collect()
    }

    /// Whose requests it ran, and when.
    pub fn tenants(&self) -> Vec<(Duration, String)> {
        self.tenants.lock().unwrap().clone()
    }

    /// Number of requests that it began to run.
    pub fn starts(&self) -> usize {
        self.next.load(Ordering::Relaxed) as usize
    }

    fn serve(&self, stream: TcpStream, life: &Life) {
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        let number = life.opened.fetch_add(1, Ordering::SeqCst);
        while let Ok(request) = http::read(&mut reader) {
            if number < life.first_heard.load(Ordering::SeqCst) {
                // What still arrives on a silent connection is lost.
                continue;
            }
            if self.answer(&request, &mut out, life).is_err() || !life.up.load(Ordering::SeqCst) {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, request: &Message, out: &mut TcpStream, life: &Life) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let named = [("x-request-id", id.as_str()), ("x-not-executed", "1")];
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return http::answer(out, 421, &named, b"");
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let mut running = self.running.lock().unwrap();
        if running.len() as u64 >= self.pace.slots {
            drop(running);
            self.record
                .write(&format!("runner {} refuses {id}: it is full", self.id));
            return http::answer(out, 503, &named, b"");
        }
        running.push((
            number,
            Running {
                id: id.clone(),
                events: 0,
            },
        ));
        drop(running);
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        self.record
            .write(&format!("runner {} runs {id} after event {after}", self.id));
        if let Some(tenant) = request.header("x-tenant") {
            let mut tenants = self.tenants.lock().unwrap();
            tenants.push((self.record.elapsed(), tenant.to_owned()));
        }
        let ended = match request.path().starts_with("/fetch/") {
            true => self.answer_whole(&id, out),
            false => self.stream(&id, after, number, out, life),
        };
        self.running
            .lock()
            .unwrap()
            .retain(|(own, _)| *own != number);
        let how = if ended.is_ok() { "ends" } else { "breaks off" };
        self.record.write(&format!("runner {} {how} {id}", self.id));
        ended
    }

    fn answer_whole(&self, id: &str, out: &mut TcpStream) -> io::Result<()> {
        let signature = format!("signed-{}", self.id);
        let headers = [
            ("x-request-id", id),
            ("x-server-signature", signature.as_str()),
        ];
        http::answer(out, 200, &headers, format!("stored {id}").as_bytes())
    }

    fn stream(
        &self,
        id: &str,
        after: u64,
        number: u64,
        out: &mut TcpStream,
        life: &Life,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\nkeep-alive: timeout={KEEP_ALIVE_S}\r\nx-request-id: {id}\r\nx-server-signature: signed-{}\r\n\r\n",
            self.id
        );
        out.write_all(head.as_bytes())?;
        thread::sleep(self.pace.prefill);
        for event in after + 1..=self.pace.events {
            if !life.up.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            let mut running = self.running.lock().unwrap();
            if let Some((_, running)) = running.iter_mut().find(|(own, _)| *own == number) {
                running.events = event;
            }
            drop(running);
            thread::sleep(self.pace.gap);
        }
        out.write_all(b"0\r\n\r\n")
    }
}
