//! Messages between instances and towards operators.

use serde::{Deserialize, Serialize};

use crate::id::{ConfigRevision, InstanceId, JobId, LogOffset};

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
