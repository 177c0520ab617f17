//! Accepts batch jobs: JSON lines in the body, or the id of a stored file.

use std::sync::Arc;
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::body::{BodyLimits, BodyReader, read_json};
use amaranth_net::clock::unix_ms;
use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{FileId, JobId, TeamId};
use amaranth_wire::record::LogRecord;
use http::header::CONTENT_TYPE;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use volo_http::body::Body;
use volo_http::response::Response;

use crate::accept::{TIER_HEADER, online_limits};
use crate::batch_upload::{BatchUpload, COMMIT_LIMIT, ITEM_ENDPOINT, StoredUpload, hex};
use crate::batch_view;
use crate::context::{InstanceContext, Result};
use crate::files;

/// Header that identifies a request, a job or a file, so that a resend is recognised.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the time until the deadline of a job, in milliseconds.
pub const DEADLINE_HEADER: &str = "amaranth-deadline-ms";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Time until the deadline of a job submitted without one, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 24 * 3_600_000;
/// Longest time until a deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 30 * DEFAULT_DEADLINE_MS;
/// Timeout of receiving the whole body of a batch.
const BODY_LIMIT: Duration = Duration::from_secs(600);

/// Body of a request that submits a stored file as a job.
#[derive(Debug, Deserialize)]
struct FileJobCall {
    input_file_id: FileId,
    endpoint: String,
    completion_window: String,
}

/// Handles the submission of a job. A JSON body names a stored file; any other content type is read
/// as JSON lines.
pub async fn submit(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    context.check_takes_work()?;
    let team = context.callers.team(&request)?;
    match is_json(&request) {
        true => submit_file(&context, team, request).await,
        false => submit_lines(&context, team, request).await,
    }
}

async fn submit_lines(
    context: &InstanceContext,
    team: TeamId,
    request: RouteRequest,
) -> Result<Response> {
    let job = job_id(&team, parse_key(&request)?);
    let deadline_ms = unix_ms().saturating_add(parse_deadline(&request)?);
    let mut upload =
        BatchUpload::new(job.clone()).with_tier(context, request.header(TIER_HEADER))?;
    let mut reader = batch_reader(context, request.into_body());
    while let Some(chunk) = reader.next_chunk().await? {
        if let Err(e) = upload.push_chunk(context, &chunk).await {
            reader.discard().await;
            return Err(e);
        }
    }
    let stored = upload.finish(context).await?;
    seal(context, &team, &job, stored, deadline_ms).await
}

async fn submit_file(
    context: &InstanceContext,
    team: TeamId,
    request: RouteRequest,
) -> Result<Response> {
    let call: FileJobCall = read_json(request.into_body(), online_limits(context)).await?;
    let invalid = |message: String| CallError::new(ErrorKind::InvalidRequest, message);
    if call.endpoint != ITEM_ENDPOINT {
        return Err(invalid(format!("endpoint must be {ITEM_ENDPOINT:?}")));
    }
    let window_ms = parse_window(&call.completion_window).map_err(invalid)?;
    let job = files::job_of_input_file(&call.input_file_id)?;
    if batch_view::with_job(context, &team, &job, |_| ()).is_ok() {
        return Ok(answer::json(200, &batch_view::view(context, &team, &job)?));
    }
    files::catch_up_for_file(context, &team, &job).await?;
    let stored = files::stored_upload(context, &team, &job)?;
    let deadline_ms = unix_ms().saturating_add(window_ms);
    seal(context, &team, &job, stored, deadline_ms).await
}

/// Seals a job on the log unless it is known already, and answers with its state.
async fn seal(
    context: &InstanceContext,
    team: &TeamId,
    job: &JobId,
    stored: StoredUpload,
    deadline_ms: u64,
) -> Result<Response> {
    let digest = stored.digest.clone();
    if known_digest(context, job).is_none() {
        let record = LogRecord::JobSealed {
            job: job.clone(),
            upload: stored.upload,
            team: team.clone(),
            tier: stored.tier,
            count: stored.count,
            digest: stored.digest,
            submitted_ms: unix_ms(),
            deadline_ms,
        };
        commit(context, record, "job").await?;
    }
    match known_digest(context, job) {
        Some(known) if known == digest => {
            Ok(answer::json(200, &batch_view::view(context, team, job)?))
        }
        Some(_) => Err(key_conflict()),
        None => {
            let message = "the job was not accepted";
            Err(CallError::new(ErrorKind::Internal, message))
        }
    }
}

/// Appends a record and waits until this instance has folded it. `what` names it in error messages.
pub async fn commit(context: &InstanceContext, record: LogRecord, what: &str) -> Result<()> {
    let offset = context.committer.submit(vec![record], COMMIT_LIMIT).await?;
    if context.state.wait_folded(offset, COMMIT_LIMIT).await {
        return Ok(());
    }
    let message = format!("the {what} is on the log but was not read back in time");
    Err(CallError::new(ErrorKind::OutcomeUnknown, message))
}

/// The error for an idempotency key that was used with another body.
pub fn key_conflict() -> CallError {
    let message = "the same idempotency key came with another body";
    CallError::new(ErrorKind::KeyConflict, message)
}

/// Reads the body of a batch, within the limits of the settings.
pub fn batch_reader(context: &InstanceContext, body: Body) -> BodyReader {
    let bodies = &context.config.fleet.bodies;
    let limits = BodyLimits {
        bytes: bodies.batch.as_bytes() as usize,
        time: BODY_LIMIT,
    };
    BodyReader::new(body, limits).with_gap(bodies.time.duration())
}

/// The job id for an idempotency key, the same on every instance for the same team and key. Random
/// without a key.
pub fn job_id(team: &TeamId, key: Option<&str>) -> JobId {
    let text = match key {
        Some(key) => hex(&Sha256::digest(format!("{team}\n{key}")))[..32].to_owned(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let id = format!("batch_{text}");
    id.parse().expect("hexadecimal is a valid identifier")
}

/// The idempotency key of a request, if it has one. An error if its length is out of range.
pub fn parse_key(request: &RouteRequest) -> Result<Option<&str>> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().ok();
    match key.filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len())) {
        Some(key) => Ok(Some(key)),
        None => {
            let message = format!("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} ASCII characters");
            Err(CallError::new(ErrorKind::InvalidRequest, message))
        }
    }
}

fn is_json(request: &RouteRequest) -> bool {
    let content_type = request.header(CONTENT_TYPE.as_str()).unwrap_or("");
    let essence = content_type.split(';').next().unwrap_or("").trim();
    essence.eq_ignore_ascii_case(answer::JSON)
}

fn parse_deadline(request: &RouteRequest) -> Result<u64> {
    let Some(value) = request.headers().get(DEADLINE_HEADER) else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    let ms = value.to_str().ok().and_then(|text| text.parse().ok());
    ms.filter(|ms| *ms <= MAX_DEADLINE_MS).ok_or_else(|| {
        let message = format!("{DEADLINE_HEADER} must be a number up to {MAX_DEADLINE_MS}");
        CallError::new(ErrorKind::InvalidRequest, message)
    })
}

/// Parses a completion window such as `24h` into milliseconds.
fn parse_window(text: &str) -> std::result::Result<u64, String> {
    let window: amaranth_wire::unit::TimeSpan = text
        .parse()
        .map_err(|e| format!("completion_window: {e}"))?;
    match window.as_millis() {
        ms @ 1..=MAX_DEADLINE_MS => Ok(ms),
        _ => Err(format!(
            "completion_window must be above 0 and up to {MAX_DEADLINE_MS}ms"
        )),
    }
}

fn known_digest(context: &InstanceContext, job: &JobId) -> Option<String> {
    let shard = context.state.shard_for(job);
    shard.get(job).map(|state| state.digest.clone())
}
