//! Group commit: entries of the whole instance in few appends, one at a time.

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

/// Entries that wait for an append; more means that the log can't be reached.
const QUEUE_ENTRIES: usize = 4_096;
/// Time in which entries that can wait are gathered: results are read every half second.
const GATHER: Duration = Duration::from_millis(60);

/// Time without a reply after which records are appended once more, and once again: many times the
/// usual 4 ms of an append, and little of the 400 ms within which callers are told that a job is
/// accepted. The limit of a call lies far above that.
const HEDGE_PAUSES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(150)];

type Outcome = Result<LogOffset, LogError>;

struct QueuedEntry {
    records: Vec<NewEntry>,
    urgent: bool,
    done: oneshot::Sender<Outcome>,
}

/// Appends entries to one topic. Cheap to clone.
#[derive(Clone)]
pub struct BatchCommitter {
    queue: mpsc::Sender<QueuedEntry>,
    entry_bytes: usize,
}

impl BatchCommitter {
    /// A committer whose task runs until the token is cancelled.
    pub fn new(log: Arc<DurableLog>, topic: LogTopic, stop: CancellationToken) -> Self {
        let (queue, entries) = mpsc::channel(QUEUE_ENTRIES);
        let entry_bytes = log.entry_bytes;
        tokio::spawn(async move { stop.run_until_cancelled(run(log, topic, entries)).await });
        Self { queue, entry_bytes }
    }

    /// Appends an entry under a new key. Urgent ones don't wait for others.
    pub async fn append(&self, entry: &BatchEntry, urgent: bool) -> Outcome {
        let records = pieces::split(entry, entry.job(), self.entry_bytes);
        self.append_records(records, urgent).await
    }

    /// Appends records; returns the offset of the first.
    pub async fn append_records(&self, records: Vec<NewEntry>, urgent: bool) -> Outcome {
        let (done, outcome) = oneshot::channel();
        let queued = QueuedEntry {
            records,
            urgent,
            done,
        };
        let full = |_| LogError::NotDone("too many entries wait".to_owned());
        self.queue.try_send(queued).map_err(full)?;
        let ended = |_| LogError::Unknown("the instance stops".to_owned());
        outcome.await.map_err(ended)?
    }
}

async fn run(log: Arc<DurableLog>, topic: LogTopic, mut entries: mpsc::Receiver<QueuedEntry>) {
    let mut held = None;
    loop {
        let first = match held.take() {
            Some(first) => first,
            None => match entries.recv().await {
                Some(first) => first,
                None => return,
            },
        };
        if !first.urgent && entries.is_empty() {
            sleep(GATHER).await;
        }
        let mut records = first.records;
        let mut waiting = vec![(0, first.done)];
        let mut bytes = size(&records);
        while let Ok(next) = entries.try_recv() {
            let more = size(&next.records);
            if bytes + more > log.append_bytes {
                held = Some(next);
                break;
            }
            bytes += more;
            waiting.push((records.len() as u64, next.done));
            records.extend(next.records);
        }
        let outcome = append_hedged(&log, topic, records).await;
        for (index, done) in waiting {
            let offset = outcome.clone().map(|first| LogOffset(first.0 + index));
            // Whoever no longer waits for the outcome does not need it.
            let _ = done.send(offset);
        }
    }
}

/// Appends records, and again under new keys while no reply comes. The first reply that they are on
/// the log counts; nothing was done only if every try says so.
async fn append_hedged(log: &DurableLog, topic: LogTopic, records: Vec<NewEntry>) -> Outcome {
    let mut tries = FuturesUnordered::new();
    let mut pauses = HEDGE_PAUSES.into_iter().peekable();
    let mut failure: Option<LogError> = None;
    tries.push((log.append)((topic, records.clone())));
    loop {
        let pause = pauses.peek().copied();
        tokio::select! {
            Some(outcome) = tries.next() => match outcome {
                Ok(offset) => return Ok(offset),
                Err(e) => {
                    let unknown = failure.filter(|known| matches!(known, LogError::Unknown(_)));
                    let worst = unknown.unwrap_or(e);
                    if tries.is_empty() {
                        return Err(worst);
                    }
                    failure = Some(worst);
                }
            },
            () = sleep(pause.unwrap_or_default()), if pause.is_some() => {
                pauses.next();
                metrics::counter!("log_appends_hedged_total").increment(1);
                tries.push((log.append)((topic, pieces::with_new_keys(topic, &records))));
            }
        }
    }
}

/// Bytes of records in an append: each has a length, and a key with a length of its own.
fn size(records: &[NewEntry]) -> usize {
    let record =
        |record: &NewEntry| record.key.len() + record.value.as_ref().map_or(0, Bytes::len) + 5;
    records.iter().map(record).sum()
}
