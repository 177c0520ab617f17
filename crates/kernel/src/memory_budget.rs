//! Limits on what an instance holds for its callers, derived from the memory and the descriptors of its
//! machine, and what follows where a limit is met.
//!
//! The load: callers that send requests ahead and leave the answers unread, read long answers slowly, send
//! large bodies and stop before their end, or open connections and send nothing, many of them at once; and
//! upstreams that send bytes without end, in heads, events or the answers to batch items.

use std::time::Duration;

/// Part of the machine's memory that requests and answers take at most. With 120 MB, 48 MB are held: three
/// requests with the largest body and the largest answer at once, with room for small ones.
const CONTENT_PART: f64 = 0.4;
/// Part of the machine's memory that incomplete heads, the buffers of slow callers and those of connections to
/// upstreams take at most. With 120 MB, some 60 callers with full buffers. What remains is for the process and its state.
const CONNECTION_PART: f64 = 0.2;
/// Part of each of them that is kept for small uses, so that ordinary callers are served beside large ones.
const SMALL_PART: f64 = 0.125;
/// Part of what requests and answers take that bodies, submissions and pages of results may take. The rest is for the answers
/// of requests that were accepted.
const NEW_WORK_PART: f64 = 0.5;
/// Part of what requests and answers take that large bodies and outputs of batch items, and large incomplete
/// events, may take: half of that for new work, so that neither items nor bytes that are no answer keep
/// requests out.
const UPSTREAM_PART: f64 = 0.25;
/// Size up to which a use is small, in bytes: far above most requests and their answers.
pub const SMALL_BYTES: usize = 64 << 10;
/// Size up to which what is kept of an upstream's answer isn't counted, in bytes: events and outputs are mostly
/// smaller. The number of answers is bounded by the buffers of their connections and by the items that run.
pub const UNCOUNTED_BYTES: usize = 16 << 10;
/// Events that wait at most in one caller's connection before no more are read from the upstream, in bytes.
/// Events are a few hundred bytes each, and written as they come.
pub const WAITING_EVENT_BYTES: usize = 64 << 10;
/// Part of the machine's memory that one buffer of a socket may take. Half of the descriptors with a full
/// buffer would still need more memory than there is; the account ends what is too much.
const SOCKET_BUFFER_PART: usize = 1_024;
/// Smallest and largest buffer of a socket, in bytes. The smallest carries 2 MB/s to a caller that is 30 ms
/// away, about the link of the smallest machine.
const SOCKET_BUFFER_BYTES: (usize, usize) = (64 << 10, 256 << 10);
/// Memory from which no limit applies, in bytes: settings without a limit.
const UNBOUNDED_BYTES: usize = 100_000_000_000;
/// Descriptors for listeners, the store, peers and the process itself. 23 are open in an idle instance, and
/// each followed topic and each append in progress needs one.
const RESERVED_DESCRIPTORS: usize = 64;
/// Longest time in which a caller with bytes to read accepts none. Above the 15 s for which the pages allow
/// callers to be idle.
pub const STALL_LIMIT: Duration = Duration::from_secs(20);

/// Memory with a limit of its own, so that slow callers don't take that of others' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryPool {
    /// Requests and answers.
    Content,
    /// Heads, and buffers of slow callers and of connections to upstreams.
    Connections,
}

impl MemoryPool {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Content => "content",
            Self::Connections => "connections",
        }
    }
}

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// A head that isn't complete.
    Head,
    /// A request's body.
    Body,
    /// The items of a job until they are on the log.
    Submission,
    /// A page of results or the body of an item.
    Results,
    /// The body and the output of a batch item that is run here.
    Item,
    /// The bytes of an upstream's event that isn't complete.
    PartialEvent,
    /// A whole answer.
    Answer,
    /// What waits for a slow caller, at the instance and in the sockets.
    Events,
    /// The buffer of a connection to an upstream, for the head of an answer and what isn't read of its body.
    Upstream,
}

impl MemoryUse {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Submission => "submission",
            Self::Results => "results",
            Self::Item => "item",
            Self::PartialEvent => "partial event",
            Self::Answer => "answer",
            Self::Events => "events",
            Self::Upstream => "upstream connection",
        }
    }

    /// The memory that it is taken from.
    pub fn pool(self) -> MemoryPool {
        match self {
            Self::Head | Self::Events | Self::Upstream => MemoryPool::Connections,
            Self::Body
            | Self::Submission
            | Self::Results
            | Self::Item
            | Self::PartialEvent
            | Self::Answer => MemoryPool::Content,
        }
    }

    /// Part of its pool that it may fill where it isn't small.
    fn large_part(self) -> f64 {
        match self {
            Self::Body | Self::Submission | Self::Results => NEW_WORK_PART,
            Self::Item | Self::PartialEvent => UPSTREAM_PART,
            Self::Head | Self::Answer | Self::Events | Self::Upstream => 1.0 - SMALL_PART,
        }
    }

    /// What follows if there is no memory for it. Work that hasn't begun is refused as not run.
    fn without_memory(self) -> MemoryDecision {
        match self {
            Self::Body | Self::Submission | Self::Results | Self::Upstream => {
                MemoryDecision::Refuse
            }
            Self::Head | Self::Item | Self::PartialEvent | Self::Answer | Self::Events => {
                MemoryDecision::End
            }
        }
    }
}

/// What follows when more memory is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryDecision {
    /// It may be held.
    Admit,
    /// The request is refused as not run.
    Refuse,
    /// The answer, the connection or the run of the item ends.
    End,
}

/// Limit on the memory that is held for all callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    content_bytes: usize,
    connection_bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget of a machine with this memory, in bytes.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            content_bytes: part(memory_bytes, CONTENT_PART),
            connection_bytes: part(memory_bytes, CONNECTION_PART),
        }
    }

    /// Decides whether a use that holds `own` bytes may hold `more`, where its pool holds `held`.
    pub fn decide(&self, kind: MemoryUse, own: usize, more: usize, held: usize) -> MemoryDecision {
        let pool_bytes = match kind.pool() {
            MemoryPool::Content => self.content_bytes,
            MemoryPool::Connections => self.connection_bytes,
        };
        let limit = match own.saturating_add(more) <= SMALL_BYTES {
            true => pool_bytes,
            false => part(pool_bytes, kind.large_part()),
        };
        match held.saturating_add(more) <= limit {
            true => MemoryDecision::Admit,
            false => kind.without_memory(),
        }
    }
}

/// Size of a socket's buffer on a machine with this memory, in bytes; `None` if the system chooses.
pub fn socket_buffer_bytes(memory_bytes: usize) -> Option<usize> {
    let (smallest, largest) = SOCKET_BUFFER_BYTES;
    let bytes = (memory_bytes / SOCKET_BUFFER_PART).clamp(smallest, largest);
    (memory_bytes < UNBOUNDED_BYTES).then_some(bytes)
}

/// Most connections of callers. Each may need another one to an upstream.
pub fn connection_limit(max_fds: usize) -> usize {
    (max_fds.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(1)
}

fn part(bytes: usize, part: f64) -> usize {
    (bytes as f64 * part) as usize
}
