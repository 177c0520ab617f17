//! A stand-in for the platform's store: topics, keyed topics and one consumer group.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

type Partition = (String, u64);

#[derive(Default)]
struct State {
    records: HashMap<Partition, Vec<Vec<u8>>>,
    members: BTreeMap<String, Instant>,
    assigned: Vec<String>,
    generation: u64,
}

/// The store.
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Mutex<State>,
    appended: Condvar,
    /// Number of the next connection, and of the first one that isn't silent.
    next_connection: AtomicU64,
    /// Member whose reads of the group's owners are refused, and the connection on which it joined last.
    refused: Mutex<(String, u64)>,
    first_heard: AtomicU64,
}

const TOPICS: [&str; 4] = ["shards0", "shards1", "shards2", "shards3"];
/// Partitions of each topic.
pub const PARTS: u64 = 8;
/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);

/// Text of a JSON field; empty without one.
pub fn text_field(json: &str, name: &str) -> String {
    let marker = format!("\"{name}\":");
    let rest = json
        .split_once(&marker)
        .map_or("", |(_, rest)| rest)
        .trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or("").to_owned(),
        None => rest
            .split([',', '}'])
            .next()
            .unwrap_or("")
            .trim()
            .to_owned(),
    }
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn key_of(record: &[u8]) -> String {
    let length = usize::from(record[0]);
    String::from_utf8_lossy(&record[1..1 + length]).into_owned()
}

fn content_of(record: &[u8]) -> &[u8] {
    &record[1 + usize::from(record[0])..]
}

impl Store {
    /// Starts a store without records.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::default(),
            appended: Condvar::new(),
            next_connection: AtomicU64::default(),
            refused: Mutex::default(),
            first_heard: AtomicU64::default(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the newest record of a key, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, content: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), content.as_bytes()].concat();
        let mut state = self.state.lock().unwrap();
        state
            .records
            .entry((topic.to_owned(), 0))
            .or_default()
            .push(record);
        drop(state);
        self.appended.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        while let Ok(request) = http::read(&mut reader) {
            if self.is_silent(number) || self.answer(&request, &mut out, number).is_err() {
                break;
            }
        }
        // What still arrives on a silent connection is lost.
        while self.is_silent(number) && http::read(&mut reader).is_ok() {}
    }

    /// Refuses a member's reads of the group's owners with 429; an empty name ends it.
    pub fn refuse_owners(&self, member: &str) {
        *self.refused.lock().unwrap() = (member.to_owned(), u64::MAX);
    }

    /// Makes all open connections silent for good, in both directions. New ones work. Returns their number.
    pub fn silence_connections(&self) -> u64 {
        let next = self.next_connection.load(Ordering::SeqCst);
        self.first_heard.swap(next, Ordering::SeqCst).abs_diff(next)
    }

    fn is_silent(&self, connection: u64) -> bool {
        connection < self.first_heard.load(Ordering::SeqCst)
    }

    fn answer(&self, request: &Message, out: &mut TcpStream, connection: u64) -> io::Result<()> {
        let part = request
            .query("part")
            .and_then(|part| part.parse().ok())
            .unwrap_or(0);
        let partition = (request.query("topic").unwrap_or_default(), part);
        let json = match request.path() {
            "/-/log-append" => self.append(partition, &request.body),
            "/-/log-read" => {
                let records = self.read(partition, request);
                return match self.is_silent(connection) {
                    true => Err(io::ErrorKind::TimedOut.into()),
                    false => http::answer(out, 200, &[], &records),
                };
            }
            "/-/log-newest" => self.newest(partition, &request.query("after").unwrap_or_default()),
            "/-/log-join" => {
                let body = request.text();
                let mut refused = self.refused.lock().unwrap();
                if !refused.0.is_empty() && text_field(&body, "member").contains(&refused.0) {
                    refused.1 = connection;
                }
                drop(refused);
                self.join(&body)
            }
            "/-/log-leave" => self.leave(&request.text()),
            "/-/log-owners" => {
                let refused = self.refused.lock().unwrap();
                if !refused.0.is_empty() && refused.1 == connection {
                    return http::answer(out, 429, &[], b"");
                }
                drop(refused);
                self.owners()
            }
            _ => return http::answer(out, 404, &[], b""),
        };
        if self.is_silent(connection) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        http::answer(
            out,
            200,
            &[("content-type", "application/json")],
            json.as_bytes(),
        )
    }

    fn append(&self, partition: Partition, mut body: &[u8]) -> String {
        thread::sleep(APPEND_TIME);
        let mut state = self.state.lock().unwrap();
        let records = state.records.entry(partition).or_default();
        let offset = records.len();
        while body.len() >= 4 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let end = records.len();
        drop(state);
        self.appended.notify_all();
        format!("{{\"offset\":{offset},\"end\":{end}}}")
    }

    fn read(&self, partition: Partition, request: &Message) -> Vec<u8> {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<usize>().ok())
        };
        let from = number("from").unwrap_or(0);
        let most = number("maxKb").unwrap_or(1_024) * 1_024;
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.records.get(&partition).map_or(0, Vec::len);
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
        let records = state.records.get(&partition).map_or(&[][..], Vec::as_slice);
        let mut answer = (records.len() as u64).to_be_bytes().to_vec();
        answer.extend(0u64.to_be_bytes());
        for record in records.iter().skip(from) {
            if answer.len() > 16 && answer.len() + record.len() > most {
                break;
            }
            answer.extend((record.len() as u32).to_be_bytes());
            answer.extend(record);
        }
        answer
    }

    fn newest(&self, partition: Partition, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let records = state.records.get(&partition).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(key_of(record), (offset, content_of(record)));
        }
        let rows = newest
            .into_iter()
            .filter(|(key, (_, content))| key.as_str() > after && !content.is_empty());
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, content)) in rows {
            if items.len() == 500 || bytes > 1_000_000 {
                has_more = true;
                break;
            }
            bytes += content.len() * 4 / 3;
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(content)
            ));
        }
        format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"end\":{}}}",
            items.join(","),
            records.len()
        )
    }

    fn deal(state: &mut State) {
        let now = Instant::now();
        state.members.retain(|_, until| *until > now);
        let members: Vec<String> = state.members.keys().cloned().collect();
        if state.assigned != members {
            state.assigned = members;
            state.generation += 1;
        }
    }

    fn rows(state: &State) -> Vec<(&'static str, u64, String)> {
        if state.assigned.is_empty() {
            return Vec::new();
        }
        let parts = TOPICS
            .iter()
            .flat_map(|topic| (0..PARTS).map(move |part| (*topic, part)));
        let members = state.assigned.iter().cycle();
        parts
            .zip(members)
            .map(|((topic, part), member)| (topic, part, member.clone()))
            .collect()
    }

    fn join(&self, body: &str) -> String {
        let member = text_field(body, "member");
        let ttl = Duration::from_millis(text_field(body, "ttlMs").parse().unwrap_or(1_000));
        let mut state = self.state.lock().unwrap();
        state.members.insert(member.clone(), Instant::now() + ttl);
        Self::deal(&mut state);
        let rows = Self::rows(&state)
            .into_iter()
            .filter(|(_, _, of)| *of == member);
        let rows: Vec<_> = rows
            .map(|(topic, part, _)| format!("[\"{topic}\",{part},0]"))
            .collect();
        format!(
            "{{\"generation\":{},\"parts\":[{}]}}",
            state.generation,
            rows.join(",")
        )
    }

    fn leave(&self, body: &str) -> String {
        let mut state = self.state.lock().unwrap();
        state.members.remove(&text_field(body, "member"));
        Self::deal(&mut state);
        "{}".to_owned()
    }

    fn owners(&self) -> String {
        let mut state = self.state.lock().unwrap();
        Self::deal(&mut state);
        let rows = Self::rows(&state).into_iter();
        let rows: Vec<_> = rows
            .map(|(topic, part, member)| format!("[\"{topic}\",{part},\"{member}\",0]"))
            .collect();
        format!("{{\"parts\":[{}]}}", rows.join(","))
    }
}
