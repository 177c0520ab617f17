//! A stand-in for the platform's store: partitions of records, keyed topics and one consumer group,
//! as PROTOCOL.md tells them.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, write_answer};
use crate::json::{Json, base64};

/// Time of an append at its partition.
const APPEND_TIME: Duration = Duration::from_millis(4);

type Record = (String, Vec<u8>);

struct Member {
    name: String,
    expires: Instant,
    /// Generation in the answer to its last join.
    told: u64,
}

#[derive(Default)]
struct Group {
    members: Vec<Member>,
    generation: u64,
    /// Owner and intended owner of each partition, with the generation at which it was to move.
    parts: BTreeMap<(String, u64), Part>,
}

#[derive(Default, Clone)]
struct Part {
    owner: Option<String>,
    target: Option<String>,
    moved_at: u64,
}

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|member| member.expires > now);
        if self.members.len() != before {
            self.distribute();
        }
    }

    /// Distributes the partitions evenly; as many as possible stay where they are.
    fn distribute(&mut self) {
        self.generation += 1;
        let names: Vec<String> = self
            .members
            .iter()
            .map(|member| member.name.clone())
            .collect();
        for part in self.parts.values_mut() {
            if part
                .owner
                .as_ref()
                .is_some_and(|owner| !names.contains(owner))
            {
                part.owner = None;
            }
        }
        if names.is_empty() {
            self.parts.values_mut().for_each(|part| part.target = None);
            return;
        }
        let most = self.parts.len().div_ceil(names.len());
        let mut held: HashMap<String, usize> = HashMap::new();
        let mut open = Vec::new();
        for (key, part) in &mut self.parts {
            let keeper = part.owner.clone().or(part.target.clone());
            match keeper.filter(|name| names.contains(name)) {
                Some(name) if held.get(&name).copied().unwrap_or(0) < most => {
                    *held.entry(name.clone()).or_default() += 1;
                    part.target = Some(name);
                }
                _ => open.push(key.clone()),
            }
        }
        for key in open {
            let least = names
                .iter()
                .min_by_key(|name| held.get(*name).copied().unwrap_or(0));
            let name = least.expect("there are members").clone();
            *held.entry(name.clone()).or_default() += 1;
            let part = self.parts.get_mut(&key).expect("listed above");
            part.target = Some(name);
            part.moved_at = self.generation;
        }
        self.settle();
    }

    /// Gives free partitions to the members that shall have them.
    fn settle(&mut self) {
        let free = self.parts.values_mut().filter(|part| part.owner.is_none());
        let mut changed = false;
        for part in free.filter(|part| part.target.is_some()) {
            part.owner = part.target.clone();
            changed = true;
        }
        self.generation += u64::from(changed);
    }

    fn join(&mut self, name: &str, topics: &[String], parts: u64, ttl: Duration, known: u64) {
        self.expire();
        let expires = Instant::now() + ttl;
        let is_new = !self.members.iter().any(|member| member.name == name);
        for topic in topics {
            for part in 0..parts {
                self.parts.entry((topic.clone(), part)).or_default();
            }
        }
        if is_new {
            self.members.push(Member {
                name: name.to_owned(),
                expires,
                told: 0,
            });
            self.distribute();
        }
        let member = self.members.iter_mut().find(|member| member.name == name);
        let member = member.expect("added above");
        member.expires = expires;
        let known = known.min(member.told);
        // What it was told to leave is free with its next join.
        for part in self.parts.values_mut() {
            let leaves =
                part.owner.as_deref() == Some(name) && part.target.as_deref() != Some(name);
            if leaves && known >= part.moved_at {
                part.owner = None;
            }
        }
        self.settle();
        let generation = self.generation;
        let member = self.members.iter_mut().find(|member| member.name == name);
        member.expect("added above").told = generation;
    }

    fn leave(&mut self, name: &str) {
        let before = self.members.len();
        self.members.retain(|member| member.name != name);
        if self.members.len() != before {
            self.distribute();
        }
    }

    fn parts_of(&self, name: &str) -> String {
        let rows = self.parts.iter().filter(|(_, part)| {
            part.owner.as_deref() == Some(name) && part.target.as_deref() == Some(name)
        });
        let rows: Vec<_> = rows
            .map(|((topic, part), _)| format!("[\"{topic}\",{part},0]"))
            .collect();
        rows.join(",")
    }
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u64), Vec<Record>>,
    group: Group,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    appended: Condvar,
    parts: u64,
}

impl Store {
    pub fn new(parts: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            appended: Condvar::new(),
            parts,
        })
    }

    /// Serves calls at one more port.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let store = self.clone();
        http::serve(listener, move |request, writer| {
            store.answer(request, writer)
        });
        address
    }

    /// Writes a record of a keyed topic as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let records = state.partitions.entry((topic.to_owned(), 0)).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.appended.notify_all();
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<bool> {
        let (status, body) = match (request.method.as_str(), request.path()) {
            ("POST", "/-/log-append") => self.append(request),
            ("GET", "/-/log-read") => self.read(request),
            ("GET", "/-/log-newest") => self.newest(request),
            ("POST", "/-/log-join") => self.join(request),
            ("POST", "/-/log-leave") => self.leave(request),
            ("GET", "/-/log-owners") => self.owners(),
            _ => (404, Vec::new()),
        };
        write_answer(
            writer,
            status,
            &[("content-type", "application/json")],
            &body,
        )?;
        Ok(true)
    }

    fn append(&self, request: &Request) -> (u16, Vec<u8>) {
        let (Some(topic), Some(part)) = (request.query("topic"), number(request, "part")) else {
            return (400, Vec::new());
        };
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        thread::sleep(APPEND_TIME);
        let mut records = Vec::new();
        let mut body = &request.body[..];
        while body.len() >= 4 {
            let length = u32::from_be_bytes(body[..4].try_into().expect("4 bytes")) as usize;
            let Some(record) = body.get(4..4 + length) else {
                return (400, Vec::new());
            };
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = &body[4 + length..];
        }
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic, part)).or_default();
        let offset = partition.len();
        partition.extend(records);
        let end = partition.len();
        self.appended.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }

    fn read(&self, request: &Request) -> (u16, Vec<u8>) {
        let (Some(topic), Some(part)) = (request.query("topic"), number(request, "part")) else {
            return (400, Vec::new());
        };
        let from = number(request, "from").unwrap_or(0) as usize;
        let most = number(request, "maxKb").unwrap_or(1024) as usize * 1024;
        let until = Instant::now() + Duration::from_millis(number(request, "waitMs").unwrap_or(0));
        let key = (topic, part);
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.partitions.get(&key).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
        let records = state.partitions.get(&key).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            if body.len() > 16 && body.len() + key.len() + value.len() > most {
                break;
            }
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (200, body)
    }

    fn newest(&self, request: &Request) -> (u16, Vec<u8>) {
        let (Some(topic), Some(part)) = (request.query("topic"), number(request, "part")) else {
            return (400, Vec::new());
        };
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let records = state
            .partitions
            .get(&(topic, part))
            .map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (offset, value)) in newest {
            if *key <= after || value.is_empty() {
                continue;
            }
            if rows.len() >= 500 || bytes > 700_000 {
                more = true;
                break;
            }
            bytes += value.len();
            let value = base64(value);
            rows.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (rows, end) = (rows.join(","), records.len());
        (
            200,
            format!("{{\"items\":[{rows}],\"hasMore\":{more},\"end\":{end}}}").into_bytes(),
        )
    }

    fn join(&self, request: &Request) -> (u16, Vec<u8>) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let Some(body) = body else {
            return (400, Vec::new());
        };
        let name = body
            .get("member")
            .and_then(Json::text)
            .unwrap_or("")
            .to_owned();
        let topics = body.get("topics").map_or(&[][..], Json::list);
        let topics: Vec<_> = topics
            .iter()
            .filter_map(Json::text)
            .map(str::to_owned)
            .collect();
        let ttl = body.get("ttlMs").and_then(Json::number).unwrap_or(1_000);
        let known = body.get("generation").and_then(Json::number).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let group = &mut state.group;
        group.join(
            &name,
            &topics,
            self.parts,
            Duration::from_millis(ttl),
            known,
        );
        let (generation, parts) = (group.generation, group.parts_of(&name));
        let body = format!("{{\"generation\":{generation},\"ttlMs\":{ttl},\"parts\":[{parts}]}}");
        (200, body.into_bytes())
    }

    fn leave(&self, request: &Request) -> (u16, Vec<u8>) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let name = body
            .as_ref()
            .and_then(|body| body.get("member"))
            .and_then(Json::text);
        let mut state = self.state.lock().unwrap();
        state.group.leave(name.unwrap_or(""));
        (200, b"{}".to_vec())
    }

    fn owners(&self) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        state.group.expire();
        let rows = state.group.parts.iter().map(|((topic, part), row)| {
            let owner = row
                .owner
                .as_ref()
                .map_or("null".to_owned(), |name| format!("\"{name}\""));
            format!("[\"{topic}\",{part},{owner},0]")
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        (200, format!("{{\"parts\":[{rows}]}}").into_bytes())
    }
}

fn number(request: &Request, name: &str) -> Option<u64> {
    request.query(name)?.parse().ok()
}
