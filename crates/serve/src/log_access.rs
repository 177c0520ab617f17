//! The durable log as the serving core sees it. An adapter supplies the calls.

use std::fmt;
use std::time::Duration;

use amaranth_wire::id::LogOffset;
use bytes::Bytes;
use futures_util::future::BoxFuture;

/// What a call on the log can fail with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// Provably nothing was done.
    NotDone(String),
    /// It may have been done, or may still be done later.
    Unknown(String),
    /// The entries that were asked for have been deleted.
    Trimmed,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(why) => write!(f, "not done: {why}"),
            Self::Unknown(why) => write!(f, "outcome unknown: {why}"),
            Self::Trimmed => f.write_str("the entries are deleted"),
        }
    }
}

impl std::error::Error for LogError {}

/// Result of a call on the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// The topics that the serving core uses. Each keeps the newest entry of every key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LogTopic {
    /// Configuration, written by operators.
    Configuration,
    /// Announcements of upstreams, written by these.
    Upstreams,
    /// Batch jobs and the ends of their items, written by the instances and read by all.
    Batch,
    /// Bodies and outputs of items, read where they are asked for.
    Blobs,
}

impl fmt::Display for LogTopic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Batch => "batch",
            Self::Blobs => "blobs",
        })
    }
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Its position.
    pub offset: LogOffset,
    /// Its key.
    pub key: String,
    /// Its content; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// Entries of a topic and where to go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSlice {
    /// The entries in the order of their offsets.
    pub entries: Vec<LogEntry>,
    /// The offset after the last of them.
    pub next: LogOffset,
}

/// A read of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRead {
    /// The topic.
    pub topic: LogTopic,
    /// Offset of the first entry.
    pub from: LogOffset,
    /// Longest wait for it.
    pub wait: Duration,
    /// Most bytes; `None` for the usual page.
    pub most_bytes: Option<u64>,
}

impl LogRead {
    /// A read of a usual page that does not wait.
    pub fn new(topic: LogTopic, from: LogOffset) -> Self {
        Self {
            topic,
            from,
            wait: Duration::ZERO,
            most_bytes: None,
        }
    }

    /// Waits for the first entry.
    pub fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Reads at most so many bytes.
    pub fn with_most_bytes(mut self, most_bytes: u64) -> Self {
        self.most_bytes = Some(most_bytes);
        self
    }
}

/// An entry to append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewEntry {
    /// Its key.
    pub key: String,
    /// Its content; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// This process as a member of the group that shares the work on batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoinRequest {
    /// Name that no other process has.
    pub member: String,
    /// The generation that was received last; 0 at first.
    pub generation: u64,
    /// Time after which a silent member loses its shards.
    pub ttl: Duration,
}

/// The shards that a member holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupShards {
    /// Grows with every change of the group.
    pub generation: u64,
    /// Shards of this member.
    pub shards: Vec<u64>,
}

type Call<A, T> = Box<dyn Fn(A) -> BoxFuture<'static, Result<T>> + Send + Sync>;

/// The calls on the log.
pub struct DurableLog {
    /// Reads entries.
    pub read: Call<LogRead, LogSlice>,
    /// A page of the newest entries whose keys follow the given one, in the order of the keys.
    pub newest_after: Call<(LogTopic, String), Vec<LogEntry>>,
    /// The newest entry of every key, and the offset to read on from.
    pub newest: Call<LogTopic, LogSlice>,
    /// Appends entries to a topic, all or none; returns the offset of the first.
    pub append: Call<(LogTopic, Vec<NewEntry>), LogOffset>,
    /// Joins the group or stays in it.
    pub join: Call<JoinRequest, GroupShards>,
    /// The members of the group that hold shards.
    pub members: Call<(), Vec<String>>,
    /// Leaves the group.
    pub leave: Call<String, ()>,
    /// Number of shards that the group shares.
    pub shard_count: u64,
    /// Most bytes of the entries of one append.
    pub append_bytes: usize,
    /// Most bytes of one entry, its key included.
    pub entry_bytes: usize,
}
