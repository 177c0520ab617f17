//! Following a topic whose entries make the code that applies them panic.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_serve::log_access::{DurableLog, LogEntry, LogError, LogSlice, LogTopic, Result};
use amaranth_serve::topic_follower::{TopicFollower, TopicUpdate};
use amaranth_wire::id::LogOffset;
use futures_util::FutureExt;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

fn unused<A, T>()
-> Box<dyn Fn(A) -> futures_util::future::BoxFuture<'static, Result<T>> + Send + Sync>
where
    T: Send + 'static,
{
    Box::new(|_| std::future::ready(Err(LogError::NotDone("unused".to_owned()))).boxed())
}

fn entry(offset: u64) -> LogEntry {
    LogEntry {
        offset: LogOffset(offset),
        key: format!("key-{offset}"),
        value: None,
    }
}

/// A log that has one entry more with each read of appended entries.
fn growing_log() -> Arc<DurableLog> {
    let end = Arc::new(Mutex::new(1));
    let grown = end.clone();
    Arc::new(DurableLog {
        read: Box::new(move |read| {
            let grown = grown.clone();
            async move {
                sleep(Duration::from_millis(10)).await;
                let mut end = grown.lock().unwrap();
                *end = read.from.0 + 1;
                Ok(LogSlice {
                    entries: vec![entry(read.from.0)],
                    next: LogOffset(*end),
                })
            }
            .boxed()
        }),
        newest_after: unused(),
        newest: Box::new(move |_| {
            let end = *end.lock().unwrap();
            let entries = (0..end).map(entry).collect();
            let next = LogOffset(end);
            async move { Ok(LogSlice { entries, next }) }.boxed()
        }),
        append: unused(),
        join: unused(),
        members: unused(),
        leave: unused(),
        shard_count: 1,
        blob_partitions: 1,
        partition_appends_per_s: 250,
        append_bytes: 1 << 20,
        entry_bytes: 1 << 18,
    })
}

#[tokio::test(start_paused = true)]
async fn an_update_that_panics_does_not_end_the_following() {
    for panicking in [1, 2, 3] {
        let updates = Arc::new(Mutex::new(Vec::new()));
        let seen = updates.clone();
        let mut calls = 0;
        let follower = TopicFollower {
            topic: LogTopic::Upstreams,
            read_wait: Duration::from_millis(10),
            min_period: Duration::ZERO,
            is_wanted: Box::new(|| true),
            apply: Box::new(move |update, _| {
                calls += 1;
                assert_ne!(calls, panicking, "the update panics");
                seen.lock().unwrap().push(update);
            }),
        };
        let stop = CancellationToken::new();
        let task = tokio::spawn(follower.run(growing_log(), stop.clone()));
        sleep(Duration::from_secs(5)).await;
        assert!(!task.is_finished(), "update {panicking} ends the following");
        stop.cancel();
        let updates = updates.lock().unwrap();
        let replaces = |update: &&TopicUpdate| matches!(update, TopicUpdate::Replace(_));
        let anew = updates.iter().skip(panicking - 1).find(replaces);
        assert!(anew.is_some(), "the topic isn't read anew");
        assert!(updates.len() > 10, "{} updates", updates.len());
    }
}
