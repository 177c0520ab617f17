//! The list of the group's members, where reads of it fail or a peer gives another one.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_serve::batch::shards::ShardAssignment;
use amaranth_serve::log_access::{DurableLog, GroupShards, LogError, Result};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time in which several calls join the group.
const SETTLE_TIME: Duration = Duration::from_secs(5);

fn unused<A, T>() -> Box<dyn Fn(A) -> BoxFuture<'static, Result<T>> + Send + Sync>
where
    T: Send + 'static,
{
    Box::new(|_| async { Err(LogError::NotDone("not used".to_owned())) }.boxed())
}

/// A log whose group never changes, and that refuses the first reads of its members.
fn group_log(refusals: usize, reads: Arc<AtomicUsize>) -> DurableLog {
    DurableLog {
        read: unused(),
        newest_after: unused(),
        newest: unused(),
        append: unused(),
        join: Box::new(|_| {
            let shards = GroupShards {
                generation: 1,
                shards: vec![0],
            };
            async { Ok(shards) }.boxed()
        }),
        members: Box::new(move |()| {
            let read = reads.fetch_add(1, Ordering::Relaxed);
            async move {
                match read < refusals {
                    true => Err(LogError::NotDone("refused".to_owned())),
                    false => Ok(vec!["a".to_owned(), "b".to_owned()]),
                }
            }
            .boxed()
        }),
        leave: Box::new(|_| async { Ok(()) }.boxed()),
        shard_count: 1,
        blob_partitions: 1,
        partition_appends_per_s: 1,
        append_bytes: 1,
        entry_bytes: 1,
    }
}

/// Guards against one refused read that leaves an instance with other members than the rest for as long as the
/// group doesn't change: requests of teams were counted twice (doubled-quota).
#[tokio::test(start_paused = true)]
async fn a_list_of_members_that_could_not_be_read_is_read_again() {
    for refusals in [0, 1, 3] {
        let reads = Arc::new(AtomicUsize::new(0));
        let listed = Arc::new(Mutex::new(Vec::new()));
        let seen = listed.clone();
        let on_members = Box::new(move |members| seen.lock().unwrap().push(members));
        let shards = Arc::new(ShardAssignment::new("a".to_owned(), 1, on_members));
        let stop = CancellationToken::new();
        let log = Arc::new(group_log(refusals, reads.clone()));
        let running = tokio::spawn(shards.clone().run(log, stop.clone()));
        sleep(SETTLE_TIME).await;
        assert_eq!(listed.lock().unwrap().len(), 1, "{refusals} refusals");
        assert!(shards.is_member("b"), "{refusals} refusals");
        assert_eq!(reads.load(Ordering::Relaxed), refusals + 1);
        stop.cancel();
        running.await.unwrap();
    }
}

/// Guards against a peer's list that stays in use when the store can be read again, though it may be older.
#[tokio::test(start_paused = true)]
async fn the_stores_list_of_members_follows_that_of_a_peer() {
    let reads = Arc::new(AtomicUsize::new(0));
    let shards = ShardAssignment::new("a".to_owned(), 1, Box::new(|_| {}));
    let shards = Arc::new(shards);
    let stop = CancellationToken::new();
    let log = Arc::new(group_log(0, reads.clone()));
    let running = tokio::spawn(shards.clone().run(log, stop.clone()));
    sleep(SETTLE_TIME).await;
    assert_eq!(reads.load(Ordering::Relaxed), 1);
    shards.list_again();
    sleep(SETTLE_TIME).await;
    assert_eq!(reads.load(Ordering::Relaxed), 2);
    stop.cancel();
    running.await.unwrap();
}
