//! Messages between instances and towards operators.

use serde::{Deserialize, Serialize};

use crate::id::{ConfigRevision, InstanceId, JobId, LogOffset};
use crate::record::KeptAnswer;

/// What an instance says of itself to peers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The instance.
    pub instance: InstanceId,
    /// Whether it takes new work.
    pub ready: bool,
    /// The next offset it will fold.
    pub folded: LogOffset,
    /// The configuration revision in force on it.
    pub revision: ConfigRevision,
}

/// Path prefix of results that an instance keeps for others: `POST …/{request}`, a
/// [`ResultStoreCall`] in MessagePack; the answer is a [`ResultStoreReply`].
pub const RESULT_STORE_PATH: &str = "/peer/results";

/// What a keeper of results is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultStoreCall {
    /// Whether this instance may run the request.
    Claim {
        /// SHA-256 of the request, hexadecimal.
        digest: String,
        /// Who wants to run it.
        claimer: InstanceId,
        /// How long the claim holds, in milliseconds.
        for_ms: u64,
    },
    /// To keep an answer.
    Keep {
        /// SHA-256 of the request, hexadecimal.
        digest: String,
        /// The answer.
        answer: KeptAnswer,
        /// How long, in milliseconds.
        for_ms: u64,
    },
    /// To drop a claim.
    Release {
        /// Whose claim.
        claimer: InstanceId,
    },
    /// For the answer.
    Show,
}

/// What a keeper answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultStoreReply {
    /// The claim holds, the answer is kept, or the claim is dropped.
    Taken,
    /// An instance runs the request.
    Running(InstanceId),
    /// The answer.
    Done(KeptAnswer),
    /// The key was used for another request.
    Conflict,
    /// There is no room.
    Full,
    /// Nothing is held under the key.
    Nothing,
}

/// Progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Accepted, items remain.
    InProgress,
    /// Every item has a result.
    Completed,
    /// Stopped by a cancel.
    Cancelled,
}

/// What is known of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// The job.
    pub job: JobId,
    /// Its progress.
    pub phase: JobPhase,
    /// Number of items.
    pub total: u32,
    /// Items with a successful result.
    pub completed: u32,
    /// Items with a final failure.
    pub failed: u32,
}
