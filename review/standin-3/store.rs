//! The platform's store: keyed topics with partitions, and a consumer group.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, base64};

const PARTITIONS: u64 = 8;
/// Limits of a small deployment's store, as its sheet and settings have them.
const APPEND_TIME: Duration = Duration::from_millis(4);
const PARTITION_BYTES_PER_S: f64 = 20e6;
const READ_BYTES_PER_S: f64 = 80e6;
const WRITES_PER_S: f64 = 800.0;
const READS_PER_S: f64 = 2_000.0;
const STORED_BYTES: usize = 400_000_000;
/// Longest wait of an append at its partition.
const MAX_APPEND_WAIT: Duration = Duration::from_secs(2);
/// Part of a call for which a join counts.
const JOIN_PART: f64 = 0.1;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

type Record = (String, Vec<u8>);

#[derive(Default)]
struct Group {
    /// Name and end of the membership.
    members: Vec<(String, Instant)>,
    generation: u64,
}

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|(_, until)| *until > now);
        self.generation += u64::from(self.members.len() != before);
    }

    fn assigned(&self) -> Vec<(String, u64, String)> {
        let topics = ["shards0", "shards1", "shards2", "shards3"];
        let parts = topics
            .iter()
            .flat_map(|topic| (0..PARTITIONS).map(move |part| (topic.to_string(), part)));
        let members = self.members.iter().map(|(name, _)| name.clone()).cycle();
        parts
            .zip(members)
            .map(|((topic, part), member)| (topic, part, member))
            .collect()
    }
}

/// Work that is done one after the other.
#[derive(Default)]
struct Pace(Option<Instant>);

impl Pace {
    /// Adds work that takes a time; returns how long it waits before it begins, and when it ends.
    fn add(&mut self, time: Duration) -> (Duration, Instant) {
        let now = Instant::now();
        let begin = self.0.map_or(now, |free| free.max(now));
        self.0 = Some(begin + time);
        (begin - now, begin + time)
    }
}

/// Calls of the current second.
#[derive(Default)]
struct CallCount {
    second: Option<Instant>,
    calls: f64,
}

impl CallCount {
    /// Counts a call; returns whether it is within the rate.
    fn admit(&mut self, weight: f64, rate: f64) -> bool {
        let now = Instant::now();
        if self
            .second
            .is_none_or(|second| now.duration_since(second) >= Duration::from_secs(1))
        {
            *self = Self {
                second: Some(now),
                calls: 0.0,
            };
        }
        self.calls += weight;
        self.calls <= rate
    }
}

#[derive(Default)]
pub struct Store {
    writes: Mutex<CallCount>,
    reads: Mutex<CallCount>,
    append_paces: Mutex<HashMap<(String, u64), Pace>>,
    read_pace: Mutex<Pace>,
    stored_bytes: AtomicUsize,
    partitions: Mutex<HashMap<(String, u64), Vec<Record>>>,
    appended: Condvar,
    group: Mutex<Group>,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let served = store.clone();
        let address = http::serve(move |request, stream| served.answer(request, stream));
        (store, address)
    }

    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut partitions = self.partitions.lock().unwrap();
        let records = partitions.entry((topic.to_owned(), 0)).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.appended.notify_all();
    }

    /// Announces a runner.
    pub fn announce(&self, service: &str, id: &str, address: SocketAddr, state: &str, seq: u64) {
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"v1","slots":8,"state":"{state}","coldRemainingMs":0,"seq":{seq},"born":1700000000000}}"#
        );
        self.put("keyed.servers", id, &entry);
    }

    fn answer(&self, request: Request, stream: &mut TcpStream) -> io::Result<()> {
        let topic = request.parameter("topic").unwrap_or("").to_owned();
        let part = request
            .parameter("part")
            .and_then(|part| part.parse().ok())
            .unwrap_or(0);
        let is_admitted = match request.path.as_str() {
            "/-/log-append" | "/-/log-leave" => {
                self.writes.lock().unwrap().admit(1.0, WRITES_PER_S)
            }
            "/-/log-join" => self.writes.lock().unwrap().admit(JOIN_PART, WRITES_PER_S),
            _ => self.reads.lock().unwrap().admit(1.0, READS_PER_S),
        };
        if !is_admitted {
            return http::write_answer(stream, 429, &[], b"");
        }
        match request.path.as_str() {
            "/-/log-append" => {
                if self.stored_bytes.load(Ordering::Relaxed) + request.body.len() > STORED_BYTES {
                    return http::write_answer(stream, 507, &[], b"");
                }
                if !self.wait_append((topic.clone(), part), request.body.len()) {
                    return http::write_answer(stream, 503, &[], b"");
                }
                self.stored_bytes
                    .fetch_add(request.body.len(), Ordering::Relaxed);
                let (offset, end) = self.append(&topic, part, &request.body);
                let body = format!(r#"{{"offset":{offset},"end":{end}}}"#);
                http::write_answer(stream, 200, &[], body.as_bytes())
            }
            "/-/log-read" => {
                let number = |name| {
                    request
                        .parameter(name)
                        .and_then(|value| value.parse::<u64>().ok())
                };
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let most = number("maxKb").unwrap_or(1_024) as usize * 1_024;
                let body = self.read((topic, part), from, wait, most);
                self.wait_read(body.len());
                http::write_answer(stream, 200, &[], &body)
            }
            "/-/log-newest" => {
                let after = request.parameter("after").unwrap_or("").replace("%2F", "/");
                let body = self.newest((topic, part), &after);
                self.wait_read(body.len());
                http::write_answer(stream, 200, &[], body.as_bytes())
            }
            "/-/log-join" => {
                let call =
                    Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let body = self.join(call.get("member").text(), call.get("ttlMs").number());
                http::write_answer(stream, 200, &[], body.as_bytes())
            }
            "/-/log-leave" => {
                let call =
                    Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let mut group = self.group.lock().unwrap();
                let name = call.get("member").text();
                group.members.retain(|(member, _)| member != name);
                group.generation += 1;
                drop(group);
                http::write_answer(stream, 200, &[], b"{}")
            }
            "/-/log-owners" => {
                let mut group = self.group.lock().unwrap();
                group.expire();
                let rows = group.assigned();
                drop(group);
                let rows = rows
                    .iter()
                    .map(|(topic, part, member)| format!(r#"["{topic}",{part},"{member}",0]"#));
                let body = format!(r#"{{"parts":[{}]}}"#, rows.collect::<Vec<_>>().join(","));
                http::write_answer(stream, 200, &[], body.as_bytes())
            }
            _ => http::write_answer(stream, 404, &[], b""),
        }
    }

    /// Waits for an append's turn and time at its partition; returns false if too much waits there.
    fn wait_append(&self, partition: (String, u64), bytes: usize) -> bool {
        let time = APPEND_TIME + Duration::from_secs_f64(bytes as f64 / PARTITION_BYTES_PER_S);
        let mut paces = self.append_paces.lock().unwrap();
        let pace = paces.entry(partition).or_default();
        let free = pace.0;
        let (wait, end) = pace.add(time);
        if wait > MAX_APPEND_WAIT {
            pace.0 = free;
            return false;
        }
        drop(paces);
        thread::sleep(end.saturating_duration_since(Instant::now()));
        true
    }

    fn wait_read(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / READ_BYTES_PER_S);
        let (_, end) = self.read_pace.lock().unwrap().add(time);
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }

    fn append(&self, topic: &str, part: u64, mut body: &[u8]) -> (usize, usize) {
        let mut partitions = self.partitions.lock().unwrap();
        let records = partitions.entry((topic.to_owned(), part)).or_default();
        let offset = records.len();
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let (record, rest) = body[4..].split_at(length);
            let (key, value) = record[1..].split_at(record[0] as usize);
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = rest;
        }
        let end = records.len();
        self.appended.notify_all();
        (offset, end)
    }

    fn read(&self, source: (String, u64), from: usize, wait: Duration, most: usize) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let length = partitions.get(&source).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if length > from || left.is_zero() {
                break;
            }
            partitions = self.appended.wait_timeout(partitions, left).unwrap().0;
        }
        let records = partitions.get(&source).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let size = 1 + key.len() + value.len();
            if body.len() > 16 && body.len() + size > most {
                break;
            }
            body.extend_from_slice(&(size as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        body
    }

    fn newest(&self, source: (String, u64), after: &str) -> String {
        let partitions = self.partitions.lock().unwrap();
        let records = partitions.get(&source).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.as_str(), (offset, value));
        }
        let rows = newest
            .into_iter()
            .filter(|(key, (_, value))| !value.is_empty() && *key > after);
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in rows {
            let item = format!(
                r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#,
                base64(value)
            );
            if !items.is_empty() && (items.len() >= PAGE_ITEMS || bytes + item.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += item.len();
            items.push(item);
        }
        format!(
            r#"{{"items":[{}],"hasMore":{more},"end":{}}}"#,
            items.join(","),
            records.len()
        )
    }

    fn join(&self, member: &str, ttl_ms: u64) -> String {
        let mut group = self.group.lock().unwrap();
        group.expire();
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        match group.members.iter_mut().find(|(name, _)| name == member) {
            Some(known) => known.1 = until,
            None => {
                group.members.push((member.to_owned(), until));
                group.generation += 1;
            }
        }
        let rows = group
            .assigned()
            .into_iter()
            .filter(|(_, _, name)| name == member);
        let rows = rows.map(|(topic, part, _)| format!(r#"["{topic}",{part},0]"#));
        let rows = rows.collect::<Vec<_>>().join(",");
        format!(r#"{{"generation":{},"parts":[{rows}]}}"#, group.generation)
    }
}
