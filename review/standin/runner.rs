//! A stand-in for a model runner, as a process of its own. It streams as many events as the request's
//! `X-Token-Usage` allows for output, and writes to its standard output what it does.

use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, write_answer};

const QUEUE: usize = 24;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct Runner {
    id: String,
    slots: usize,
    /// Time from the start of a run to its first event, and between events.
    first: Duration,
    pause: Duration,
    load: Mutex<Load>,
    freed: Condvar,
    is_leaving: AtomicBool,
}

/// Runs the process; the arguments are id, slots, milliseconds to the first event and between events.
pub fn run(arguments: &[String]) {
    let number = |index: usize| arguments[index].parse::<u64>().expect("a number");
    let runner = Arc::new(Runner {
        id: arguments[0].clone(),
        slots: number(1) as usize,
        first: Duration::from_millis(number(2)),
        pause: Duration::from_millis(number(3)),
        load: Mutex::default(),
        freed: Condvar::new(),
        is_leaving: AtomicBool::new(false),
    });
    let told = runner.clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    say(&format!("listen {}", listener.local_addr().expect("bound")));
    http::serve(listener, move |request, writer| {
        runner.answer(request, writer)
    });
    // Each line on the standard input says that the runner leaves. The driver holds the other end, and
    // without it the process ends.
    for _ in io::stdin().lines() {
        told.is_leaving.store(true, Ordering::SeqCst);
    }
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

impl Runner {
    fn load_header(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("{},{},{}", load.running, load.waiting, self.slots)
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<bool> {
        if request.path() == "/health" {
            let load = self.load_header();
            let headers = [("X-Instance-Id", &self.id[..]), ("X-Server-Load", &load)];
            let status = match self.is_leaving.load(Ordering::SeqCst) {
                true => 503,
                false => 200,
            };
            write_answer(writer, status, &headers, b"")?;
            return Ok(true);
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            write_answer(writer, 421, &[("X-Instance-Id", &self.id)], b"")?;
            return Ok(true);
        }
        let Some(id) = request.header("x-request-id").map(str::to_owned) else {
            write_answer(writer, 400, &[("X-Not-Executed", "1")], b"")?;
            return Ok(true);
        };
        let after = request.header("last-event-id").unwrap_or("-").to_owned();
        say(&format!("arrival {id} {} {after}", request.path()));
        if !self.take_slot(writer) {
            let load = self.load_header();
            let headers = [
                ("X-Request-Id", &id[..]),
                ("X-Not-Executed", "1"),
                ("X-Server-Load", &load),
            ];
            say(&format!("refused {id}"));
            write_answer(writer, 503, &headers, b"")?;
            return Ok(true);
        }
        say(&format!("run {id}"));
        let ended = self.stream(request, &id, writer);
        let mut load = self.load.lock().unwrap();
        load.running -= 1;
        drop(load);
        self.freed.notify_all();
        match &ended {
            Ok(()) => say(&format!("end {id} 200")),
            Err(e) => say(&format!("end {id} broken: {e}")),
        }
        ended.map(|()| !self.is_leaving.load(Ordering::SeqCst))
    }

    /// Waits for a slot; false if the queue is full or the caller has left.
    fn take_slot(&self, caller: &TcpStream) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.slots && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.slots && !has_left(caller) {
            load = self
                .freed
                .wait_timeout(load, Duration::from_millis(50))
                .unwrap()
                .0;
        }
        load.waiting -= 1;
        let is_free = load.running < self.slots;
        load.running += usize::from(is_free);
        is_free
    }

    fn stream(&self, request: &Request, id: &str, writer: &mut TcpStream) -> io::Result<()> {
        let usage = request
            .header("x-token-usage")
            .and_then(|usage| usage.split(',').nth(1));
        let events: u64 = usage
            .and_then(|events| events.trim().parse().ok())
            .unwrap_or(5);
        let after = request
            .header("last-event-id")
            .and_then(|after| after.parse().ok());
        let load = self.load_header();
        let connection = match self.is_leaving.load(Ordering::SeqCst) {
            true => "Connection: close",
            false => "Keep-Alive: timeout=10",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Server-Signature: s-{}\r\nX-Server-Load: {load}\r\nX-Weight-Versions: 1\r\n\
             {connection}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        pause(self.first, writer)?;
        for event in after.map_or(1, |after: u64| after + 1)..=events {
            let text = format!("id: {event}\ndata: {}\n\n", word(id, event));
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            pause(self.pause, writer)?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Text of an event.
fn word(id: &str, event: u64) -> String {
    format!("{id}.{event}")
}

/// Waits, unless the caller leaves.
fn pause(time: Duration, caller: &TcpStream) -> io::Result<()> {
    let until = Instant::now() + time;
    loop {
        if has_left(caller) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        thread::sleep(left.min(Duration::from_millis(20)));
    }
}

fn has_left(caller: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = caller.set_nonblocking(true);
    let peeked = caller.peek(&mut byte);
    let _ = caller.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}
