//! Records of the platform's log and their encoding.
//!
//! One append contains one [`RecordBatch`]. The system writes MessagePack; operators' own tools may
//! write JSON.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::change::{PlanSpec, PlanStep};
use crate::id::{
    CommandId, ConfigRevision, InstanceId, JobId, LeaseEpoch, LogOffset, RequestId, ShardId,
    TeamId, TierId, WriterId,
};

/// Maximum size of an encoded batch, in bytes; the log rejects larger appends.
pub const MAX_BATCH_BYTES: usize = 1 << 20;

/// Stored result of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// Index of the item in its job.
    pub index: u32,
    /// HTTP status of the upstream's response, or of the error kind.
    pub status: u16,
    /// Number of attempts.
    pub attempts: u8,
    /// Response body: the upstream's JSON, or the error as JSON.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// One input item, as stored on the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemInput {
    /// The caller's name for the item.
    pub custom_id: String,
    /// Request body: JSON for the upstream.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Identifies one lease of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseName {
    /// Shard that the lease covers.
    pub shard: ShardId,
    /// Fencing number of the lease.
    pub epoch: LeaseEpoch,
}

/// One record on the log. Folds apply records in offset order; of conflicting records, the first
/// valid one takes effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// Part of a job's input. It takes effect when the job is sealed.
    JobItems {
        /// The job.
        job: JobId,
        /// Identifies one upload of the job; a retry through another instance is another upload.
        upload: u64,
        /// Index of the first item.
        first: u32,
        /// The items, consecutive from `first`.
        items: Vec<ItemInput>,
    },
    /// Accepts a job, all of whose items were appended before.
    JobSealed {
        /// The job.
        job: JobId,
        /// The upload whose items count.
        upload: u64,
        /// Team that submitted the job.
        team: TeamId,
        /// Tier that runs the job.
        tier: TierId,
        /// Number of items.
        count: u32,
        /// SHA-256 of the submitted body, hexadecimal.
        digest: String,
        /// Submission time, Unix milliseconds.
        submitted_ms: u64,
        /// Deadline of the whole job, Unix milliseconds.
        deadline_ms: u64,
    },
    /// Results of items, in any order.
    ItemsFinished {
        /// The job.
        job: JobId,
        /// Lease under which the items ran.
        epoch: LeaseEpoch,
        /// The results.
        outcomes: Vec<ItemOutcome>,
    },
    /// Cancels a job.
    JobCancelled {
        /// The job.
        job: JobId,
        /// Command that caused this record.
        command: CommandId,
    },
    /// Claims the lease of a shard. Valid if the lease is free or expired at this offset.
    LeaseClaimed {
        /// The shard.
        shard: ShardId,
        /// Instance that claims the lease.
        holder: InstanceId,
        /// Process run of the holder.
        writer: WriterId,
        /// Previous epoch, which the claimer believes has ended; `None` if there was none.
        after: Option<LeaseEpoch>,
    },
    /// Renews leases.
    LeasesRenewed {
        /// The leases.
        leases: Vec<LeaseName>,
    },
    /// Releases leases before they expire.
    LeasesReleased {
        /// The leases.
        leases: Vec<LeaseName>,
    },
    /// Proposes a configuration change.
    ConfigProposed {
        /// Command that caused this record.
        command: CommandId,
        /// Author of the command.
        author: String,
        /// Current revision as the author knows it; another one makes the proposal fail.
        expected: ConfigRevision,
        /// Name of the setting, such as `tier.shading.queue_limit`.
        name: String,
        /// New value, as JSON text.
        value: String,
    },
    /// Stores an upload as a file from which a job can be created. All of its items were appended
    /// before.
    FileStored {
        /// Job that is created from the file.
        job: JobId,
        /// The upload whose items count.
        upload: u64,
        /// Team that stored the file.
        team: TeamId,
        /// Tier that runs the items.
        tier: TierId,
        /// Number of items.
        count: u32,
        /// SHA-256 of the file, hexadecimal.
        digest: String,
        /// Size of the file in bytes.
        bytes: u64,
        /// File name that the caller chose.
        name: String,
        /// Time of storage, Unix milliseconds.
        stored_ms: u64,
    },
    /// Proposes a planned change.
    PlanProposed {
        /// Command that proposed it; its id is also the plan's.
        command: CommandId,
        /// Author of the command.
        author: String,
        /// Intended result of the plan.
        spec: PlanSpec,
    },
    /// Requests the rollback of a plan or the end of a drain.
    PlanUndone {
        /// Command that caused this record.
        command: CommandId,
        /// Author of the command.
        author: String,
        /// The plan.
        plan: CommandId,
    },
    /// One step of a plan.
    PlanStepped {
        /// The plan.
        plan: CommandId,
        /// Lease under which the step was taken.
        epoch: LeaseEpoch,
        /// The step.
        step: PlanStep,
    },
    /// Records a command whose effect is in the other records of the same entry.
    CommandNoted {
        /// The command.
        command: CommandId,
        /// Author of the command.
        author: String,
        /// The command as text.
        text: String,
    },
    /// Part of a snapshot of the configuration, plans and decisions. It preserves them when the
    /// log drops the original records.
    ChangesCarried {
        /// The snapshot covers every entry before this offset.
        through: LogOffset,
        /// Index of the part, from 0.
        part: u32,
        /// How many parts there are.
        parts: u32,
        /// Encoded bytes of the part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Copies part of a job's input from an entry that the log will drop.
    ItemsCarried {
        /// The job.
        job: JobId,
        /// The upload whose items count.
        upload: u64,
        /// Index of the first item.
        first: u32,
        /// The items, consecutive from `first`.
        items: Vec<ItemInput>,
    },
    /// Copies results of a job from entries that the log will drop.
    ResultsCarried {
        /// The job.
        job: JobId,
        /// Identifies the copy that this record is part of.
        copy: u64,
        /// Offset up to which the copy covers all results, in the order of their acceptance.
        through: LogOffset,
        /// Index of the part, from 0.
        part: u32,
        /// Whether this is the last part of the copy.
        last: bool,
        /// The results.
        outcomes: Vec<ItemOutcome>,
    },
    /// Part of a checkpoint: the folded state of all entries before an offset.
    StateCheckpoint {
        /// First offset that the checkpoint does not cover.
        as_of: LogOffset,
        /// Index of the part, from 0.
        part: u32,
        /// How many parts there are.
        parts: u32,
        /// Encoded bytes of the part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Announces a call that may run at most once. The call is sent only after this record was read
    /// back from the log.
    CallIntended {
        /// Hash of the caller's idempotency key and team.
        request: RequestId,
        /// SHA-256 of the call, hexadecimal.
        digest: String,
        /// Random id of the only attempt that may send the call.
        attempt: u64,
        /// Time after this record during which the call may still run, in milliseconds.
        limit_ms: u64,
    },
    /// Records how an announced call ended.
    CallEnded {
        /// The call.
        request: RequestId,
        /// Attempt that reports the outcome; 0 if the evidence has another source.
        attempt: u64,
        /// Outcome of the call.
        ending: CallEnding,
    },
}

/// A stored response, which is returned when the same request comes again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How a call that may run at most once ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnding {
    /// It ran and returned this response.
    Answered(StoredAnswer),
    /// It ran; its response could not be stored.
    AnswerNotKept,
    /// It was certainly never sent.
    NotSent,
}

/// The content of one append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// Writer of the batch; [`WriterId`] 0 for tools that do not number their batches.
    #[serde(default)]
    pub writer: WriterId,
    /// Number of the batch, counted by the writer from 1. A batch that was seen before is ignored.
    #[serde(default)]
    pub sequence: u64,
    /// The records, in order.
    pub records: Vec<LogRecord>,
}

/// One log entry with its decoded batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordEntry {
    /// Offset of the entry.
    pub offset: LogOffset,
    /// Time of the append, Unix milliseconds by the log's clock.
    pub time_ms: u64,
    /// Content of the entry.
    pub batch: RecordBatch,
}

/// Reason why an entry is not a valid record batch.
#[derive(Debug)]
pub enum DecodeError {
    /// The entry starts with a brace, but is not a batch in JSON.
    Json(serde_json::Error),
    /// The entry is not a batch in MessagePack.
    MessagePack(rmp_serde::decode::Error),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(e) => write!(f, "not a JSON record batch: {e}"),
            Self::MessagePack(e) => write!(f, "not a MessagePack record batch: {e}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Result of decoding a batch.
pub type Result<T> = std::result::Result<T, DecodeError>;

impl RecordBatch {
    /// Creates a batch without records.
    pub fn new(writer: WriterId, sequence: u64) -> Self {
        Self {
            writer,
            sequence,
            records: Vec::new(),
        }
    }

    /// Sets the records.
    pub fn with_records(mut self, records: Vec<LogRecord>) -> Self {
        self.records = records;
        self
    }

    /// Encodes the batch as MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("record batches always encode")
    }

    /// Decodes a batch from MessagePack, or from JSON if the bytes start with a brace.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.first() == Some(&b'{') {
            return serde_json::from_slice(bytes).map_err(DecodeError::Json);
        }
        rmp_serde::from_slice(bytes).map_err(DecodeError::MessagePack)
    }
}
