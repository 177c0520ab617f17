//! The files of the batch API: the input of a job and its results.
//!
//! A file and its job have the same digits in their ids, so that no table between them is needed:
//! `file-X` makes `batch_X`, whose results are `file-X-output`.

use std::sync::Arc;

use amaranth_kernel::file_table::StoredFile;
use amaranth_net::answer;
use amaranth_net::body::BodyReader;
use amaranth_net::clock::unix_ms;
use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{FileId, JobId, TeamId};
use amaranth_wire::record::LogRecord;
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http::header::CONTENT_TYPE;
use multer::{Constraints, Field, Multipart, SizeLimit};
use serde_json::{Value, json};
use tokio::sync::Mutex;
use volo_http::response::Response;

use crate::accept::TIER_HEADER;
use crate::batch_intake::{batch_reader, commit, job_id, key_conflict, parse_key};
use crate::batch_upload::{BatchUpload, StoredUpload};
use crate::context::{InstanceContext, Result};
use crate::{batch_view, follower};

const JOB_PREFIX: &str = "batch_";
const FILE_PREFIX: &str = "file-";
const OUTPUT_SUFFIX: &str = "-output";
/// The only purpose that a stored file may have.
const PURPOSE: &str = "batch";
/// Longest text field of an upload form, in bytes.
const TEXT_FIELD_BYTES: u64 = 1 << 10;
/// Length to which file names are truncated, in characters.
const MAX_NAME_CHARS: usize = 128;
/// Name of a file uploaded without one.
const DEFAULT_NAME: &str = "input.jsonl";

/// Whether a file is the input or the output of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FileRole {
    Input,
    Output,
}

/// Handles the upload of a file.
pub async fn store(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    context.check_takes_work()?;
    let team = context.callers.team(&request)?;
    let job = job_id(&team, parse_key(&request)?);
    let content_type = request.header(CONTENT_TYPE.as_str()).unwrap_or("");
    let boundary = multer::parse_boundary(content_type).map_err(|_| {
        let message = "expected multipart/form-data with the fields \"purpose\" and \"file\"";
        CallError::new(ErrorKind::InvalidRequest, message)
    })?;
    let upload = BatchUpload::new(job.clone()).with_tier(&context, request.header(TIER_HEADER))?;
    let reader = batch_reader(&context, request.into_body());
    let reader = Arc::new(Mutex::new(reader));
    let limit = SizeLimit::new().for_field("purpose", TEXT_FIELD_BYTES);
    let constraints = Constraints::new().size_limit(limit);
    let form = Multipart::with_constraints(chunks(reader.clone()), boundary, constraints);
    let (stored, name) = match read_form(&context, form, upload).await {
        Ok(read) => read,
        Err(e) => {
            reader.lock().await.discard().await;
            return Err(e);
        }
    };
    check_key_conflict(&context, &team, &job, &stored.digest)?;
    let record = LogRecord::FileStored {
        job: job.clone(),
        upload: stored.upload,
        team: team.clone(),
        tier: stored.tier,
        count: stored.count,
        digest: stored.digest.clone(),
        bytes: stored.bytes,
        name,
        stored_ms: unix_ms(),
    };
    commit(&context, record, "file").await?;
    check_key_conflict(&context, &team, &job, &stored.digest)?;
    Ok(answer::json(200, &view(&context, &team, &job)?))
}

/// Handles a query for the metadata of a file.
pub async fn show(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let team = context.callers.team(&request)?;
    let view = match parse_file(request.param(0))? {
        (job, FileRole::Input) => {
            catch_up_for_file(&context, &team, &job).await?;
            view(&context, &team, &job)?
        }
        (job, FileRole::Output) => {
            batch_view::catch_up_for_job(&context, &team, &job).await?;
            output_view(&context, &team, &job)?
        }
    };
    Ok(answer::json(200, &view))
}

/// Handles a query for a file's content. Only outputs can be read.
pub async fn content(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let team = context.callers.team(&request)?;
    match parse_file(request.param(0))? {
        (job, FileRole::Output) => batch_view::results_of(&context, &team, job).await,
        (job, FileRole::Input) => {
            view(&context, &team, &job)?;
            let message = "inputs are not given back; results are";
            Err(CallError::new(ErrorKind::NotFound, message))
        }
    }
}

/// Catches up with the log if the file is unknown here, as another instance may have stored it.
pub async fn catch_up_for_file(
    context: &InstanceContext,
    team: &TeamId,
    job: &JobId,
) -> Result<()> {
    match with_file(context, team, job, |_| ()) {
        Ok(()) => Ok(()),
        Err(_) => follower::catch_up_to_head(context).await,
    }
}

/// The id of the job for an input file. An error for an output file.
pub fn job_of_input_file(file: &FileId) -> Result<JobId> {
    match parse_file(file.as_str())? {
        (job, FileRole::Input) => Ok(job),
        (_, FileRole::Output) => Err(no_such_file()),
    }
}

/// Id of the input file of a job.
pub fn input_file_id(job: &JobId) -> String {
    let digits = job
        .as_str()
        .strip_prefix(JOB_PREFIX)
        .unwrap_or(job.as_str());
    format!("{FILE_PREFIX}{digits}")
}

/// Id of the output file of a job.
pub fn output_file_id(job: &JobId) -> String {
    format!("{}{OUTPUT_SUFFIX}", input_file_id(job))
}

/// The upload of a team's stored file.
pub fn stored_upload(
    context: &InstanceContext,
    team: &TeamId,
    job: &JobId,
) -> Result<StoredUpload> {
    with_file(context, team, job, |file| StoredUpload {
        upload: file.upload,
        tier: file.tier.clone(),
        count: file.count,
        digest: file.digest.clone(),
        bytes: file.bytes,
    })
}

fn no_such_file() -> CallError {
    CallError::new(ErrorKind::NotFound, "no such file")
}

fn parse_file(text: &str) -> Result<(JobId, FileRole)> {
    let name = text.strip_prefix(FILE_PREFIX).ok_or_else(no_such_file)?;
    let (digits, role) = match name.strip_suffix(OUTPUT_SUFFIX) {
        Some(digits) => (digits, FileRole::Output),
        None => (name, FileRole::Input),
    };
    let job = format!("{JOB_PREFIX}{digits}").parse();
    Ok((job.map_err(|_| no_such_file())?, role))
}

fn with_file<T>(
    context: &InstanceContext,
    team: &TeamId,
    job: &JobId,
    read_file: impl FnOnce(&StoredFile) -> T,
) -> Result<T> {
    let files = context.state.files_for(job);
    let file = files.get(job).filter(|file| file.team == *team);
    file.map(read_file).ok_or_else(no_such_file)
}

/// An error if the idempotency key was used for a file or job with other content.
fn check_key_conflict(
    context: &InstanceContext,
    team: &TeamId,
    job: &JobId,
    digest: &str,
) -> Result<()> {
    let stored = with_file(context, team, job, |file| file.digest.clone());
    let sealed = batch_view::with_job(context, team, job, |state| state.digest.clone());
    let known = [stored.ok(), sealed.ok()];
    match known.iter().flatten().any(|known| known != digest) {
        true => Err(key_conflict()),
        false => Ok(()),
    }
}

fn view(context: &InstanceContext, team: &TeamId, job: &JobId) -> Result<Value> {
    with_file(context, team, job, |file| {
        json!({
            "id": input_file_id(job),
            "object": "file",
            "bytes": file.bytes,
            "created_at": file.stored_ms / 1_000,
            "filename": file.name,
            "purpose": PURPOSE,
            "status": "processed",
        })
    })
}

fn output_view(context: &InstanceContext, team: &TeamId, job: &JobId) -> Result<Value> {
    batch_view::with_job(context, team, job, |state| {
        json!({
            "id": output_file_id(job),
            "object": "file",
            "bytes": null,
            "created_at": state.submitted_ms / 1_000,
            "filename": format!("{}.jsonl", output_file_id(job)),
            "purpose": "batch_output",
            "status": "processed",
        })
    })
    .map_err(|_| no_such_file())
}

/// The body as a stream for the form parser.
fn chunks(reader: Arc<Mutex<BodyReader>>) -> impl Stream<Item = Result<Bytes>> + Send + 'static {
    stream::unfold(Some(reader), |reader| async {
        let reader = reader?;
        // The form parser buffers for as long as chunks are ready, so yield before each.
        tokio::task::yield_now().await;
        let chunk = reader.lock().await.next_chunk().await;
        match chunk {
            Ok(None) => None,
            Ok(Some(chunk)) => Some((Ok(chunk), Some(reader))),
            Err(e) => Some((Err(e), None)),
        }
    })
}

/// Reads the form fields `purpose` and `file`, in any order.
async fn read_form(
    context: &InstanceContext,
    mut form: Multipart<'_>,
    mut upload: BatchUpload,
) -> Result<(StoredUpload, String)> {
    let (mut purpose, mut name) = (None, None);
    while let Some(field) = form.next_field().await.map_err(form_error)? {
        match field.name() {
            Some("purpose") => purpose = Some(field.text().await.map_err(form_error)?),
            Some("file") if name.is_none() => {
                name = Some(file_name(&field));
                read_file_field(context, field, &mut upload).await?;
            }
            Some("file") => return Err(invalid_form("the form has more than one file")),
            _ => {}
        }
    }
    if purpose.as_deref() != Some(PURPOSE) {
        return Err(invalid_form(
            "the form's field \"purpose\" must be \"batch\"",
        ));
    }
    let name = name.ok_or_else(|| invalid_form("the form has no field \"file\""))?;
    Ok((upload.finish(context).await?, name))
}

async fn read_file_field(
    context: &InstanceContext,
    mut field: Field<'_>,
    upload: &mut BatchUpload,
) -> Result<()> {
    while let Some(chunk) = field.chunk().await.map_err(form_error)? {
        upload.push_chunk(context, &chunk).await?;
    }
    Ok(())
}

fn file_name(field: &Field<'_>) -> String {
    let name = field.file_name().unwrap_or(DEFAULT_NAME);
    name.chars().take(MAX_NAME_CHARS).collect()
}

fn invalid_form(message: &str) -> CallError {
    CallError::new(ErrorKind::InvalidRequest, message)
}

/// Errors of reading the body keep their kind; all others mean an invalid form.
fn form_error(e: multer::Error) -> CallError {
    let message = format!("invalid form: {e}");
    match e {
        multer::Error::StreamReadFailed(inner) => match inner.downcast::<CallError>() {
            Ok(error) => *error,
            Err(_) => invalid_form(&message),
        },
        multer::Error::FieldSizeExceeded { .. } => CallError::new(ErrorKind::BodyTooLarge, message),
        _ => invalid_form(&message),
    }
}
