//! Entries of the log topic with batch jobs and their results.

use serde::{Deserialize, Serialize};

use crate::caller_identity::CallerIdentity;
use crate::id::{ConfigRevision, ItemId, JobId, LogOffset};

/// Location of bytes that are stored apart from the entry and read only on demand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlobRef {
    /// Key prefix of the records; the full key ends in the record's index.
    pub key: String,
    /// Offset of the first record; the others have higher offsets.
    pub offset: LogOffset,
    /// Number of records.
    pub records: u32,
    /// Total size in bytes.
    pub bytes: u64,
    /// Partition of the records; entries of older versions have them in partition 0.
    #[serde(default)]
    pub partition: u32,
}

impl BlobRef {
    /// Returns the key of the record with this index.
    pub fn record_key(&self, index: u32) -> String {
        format!("{}/{index}", self.key)
    }
}

/// One item of a job, without what only its run needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedItem {
    /// Name of the item.
    pub id: ItemId,
    /// Path of the request, in entries of older versions; otherwise empty.
    pub path: String,
    /// Headers of the request, in entries of older versions; otherwise empty.
    pub headers: Vec<(String, String)>,
    /// Prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
}

/// Limit on the tokens that wait in all jobs of a scope, as it was in force at the instance that
/// received a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobQuota {
    /// Jobs with the same scope share the limit.
    pub scope: String,
    /// Most waiting tokens; `None` for no limit.
    pub max_tokens: Option<u64>,
}

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedJob {
    /// Name of the job.
    pub job: JobId,
    /// Host that the job was sent to.
    pub host: String,
    /// Path that the job was sent to; host and path identify the route.
    pub path: String,
    /// Time of receipt, in Unix milliseconds.
    pub received_ms: u64,
    /// Items of the job, without their requests.
    pub items: Vec<SubmittedItem>,
    /// Location of the requests, encoded as [`ItemRequests`].
    pub bodies: BlobRef,
    /// Limit under which the job is accepted or rejected; `None` in entries of older versions.
    #[serde(default)]
    pub quota: Option<JobQuota>,
    /// Random number of the call that submitted the job. All appends of one call share it, and so
    /// does their fate: a rejected call stays rejected when one of them arrives late.
    #[serde(default)]
    pub call: u64,
    /// Configuration under which the job was received; 0 in entries of older versions. An older one
    /// says nothing about the job's route.
    #[serde(default)]
    pub revision: ConfigRevision,
    /// Who submitted the job; unchecked in entries of older versions.
    #[serde(default)]
    pub caller: CallerIdentity,
}

impl SubmittedJob {
    /// Tokens of all items.
    pub fn tokens(&self) -> u64 {
        total_tokens(&self.items)
    }
}

/// Sum of the tokens of items; saturates instead of overflowing.
pub fn total_tokens<'a>(items: impl IntoIterator<Item = &'a SubmittedItem>) -> u64 {
    let tokens = items.into_iter().map(|item| item.tokens);
    tokens.fold(0, u64::saturating_add)
}

/// Request of an item. It is stored apart from the job's entry, which every instance reads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRequest {
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: serde_bytes::ByteBuf,
}

/// Requests of a job, in the order of its items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ItemRequests {
    /// Complete requests.
    Requests(Vec<ItemRequest>),
    /// Bodies only, as older versions stored them; the job's entry holds the rest.
    Bodies(Vec<serde_bytes::ByteBuf>),
}

impl ItemRequests {
    /// Returns the request of an item by its index in the job; `None` if it is out of range.
    pub fn into_request(self, index: usize, item: &SubmittedItem) -> Option<ItemRequest> {
        match self {
            Self::Requests(requests) => requests.into_iter().nth(index),
            Self::Bodies(bodies) => bodies.into_iter().nth(index).map(|body| ItemRequest {
                path: item.path.clone(),
                headers: item.headers.clone(),
                body,
            }),
        }
    }
}

/// Final outcome of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEnd {
    /// Complete output: the data of all events, joined by line feeds.
    Succeeded(BlobRef),
    /// No output: the item was rejected, failed too often or was abandoned.
    Errored,
}

/// Output of an item up to a certain event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// Number of the last event that is included.
    pub last_event: u64,
    /// The data of the events, joined by line feeds.
    pub text: BlobRef,
}

/// Progress of one run of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// Job of the item.
    pub job: JobId,
    /// The item.
    pub item: ItemId,
    /// Member name of the instance that runs it; `None` when that instance releases the item.
    pub member: Option<String>,
    /// Output so far, from which another instance can resume.
    pub kept: Option<PartialOutput>,
}

/// One entry of the batch topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchEntry {
    /// A job was accepted.
    Submitted(SubmittedJob),
    /// An item reached its final outcome.
    ItemEnded {
        /// Job of the item.
        job: JobId,
        /// The item.
        item: ItemId,
        /// Outcome of the item.
        end: ItemEnd,
    },
    /// The caller ended the job.
    Ended {
        /// The job.
        job: JobId,
    },
    /// An item made progress or changed its runner.
    Progress(ItemProgress),
}

/// Result of decoding an entry.
pub type Result<T> = std::result::Result<T, rmp_serde::decode::Error>;

impl BatchEntry {
    /// Decodes an entry from MessagePack.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes)
    }

    /// Returns the job that the entry belongs to.
    pub fn job(&self) -> &JobId {
        match self {
            Self::Submitted(submission) => &submission.job,
            Self::Progress(progress) => &progress.job,
            Self::ItemEnded { job, .. } | Self::Ended { job } => job,
        }
    }

    /// Encodes the entry as MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("entries hold no maps or unknown lengths")
    }
}
