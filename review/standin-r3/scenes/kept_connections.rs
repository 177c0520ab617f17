//! Ordinary clients keep their connections open. A batch job is to be read at the end of the day.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{HOST, configuration, ms, route};
use crate::fleet::{Front, FrontSettings};
use crate::http;
use crate::json::{self, Json};
use crate::runner::{Runner, Work};
use crate::store::Store;
use crate::{Stage, Verdict};

/// Clients of each instance, with one connection each.
const CLIENTS: usize = 180;
/// Requests that the clients of an instance then send one after the other.
const LAST_REQUESTS: usize = 900;
/// Requests on a connection where clients don't keep theirs for long.
const FEW_REQUESTS: usize = 10;
/// Threads that play the clients of an instance.
const THREADS: usize = 18;
/// Requests of each client.
const REQUESTS: usize = 170;
/// Bytes of a request's body. Sheet of harrowgate-meet: 600 on average for lookups.
const BODY_BYTES: usize = 900;
/// Items of the job; the pages allow 200.
const ITEMS: usize = 100;
/// Events of an item. Sheet: 173 on average, of some 60 bytes.
const EVENTS: u64 = 173;
/// Time after the traffic until the job is read: `finishS`.
const FINISH: Duration = Duration::from_secs(18);
/// Pause of the reading client after each 64 KiB: less than a link of 1,000 Mbit/s takes for them, and 1 ms away.
const LINK_PAUSE: Duration = Duration::from_micros(500);
/// Time in which a read is repeated after each failure.
const READING: Duration = Duration::from_secs(8);

pub fn play(stage: &Stage) -> Verdict {
    let store = Store::start();
    let engine = Work { events: EVENTS, first: ms(20), gap: ms(3), event_bytes: 60 };
    let lookup = Work { events: 0, first: ms(1), gap: ms(0), event_bytes: 0 };
    for index in 0..4 {
        Runner::start(&stage.record, &format!("i-llm-{index}"), "matchmaker", 8, engine.clone()).register(&store);
    }
    Runner::start(&stage.record, "i-desk", "floor-desk", 60, lookup).register(&store);
    let lots = r#","completionTargetMs":18000,"retentionS":60"#;
    let routes = [
        route("r-badge", "/badge/", "safe", "floor-desk", ""),
        route("r-lot", "/lot/", "batch", "matchmaker", lots),
    ];
    let text = configuration(1, &routes, &["matchmaker", "floor-desk"]);
    // The connections of the clients live until the job is read.
    let text = text.replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":30000");
    store.put("keyed.op", "config", Some(&text));
    let mut fronts = Vec::new();
    for name in ["front-1", "front-2"] {
        let mut front = Front::new(&stage.folder, &FrontSettings { name, store: store.address, seeds: &[], memory_mb: 140 });
        front.start();
        fronts.push(front);
    }
    if !fronts.iter().all(|front| front.wait_ready(ms(10_000))) {
        return Verdict::Unplayed("an instance isn't ready".to_owned());
    }
    sleep(ms(3_000));
    let headers = [("Host", HOST), ("X-Request-Id", "lot"), ("Content-Type", "application/json")];
    let submitted = http::call(fronts[0].callers, "POST", "/lot/new", &headers, job().as_bytes(), ms(5_500));
    let status = submitted.map_or(0, |answer| answer.status);
    stage.record.line(&format!("job lot of {ITEMS} items sent to front-1, status={status}"));
    if status != 202 {
        return Verdict::Unplayed("the job wasn't accepted".to_owned());
    }
    let counts = Counts::default();
    let clients: Vec<_> = std::thread::scope(|scope| {
        let play = |front| {
            let counts = &counts;
            scope.spawn(move || play_clients(stage, front, counts))
        };
        let playing: Vec<_> = fronts.iter().map(play).collect();
        playing.into_iter().map(|playing| playing.join().expect("clients")).collect()
    });
    stage.record.line(&format!("traffic ends: {counts:?}"));
    for front in &fronts {
        record_held(stage, front);
    }
    sleep(FINISH);
    let outcome = read_job(stage, &fronts);
    for front in &fronts {
        record_held(stage, front);
    }
    drop(clients);
    match outcome {
        Ok(()) => Verdict::Held("the job was read from its start to its end".to_owned()),
        Err(why) => Verdict::Broken(format!("LOST: the job can't be read: {why}")),
    }
}

/// Ends of the clients' requests.
#[derive(Debug, Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    closed_unanswered: AtomicU64,
}

impl Counts {
    fn add(&self, end: &io::Result<u16>) {
        let counter = match end {
            Ok(200) => &self.served,
            Ok(_) => &self.refused,
            Err(_) => &self.closed_unanswered,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Plays the clients of one instance: first several at once, then one after the other.
fn play_clients<'a>(stage: &Stage, front: &'a Front, counts: &Counts) -> Vec<Client<'a>> {
    let ask = |client: &mut Client, id: &str| {
        let end = client.ask(id, stage.trouble);
        stage.record.line(&format!("lookup request={id} answered={end:?}"));
        counts.add(&end);
    };
    let ask = &ask;
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| Client { front, open: None, asked: 0 }).collect();
    std::thread::scope(|scope| {
        for (thread, part) in clients.chunks_mut(CLIENTS / THREADS).enumerate() {
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    for (index, client) in part.iter_mut().enumerate() {
                        ask(client, &format!("{}-{thread}-{index}-{number}", front.name));
                    }
                }
            });
        }
    });
    for number in 0..LAST_REQUESTS {
        ask(&mut clients[number % CLIENTS], &format!("{}-last-{number}", front.name));
    }
    clients
}

fn job() -> String {
    let items: Vec<_> = (0..ITEMS)
        .map(|index| {
            let body = json::base64(format!("item {index}").as_bytes());
            format!(
                r#"{{"id":"lot-{index}","path":"/lot/{index}","headers":{{"X-Model":"m","X-Token-Usage":"350,200"}},"body":"{body}","tokens":550}}"#
            )
        })
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}

/// A client that keeps its connection for long, or for a few requests.
struct Client<'a> {
    front: &'a Front,
    open: Option<BufReader<TcpStream>>,
    /// Requests on the open connection.
    asked: usize,
}

impl Client<'_> {
    fn ask(&mut self, id: &str, keeps: bool) -> io::Result<u16> {
        let mut stream = match self.open.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(self.front.callers)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(ms(6_000)))?;
                self.asked = 0;
                BufReader::new(stream)
            }
        };
        self.asked += 1;
        let keeps = keeps || self.asked < FEW_REQUESTS;
        let close = if keeps { "" } else { "Connection: close\r\n" };
        let body = "x".repeat(BODY_BYTES);
        let request = format!(
            "POST /badge/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n{close}Content-Length: {BODY_BYTES}\r\n\r\n{body}"
        );
        stream.get_mut().write_all(request.as_bytes())?;
        let (mut line, mut status, mut length) = (String::new(), 0, 0);
        loop {
            line.clear();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let lower = line.trim().to_ascii_lowercase();
            if lower.is_empty() {
                break;
            }
            if status == 0 {
                status = lower.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
            } else if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        stream.read_exact(&mut vec![0; length])?;
        self.open = keeps.then_some(stream);
        Ok(status)
    }
}

/// Records what the instance itself says that it holds for connections.
fn record_held(stage: &Stage, front: &Front) {
    let answer = http::call(front.probes, "GET", "/metrics", &[("Host", "probe")], b"", ms(1_000));
    let text = answer.map(|answer| answer.text()).unwrap_or_default();
    for line in text.lines().filter(|line| line.starts_with("held_bytes{")) {
        stage.record.line(&format!("{} says {line}", front.name));
    }
}

/// Reads the job from its start, again after each failure, at all instances in turn.
fn read_job(stage: &Stage, fronts: &[Front]) -> Result<(), String> {
    let deadline = Instant::now() + READING;
    let (mut after, mut tries, mut last) = (0, 0, String::new());
    while Instant::now() < deadline {
        let front = &fronts[tries % fronts.len()];
        tries += 1;
        let target = format!("/-/lots/lot?after={after}");
        let answer = http::call_paced(front.callers, "GET", &target, &[("Host", HOST)], b"", ms(3_000), LINK_PAUSE);
        last = match &answer {
            Ok(answer) if answer.status == 200 && answer.complete => {
                let page = json::parse(&answer.body).unwrap_or(Json::Null);
                let results = page.get("results").list().len();
                after += results;
                stage.record.line(&format!("{} read {target}: {results} results, {} bytes", front.name, answer.body.len()));
                if after >= ITEMS {
                    return Ok(());
                }
                continue;
            }
            Ok(answer) => format!("status {}, answer complete: {}", answer.status, answer.complete),
            Err(e) => e.to_string(),
        };
        stage.record.line(&format!("{} read {target} failed: {last}", front.name));
        sleep(ms(500));
    }
    Err(format!("{tries} reads, {after} of {ITEMS} results; the last read: {last}"))
}
