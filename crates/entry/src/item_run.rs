//! Runs one batch item and commits its result to the log.

use std::time::Duration;

use amaranth_net::answer::error_json;
use amaranth_net::telemetry::quote;
use amaranth_wire::engine::ShardFence;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{LeaseEpoch, ShardId, TierId};
use amaranth_wire::message::JobPhase;
use amaranth_wire::record::{ItemOutcome, LogRecord};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::context::{InstanceContext, Result};
use crate::item_call::{self, CallOutcome, ItemMessage};
use crate::item_reader::ItemPiece;
use crate::lease_keeper::LeaseKeeper;
use crate::running_items::{ItemKey, RunningItems};

/// Attempts after which an item is recorded as failed.
const MAX_ATTEMPTS: u8 = 3;
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which a result that has not reached the log is submitted again.
const COMMIT_LIMIT: Duration = Duration::from_secs(30);
/// Largest result of an item, in bytes. It has to fit into one entry of the log.
const MAX_RESULT_BYTES: usize = 768 << 10;

/// One item to run.
#[derive(Debug, Clone)]
pub struct ItemTask {
    /// The job and the uploaded piece that contain the item.
    pub piece: ItemPiece,
    /// The tier that runs it.
    pub tier: TierId,
    /// The shard of the job.
    pub shard: ShardId,
    /// Epoch of the lease under which the item runs.
    pub epoch: LeaseEpoch,
    /// Index of the item in its job.
    pub index: u32,
    /// Cancels the run.
    pub cancel: CancellationToken,
}

impl ItemTask {
    /// Job and index of the item.
    pub fn key(&self) -> ItemKey {
        (self.piece.job.clone(), self.index)
    }
}

/// Runs an item until its result is folded. Returns early when the job has ended, or when the lease
/// is lost before there is a result.
pub async fn run(
    context: &InstanceContext,
    keeper: &LeaseKeeper,
    running: &RunningItems,
    task: &ItemTask,
) {
    context.committer.load().add_running();
    let outcome = tokio::select! {
        outcome = run_attempts(context, keeper, task) => outcome,
        () = task.cancel.cancelled() => None,
    };
    if let Some(outcome) = &outcome {
        running.finish(&task.key(), outcome.body.len());
    }
    context.committer.load().remove_running();
    if let Some(outcome) = outcome {
        commit_outcome(context, task, outcome).await;
    }
}

async fn run_attempts(
    context: &InstanceContext,
    keeper: &LeaseKeeper,
    task: &ItemTask,
) -> Option<ItemOutcome> {
    let body = match read_item(context, task).await {
        Ok(body) => body,
        Err(e) if e.kind == ErrorKind::Internal => return Some(failure(task, 0, &e)),
        Err(e) => {
            let (job, error) = (&task.piece.job, quote(&e.message));
            log::warn!("event=item_read_failed job={job} error={error}");
            sleep(RETRY_DELAY).await;
            return None;
        }
    };
    let may_start =
        || keeper.current_epoch(task.shard) == Some(task.epoch) && is_wanted(context, task);
    let message = ItemMessage {
        body: &body,
        fence: ShardFence {
            shard: task.shard,
            epoch: task.epoch,
        },
    };
    let mut attempts = 0;
    let mut avoid = Vec::new();
    while attempts < MAX_ATTEMPTS {
        match item_call::call(context, &task.tier, message, &mut avoid, may_start).await {
            CallOutcome::Answered(status, body) => {
                return Some(answered(task, attempts + 1, status, body));
            }
            CallOutcome::StartDenied => return None,
            CallOutcome::Preempted => {}
            CallOutcome::NotRun => sleep(RETRY_DELAY).await,
            CallOutcome::Failed => {
                attempts += 1;
                sleep(RETRY_DELAY).await;
            }
        }
    }
    let message = format!("no upstream could do this item in {MAX_ATTEMPTS} attempts");
    let error = CallError::new(ErrorKind::UpstreamFailed, message);
    Some(failure(task, MAX_ATTEMPTS, &error))
}

fn answered(task: &ItemTask, attempts: u8, status: u16, body: Vec<u8>) -> ItemOutcome {
    if body.len() > MAX_RESULT_BYTES {
        let message = format!("the result is larger than {MAX_RESULT_BYTES} bytes");
        let error = CallError::new(ErrorKind::UpstreamRejected, message);
        return failure(task, attempts, &error);
    }
    ItemOutcome {
        index: task.index,
        status,
        attempts,
        body,
    }
}

fn failure(task: &ItemTask, attempts: u8, error: &CallError) -> ItemOutcome {
    ItemOutcome {
        index: task.index,
        status: error.kind.row().status,
        attempts,
        body: error_json(error).to_string().into_bytes(),
    }
}

async fn read_item(context: &InstanceContext, task: &ItemTask) -> Result<Vec<u8>> {
    let indexes = task.index..task.index + 1;
    let items = context.items.items(&task.piece, indexes).await?;
    let missing = || CallError::new(ErrorKind::Internal, "item missing on the log");
    items
        .into_iter()
        .next()
        .map(|item| item.body)
        .ok_or_else(missing)
}

/// Whether the job is in progress and the item has no result.
fn is_wanted(context: &InstanceContext, task: &ItemTask) -> bool {
    let ledger = context.state.shard(task.shard);
    let state = ledger.get(&task.piece.job);
    state.is_some_and(|state| {
        state.phase() == JobPhase::InProgress && !state.finished.contains(task.index)
    })
}

/// Submits a result until it is folded or the job has ended. This needs no lease: the first result
/// on the log counts, whichever instance wrote it.
async fn commit_outcome(context: &InstanceContext, task: &ItemTask, outcome: ItemOutcome) {
    let record = LogRecord::ItemsFinished {
        job: task.piece.job.clone(),
        epoch: task.epoch,
        outcomes: vec![outcome],
    };
    while is_wanted(context, task) {
        let submitted = context.committer.submit(vec![record.clone()], COMMIT_LIMIT);
        match submitted.await {
            Ok(offset) => drop(context.state.wait_folded(offset, COMMIT_LIMIT).await),
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}
