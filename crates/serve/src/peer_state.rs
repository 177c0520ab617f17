//! What an instance that starts while the log is away takes over from other instances.
//!
//! Every instance keeps the newest entries of configuration and upstreams as the log gave them, or
//! as a peer showed them, and shows them to others. A starting instance that can't read the log asks
//! the instances that its settings name, and believes the one that has read the log last.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_wire::id::LogOffset;
use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::answer::{Answer, plain};
use crate::connection_pool::{ConnectionKey, ConnectionPool};
use crate::log_access::{LogEntry, LogTopic};
use crate::member_name::MemberName;
use crate::topic_follow::FollowStep;

/// Path of the state that peers ask for: `GET`, [`PeerState`] in MessagePack.
pub const PEER_STATE_PATH: &str = "/peer/state";
/// Time that the log has to answer before peers are asked: several times its usual 4 to 20 ms.
const LOG_HEADSTART: Duration = Duration::from_millis(100);
/// Pause between two rounds of questions.
const ASK_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for a peer: a small machine answers within some 100 ms.
const PEER_LIMIT: Duration = Duration::from_millis(400);
/// Most bytes of a peer's state: a configuration entry and the announcements of 10,000 upstreams.
const STATE_BYTES: usize = 4 << 20;

/// Result of asking a peer.
pub type Result<T> = std::result::Result<T, String>;

/// One entry as the log gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedEntry {
    /// Its position.
    pub offset: u64,
    /// Its key.
    pub key: String,
    /// Its content.
    pub value: ByteBuf,
}

/// What an instance shows to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Milliseconds since the upstreams were last read from the log.
    pub age_ms: u64,
    /// The newest configuration.
    pub configuration: Vec<CopiedEntry>,
    /// The newest announcement of every upstream.
    pub upstreams: Vec<CopiedEntry>,
    /// Names of the instances.
    pub members: Vec<String>,
}

#[derive(Debug)]
struct TopicCopy {
    /// Whether the log gave it, or a peer.
    read: bool,
    /// When the log was asked, by the instance that read it.
    read_at: Instant,
    entries: HashMap<String, (LogOffset, Bytes)>,
}

/// The newest entries of the topics that peers ask for.
#[derive(Debug, Default)]
pub struct TopicCopies {
    topics: Mutex<HashMap<LogTopic, TopicCopy>>,
}

impl TopicCopies {
    /// No copies yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps what a read that was sent at a time gave.
    pub fn note(&self, topic: LogTopic, step: &FollowStep, sent: Instant) {
        let mut topics = self.topics.lock().expect("not poisoned");
        let copy = topics.entry(topic).or_insert_with(|| TopicCopy::new(sent));
        (copy.read, copy.read_at) = (true, sent);
        let entries = match step {
            FollowStep::Replace(entries) => {
                copy.entries.clear();
                entries
            }
            FollowStep::Append(entries) => entries,
        };
        copy.add(entries);
    }

    /// Whether the log or a peer gave a topic.
    fn has(&self, topic: LogTopic) -> bool {
        self.topics
            .lock()
            .expect("not poisoned")
            .contains_key(&topic)
    }

    /// Keeps entries that a peer has read at a time and has them applied, unless the log was read
    /// here meanwhile. Returns whether it did.
    fn adopt(
        &self,
        topic: LogTopic,
        entries: Vec<LogEntry>,
        read_at: Instant,
        apply: impl FnOnce(Vec<LogEntry>),
    ) -> bool {
        let mut topics = self.topics.lock().expect("not poisoned");
        if topics.get(&topic).is_some_and(|copy| copy.read) {
            return false;
        }
        let mut copy = TopicCopy::new(read_at);
        copy.add(&entries);
        topics.insert(topic, copy);
        apply(entries);
        true
    }

    /// What peers are shown; `None` before the log or a peer gave it.
    pub fn state(&self, members: &[MemberName]) -> Option<PeerState> {
        let topics = self.topics.lock().expect("not poisoned");
        let upstreams = topics.get(&LogTopic::Upstreams)?;
        let age = upstreams.read_at.elapsed().as_millis();
        Some(PeerState {
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            configuration: copied(topics.get(&LogTopic::Configuration)?),
            upstreams: copied(upstreams),
            members: members.iter().map(MemberName::to_string).collect(),
        })
    }

    /// Answers a peer's question.
    pub fn answer(&self, members: &[MemberName]) -> Answer {
        match self.state(members) {
            None => plain(StatusCode::SERVICE_UNAVAILABLE, "the log was not read yet"),
            Some(state) => {
                let body = rmp_serde::to_vec_named(&state).expect("messages always encode");
                plain(StatusCode::OK, body)
            }
        }
    }
}

impl TopicCopy {
    fn new(read_at: Instant) -> Self {
        Self {
            read: false,
            read_at,
            entries: HashMap::new(),
        }
    }

    fn add(&mut self, entries: &[LogEntry]) {
        for LogEntry { offset, key, value } in entries {
            match value {
                Some(value) => self.entries.insert(key.clone(), (*offset, value.clone())),
                None => self.entries.remove(key),
            };
        }
    }
}

fn copied(topic: &TopicCopy) -> Vec<CopiedEntry> {
    let entry = |(key, (offset, value)): (&String, &(LogOffset, Bytes))| CopiedEntry {
        offset: offset.0,
        key: key.clone(),
        value: ByteBuf::from(value.to_vec()),
    };
    topic.entries.iter().map(entry).collect()
}

fn entries(copied: Vec<CopiedEntry>) -> Vec<LogEntry> {
    let entry = |copied: CopiedEntry| LogEntry {
        offset: LogOffset(copied.offset),
        key: copied.key,
        value: Some(Bytes::from(copied.value.into_vec())),
    };
    copied.into_iter().map(entry).collect()
}

/// Takes over entries of a topic, or the names of the instances.
pub struct StateTaker {
    /// Entries of configuration and upstreams.
    pub take_entries: Box<dyn Fn(LogTopic, Vec<LogEntry>) + Send + Sync>,
    /// Names of the instances.
    pub take_members: Box<dyn Fn(Vec<String>) + Send + Sync>,
}

/// Asks the peers until the log was read or one of them has answered.
pub async fn start_from_peers(
    peers: Vec<SocketAddr>,
    copies: Arc<TopicCopies>,
    taker: StateTaker,
    stop: CancellationToken,
) {
    let book = Arc::new(ConnectionPool::new());
    let ask_all = async {
        sleep(LOG_HEADSTART).await;
        let mut refusing = HashSet::new();
        while !copies.has(LogTopic::Upstreams) {
            if let Some((peer, state)) = freshest(&book, &peers, &mut refusing).await {
                return take_over(&copies, &taker, peer, state);
            }
            sleep(ASK_PERIOD).await;
        }
    };
    stop.run_until_cancelled(ask_all).await;
}

fn take_over(copies: &TopicCopies, taker: &StateTaker, peer: SocketAddr, state: PeerState) {
    let (age_ms, members) = (state.age_ms, state.members.len());
    let now = Instant::now();
    let read_at = now
        .checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now);
    let topics = [
        (LogTopic::Configuration, state.configuration),
        (LogTopic::Upstreams, state.upstreams),
    ];
    let mut taken = false;
    for (topic, copied) in topics {
        let count = copied.len();
        taken = copies.adopt(topic, entries(copied), read_at, |entries| {
            (taker.take_entries)(topic, entries);
        });
        log::info!(
            "event=state_from_peer peer={peer} topic={topic} entries={count} age_ms={age_ms} \
             members={members} taken={taken}"
        );
    }
    if taken {
        (taker.take_members)(state.members);
    }
}

/// The state of the peer that has read the log last. Those without are logged once.
async fn freshest(
    book: &Arc<ConnectionPool>,
    peers: &[SocketAddr],
    refusing: &mut HashSet<SocketAddr>,
) -> Option<(SocketAddr, PeerState)> {
    let asked = join_all(peers.iter().map(|peer| ask(book, *peer))).await;
    let mut states = Vec::new();
    for (peer, answer) in peers.iter().zip(asked) {
        match answer {
            Ok(state) => states.push((*peer, state)),
            Err(e) if refusing.insert(*peer) => {
                log::info!("event=peer_without_state peer={peer} error={e:?}");
            }
            Err(e) => log::debug!("event=peer_without_state peer={peer} error={e:?}"),
        }
    }
    states.into_iter().min_by_key(|(_, state)| state.age_ms)
}

async fn ask(book: &Arc<ConnectionPool>, peer: SocketAddr) -> Result<PeerState> {
    let request = Request::get(PEER_STATE_PATH)
        .header(http::header::HOST, peer.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let key = ConnectionKey {
        address: peer,
        owner: "peer".to_owned(),
    };
    match timeout(PEER_LIMIT, book.fetch(key, request, STATE_BYTES)).await {
        Ok(Ok((StatusCode::OK, body))) => rmp_serde::from_slice(&body).map_err(|e| e.to_string()),
        Ok(Ok((status, _))) => Err(format!("status {status}")),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("no answer in time".to_owned()),
    }
}
