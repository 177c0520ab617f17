//! Records of the platform's log and their encoding.
//!
//! One append carries one [`RecordBatch`]: MessagePack as the system writes it, or JSON as
//! operators' own tools may write it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::change::{PlanSpec, PlanStep};
use crate::id::{
    CommandId, ConfigRevision, InstanceId, JobId, LeaseEpoch, LogOffset, RequestId, ShardId,
    TeamId, TierId, WriterId,
};

/// Largest encoded batch, in bytes; the log refuses larger appends.
pub const MAX_BATCH_BYTES: usize = 1 << 20;

/// The result that is kept for one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// Position of the item in its job.
    pub index: u32,
    /// HTTP status that the upstream gave, or the status of the error kind.
    pub status: u16,
    /// How many attempts were made.
    pub attempts: u8,
    /// Response body: JSON of the upstream, or the error as JSON.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// One input item as it is kept on the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemInput {
    /// The caller's name for the item.
    pub custom_id: String,
    /// Request body: JSON for the upstream.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A lease as its holder names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseName {
    /// What the lease is for.
    pub shard: ShardId,
    /// The claim that opened it.
    pub epoch: LeaseEpoch,
}

/// One fact on the log. Folds apply records in offset order; the first valid one wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// Part of a job's input. Invisible until the job is sealed.
    JobItems {
        /// The job.
        job: JobId,
        /// Names one upload of the job; a resend through another instance is another upload.
        upload: u64,
        /// Index of the first item.
        first: u32,
        /// The items, consecutive from `first`.
        items: Vec<ItemInput>,
    },
    /// Accepts a job whose items were all appended before.
    JobSealed {
        /// The job.
        job: JobId,
        /// The upload whose items count.
        upload: u64,
        /// Who submitted it.
        team: TeamId,
        /// The tier that runs it.
        tier: TierId,
        /// Number of items.
        count: u32,
        /// SHA-256 of the submitted body, hexadecimal.
        digest: String,
        /// Submission time, Unix milliseconds.
        submitted_ms: u64,
        /// When the whole job is due, Unix milliseconds.
        deadline_ms: u64,
    },
    /// Results of items, in any order.
    ItemsFinished {
        /// The job.
        job: JobId,
        /// Lease under which they ran.
        epoch: LeaseEpoch,
        /// The results.
        outcomes: Vec<ItemOutcome>,
    },
    /// Stops a job.
    JobCancelled {
        /// The job.
        job: JobId,
        /// The command that asked for it.
        command: CommandId,
    },
    /// Asks for the lease of a shard. Valid if the lease is free or expired at this offset.
    LeaseClaimed {
        /// The shard.
        shard: ShardId,
        /// Who claims it.
        holder: InstanceId,
        /// The run of the holder's process.
        writer: WriterId,
        /// The epoch that the claimer believes has ended; `None` when never held.
        after: Option<LeaseEpoch>,
    },
    /// Extends leases.
    LeasesRenewed {
        /// The leases.
        leases: Vec<LeaseName>,
    },
    /// Ends leases early.
    LeasesReleased {
        /// The leases.
        leases: Vec<LeaseName>,
    },
    /// Proposes a configuration change.
    ConfigProposed {
        /// The command that asked for it.
        command: CommandId,
        /// Who asked.
        author: String,
        /// The revision that the author saw.
        expected: ConfigRevision,
        /// Name of the setting, such as `tier.shading.queue_limit`.
        name: String,
        /// The new value as JSON text.
        value: String,
    },
    /// Names an upload as a file that a job can be made from. Its items were all appended before.
    FileStored {
        /// The job that the file makes.
        job: JobId,
        /// The upload whose items count.
        upload: u64,
        /// Who stored it.
        team: TeamId,
        /// The tier that its items are for.
        tier: TierId,
        /// Number of items.
        count: u32,
        /// SHA-256 of the file, hexadecimal.
        digest: String,
        /// Size of the file.
        bytes: u64,
        /// The caller's name for it.
        name: String,
        /// When it was stored, Unix milliseconds.
        stored_ms: u64,
    },
    /// Asks for a planned change.
    PlanProposed {
        /// The command that asked for it; it names the plan.
        command: CommandId,
        /// Who asked.
        author: String,
        /// What to bring about.
        spec: PlanSpec,
    },
    /// Asks for a plan to go back, or for a drain to end.
    PlanUndone {
        /// The command that asked for it.
        command: CommandId,
        /// Who asked.
        author: String,
        /// The plan.
        plan: CommandId,
    },
    /// One step of a plan.
    PlanStepped {
        /// The plan.
        plan: CommandId,
        /// Lease under which the step was made.
        epoch: LeaseEpoch,
        /// The step.
        step: PlanStep,
    },
    /// Notes a command whose effect is in the other records of the same entry.
    CommandNoted {
        /// The command.
        command: CommandId,
        /// Who asked.
        author: String,
        /// The command as text.
        text: String,
    },
    /// Part of a snapshot of the configuration, plans and decisions, so that they outlast the
    /// records that made them.
    ChangesCarried {
        /// Every entry before this offset is reflected.
        through: LogOffset,
        /// Number of the part, from 0.
        part: u32,
        /// How many parts there are.
        parts: u32,
        /// The part's bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Copies a piece of a job's input from an entry that the log will drop.
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
        /// Names the copying that this is part of.
        copy: u64,
        /// Every result is copied up to this entry, in the order in which they were accepted.
        through: LogOffset,
        /// Which part of the copying, from 0.
        part: u32,
        /// Whether this is its last part.
        last: bool,
        /// The results.
        outcomes: Vec<ItemOutcome>,
    },
    /// Part of the state that all entries before an offset fold to.
    StateCheckpoint {
        /// The first offset that the state does not cover.
        as_of: LogOffset,
        /// Which part, from 0.
        part: u32,
        /// How many parts there are.
        parts: u32,
        /// The part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Announces a call that may run at most once. It is sent only after this was read back.
    CallIntended {
        /// The caller's name for it, hashed with its team.
        request: RequestId,
        /// SHA-256 of the call, hexadecimal.
        digest: String,
        /// Random name of the one attempt that may send it.
        attempt: u64,
        /// How long after this record the call can still run, in milliseconds.
        limit_ms: u64,
    },
    /// Tells how an announced call ended.
    CallEnded {
        /// The call.
        request: RequestId,
        /// The attempt that tells; 0 for evidence from elsewhere.
        attempt: u64,
        /// How it ended.
        ending: CallEnding,
    },
}

/// An answer that is kept, so that it can be given again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
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
    /// It ran, with this answer.
    Answered(KeptAnswer),
    /// It ran; its answer could not be kept.
    AnswerNotKept,
    /// It was provably never sent.
    NotSent,
}

/// The content of one append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// Who wrote it; [`WriterId`] 0 for tools that do not count their batches.
    #[serde(default)]
    pub writer: WriterId,
    /// Counts the writer's batches from 1. A batch that was seen before is ignored.
    #[serde(default)]
    pub sequence: u64,
    /// The records, in order.
    pub records: Vec<LogRecord>,
}

/// One entry as it is read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordEntry {
    /// Its offset.
    pub offset: LogOffset,
    /// When the log took it, Unix milliseconds by the log's clock.
    pub time_ms: u64,
    /// Its content.
    pub batch: RecordBatch,
}

/// Why an entry's bytes are not a batch.
#[derive(Debug)]
pub enum DecodeError {
    /// Not valid JSON for a batch.
    Json(serde_json::Error),
    /// Not valid MessagePack for a batch.
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
    /// A batch without records.
    pub fn new(writer: WriterId, sequence: u64) -> Self {
        Self {
            writer,
            sequence,
            records: Vec::new(),
        }
    }

    /// Replaces the records.
    pub fn with_records(mut self, records: Vec<LogRecord>) -> Self {
        self.records = records;
        self
    }

    /// The batch as MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("record batches always encode")
    }

    /// Reads a batch from MessagePack, or from JSON when the bytes start with a brace.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.first() == Some(&b'{') {
            return serde_json::from_slice(bytes).map_err(DecodeError::Json);
        }
        rmp_serde::from_slice(bytes).map_err(DecodeError::MessagePack)
    }
}
