//! Group commit: batches the entries of the instance into few appends, one at a time.

use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::batch_entry::BatchEntry;
use amaranth_wire::id::LogOffset;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::batch::pieces;
use crate::log_access::{DurableLog, LogError, LogTopic, NewEntry};

/// Most entries that wait for an append; more means that the log can't be reached.
const MAX_QUEUED_ENTRIES: usize = 4_096;
/// Time for which non-urgent entries are collected into one append. It is short next to the half
/// second between two reads of results.
const BATCHING_DELAY: Duration = Duration::from_millis(60);

/// Delays without a reply before the first and the second hedged append: many times the usual 4 ms
/// of an append, and little of the 400 ms within which callers are told that a job is accepted.
/// The timeout of a call is far longer.
const HEDGE_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(150)];

type AppendOutcome = Result<LogOffset, LogError>;

struct QueuedEntry {
    records: Vec<NewEntry>,
    urgent: bool,
    done: oneshot::Sender<AppendOutcome>,
}

/// Handle that queues entries for one topic. Cheap to clone.
#[derive(Clone)]
pub struct BatchCommitter {
    queue: mpsc::Sender<QueuedEntry>,
    entry_bytes: usize,
}

impl BatchCommitter {
    /// Creates a committer and spawns its task, which runs until the token is cancelled.
    pub fn new(log: Arc<DurableLog>, topic: LogTopic, stop: CancellationToken) -> Self {
        let (queue, entries) = mpsc::channel(MAX_QUEUED_ENTRIES);
        let entry_bytes = log.entry_bytes;
        tokio::spawn(async move {
            stop.run_until_cancelled(run_appends(log, topic, entries))
                .await
        });
        Self { queue, entry_bytes }
    }

    /// Appends an entry under a new key. An urgent entry skips the batching delay.
    pub async fn append(&self, entry: &BatchEntry, urgent: bool) -> AppendOutcome {
        let records = pieces::split(entry, entry.job(), self.entry_bytes);
        self.append_records(records, urgent).await
    }

    /// Appends records; returns the offset of the first.
    pub async fn append_records(&self, records: Vec<NewEntry>, urgent: bool) -> AppendOutcome {
        let (done, outcome) = oneshot::channel();
        let queued = QueuedEntry {
            records,
            urgent,
            done,
        };
        let full = |_| LogError::NotDone("append queue is full".to_owned());
        self.queue.try_send(queued).map_err(full)?;
        let ended = |_| LogError::Unknown("instance is shutting down".to_owned());
        outcome.await.map_err(ended)?
    }
}

async fn run_appends(
    log: Arc<DurableLog>,
    topic: LogTopic,
    mut entries: mpsc::Receiver<QueuedEntry>,
) {
    let mut deferred = None;
    loop {
        let first = match deferred.take() {
            Some(first) => first,
            None => match entries.recv().await {
                Some(first) => first,
                None => return,
            },
        };
        if !first.urgent && entries.is_empty() {
            sleep(BATCHING_DELAY).await;
        }
        let mut records = first.records;
        let mut waiting = vec![(0, first.done)];
        let mut bytes = encoded_size(&records);
        while let Ok(next) = entries.try_recv() {
            let added = encoded_size(&next.records);
            if bytes + added > log.append_bytes {
                deferred = Some(next);
                break;
            }
            bytes += added;
            waiting.push((records.len() as u64, next.done));
            records.extend(next.records);
        }
        let outcome = append_hedged(&log, topic, records).await;
        for (index, done) in waiting {
            let offset = outcome.clone().map(|first| LogOffset(first.0 + index));
            // The receiver may have been dropped.
            let _ = done.send(offset);
        }
    }
}

/// Appends records, with hedged appends under new keys while no reply comes. The first success
/// counts; the result is [`LogError::NotDone`] only if every attempt says so.
async fn append_hedged(log: &DurableLog, topic: LogTopic, records: Vec<NewEntry>) -> AppendOutcome {
    let mut attempts = FuturesUnordered::new();
    let mut delays = HEDGE_DELAYS.into_iter().peekable();
    let mut failure: Option<LogError> = None;
    attempts.push((log.append)((topic, records.clone())));
    loop {
        let delay = delays.peek().copied();
        tokio::select! {
            Some(outcome) = attempts.next() => match outcome {
                Ok(offset) => return Ok(offset),
                Err(e) => {
                    let unknown = failure.filter(|known| matches!(known, LogError::Unknown(_)));
                    let worst = unknown.unwrap_or(e);
                    if attempts.is_empty() {
                        return Err(worst);
                    }
                    failure = Some(worst);
                }
            },
            () = sleep(delay.unwrap_or_default()), if delay.is_some() => {
                delays.next();
                metrics::counter!("log_appends_hedged_total").increment(1);
                attempts.push((log.append)((topic, pieces::with_new_keys(topic, &records))));
            }
        }
    }
}

/// Encoded bytes of records in an append, with the length prefixes of record and key.
fn encoded_size(records: &[NewEntry]) -> usize {
    let record =
        |record: &NewEntry| record.key.len() + record.value.as_ref().map_or(0, Bytes::len) + 5;
    records.iter().map(record).sum()
}
