//! Group commit: batches the entries of the instance into few appends. Entries that are not urgent
//! share a fixed part of the partition's rate among all writers.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::commit::AppendBudget;
use amaranth_kernel::hedge_policy::HedgePolicy;
use amaranth_wire::batch_entry::BatchEntry;
use amaranth_wire::id::LogOffset;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::batch::pieces;
use crate::log_access::{DurableLog, LogError, NewEntry, TopicPartition};
use crate::panic_guard::contain_async;

/// Most entries that wait for an append; more means that the log can't be reached.
const MAX_QUEUED_ENTRIES: usize = 4_096;
/// Time for which non-urgent entries are collected into one append. It is short next to the half
/// second between two reads of results.
const BATCHING_DELAY: Duration = Duration::from_millis(60);

/// Most hedged appends beside the first one.
const MAX_HEDGES: u32 = 2;

/// Returns the current rate of the partition and the number of its writers.
pub type BudgetSource = Box<dyn Fn() -> AppendBudget + Send + Sync>;

type AppendOutcome = Result<LogOffset, LogError>;

struct QueuedEntry {
    records: Vec<NewEntry>,
    done: oneshot::Sender<AppendOutcome>,
}

/// Handle that queues entries for one partition. Cheap to clone.
#[derive(Clone)]
pub struct BatchCommitter {
    urgent: mpsc::Sender<QueuedEntry>,
    batched: mpsc::Sender<QueuedEntry>,
    entry_bytes: usize,
    partition: u32,
}

impl BatchCommitter {
    /// Creates a committer and spawns its tasks, which run until the token is cancelled.
    pub fn new(
        log: Arc<DurableLog>,
        target: TopicPartition,
        budget: BudgetSource,
        stop: CancellationToken,
    ) -> Self {
        let entry_bytes = log.entry_bytes;
        Self {
            urgent: start_loop(log.clone(), target, None, stop.clone()),
            batched: start_loop(log, target, Some(budget), stop),
            entry_bytes,
            partition: target.partition,
        }
    }

    /// Partition to which this committer appends.
    pub fn partition(&self) -> u32 {
        self.partition
    }

    /// Appends an entry under a new key. An urgent entry is not batched and does not wait for
    /// appends of other entries.
    pub async fn append(&self, entry: &BatchEntry, urgent: bool) -> AppendOutcome {
        let records = pieces::split(entry, entry.job(), self.entry_bytes);
        self.append_records(records, urgent).await
    }

    /// Appends records; returns the offset of the first.
    pub async fn append_records(&self, records: Vec<NewEntry>, urgent: bool) -> AppendOutcome {
        let (done, outcome) = oneshot::channel();
        let queued = QueuedEntry { records, done };
        let full = |_| LogError::NotDone("append queue is full".to_owned());
        let queue = match urgent {
            true => &self.urgent,
            false => &self.batched,
        };
        queue.try_send(queued).map_err(full)?;
        let ended = |_| LogError::Unknown("the append was given up".to_owned());
        outcome.await.map_err(ended)?
    }
}

/// Spawns an append loop and returns its queue. Without a budget, entries are not batched.
fn start_loop(
    log: Arc<DurableLog>,
    target: TopicPartition,
    budget: Option<BudgetSource>,
    stop: CancellationToken,
) -> mpsc::Sender<QueuedEntry> {
    let (queue, entries) = mpsc::channel(MAX_QUEUED_ENTRIES);
    let appends = AppendLoop {
        log,
        target,
        entries,
        budget,
        policy: HedgePolicy::new(),
        deferred: None,
        last_append: None,
    };
    tokio::spawn(async move { stop.run_until_cancelled(appends.run()).await });
    queue
}

/// Entries that are appended together.
struct EntryGroup {
    records: Vec<NewEntry>,
    /// Index of an entry's first record, and the sender of its outcome.
    waiting: Vec<(u64, oneshot::Sender<AppendOutcome>)>,
    bytes: usize,
}

impl EntryGroup {
    fn new(first: QueuedEntry) -> Self {
        Self {
            bytes: encoded_size(&first.records),
            records: first.records,
            waiting: vec![(0, first.done)],
        }
    }

    /// Adds an entry; returns it if the group would exceed `max_bytes`.
    fn add(&mut self, next: QueuedEntry, max_bytes: usize) -> Option<QueuedEntry> {
        let added = encoded_size(&next.records);
        if self.bytes + added > max_bytes {
            return Some(next);
        }
        self.bytes += added;
        self.waiting.push((self.records.len() as u64, next.done));
        self.records.extend(next.records);
        None
    }
}

/// The task that appends queued entries.
struct AppendLoop {
    log: Arc<DurableLog>,
    target: TopicPartition,
    entries: mpsc::Receiver<QueuedEntry>,
    budget: Option<BudgetSource>,
    policy: HedgePolicy,
    deferred: Option<QueuedEntry>,
    last_append: Option<Instant>,
}

impl AppendLoop {
    async fn run(mut self) {
        while let Some(first) = self.next_entry().await {
            if let Err(why) = contain_async(self.append_group(first)).await {
                log::error!("event=append_panicked target={} why={why:?}", self.target);
            }
        }
    }

    async fn append_group(&mut self, first: QueuedEntry) {
        let group = self.collect_group(first).await;
        self.last_append = Some(Instant::now());
        let outcome = append_hedged(&self.log, self.target, group.records, &mut self.policy).await;
        for (index, done) in group.waiting {
            let offset = outcome.clone();
            let offset = offset.map(|first| LogOffset(first.0.saturating_add(index)));
            // The receiver may have been dropped.
            let _ = done.send(offset);
        }
    }

    async fn next_entry(&mut self) -> Option<QueuedEntry> {
        match self.deferred.take() {
            Some(deferred) => Some(deferred),
            None => self.entries.recv().await,
        }
    }

    /// Collects the entries that are queued before the next append is due.
    async fn collect_group(&mut self, first: QueuedEntry) -> EntryGroup {
        let mut group = EntryGroup::new(first);
        let due = self.next_append_time();
        while let Some(next) = self.entry_before(due).await {
            self.deferred = group.add(next, self.log.append_bytes);
            if self.deferred.is_some() {
                break;
            }
        }
        group
    }

    async fn entry_before(&mut self, due: Option<Instant>) -> Option<QueuedEntry> {
        match due {
            None => self.entries.try_recv().ok(),
            Some(due) => timeout_at(due, self.entries.recv()).await.ok().flatten(),
        }
    }

    /// Time of the next append of batched entries; `None` if entries are not batched.
    fn next_append_time(&self) -> Option<Instant> {
        let budget = (self.budget.as_ref()?)();
        let batched = Instant::now() + BATCHING_DELAY;
        let interval = Duration::from_millis(budget.interval_ms());
        let paced = self.last_append.map(|last_append| last_append + interval);
        Some(paced.map_or(batched, |paced| paced.max(batched)))
    }
}

/// Appends records, with hedged appends under new keys while no reply comes and the policy permits
/// them. The first success counts; the result is [`LogError::NotDone`] only if every attempt says
/// so.
async fn append_hedged(
    log: &DurableLog,
    target: TopicPartition,
    records: Vec<NewEntry>,
    policy: &mut HedgePolicy,
) -> AppendOutcome {
    let mut attempts = FuturesUnordered::new();
    let mut hedges = 0;
    let mut hedge_delay = Some(Duration::from_millis(policy.delay_ms(hedges)));
    let mut failure: Option<LogError> = None;
    attempts.push(timed_append(log, target, records.clone()));
    loop {
        tokio::select! {
            Some((latency, outcome)) = attempts.next() => {
                if !matches!(outcome, Err(LogError::Unknown(_))) {
                    policy.record_reply(latency.as_millis() as u64);
                }
                match outcome {
                    Ok(offset) => {
                        if hedges == 0 {
                            policy.record_unhedged_append();
                        }
                        return Ok(offset);
                    }
                    Err(e) => {
                        let unknown = failure.filter(|known| matches!(known, LogError::Unknown(_)));
                        let worst = unknown.unwrap_or(e);
                        if attempts.is_empty() {
                            return Err(worst);
                        }
                        failure = Some(worst);
                    }
                }
            }
            () = sleep(hedge_delay.unwrap_or_default()), if hedge_delay.is_some() => {
                if !policy.take_hedge() {
                    metrics::counter!("log_append_hedges_denied_total").increment(1);
                    hedge_delay = None;
                    continue;
                }
                metrics::counter!("log_appends_hedged_total").increment(1);
                let renewed = pieces::with_new_keys(target.topic, &records);
                attempts.push(timed_append(log, target, renewed));
                hedges += 1;
                let delay = Duration::from_millis(policy.delay_ms(hedges));
                hedge_delay = (hedges < MAX_HEDGES).then_some(delay);
            }
        }
    }
}

/// Appends records and measures how long the reply takes.
async fn timed_append(
    log: &DurableLog,
    target: TopicPartition,
    records: Vec<NewEntry>,
) -> (Duration, AppendOutcome) {
    let sent = Instant::now();
    let outcome = (log.append)((target, records)).await;
    (sent.elapsed(), outcome)
}

/// Encoded bytes of records in an append, with the length prefixes of record and key.
fn encoded_size(records: &[NewEntry]) -> usize {
    let record =
        |record: &NewEntry| record.key.len() + record.value.as_ref().map_or(0, Bytes::len) + 5;
    records.iter().map(record).sum()
}
