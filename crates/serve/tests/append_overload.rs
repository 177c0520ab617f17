//! Many writers at one partition of the log, which processes appends one at a time: a short stall
//! must not turn into a lasting overload, and lost replies must still be made up for soon.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::commit::AppendBudget;
use amaranth_serve::batch::commit::BatchCommitter;
use amaranth_serve::log_access::{DurableLog, LogError, LogTopic, NewEntry, Result};
use amaranth_wire::id::LogOffset;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

/// Writers that own items of jobs, as in a fleet of 295 instances.
const WRITERS: u64 = 61;
/// Time that the partition takes for an append.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// The partition refuses an append when more than this is waiting.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time after which the client gives up on a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between two entries of one writer that are not urgent: 1.5 items a second, with four
/// entries each.
const ENTRY_PERIOD: Duration = Duration::from_millis(167);
/// Time between two urgent entries over all writers: 9 jobs a second, with two appends each.
const URGENT_PERIOD: Duration = Duration::from_millis(55);
/// An urgent append may take half of the 800 ms within which a job is to be acknowledged.
const URGENT_OBJECTIVE: Duration = Duration::from_millis(400);

/// A partition that processes appends one after the other.
struct QueuedPartition {
    free_at: Mutex<Instant>,
    appends: AtomicU64,
    /// One of this many replies is lost; 0 for none.
    lost_of: u64,
}

impl QueuedPartition {
    fn new(lost_of: u64) -> Arc<Self> {
        Arc::new(Self {
            free_at: Mutex::new(Instant::now()),
            appends: AtomicU64::new(0),
            lost_of,
        })
    }

    /// Holds up all appends for a while.
    fn stall(&self, duration: Duration) {
        let mut free_at = self.free_at.lock().unwrap();
        *free_at = (*free_at).max(Instant::now()) + duration;
    }

    async fn append(&self) -> Result<LogOffset> {
        let number = self.appends.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let done = {
            let mut free_at = self.free_at.lock().unwrap();
            if free_at.saturating_duration_since(now) > MAX_WAIT {
                return Err(LogError::NotDone("more than 2 s are waiting".to_owned()));
            }
            *free_at = (*free_at).max(now) + APPEND_TIME;
            *free_at
        };
        let is_lost = self.lost_of > 0 && number.is_multiple_of(self.lost_of);
        if is_lost || done - now > REPLY_TIMEOUT {
            sleep(REPLY_TIMEOUT).await;
            return Err(LogError::Unknown("no answer in time".to_owned()));
        }
        sleep_until(done).await;
        Ok(LogOffset(number))
    }
}

fn unused<A, T>() -> Box<dyn Fn(A) -> BoxFuture<'static, Result<T>> + Send + Sync>
where
    T: Send + 'static,
{
    Box::new(|_| std::future::ready(Err(LogError::NotDone("unused".to_owned()))).boxed())
}

fn log_of(partition: Arc<QueuedPartition>) -> Arc<DurableLog> {
    Arc::new(DurableLog {
        read: unused(),
        newest_after: unused(),
        newest: unused(),
        append: Box::new(move |_| {
            let partition = partition.clone();
            async move { partition.append().await }.boxed()
        }),
        join: unused(),
        members: unused(),
        leave: unused(),
        shard_count: 64,
        blob_partitions: 1,
        partition_appends_per_s: 250,
        append_bytes: 1 << 20,
        entry_bytes: 1 << 18,
    })
}

fn start_writers(partition: &Arc<QueuedPartition>) -> Vec<BatchCommitter> {
    let log = log_of(partition.clone());
    let start_writer = |_| {
        let budget = || AppendBudget {
            rate: 250,
            writers: WRITERS,
        };
        let (log, stop) = (log.clone(), CancellationToken::new());
        BatchCommitter::new(log, LogTopic::Batch.into(), Box::new(budget), stop)
    };
    (0..WRITERS).map(start_writer).collect()
}

fn record(key: &str) -> Vec<NewEntry> {
    vec![NewEntry {
        key: format!("{key}/0/0/1"),
        value: Some(vec![1].into()),
    }]
}

/// Appends entries that are not urgent, as owners of items do, until the test ends.
fn start_items(writers: &[BatchCommitter]) {
    for (number, writer) in writers.iter().cloned().enumerate() {
        tokio::spawn(async move {
            sleep(ENTRY_PERIOD / WRITERS as u32 * number as u32).await;
            loop {
                let writer = writer.clone();
                // A failed entry is appended again by its item, which is not part of this load.
                tokio::spawn(
                    async move { drop(writer.append_records(record("item"), false).await) },
                );
                sleep(ENTRY_PERIOD).await;
            }
        });
    }
}

/// Appends urgent entries for a while; returns the latencies of the successful ones and the number
/// of all.
async fn play_urgent(writers: &[BatchCommitter], play_time: Duration) -> (Vec<Duration>, usize) {
    let start = Instant::now();
    let mut appends = Vec::new();
    while start.elapsed() < play_time {
        let writer = writers[appends.len() % writers.len()].clone();
        appends.push(tokio::spawn(async move {
            let sent = Instant::now();
            let outcome = writer.append_records(record("job"), true).await;
            outcome.ok().map(|_| sent.elapsed())
        }));
        sleep(URGENT_PERIOD).await;
    }
    let count = appends.len();
    let mut latencies = Vec::new();
    for append in appends {
        latencies.extend(append.await.unwrap());
    }
    (latencies, count)
}

fn share_in_time(latencies: &[Duration], count: usize) -> f64 {
    let in_time = latencies
        .iter()
        .filter(|latency| **latency <= URGENT_OBJECTIVE);
    in_time.count() as f64 / count as f64
}

#[tokio::test(start_paused = true)]
async fn a_stall_of_the_log_does_not_become_a_lasting_overload() {
    let partition = QueuedPartition::new(0);
    let writers = start_writers(&partition);
    start_items(&writers);
    let (latencies, count) = play_urgent(&writers, Duration::from_secs(5)).await;
    assert_eq!(share_in_time(&latencies, count), 1.0, "before the stall");
    partition.stall(Duration::from_millis(600));
    sleep(Duration::from_secs(2)).await;
    let before = partition.appends.load(Ordering::Relaxed);
    let (latencies, count) = play_urgent(&writers, Duration::from_secs(10)).await;
    let appends = partition.appends.load(Ordering::Relaxed) - before;
    assert_eq!(
        share_in_time(&latencies, count),
        1.0,
        "two seconds after it"
    );
    assert!(appends < 10 * 250 * 4 / 5, "{appends} appends in 10 s");
}

#[tokio::test(start_paused = true)]
async fn lost_replies_are_made_up_for_in_time() {
    let partition = QueuedPartition::new(5);
    let writers = start_writers(&partition);
    start_items(&writers);
    let (latencies, count) = play_urgent(&writers, Duration::from_secs(20)).await;
    let share = share_in_time(&latencies, count);
    assert!(share >= 0.95, "{share} in time, of {count}");
}
