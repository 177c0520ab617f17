//! Entries of the topic that holds batch jobs and their results.

use serde::{Deserialize, Serialize};

use crate::id::{ItemId, JobId, LogOffset};

/// Where bytes lie that are read only where they are asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlobRef {
    /// Key of their records, without the number of the record.
    pub key: String,
    /// Offset of the first record; the others follow it.
    pub offset: LogOffset,
    /// Number of records.
    pub records: u32,
    /// Number of bytes.
    pub bytes: u64,
}

impl BlobRef {
    /// Key of a record.
    pub fn record_key(&self, index: u32) -> String {
        format!("{}/{index}", self.key)
    }
}

/// One item as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedItem {
    /// Its name.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Tokens of the prompt and most tokens of the answer together.
    pub tokens: u64,
}

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedJob {
    /// Its name.
    pub job: JobId,
    /// Host that it was sent to.
    pub host: String,
    /// Path that it was sent to; with the host it names the route.
    pub path: String,
    /// When it was received, in milliseconds of Unix time.
    pub received_ms: u64,
    /// Its items.
    pub items: Vec<SubmittedItem>,
    /// The bodies of their requests, as [`ItemBodies`].
    pub bodies: BlobRef,
}

/// The bodies of a job's items, in the order of the items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemBodies(pub Vec<serde_bytes::ByteBuf>);

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEnd {
    /// With its whole output: the data of all events, joined by line feeds.
    Succeeded(BlobRef),
    /// Without: it can't be done, failed too often, or was given up.
    Errored,
}

/// Output of an item up to an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// Number of the last event that is in it.
    pub last_event: u64,
    /// The data of the events, joined by line feeds.
    pub text: BlobRef,
}

/// How far a run of an item has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// The item's job.
    pub job: JobId,
    /// The item.
    pub item: ItemId,
    /// Member name of the instance that runs it; `None` from one that gives it up.
    pub member: Option<String>,
    /// What it has brought, for whoever goes on with it.
    pub kept: Option<PartialOutput>,
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchEntry {
    /// A job was accepted.
    Submitted(SubmittedJob),
    /// An item has an end.
    ItemEnded {
        /// Its job.
        job: JobId,
        /// The item.
        item: ItemId,
        /// How it ended.
        end: ItemEnd,
    },
    /// The caller ended the job.
    Ended {
        /// The job.
        job: JobId,
    },
    /// An item runs.
    Progress(ItemProgress),
}

/// Result of reading an entry.
pub type Result<T> = std::result::Result<T, rmp_serde::decode::Error>;

impl BatchEntry {
    /// Reads an entry.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes)
    }

    /// The job that it is about.
    pub fn job(&self) -> &JobId {
        match self {
            Self::Submitted(submission) => &submission.job,
            Self::Progress(progress) => &progress.job,
            Self::ItemEnded { job, .. } | Self::Ended { job } => job,
        }
    }

    /// The entry as bytes.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("entries hold no maps or unknown lengths")
    }
}
