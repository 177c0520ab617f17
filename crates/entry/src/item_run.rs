//! Runs one batch item and records its result.

use std::time::Duration;

use amaranth_kernel::ledger::ItemRange;
use amaranth_net::answer::{JSON, error_json};
use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_net::telemetry::quote;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{JobId, LeaseEpoch, ShardId, TierId};
use amaranth_wire::message::JobPhase;
use amaranth_wire::record::{ItemOutcome, LogRecord};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue};
use tokio::time::sleep;

use crate::context::{InstanceContext, Result};
use crate::lease_keeper::LeaseKeeper;

/// Attempts before an item ends as failed.
const MAX_ATTEMPTS: u8 = 3;
/// Wait before an item is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait for the answer to one item.
const ITEM_LIMIT: Duration = Duration::from_secs(60);
/// Longest wait for a result to reach the log before it is submitted again.
const COMMIT_LIMIT: Duration = Duration::from_secs(30);
/// First status that is a fault of the upstream and not of the item.
const FIRST_RETRIED_STATUS: u16 = 500;

/// One item to run.
#[derive(Debug, Clone)]
pub struct ItemTask {
    /// Its job.
    pub job: JobId,
    /// The tier that runs it.
    pub tier: TierId,
    /// The shard of the job.
    pub shard: ShardId,
    /// The lease under which it runs.
    pub epoch: LeaseEpoch,
    /// Its index.
    pub index: u32,
    /// The entry that holds it.
    pub range: ItemRange,
}

/// Runs an item until it has a result and the result is folded. Ends early when the lease is
/// lost or the job has ended.
pub async fn run(context: &InstanceContext, keeper: &LeaseKeeper, task: ItemTask) {
    let body = match read_item(context, &task).await {
        Ok(body) => body,
        Err(e) => {
            log::warn!(
                "event=item_unreadable job={} error={}",
                task.job,
                quote(&e.message)
            );
            return sleep(RETRY_DELAY).await;
        }
    };
    for attempt in 1..=MAX_ATTEMPTS {
        if !may_run(context, keeper, &task) {
            return;
        }
        match call(context, &task, body.clone()).await {
            Ok((status, body)) if status < FIRST_RETRIED_STATUS => {
                return record(context, keeper, &task, attempt, status, body).await;
            }
            Ok(_) => {}
            Err(e) => log::debug!(
                "event=item_failed job={} error={}",
                task.job,
                quote(&e.message)
            ),
        }
        sleep(RETRY_DELAY).await;
    }
    let message = format!("no upstream could do this item in {MAX_ATTEMPTS} attempts");
    let error = CallError::new(ErrorKind::UpstreamFailed, message);
    let body = error_json(&error).to_string().into_bytes();
    let status = error.kind.row().status;
    record(context, keeper, &task, MAX_ATTEMPTS, status, body).await;
}

async fn read_item(context: &InstanceContext, task: &ItemTask) -> Result<Vec<u8>> {
    let range = task.range;
    let items = context
        .items
        .items(range.offset, &task.job, range.first)
        .await?;
    let position = (task.index - range.first) as usize;
    let item = items.into_iter().nth(position);
    let missing = || CallError::new(ErrorKind::Internal, "item missing on the log");
    item.map(|item| item.body).ok_or_else(missing)
}

fn may_run(context: &InstanceContext, keeper: &LeaseKeeper, task: &ItemTask) -> bool {
    if keeper.current(task.shard) != Some(task.epoch) {
        return false;
    }
    let ledger = context.state.shard(task.shard);
    let state = ledger.get(&task.job);
    state.is_some_and(|state| {
        state.phase() == JobPhase::InProgress && !state.finished.contains(task.index)
    })
}

async fn call(context: &InstanceContext, task: &ItemTask, body: Vec<u8>) -> Result<(u16, Vec<u8>)> {
    let failed = |message: String| CallError::new(ErrorKind::UpstreamFailed, message);
    let tier = context.config.fleet.tier(&task.tier);
    let tier = tier.ok_or_else(|| failed(format!("tier {} is gone", task.tier)))?;
    let guard = context.upstreams.pick(&tier.upstreams, &[]);
    let guard = guard.ok_or_else(|| failed("no upstream is available".to_owned()))?;
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(JSON));
    let call = HttpCall::post(guard.upstream().address, "/v1/chat/completions")
        .with_headers(headers)
        .with_body(body);
    let answer = context
        .client
        .fetch(call, CallLimits::new(ITEM_LIMIT))
        .await;
    if !matches!(&answer, Ok((status, _)) if *status < FIRST_RETRIED_STATUS) {
        guard.note_failure();
    }
    let (status, body) = answer.map_err(|e| failed(e.to_string()))?;
    Ok((status, body.to_vec()))
}

/// Submits a result until it is folded, the lease is lost or the job has ended.
async fn record(
    context: &InstanceContext,
    keeper: &LeaseKeeper,
    task: &ItemTask,
    attempts: u8,
    status: u16,
    body: Vec<u8>,
) {
    let record = LogRecord::ItemsFinished {
        job: task.job.clone(),
        epoch: task.epoch,
        outcomes: vec![ItemOutcome {
            index: task.index,
            status,
            attempts,
            body,
        }],
    };
    while may_run(context, keeper, task) {
        let submitted = context.committer.submit(vec![record.clone()], COMMIT_LIMIT);
        if let Ok(offset) = submitted.await
            && context.state.wait_folded(offset, COMMIT_LIMIT).await
        {
            return;
        }
    }
}
