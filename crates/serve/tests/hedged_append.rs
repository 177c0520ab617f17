//! Hedged appends: replies that are lost or late, and the keys of repeated records.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::commit::AppendBudget;
use amaranth_serve::batch::commit::BatchCommitter;
use amaranth_serve::batch::pieces;
use amaranth_serve::log_access::{DurableLog, LogError, LogTopic, NewEntry, Result};
use amaranth_wire::batch_entry::BatchEntry;
use amaranth_wire::id::LogOffset;
use futures_util::FutureExt;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Scripted reply to one append attempt: its delay in milliseconds, and the result.
type Reply = (u64, Result<LogOffset>);

/// Records of each append attempt, in order.
type SeenRecords = Arc<Mutex<Vec<Vec<NewEntry>>>>;

/// Delay of a lost reply in milliseconds: the timeout of a call.
const CALL_TIMEOUT_MS: u64 = 1_200;

fn ok() -> Result<LogOffset> {
    Ok(LogOffset(7))
}

fn lost() -> Result<LogOffset> {
    Err(LogError::Unknown("no answer".to_owned()))
}

fn refused() -> Result<LogOffset> {
    Err(LogError::NotDone("later".to_owned()))
}

fn unused<A, T>()
-> Box<dyn Fn(A) -> futures_util::future::BoxFuture<'static, Result<T>> + Send + Sync>
where
    T: Send + 'static,
{
    Box::new(|_| std::future::ready(Err(LogError::NotDone("unused".to_owned()))).boxed())
}

/// Creates a log with scripted replies; also returns the records of each append.
fn scripted_log(replies: Vec<Reply>) -> (Arc<DurableLog>, SeenRecords) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let (recorded, next) = (seen.clone(), AtomicUsize::new(0));
    let log = DurableLog {
        read: unused(),
        newest_after: unused(),
        newest: unused(),
        append: Box::new(move |(_, records)| {
            recorded.lock().unwrap().push(records);
            let (ms, reply) = replies[next.fetch_add(1, Ordering::Relaxed)].clone();
            async move {
                sleep(Duration::from_millis(ms)).await;
                reply
            }
            .boxed()
        }),
        join: unused(),
        members: unused(),
        leave: unused(),
        shard_count: 1,
        blob_partitions: 1,
        partition_appends_per_s: 250,
        append_bytes: 1 << 20,
        entry_bytes: 1 << 18,
    };
    (Arc::new(log), seen)
}

/// Creates a committer of the batch topic for one of several writers.
fn batch_committer(log: Arc<DurableLog>, writers: u64) -> BatchCommitter {
    let rate = log.partition_appends_per_s;
    let budget = move || AppendBudget { rate, writers };
    let target = LogTopic::Batch.into();
    BatchCommitter::new(log, target, Box::new(budget), CancellationToken::new())
}

/// Each case: the replies to the attempts in order, the expected outcome, and after how many
/// milliseconds it is returned.
#[tokio::test(start_paused = true)]
async fn an_append_without_reply_is_hedged_under_a_new_key() {
    let cases = [
        (vec![(4, ok())], ok(), 4),
        (vec![(4, refused())], refused(), 4),
        (vec![(CALL_TIMEOUT_MS, lost()), (4, ok())], ok(), 104),
        (
            vec![
                (CALL_TIMEOUT_MS, lost()),
                (CALL_TIMEOUT_MS, lost()),
                (4, ok()),
            ],
            ok(),
            254,
        ),
        (vec![(200, ok()), (200, ok())], ok(), 200),
        (
            vec![(CALL_TIMEOUT_MS, lost()), (4, refused()), (4, refused())],
            lost(),
            CALL_TIMEOUT_MS,
        ),
        (vec![(150, refused()), (100, lost())], lost(), 200),
        (vec![(150, refused()), (100, refused())], refused(), 200),
    ];
    for (replies, expected, after_ms) in cases {
        let (log, seen) = scripted_log(replies.clone());
        let committer = batch_committer(log, 1);
        let job = "job".parse().unwrap();
        let entry = BatchEntry::Ended { job };
        let start = Instant::now();
        let outcome = committer.append(&entry, true).await;
        assert_eq!(outcome, expected, "{replies:?}");
        assert_eq!(start.elapsed().as_millis() as u64, after_ms, "{replies:?}");
        let seen = seen.lock().unwrap();
        let mut keys: Vec<_> = seen.iter().map(|records| &records[0].key).collect();
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len(), seen.len(), "a key was reused: {keys:?}");
    }
}

#[test]
fn hedged_records_share_a_new_entry_key_and_blobs_keep_their_keys() {
    let job: amaranth_wire::id::JobId = "job".parse().unwrap();
    let entry = |name: &str| NewEntry {
        key: name.to_owned(),
        value: Some(vec![1].into()),
    };
    let records = pieces::split(&BatchEntry::Ended { job: job.clone() }, &job, 260);
    assert!(records.len() > 1, "the entry is split");
    let renewed = pieces::with_new_keys(LogTopic::Batch, &records);
    let entry_key = |record: &NewEntry| {
        let parts: Vec<_> = record.key.split('/').collect();
        (parts[0].to_owned(), parts[1].to_owned())
    };
    assert!(
        renewed
            .iter()
            .all(|record| entry_key(record) == entry_key(&renewed[0]))
    );
    assert_ne!(entry_key(&renewed[0]), entry_key(&records[0]));
    let blobs = [entry("job/00/0"), entry("job/00/1")];
    assert_eq!(pieces::with_new_keys(LogTopic::Blobs, &blobs), blobs);
}
