//! Reads items and results from the log by offset, with a small cache of decoded entries.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::{Arc, Mutex};

use amaranth_kernel::ledger::ItemRange;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{JobId, LogOffset};
use amaranth_wire::record::{ItemInput, ItemOutcome, LogRecord, RecordBatch};

use crate::log_client::LogClient;

/// Decoded entries in the cache; an entry is at most about 1 MiB.
const CACHED_ENTRIES: usize = 8;

/// Result of reading items or outcomes.
pub type Result<T> = std::result::Result<T, CallError>;

/// One piece of a job's upload, stored in one log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemPiece {
    /// The job that the items belong to.
    pub job: JobId,
    /// The job's sealed upload; items of other uploads are ignored.
    pub upload: u64,
    /// Log offset and item indexes of the piece.
    pub range: ItemRange,
}

/// Reads and caches log entries by offset.
pub struct ItemReader {
    log: LogClient,
    cache: Mutex<VecDeque<(LogOffset, Arc<RecordBatch>)>>,
}

impl ItemReader {
    /// Creates a reader with an empty cache.
    pub fn new(log: LogClient) -> Self {
        Self {
            log,
            cache: Mutex::new(VecDeque::new()),
        }
    }

    /// Reads the items with these indexes from a piece. An error if the piece does not contain
    /// them.
    pub async fn items(&self, piece: &ItemPiece, indexes: Range<u32>) -> Result<Vec<ItemInput>> {
        let batch = self.batch(piece.range.offset).await?;
        let found = batch.records.iter().find_map(|record| match record {
            LogRecord::JobItems {
                job,
                upload,
                first,
                items,
            }
            | LogRecord::ItemsCarried {
                job,
                upload,
                first,
                items,
            } if *job == piece.job && *upload == piece.upload && *first == piece.range.first => {
                let position = |index: u32| index.saturating_sub(*first) as usize;
                items.get(position(indexes.start)..position(indexes.end))
            }
            _ => None,
        });
        let missing = || CallError::new(ErrorKind::Internal, "items missing on the log");
        found.map(<[ItemInput]>::to_vec).ok_or_else(missing)
    }

    /// Reads the results that one entry holds for these items of a job, in the order of the entry.
    pub async fn outcomes(
        &self,
        offset: LogOffset,
        job: &JobId,
        indexes: &Range<u32>,
    ) -> Result<Vec<ItemOutcome>> {
        let batch = self.batch(offset).await?;
        let records = batch.records.iter();
        let outcomes = records.filter_map(|record| match record {
            LogRecord::ItemsFinished {
                job: j, outcomes, ..
            }
            | LogRecord::ResultsCarried {
                job: j, outcomes, ..
            } if j == job => Some(outcomes),
            _ => None,
        });
        let wanted = outcomes.flatten().filter(|o| indexes.contains(&o.index));
        Ok(wanted.cloned().collect())
    }

    async fn batch(&self, offset: LogOffset) -> Result<Arc<RecordBatch>> {
        if let Some(batch) = self.cached(offset) {
            return Ok(batch);
        }
        let unavailable = |message: String| CallError::new(ErrorKind::LogUnavailable, message);
        let reply = self.log.read_now(offset, 1).await;
        let reply = reply.map_err(|e| unavailable(e.to_string()))?;
        if reply.oldest > offset {
            let message = format!("entry {offset} is no longer on the log");
            return Err(CallError::new(ErrorKind::Internal, message));
        }
        let entry = reply.entries.into_iter().find(|e| e.offset == offset);
        let entry = entry.ok_or_else(|| unavailable(format!("entry {offset} was not sent")))?;
        let batch = RecordBatch::decode(&entry.bytes)
            .map_err(|e| CallError::new(ErrorKind::Internal, e.to_string()))?;
        Ok(self.insert(offset, batch))
    }

    fn cached(&self, offset: LogOffset) -> Option<Arc<RecordBatch>> {
        let cache = self.cache.lock().expect("not poisoned");
        let found = cache.iter().find(|(at, _)| *at == offset);
        found.map(|(_, batch)| batch.clone())
    }

    fn insert(&self, offset: LogOffset, batch: RecordBatch) -> Arc<RecordBatch> {
        let batch = Arc::new(batch);
        let mut cache = self.cache.lock().expect("not poisoned");
        if cache.len() == CACHED_ENTRIES {
            cache.pop_front();
        }
        cache.push_back((offset, batch.clone()));
        batch
    }
}
