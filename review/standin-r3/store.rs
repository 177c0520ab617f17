//! The platform's store: a log with keyed topics and a consumer group, as PROTOCOL.md has it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{self, Request, write_answer};
use crate::json::{self, Json};

/// Time of an append.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// Partitions of a topic.
pub const PARTS: u64 = 8;
/// Most records of a page of newest records.
const PAGE: usize = 500;

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// The newest record of each key: its offset and value.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

struct Member {
    generation: u64,
    topics: Vec<String>,
    until: Instant,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Holder of each partition, and the generation since which another member waits for it.
    owners: BTreeMap<(String, u64), (String, Option<(u64, String)>)>,
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u64), Partition>,
    groups: HashMap<String, Group>,
}

pub struct Store {
    state: Mutex<State>,
    appended: Condvar,
    pub address: SocketAddr,
}

type Reply = (u16, Vec<u8>);

fn json_reply(text: String) -> Reply {
    (200, text.into_bytes())
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            state: Mutex::default(),
            appended: Condvar::new(),
            address: listener.local_addr().expect("an address"),
        });
        let served = store.clone();
        http::serve_on(listener, move |request, stream| served.answer(request, stream));
        store
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let (status, body) = match request.path() {
            "/-/log-append" => self.append(request),
            "/-/log-read" => self.read(request),
            "/-/log-newest" => self.newest(request),
            "/-/log-join" => self.join(&request.body),
            "/-/log-leave" => self.leave(&request.body),
            "/-/log-owners" => self.owners(request),
            _ => (404, Vec::new()),
        };
        write_answer(stream, status, &[("Content-Type", "application/json")], &body)
    }

    fn partition(request: &Request) -> (String, u64) {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let part = request.query("part").and_then(|part| part.parse().ok());
        (topic, part.unwrap_or(0))
    }

    fn append(&self, request: &Request) -> Reply {
        let key = Self::partition(request);
        if key.0 == "keyed.op" || key.0 == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        sleep(APPEND_TIME);
        let (offset, end) = self.add(key, records);
        json_reply(format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn add(&self, key: (String, u64), records: Vec<Vec<u8>>) -> (u64, u64) {
        let is_keyed = key.0.starts_with("keyed.");
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(key).or_default();
        let first = partition.records.len() as u64;
        for record in records {
            let offset = partition.records.len() as u64;
            if is_keyed {
                let length = usize::from(record[0]);
                let name = String::from_utf8_lossy(&record[1..=length]).into_owned();
                match record.len() > 1 + length {
                    true => partition.newest.insert(name, (offset, record[1 + length..].to_vec())),
                    false => partition.newest.remove(&name),
                };
            }
            partition.records.push(record);
        }
        let end = partition.records.len() as u64;
        drop(state);
        self.appended.notify_all();
        (first, end)
    }

    /// Writes the newest value of a key, as the operator and the runners do; `None` deletes it.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or("").as_bytes());
        self.add((topic.to_owned(), 0), vec![record]);
    }

    fn read(&self, request: &Request) -> Reply {
        let key = Self::partition(request);
        let number = |name: &str, default: u64| {
            let given = request.query(name).and_then(|text| text.parse().ok());
            given.unwrap_or(default)
        };
        let (from, most) = (number("from", 0), number("maxKb", 1024) as usize * 1024);
        let deadline = Instant::now() + Duration::from_millis(number("waitMs", 0));
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.partitions.get(&key).map_or(0, |found| found.records.len() as u64);
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                let records = state.partitions.get(&key);
                let records = records.into_iter().flat_map(|found| found.records.iter());
                for record in records.skip(from as usize) {
                    if body.len() > 16 && body.len() + record.len() > most + 16 {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        let after = request.query("after").unwrap_or("").replace("%2F", "/").replace("%3A", ":");
        let state = self.state.lock().unwrap();
        let empty = Partition::default();
        let partition = state.partitions.get(&Self::partition(request)).unwrap_or(&empty);
        let mut rows = partition.newest.iter().filter(|(key, _)| **key > after);
        let items: Vec<String> = rows
            .by_ref()
            .take(PAGE)
            .map(|(key, (offset, value))| {
                let value = json::base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        json_reply(format!(
            "{{\"items\":[{}],\"hasMore\":{},\"end\":{}}}",
            items.join(","),
            rows.next().is_some(),
            partition.records.len()
        ))
    }

    fn join(&self, body: &[u8]) -> Reply {
        let call = json::parse(body).unwrap_or(Json::Null);
        let name = call.get("member").text().to_owned();
        let topics: Vec<_> = call.get("topics").list().iter().map(|t| t.text().to_owned()).collect();
        let ttl = Duration::from_millis(call.get("ttlMs").number() as u64);
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(call.get("group").text().to_owned()).or_default();
        group.expire();
        let is_new = !group.members.contains_key(&name);
        let generation = call.get("generation").number() as u64;
        let until = Instant::now() + ttl;
        group.members.insert(name.clone(), Member { generation, topics, until });
        if is_new {
            group.assign();
        }
        group.hand_over();
        let rows = group.owners.iter();
        let rows = rows.filter(|(_, (owner, next))| *owner == name && next.is_none());
        let rows: Vec<_> = rows.map(|((topic, part), _)| format!("[\"{topic}\",{part},0]")).collect();
        json_reply(format!(
            "{{\"generation\":{},\"ttlMs\":{},\"parts\":[{}]}}",
            group.generation,
            ttl.as_millis(),
            rows.join(",")
        ))
    }

    fn leave(&self, body: &[u8]) -> Reply {
        let call = json::parse(body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        if let Some(group) = state.groups.get_mut(call.get("group").text())
            && group.members.remove(call.get("member").text()).is_some()
        {
            group.assign();
        }
        json_reply("{}".to_owned())
    }

    fn owners(&self, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(request.query("group").unwrap_or("").to_owned()).or_default();
        group.expire();
        let rows = group.owners.iter();
        let rows: Vec<_> = rows
            .map(|((topic, part), (owner, _))| format!("[\"{topic}\",{part},\"{owner}\",0]"))
            .collect();
        json_reply(format!("{{\"parts\":[{}]}}", rows.join(",")))
    }
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, member| member.until > Instant::now());
        if self.members.len() != before {
            self.assign();
        }
    }

    /// Deals the partitions evenly and moves as few as possible. One that moves from a living member
    /// waits until that member has seen the new generation.
    fn assign(&mut self) {
        self.generation += 1;
        let topics: BTreeSet<_> = self.members.values().flat_map(|m| m.topics.clone()).collect();
        let parts: Vec<_> = topics.iter().flat_map(|t| (0..PARTS).map(move |p| (t.clone(), p))).collect();
        let names: Vec<_> = self.members.keys().cloned().collect();
        if names.is_empty() {
            self.owners.clear();
            return;
        }
        let share = parts.len().div_ceil(names.len());
        let mut held: HashMap<String, usize> = HashMap::new();
        let mut open = Vec::new();
        for part in parts {
            let owner = self.owners.get(&part).map(|(owner, _)| owner.clone());
            let kept = owner.as_ref().filter(|owner| self.members.contains_key(*owner));
            match kept {
                Some(kept) if held.get(kept).copied().unwrap_or(0) < share => {
                    *held.entry(kept.clone()).or_default() += 1;
                    self.owners.insert(part, (kept.clone(), None));
                }
                _ => open.push((part, kept.cloned())),
            }
        }
        for (part, former) in open {
            let next = names.iter().min_by_key(|name| held.get(*name).copied().unwrap_or(0));
            let next = next.expect("a member").clone();
            *held.entry(next.clone()).or_default() += 1;
            let row = match former {
                Some(former) => (former, Some((self.generation, next))),
                None => (next, None),
            };
            self.owners.insert(part, row);
        }
    }

    fn hand_over(&mut self) {
        let members = &self.members;
        for (owner, next) in self.owners.values_mut() {
            let Some((generation, heir)) = next.clone() else { continue };
            if members.get(owner).is_none_or(|member| member.generation >= generation) {
                (*owner, *next) = (heir, None);
            }
        }
    }
}
