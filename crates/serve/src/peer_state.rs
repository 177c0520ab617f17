//! Lets an instance that starts while the log is unavailable copy its state from peers.
//!
//! Every instance keeps the newest entries of configuration and upstreams, read from the log or
//! from a peer, and serves them to others. A starting instance that can't read the log asks the
//! instances named in its settings, and uses the state of the one that read the log most recently.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_net::state_lock::StateMutex;
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
use crate::topic_follower::TopicUpdate;

/// Path at which peers fetch the state: `GET`, [`PeerState`] in MessagePack.
pub const PEER_STATE_PATH: &str = "/peer/state";
/// Time that the log has to answer before peers are asked: several times its usual 4 to 20 ms.
const LOG_GRACE: Duration = Duration::from_millis(100);
/// Delay between two rounds of requests to all peers.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request to a peer: a small machine answers within about 100 ms.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Most bytes of a peer's state: a configuration entry and the announcements of 10,000 upstreams.
const MAX_STATE_BYTES: usize = 4 << 20;

/// Result of a request to a peer; the error is its message.
pub type Result<T> = std::result::Result<T, String>;

/// An entry copied from the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiedEntry {
    /// Position in the topic.
    pub offset: u64,
    /// Key that the entry belongs to.
    pub key: String,
    /// Content as it is on the log.
    pub value: ByteBuf,
}

/// State that an instance serves to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Milliseconds since the configuration or the upstreams were last read from the log, whichever is
    /// longer ago.
    pub age_ms: u64,
    /// The newest configuration.
    pub configuration: Vec<CopiedEntry>,
    /// The newest announcement of every upstream.
    pub upstreams: Vec<CopiedEntry>,
    /// Names of the group's members, see [`MemberName`].
    pub members: Vec<String>,
    /// Rules against prompts that crash upstreams. Peers of former versions send none.
    #[serde(default)]
    pub quarantine: Vec<CopiedEntry>,
}

#[derive(Debug)]
struct TopicCopy {
    /// Whether the entries were read from the log; otherwise they are from a peer.
    from_log: bool,
    /// When the read of the log was sent, by this instance or the peer.
    read_at: Instant,
    entries: HashMap<String, (LogOffset, Bytes)>,
}

/// The newest entries of the topics that peers ask for.
#[derive(Debug, Default)]
pub struct TopicCopies {
    topics: StateMutex<HashMap<LogTopic, TopicCopy>>,
}

impl TopicCopies {
    /// Creates an empty set of copies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records entries from a read of the log that was sent at `sent`.
    pub fn record(&self, topic: LogTopic, update: &TopicUpdate, sent: Instant) {
        let mut topics = self.topics.lock();
        let copy = topics.entry(topic).or_insert_with(|| TopicCopy::new(sent));
        (copy.from_log, copy.read_at) = (true, sent);
        let entries = match update {
            TopicUpdate::Replace(entries) => {
                copy.entries.clear();
                entries
            }
            TopicUpdate::Append(entries) => entries,
        };
        copy.add(entries);
    }

    /// Whether a topic was read from the log or a peer.
    fn has_topic(&self, topic: LogTopic) -> bool {
        self.topics.lock().contains_key(&topic)
    }

    /// Stores entries that a peer read at `read_at` and applies them, if they may replace the own
    /// copy. Returns whether they were applied.
    fn apply_from_peer(
        &self,
        topic: LogTopic,
        entries: Vec<LogEntry>,
        read_at: Instant,
        may_replace: impl Fn(&TopicCopy, Instant) -> bool,
        apply: impl FnOnce(Vec<LogEntry>),
    ) -> bool {
        let mut topics = self.topics.lock();
        let known = topics.get(&topic);
        if known.is_some_and(|copy| !may_replace(copy, read_at)) {
            return false;
        }
        let mut copy = TopicCopy::new(read_at);
        copy.add(&entries);
        topics.insert(topic, copy);
        apply(entries);
        true
    }

    /// Returns the state for peers; `None` until it was read from the log or a peer.
    pub fn state(&self, members: &[MemberName]) -> Option<PeerState> {
        let topics = self.topics.lock();
        let upstreams = topics.get(&LogTopic::Upstreams)?;
        let configuration = topics.get(&LogTopic::Configuration)?;
        let read_at = upstreams.read_at.min(configuration.read_at);
        Some(PeerState {
            age_ms: u64::try_from(read_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            configuration: to_copied_entries(configuration),
            upstreams: to_copied_entries(upstreams),
            members: members.iter().map(MemberName::to_string).collect(),
            quarantine: topics
                .get(&LogTopic::Quarantine)
                .map_or_else(Vec::new, to_copied_entries),
        })
    }

    /// Answers a peer's request for the state, with 503 if there is none yet.
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
            from_log: false,
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

fn to_copied_entries(topic: &TopicCopy) -> Vec<CopiedEntry> {
    let entry = |(key, (offset, value)): (&String, &(LogOffset, Bytes))| CopiedEntry {
        offset: offset.0,
        key: key.clone(),
        value: ByteBuf::from(value.to_vec()),
    };
    topic.entries.iter().map(entry).collect()
}

fn to_log_entries(copied: Vec<CopiedEntry>) -> Vec<LogEntry> {
    let entry = |copied: CopiedEntry| LogEntry {
        offset: LogOffset(copied.offset),
        key: copied.key,
        value: Some(Bytes::from(copied.value.into_vec())),
    };
    copied.into_iter().map(entry).collect()
}

/// Callbacks that apply a peer's state.
#[derive(Clone)]
pub struct PeerStateSink {
    /// Applies the newest entries of a topic that peers serve, as the log had them at a point in time.
    pub apply_entries: Arc<dyn Fn(LogTopic, Vec<LogEntry>, Instant) + Send + Sync>,
    /// Applies the names of the group's members.
    pub apply_members: Arc<dyn Fn(Vec<String>) + Send + Sync>,
}

/// Asks the peers for their state until one answers or the log was read.
pub async fn copy_from_peers(
    peers: Vec<SocketAddr>,
    copies: Arc<TopicCopies>,
    sink: PeerStateSink,
    stop: CancellationToken,
) {
    let pool = Arc::new(ConnectionPool::new());
    let poll_peers = async {
        sleep(LOG_GRACE).await;
        let mut logged_peers = HashSet::new();
        while !copies.has_topic(LogTopic::Upstreams) {
            if let Some((peer, state)) = fetch_newest_state(&pool, &peers, &mut logged_peers).await
            {
                return apply_state(&copies, &sink, peer, state);
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    stop.run_until_cancelled(poll_peers).await;
}

/// Applies the state of a peer to an instance that has not read the log yet.
fn apply_state(copies: &TopicCopies, sink: &PeerStateSink, peer: SocketAddr, state: PeerState) {
    let members = state.members.clone();
    let may_replace = |copy: &TopicCopy, _| !copy.from_log;
    if apply_topics(copies, sink, peer, state, may_replace) {
        (sink.apply_members)(members);
    }
}

/// Applies the state of a peer that has read the log later than this instance. Returns whether it was
/// newer. The list of members is part of it: instances that take slots from different allocators, or count
/// requests at different members, exceed limits. Who runs items is decided by the log alone.
pub fn refresh_state(
    copies: &TopicCopies,
    sink: &PeerStateSink,
    peer: SocketAddr,
    state: PeerState,
) -> bool {
    let members = state.members.clone();
    let may_replace = |copy: &TopicCopy, read_at| copy.read_at < read_at;
    let applied = apply_topics(copies, sink, peer, state, may_replace);
    if applied {
        (sink.apply_members)(members);
    }
    applied
}

/// Applies the topics of a peer's state that may replace the own copies. Returns whether the last of
/// them was applied, the announcements of upstreams.
fn apply_topics(
    copies: &TopicCopies,
    sink: &PeerStateSink,
    peer: SocketAddr,
    state: PeerState,
    may_replace: impl Fn(&TopicCopy, Instant) -> bool,
) -> bool {
    let (age_ms, members) = (state.age_ms, state.members.len());
    let now = Instant::now();
    let read_at = now
        .checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now);
    let topics = [
        (LogTopic::Quarantine, state.quarantine),
        (LogTopic::Configuration, state.configuration),
        (LogTopic::Upstreams, state.upstreams),
    ];
    let mut applied = false;
    for (topic, copied) in topics {
        let count = copied.len();
        let entries = to_log_entries(copied);
        applied = copies.apply_from_peer(topic, entries, read_at, &may_replace, |entries| {
            (sink.apply_entries)(topic, entries, read_at);
        });
        log::info!(
            "event=peer_state_received peer={peer} topic={topic} entries={count} age_ms={age_ms} \
             members={members} applied={applied}"
        );
    }
    applied
}

/// Fetches the state of the peer that read the log most recently. A peer's failure is logged at
/// info level once.
async fn fetch_newest_state(
    pool: &Arc<ConnectionPool>,
    peers: &[SocketAddr],
    logged_peers: &mut HashSet<SocketAddr>,
) -> Option<(SocketAddr, PeerState)> {
    let replies = join_all(peers.iter().map(|peer| fetch_state(pool, *peer))).await;
    let mut states = Vec::new();
    for (peer, answer) in peers.iter().zip(replies) {
        match answer {
            Ok(state) => states.push((*peer, state)),
            Err(e) if logged_peers.insert(*peer) => {
                log::info!("event=peer_state_not_received peer={peer} error={e:?}");
            }
            Err(e) => log::debug!("event=peer_state_not_received peer={peer} error={e:?}"),
        }
    }
    states.into_iter().min_by_key(|(_, state)| state.age_ms)
}

/// Reads the state of a peer from its control address.
pub async fn fetch_state(pool: &Arc<ConnectionPool>, peer: SocketAddr) -> Result<PeerState> {
    let request = Request::get(PEER_STATE_PATH)
        .header(http::header::HOST, peer.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let key = ConnectionKey {
        address: peer,
        owner: "peer".to_owned(),
    };
    match timeout(PEER_TIMEOUT, pool.fetch(key, request, MAX_STATE_BYTES)).await {
        Ok(Ok((StatusCode::OK, body))) => rmp_serde::from_slice(&body).map_err(|e| e.to_string()),
        Ok(Ok((status, _))) => Err(format!("status {status}")),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("no answer in time".to_owned()),
    }
}
