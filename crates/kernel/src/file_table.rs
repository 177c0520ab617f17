//! Stored files folded from the log: uploads that no job was made from yet.

use std::collections::HashMap;

use amaranth_wire::id::{JobId, LogOffset, TeamId, TierId};
use amaranth_wire::record::LogRecord;
use serde::{Deserialize, Serialize};

/// How long a file is remembered, in milliseconds of the log's clock. Shorter than the ledger
/// remembers an upload's items, so that a file that is shown can still become a job.
pub const FILE_MEMORY_MS: u64 = 3_000_000;

/// One stored file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredFile {
    /// The upload that holds its items.
    pub upload: u64,
    /// Who stored it.
    pub team: TeamId,
    /// The tier that its items are for.
    pub tier: TierId,
    /// Number of items.
    pub count: u32,
    /// SHA-256 of the file, hexadecimal.
    pub digest: String,
    /// Size of the file.
    pub bytes: u64,
    /// The caller's name for it.
    pub name: String,
    /// When it was stored, Unix milliseconds.
    pub stored_ms: u64,
    time_ms: u64,
}

/// The files of one shard, by the job that each makes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileTable {
    files: HashMap<JobId, StoredFile>,
}

impl FileTable {
    /// Applies one record; records of other kinds are ignored. The first file of a job stays.
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
        let oldest = time_ms.saturating_sub(FILE_MEMORY_MS);
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

    /// The file that makes a job.
    pub fn get(&self, job: &JobId) -> Option<&StoredFile> {
        self.files.get(job)
    }
}
