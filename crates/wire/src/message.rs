//! Messages between instances and to operators.

use serde::{Deserialize, Serialize};

use crate::id::{ConfigRevision, InstanceId, JobId, LogOffset};
use crate::record::StoredAnswer;

/// Status that an instance reports to peers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The instance.
    pub instance: InstanceId,
    /// Whether the instance accepts new work.
    pub ready: bool,
    /// Offset of the next log entry that the instance will fold.
    pub folded: LogOffset,
    /// Configuration revision in force on the instance.
    pub revision: ConfigRevision,
}

/// Path prefix of results that an instance stores for others: `POST …/{request}` with a
/// [`ResultStoreCall`] in MessagePack; the response is a [`ResultStoreReply`].
pub const RESULT_STORE_PATH: &str = "/peer/results";

/// Call to the instance that stores the result of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultStoreCall {
    /// Claims the right to run the request.
    Claim {
        /// SHA-256 of the request, hexadecimal.
        digest: String,
        /// Instance that wants to run the request.
        claimer: InstanceId,
        /// Lifetime of the claim, in milliseconds.
        for_ms: u64,
    },
    /// Stores the response to the request.
    Keep {
        /// SHA-256 of the request, hexadecimal.
        digest: String,
        /// Response to store.
        answer: StoredAnswer,
        /// Lifetime of the stored response, in milliseconds.
        for_ms: u64,
    },
    /// Releases a claim.
    Release {
        /// Instance that holds the claim.
        claimer: InstanceId,
    },
    /// Reads the stored response.
    Show,
}

/// Reply to a [`ResultStoreCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultStoreReply {
    /// The claim is granted, the response is stored, or the claim is released.
    Taken,
    /// This instance runs the request.
    Running(InstanceId),
    /// The request has run; its stored response.
    Done(StoredAnswer),
    /// The idempotency key was used for another request.
    Conflict,
    /// The store is full.
    Full,
    /// Neither a claim nor a response is stored for the key.
    Nothing,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Accepted; some items have no result yet.
    InProgress,
    /// Every item has a result.
    Completed,
    /// Cancelled before every item had a result.
    Cancelled,
}

/// Status of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// The job.
    pub job: JobId,
    /// State of the job.
    pub phase: JobPhase,
    /// Number of items.
    pub total: u32,
    /// Items with a successful result.
    pub completed: u32,
    /// Items with a final failure.
    pub failed: u32,
}
