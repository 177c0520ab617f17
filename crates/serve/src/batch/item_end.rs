//! Puts the end of a batch item's run on the log.

use std::time::Duration;

use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BatchEntry, ItemEnd};
use amaranth_wire::id::{ItemId, JobId};
use tokio::time::{sleep, timeout};

use crate::batch::blobs::BlobStore;
use crate::batch::commit::BatchCommitter;
use crate::batch::item_run::ItemRunEnd;
use crate::batch::progress::RunProgress;
use crate::batch::replica::JobReplica;

/// Delay before an output or an item's end is appended again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest wait until an appended end is read back; until then its item must not be started again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Stores an item's output, retrying until it is on the log.
pub async fn store_output(
    blobs: &BlobStore,
    progress: &RunProgress,
    job: &JobId,
    end: ItemRunEnd,
) -> ItemEnd {
    let ItemRunEnd::Succeeded(output) = end else {
        return ItemEnd::Errored;
    };
    let partial = progress.take_stored();
    loop {
        let text = output.text.clone();
        match blobs.put_replacing(job, text, false, &partial).await {
            Ok(blob) => return ItemEnd::Succeeded(blob),
            Err(e) => {
                log::info!(
                    "event=item_output_not_stored job={job} why={}",
                    quote(&e.to_string())
                );
                sleep(APPEND_RETRY_DELAY).await;
            }
        }
    }
}

/// Appends an item's end, retrying until it is on the log. An attempt with unknown outcome may have
/// succeeded: each attempt has a key of its own, and the first entry on the log counts.
pub async fn commit_end(
    committer: &BatchCommitter,
    replica: &JobReplica,
    job: &JobId,
    item: &ItemId,
    end: ItemEnd,
) {
    let entry = BatchEntry::ItemEnded {
        job: job.clone(),
        item: item.clone(),
        end,
    };
    let is_done =
        || replica.with_table(|table| table.job(job).is_some_and(|job| job.is_item_done(item)));
    let succeeded = matches!(
        &entry,
        BatchEntry::ItemEnded {
            end: ItemEnd::Succeeded(_),
            ..
        }
    );
    log::info!("event=item_ended job={job} item={item} succeeded={succeeded}");
    while let Err(e) = committer.append(&entry, false).await {
        let reason = e.to_string();
        log::info!(
            "event=item_end_not_appended job={job} item={item} why={}",
            quote(&reason)
        );
        sleep(APPEND_RETRY_DELAY).await;
        if is_done() {
            return;
        }
    }
    wait_until_read_back(replica, is_done).await;
}

async fn wait_until_read_back(replica: &JobReplica, is_done: impl Fn() -> bool) {
    let mut changes = replica.watch();
    let read_back = async {
        while !is_done() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    if timeout(READ_BACK_TIMEOUT, read_back).await.is_err() {
        log::warn!(
            "event=item_end_not_read_back limit_s={}",
            READ_BACK_TIMEOUT.as_secs()
        );
    }
}
