//! Entries of the topic that holds batch jobs and their results.

use serde::{Deserialize, Serialize};

use crate::id::{ItemId, JobId};

/// One item as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedItem {
    /// Its name.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
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
}

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEnd {
    /// With its whole output: the data of all events, joined by line feeds.
    Succeeded(String),
    /// Without: it can't be done, failed too often, or was given up.
    Errored,
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
            Self::ItemEnded { job, .. } | Self::Ended { job } => job,
        }
    }

    /// The entry as bytes.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("entries hold no maps or unknown lengths")
    }
}
