//! Runs one batch item and records its result.

use std::time::Duration;

use amaranth_net::answer::error_json;
use amaranth_net::telemetry::quote;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{LeaseEpoch, ShardId, TierId};
use amaranth_wire::message::JobPhase;
use amaranth_wire::record::{ItemOutcome, LogRecord};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::context::{InstanceContext, Result};
use crate::item_call::{self, CallEnd};
use crate::item_reader::ItemPiece;
use crate::lease_keeper::LeaseKeeper;
use crate::running_items::{ItemKey, RunningItems};

/// Attempts before an item ends as failed.
const MAX_ATTEMPTS: u8 = 3;
/// Wait before an item is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait for a result to reach the log before it is submitted again.
const COMMIT_LIMIT: Duration = Duration::from_secs(30);
/// Largest result of an item, in bytes; one entry of the log must hold it.
const MAX_RESULT_BYTES: usize = 768 << 10;

/// One item to run.
#[derive(Debug, Clone)]
pub struct ItemTask {
    /// Its job and the piece that holds it.
    pub piece: ItemPiece,
    /// The tier that runs it.
    pub tier: TierId,
    /// The shard of the job.
    pub shard: ShardId,
    /// The lease under which it runs.
    pub epoch: LeaseEpoch,
    /// Its index.
    pub index: u32,
    /// Ends the run.
    pub cancel: CancellationToken,
}

impl ItemTask {
    /// Names the item.
    pub fn key(&self) -> ItemKey {
        (self.piece.job.clone(), self.index)
    }
}

/// Runs an item until it has a result and the result is folded. Ends early when the job has
/// ended, and before a result is there also when the lease is lost.
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
        record(context, task, outcome).await;
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
            log::warn!("event=item_unreadable job={job} error={error}");
            sleep(RETRY_DELAY).await;
            return None;
        }
    };
    let may_start = || keeper.current(task.shard) == Some(task.epoch) && is_wanted(context, task);
    let mut attempts = 0;
    let mut avoid = Vec::new();
    while attempts < MAX_ATTEMPTS {
        match item_call::call(context, &task.tier, &body, &mut avoid, may_start).await {
            CallEnd::Answered(status, body) => {
                return Some(outcome(task, attempts + 1, status, body));
            }
            CallEnd::Unwanted => return None,
            CallEnd::Preempted => {}
            CallEnd::NotRun => sleep(RETRY_DELAY).await,
            CallEnd::Failed => {
                attempts += 1;
                sleep(RETRY_DELAY).await;
            }
        }
    }
    let message = format!("no upstream could do this item in {MAX_ATTEMPTS} attempts");
    let error = CallError::new(ErrorKind::UpstreamFailed, message);
    Some(failure(task, MAX_ATTEMPTS, &error))
}

fn outcome(task: &ItemTask, attempts: u8, status: u16, body: Vec<u8>) -> ItemOutcome {
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

/// Whether the job still runs and the item has no result.
fn is_wanted(context: &InstanceContext, task: &ItemTask) -> bool {
    let ledger = context.state.shard(task.shard);
    let state = ledger.get(&task.piece.job);
    state.is_some_and(|state| {
        state.phase() == JobPhase::InProgress && !state.finished.contains(task.index)
    })
}

/// Submits a result until it is folded or the job has ended. The lease does not matter any more:
/// the first result on the log counts, whoever brings it.
async fn record(context: &InstanceContext, task: &ItemTask, outcome: ItemOutcome) {
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
