//! Interface to the durable log. An adapter implements the calls.

use std::fmt;
use std::time::Duration;

use amaranth_wire::id::LogOffset;
use bytes::Bytes;
use futures_util::future::BoxFuture;

/// Error of a call on the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// The call certainly had no effect; holds the reason.
    NotDone(String),
    /// The call may have taken effect, or may still do so; holds the reason.
    Unknown(String),
    /// The requested entries have been deleted from the log.
    Trimmed,
    /// The entries were read, but applying them panicked; holds the panic's message.
    NotApplied(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(why) => write!(f, "not done: {why}"),
            Self::Unknown(why) => write!(f, "outcome unknown: {why}"),
            Self::NotApplied(why) => write!(f, "read, but not applied: {why}"),
            Self::Trimmed => f.write_str("the requested entries have been deleted"),
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
    /// Announcements of upstreams, written by the upstreams.
    Upstreams,
    /// Batch jobs and the ends of their items, written by the instances and read by all.
    Batch,
    /// The latest progress of each running item, written and read by the instances that run items.
    Progress,
    /// Bodies and outputs of items, read on demand.
    Blobs,
    /// Rules against prompts that crash upstreams, written by few instances and read by all.
    Quarantine,
}

impl fmt::Display for LogTopic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Batch => "batch",
            Self::Progress => "progress",
            Self::Blobs => "blobs",
            Self::Quarantine => "quarantine",
        })
    }
}

/// One partition of a topic. Offsets number the entries of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TopicPartition {
    /// The topic.
    pub topic: LogTopic,
    /// Number of the partition, from 0.
    pub partition: u32,
}

impl From<LogTopic> for TopicPartition {
    /// Partition 0, the only one of the topics that are read as a whole.
    fn from(topic: LogTopic) -> Self {
        Self {
            topic,
            partition: 0,
        }
    }
}

impl fmt::Display for TopicPartition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.topic, self.partition)
    }
}

/// An entry read from a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Position in the topic.
    pub offset: LogOffset,
    /// Key that the entry belongs to.
    pub key: String,
    /// Content; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// Entries of a topic and the offset of the next read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSlice {
    /// Entries in the order of their offsets.
    pub entries: Vec<LogEntry>,
    /// Offset from which to read on.
    pub next: LogOffset,
}

/// Parameters of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRead {
    /// Partition to read.
    pub source: TopicPartition,
    /// Offset of the first entry.
    pub from: LogOffset,
    /// Longest wait for that entry.
    pub wait: Duration,
    /// Most bytes to return; `None` for the default page size.
    pub max_bytes: Option<u64>,
}

impl LogRead {
    /// Creates a read of the default page size that does not wait.
    pub fn new(source: impl Into<TopicPartition>, from: LogOffset) -> Self {
        Self {
            source: source.into(),
            from,
            wait: Duration::ZERO,
            max_bytes: None,
        }
    }

    /// Sets the longest wait for the first entry.
    pub fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Sets the most bytes to return.
    pub fn with_max_bytes(mut self, max_bytes: u64) -> Self {
        self.max_bytes = Some(max_bytes);
        self
    }
}

/// An entry to append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewEntry {
    /// Key that the entry belongs to.
    pub key: String,
    /// Content; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// Joins this process to the group that shares the work on batch jobs, or renews its membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoinRequest {
    /// Name of this process, unique in the group.
    pub member: String,
    /// Generation received last; 0 in the first request.
    pub generation: u64,
    /// Time after which a silent member loses its shards.
    pub ttl: Duration,
}

/// The shards assigned to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupShards {
    /// Increases with every change of the group.
    pub generation: u64,
    /// Numbers of the member's shards.
    pub shards: Vec<u64>,
}

type LogCall<A, T> = Box<dyn Fn(A) -> BoxFuture<'static, Result<T>> + Send + Sync>;

/// The calls of a durable log and its limits.
pub struct DurableLog {
    /// Reads entries from an offset on.
    pub read: LogCall<LogRead, LogSlice>,
    /// Returns a page of the newest entry of each key after the given one, in key order.
    pub newest_after: LogCall<(TopicPartition, String), Vec<LogEntry>>,
    /// Returns the newest entry of every key, and the offset from which to read on.
    pub newest: LogCall<LogTopic, LogSlice>,
    /// Appends entries to a partition, all or none; returns the offset of the first.
    pub append: LogCall<(TopicPartition, Vec<NewEntry>), LogOffset>,
    /// Joins the group or renews the membership.
    pub join: LogCall<JoinRequest, GroupShards>,
    /// Returns the members of the group that hold shards.
    pub members: LogCall<(), Vec<String>>,
    /// Leaves the group.
    pub leave: LogCall<String, ()>,
    /// Number of shards that the group divides among its members.
    pub shard_count: u64,
    /// Number of partitions over which [`LogTopic::Blobs`] is spread; the other topics use one.
    pub blob_partitions: u32,
    /// Appends per second that one partition takes from all writers together.
    pub partition_appends_per_s: u64,
    /// Most bytes of all entries in one append.
    pub append_bytes: usize,
    /// Most bytes of one entry, including its key.
    pub entry_bytes: usize,
}
