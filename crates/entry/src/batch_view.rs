//! Handlers with which callers list, show and cancel their jobs and read the results.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

use amaranth_kernel::bitmap::ItemBitmap;
use amaranth_kernel::ledger::{ItemRange, JobState, ResultEntry, SHARD_COUNT};
use amaranth_net::answer;
use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{CommandId, JobId, LogOffset, ShardId, TeamId};
use amaranth_wire::message::JobPhase;
use amaranth_wire::record::{ItemOutcome, LogRecord};
use amaranth_wire::unit::TimeSpan;
use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::batch_intake::commit;
use crate::batch_upload::ITEM_ENDPOINT;
use crate::context::{InstanceContext, Result};
use crate::item_reader::ItemPiece;
use crate::{files, follower};

/// Items whose results are read and sent as one chunk.
const CHUNK_ITEMS: u32 = 256;

/// Jobs on a page if the query has no limit.
const DEFAULT_PAGE_JOBS: usize = 20;
/// Most jobs on a page.
const MAX_PAGE_JOBS: usize = 100;
/// Chunks of a result stream that are buffered for a slow caller.
const STREAM_BUFFER: usize = 4;

/// Query parameters of the job list.
#[derive(Debug, Deserialize)]
struct ListQuery {
    limit: Option<usize>,
    after: Option<JobId>,
}

/// Handles a query for a team's jobs, newest first.
pub async fn list(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let team = context.callers.team(&request)?;
    let query: ListQuery = request.query()?;
    let limit = query.limit.unwrap_or(DEFAULT_PAGE_JOBS);
    if !(1..=MAX_PAGE_JOBS).contains(&limit) {
        let message = format!("limit must be 1 to {MAX_PAGE_JOBS}");
        return Err(CallError::new(ErrorKind::InvalidRequest, message));
    }
    let jobs = jobs_of(&context, &team);
    let start = match query.after {
        None => 0,
        Some(after) => match jobs.iter().position(|job| *job == after) {
            Some(position) => position + 1,
            None => return Err(CallError::new(ErrorKind::NotFound, "no such batch")),
        },
    };
    let page = jobs.iter().skip(start).take(limit);
    let data: Result<Vec<_>> = page.map(|job| view(&context, &team, job)).collect();
    let data = data?;
    let body = json!({
        "object": "list",
        "first_id": data.first().map(|job| job["id"].clone()),
        "last_id": data.last().map(|job| job["id"].clone()),
        "has_more": start + data.len() < jobs.len(),
        "data": data,
    });
    Ok(answer::json(200, &body))
}

/// A team's jobs, newest first.
fn jobs_of(context: &InstanceContext, team: &TeamId) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for shard in (0..SHARD_COUNT).map(ShardId) {
        let ledger = context.state.shard(shard);
        let own = ledger.jobs().filter(|(_, state)| state.team == *team);
        jobs.extend(own.map(|(job, state)| (Reverse(state.submitted_ms), job.clone())));
    }
    jobs.sort();
    jobs.into_iter().map(|(_, job)| job).collect()
}

/// Handles a query for a job's state.
pub async fn show(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let team = context.callers.team(&request)?;
    let job = parse_job(request.param(0))?;
    catch_up_for_job(&context, &team, &job).await?;
    Ok(answer::json(200, &view(&context, &team, &job)?))
}

/// Catches up with the log if the job is unknown here, as another instance may have accepted it.
pub async fn catch_up_for_job(context: &InstanceContext, team: &TeamId, job: &JobId) -> Result<()> {
    match with_job(context, team, job, |_| ()) {
        Ok(()) => Ok(()),
        Err(_) => follower::catch_up_to_head(context).await,
    }
}

/// Catches up with the log unless the job is known to have ended, as another instance may already
/// have reported its end.
async fn catch_up_for_results(context: &InstanceContext, team: &TeamId, job: &JobId) -> Result<()> {
    let has_ended = |state: &JobState| state.report(job).phase != JobPhase::InProgress;
    match with_job(context, team, job, has_ended) {
        Ok(true) => Ok(()),
        Ok(false) | Err(_) => follower::catch_up_to_head(context).await,
    }
}

/// Handles a query for a job's results.
pub async fn results(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let team = context.callers.team(&request)?;
    let job = parse_job(request.param(0))?;
    results_of(&context, &team, job).await
}

/// The results of a job, as a stream of JSON lines.
pub async fn results_of(
    context: &Arc<InstanceContext>,
    team: &TeamId,
    job: JobId,
) -> Result<Response> {
    catch_up_for_results(context, team, &job).await?;
    let plan = with_job(context, team, &job, ResultPlan::new)?;
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    context
        .work
        .spawn(stream_results(context.clone(), job, plan, sender));
    let chunks = stream::unfold(receiver, |mut receiver| async {
        let chunk = receiver.recv().await?;
        Some((chunk, receiver))
    });
    Ok(answer::stream(
        200,
        answer::JSON_LINES,
        Body::from_stream(chunks),
    ))
}

/// Handles the cancellation of a job.
pub async fn cancel(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let team = context.callers.team(&request)?;
    let job = parse_job(request.param(0))?;
    catch_up_for_job(&context, &team, &job).await?;
    with_job(&context, &team, &job, |_| ())?;
    let command: CommandId = format!("cancel-{:016x}", rand::random::<u64>())
        .parse()
        .expect("a valid identifier");
    let record = LogRecord::JobCancelled {
        job: job.clone(),
        command,
    };
    commit(&context, record, "cancel").await?;
    Ok(answer::json(200, &view(&context, &team, &job)?))
}

/// A job of a team in the JSON form of the batch API.
pub fn view(context: &InstanceContext, team: &TeamId, job: &JobId) -> Result<Value> {
    with_job(context, team, job, |state| job_json(job, state))
}

/// A job in the JSON form of the batch API.
pub fn job_json(job: &JobId, state: &JobState) -> Value {
    let report = state.report(job);
    let status = match report.phase {
        JobPhase::InProgress => "in_progress",
        JobPhase::Completed => "completed",
        JobPhase::Cancelled => "cancelled",
    };
    let ended = report.phase != JobPhase::InProgress;
    json!({
        "id": job,
        "object": "batch",
        "endpoint": ITEM_ENDPOINT,
        "status": status,
        "input_file_id": files::input_file_id(job),
        "output_file_id": ended.then(|| files::output_file_id(job)),
        "error_file_id": null,
        "completion_window": window(state),
        "created_at": state.submitted_ms / 1_000,
        "expires_at": state.deadline_ms / 1_000,
        "request_counts": {
            "total": report.total,
            "completed": report.completed,
            "failed": report.failed,
        },
        "tier": state.tier,
    })
}

fn window(state: &JobState) -> String {
    let ms = state.deadline_ms.saturating_sub(state.submitted_ms);
    // The two times come from separate clock readings, so the window is rounded to whole seconds.
    TimeSpan::from_millis((ms + 500) / 1_000 * 1_000).to_string()
}

fn parse_job(text: &str) -> Result<JobId> {
    let not_found = |_| CallError::new(ErrorKind::NotFound, "no such batch");
    text.parse().map_err(not_found)
}

/// Calls `read_job` with the state of a job. Jobs of other teams are not found.
pub fn with_job<T>(
    context: &InstanceContext,
    team: &TeamId,
    job: &JobId,
    read_job: impl FnOnce(&JobState) -> T,
) -> Result<T> {
    let shard = context.state.shard_for(job);
    match shard.get(job).filter(|state| state.team == *team) {
        Some(state) => Ok(read_job(state)),
        None => Err(CallError::new(ErrorKind::NotFound, "no such batch")),
    }
}

/// Log entries from which the results of a job are read.
struct ResultPlan {
    upload: u64,
    ranges: Vec<ItemRange>,
    results: Vec<ResultEntry>,
    finished: ItemBitmap,
}

impl ResultPlan {
    fn new(state: &JobState) -> Self {
        Self {
            upload: state.upload,
            ranges: state.ranges.clone(),
            results: state.results.clone(),
            finished: state.finished.clone(),
        }
    }

    /// Offsets of the entries that may hold results of these items.
    fn entries(&self, indexes: &Range<u32>) -> Vec<LogOffset> {
        let within =
            |entry: &&ResultEntry| entry.first < indexes.end && entry.last >= indexes.start;
        let entries = self.results.iter().filter(within);
        entries.map(|entry| entry.offset).collect()
    }
}

type BodyChunk = std::result::Result<Frame<Bytes>, volo_http::error::BoxError>;

async fn stream_results(
    context: Arc<InstanceContext>,
    job: JobId,
    plan: ResultPlan,
    sender: mpsc::Sender<BodyChunk>,
) {
    if let Err(e) = send_results(&context, &job, &plan, &sender).await {
        let _ = sender.send(Err(Box::new(e).into())).await;
    }
}

/// Sends the first result of each item, in the order of the items, chunk by chunk.
async fn send_results(
    context: &InstanceContext,
    job: &JobId,
    plan: &ResultPlan,
    sender: &mpsc::Sender<BodyChunk>,
) -> Result<()> {
    for range in &plan.ranges {
        let end = range.first + range.count;
        for start in (range.first..end).step_by(CHUNK_ITEMS as usize) {
            let indexes = start..end.min(start + CHUNK_ITEMS);
            let piece = ItemPiece {
                job: job.clone(),
                upload: plan.upload,
                range: *range,
            };
            let chunk_lines = read_chunk(context, &piece, plan, indexes).await?;
            if !chunk_lines.is_empty()
                && sender
                    .send(Ok(Frame::data(chunk_lines.into())))
                    .await
                    .is_err()
            {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// The result lines of these items of one piece.
async fn read_chunk(
    context: &InstanceContext,
    piece: &ItemPiece,
    plan: &ResultPlan,
    indexes: Range<u32>,
) -> Result<Vec<u8>> {
    let mut first: HashMap<u32, ItemOutcome> = HashMap::new();
    for offset in plan.entries(&indexes) {
        for outcome in context.items.outcomes(offset, &piece.job, &indexes).await? {
            first.entry(outcome.index).or_insert(outcome);
        }
    }
    // An entry may also hold results that arrived after the job was cancelled.
    first.retain(|index, _| plan.finished.contains(*index));
    let mut lines = Vec::new();
    if first.is_empty() {
        return Ok(lines);
    }
    let items = context.items.items(piece, indexes.clone()).await?;
    for (index, item) in indexes.zip(&items) {
        if let Some(outcome) = first.remove(&index) {
            write_line(&mut lines, &piece.job, &item.custom_id, &outcome);
        }
    }
    Ok(lines)
}

fn write_line(output: &mut Vec<u8>, job: &JobId, custom_id: &str, outcome: &ItemOutcome) {
    let id = format!("{job}_{}", outcome.index);
    let body: Value = serde_json::from_slice(&outcome.body).unwrap_or(Value::Null);
    let succeeded = outcome.status < 400;
    let response = json!({"status_code": outcome.status, "request_id": id, "body": body});
    let error = match succeeded {
        true => Value::Null,
        false => body.get("error").cloned().unwrap_or(Value::Null),
    };
    let line = json!({"id": id, "custom_id": custom_id, "response": response, "error": error});
    output.extend_from_slice(line.to_string().as_bytes());
    output.push(b'\n');
}
