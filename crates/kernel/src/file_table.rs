//! Uploaded files that can be submitted as batch jobs, built by replaying the log.

use std::collections::HashMap;

use amaranth_wire::id::{JobId, LogOffset, TeamId, TierId};
use amaranth_wire::record::LogRecord;
use serde::{Deserialize, Serialize};

/// Time after which a file expires, in milliseconds of the log's clock. Shorter than the ledger
/// keeps unsealed uploads, so that a listed file can still become a job.
pub const FILE_TTL_MS: u64 = 3_000_000;

/// An uploaded file of batch items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredFile {
    /// The upload that holds its items.
    pub upload: u64,
    /// Team that stored it.
    pub team: TeamId,
    /// Tier that its items are submitted to.
    pub tier: TierId,
    /// Number of items.
    pub count: u32,
    /// SHA-256 of the file contents, hexadecimal.
    pub digest: String,
    /// Size of the file in bytes.
    pub bytes: u64,
    /// File name given by the caller.
    pub name: String,
    /// Time at which it was stored, Unix milliseconds.
    pub stored_ms: u64,
    time_ms: u64,
}

/// The files of one shard, by the id of the job that each file becomes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileTable {
    files: HashMap<JobId, StoredFile>,
}

impl FileTable {
    /// Applies one record; records of other kinds are ignored. A later file of the same job does
    /// not replace an unexpired one.
    pub fn apply(&mut self, _: LogOffset, time_ms: u64, record: &LogRecord) {
        let LogRecord::FileStored {
            job,
            upload,
            team,
            tier,
            count,
            digest,
            bytes,
            name,
            stored_ms,
        } = record
        else {
            return;
        };
        let oldest = time_ms.saturating_sub(FILE_TTL_MS);
        self.files.retain(|_, file| file.time_ms >= oldest);
        self.files.entry(job.clone()).or_insert_with(|| StoredFile {
            upload: *upload,
            team: team.clone(),
            tier: tier.clone(),
            count: *count,
            digest: digest.clone(),
            bytes: *bytes,
            name: name.clone(),
            stored_ms: *stored_ms,
            time_ms,
        });
    }

    /// Returns the file that becomes the given job.
    pub fn get(&self, job: &JobId) -> Option<&StoredFile> {
        self.files.get(job)
    }
}
