//! Takes batch jobs: a stream of JSON lines becomes records on the log, then one that seals it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::body::next_chunk;
use amaranth_net::clock::unix_ms;
use amaranth_net::route::RouteRequest;
use amaranth_settings::tier::TierSettings;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{JobId, TeamId};
use amaranth_wire::record::{ItemInput, LogRecord};
use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::accept::{TIER_HEADER, find_tier};
use crate::batch_view;
use crate::context::{InstanceContext, Result};

/// Header that names a job, so that a resend is recognised.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the time until the job is due, in milliseconds.
pub const DEADLINE_HEADER: &str = "amaranth-deadline-ms";
/// Time until a job is due that names no deadline, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 24 * 3_600_000;
/// Items are appended in pieces of about so many bytes.
const PIECE_BYTES: usize = 512 << 10;
/// Most items of one job.
const MAX_ITEMS: u32 = 1_000_000;
/// Invalid lines that one answer names.
const MAX_REPORTED_LINES: usize = 20;
/// Longest wait for one append of a submission.
const COMMIT_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for the whole body of a batch.
const BODY_LIMIT: Duration = Duration::from_secs(600);

/// One line of a batch.
#[derive(Deserialize)]
struct BatchLine {
    custom_id: String,
    #[serde(default)]
    #[allow(dead_code)]
    method: Option<String>,
    #[serde(default)]
    #[allow(dead_code)]
    url: Option<String>,
    body: Box<RawValue>,
}

/// What the upload has brought so far.
struct UploadState {
    job: JobId,
    upload: u64,
    items: Vec<ItemInput>,
    item_bytes: usize,
    appended: u32,
    line: usize,
    ids: HashSet<String>,
    invalid: Vec<String>,
    digest: Sha256,
    tier: Option<TierSettings>,
}

/// Handles the submission of a job.
pub async fn submit(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    context.check_started()?;
    let team: TeamId = "default".parse().expect("a valid name");
    let key = request.header(KEY_HEADER).map(str::to_owned);
    let job = job_id(&team, key.as_deref());
    let named_tier = request.header(TIER_HEADER).map(str::to_owned);
    let deadline_ms = unix_ms() + parse_deadline(&request)?;
    let mut upload = UploadState::new(job.clone());
    if let Some(name) = &named_tier {
        upload.tier = Some(find_tier(&context, Some(name), "")?.clone());
    }
    upload.read_body(&context, request.into_body()).await?;
    let digest = hex(&upload.digest.clone().finalize());
    if let Some(known) = known_digest(&context, &job) {
        return answer_known(&context, &job, &digest, &known);
    }
    upload
        .seal(&context, team, digest.clone(), deadline_ms)
        .await?;
    match known_digest(&context, &job) {
        Some(known) => answer_known(&context, &job, &digest, &known),
        None => Err(CallError::new(
            ErrorKind::Internal,
            "the job was not accepted",
        )),
    }
}

/// The same for every instance that receives the same key of the same team.
fn job_id(team: &TeamId, key: Option<&str>) -> JobId {
    let text = match key {
        Some(key) => hex(&Sha256::digest(format!("{team}\n{key}")))[..32].to_owned(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let id = format!("batch_{text}");
    id.parse().expect("hexadecimal is a valid identifier")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_deadline(request: &RouteRequest) -> Result<u64> {
    let Some(text) = request.header(DEADLINE_HEADER) else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    text.parse().map_err(|_| {
        let message = format!("{DEADLINE_HEADER} must be a whole number of milliseconds");
        CallError::new(ErrorKind::InvalidRequest, message)
    })
}

fn known_digest(context: &InstanceContext, job: &JobId) -> Option<String> {
    let shard = context.state.shard_for(job);
    shard.get(job).map(|state| state.digest.clone())
}

fn answer_known(
    context: &InstanceContext,
    job: &JobId,
    digest: &str,
    known: &str,
) -> Result<Response> {
    if digest != known {
        let message = "the same idempotency key came with another body";
        return Err(CallError::new(ErrorKind::KeyConflict, message));
    }
    Ok(answer::json(200, &batch_view::view(context, job)?))
}

impl UploadState {
    fn new(job: JobId) -> Self {
        Self {
            job,
            upload: rand::random(),
            items: Vec::new(),
            item_bytes: 0,
            appended: 0,
            line: 0,
            ids: HashSet::new(),
            invalid: Vec::new(),
            digest: Sha256::new(),
            tier: None,
        }
    }

    /// Reads the body line by line; memory is bounded by one piece.
    async fn read_body(&mut self, context: &InstanceContext, mut body: Body) -> Result<()> {
        let deadline = Instant::now() + BODY_LIMIT;
        let bodies = &context.config.fleet.bodies;
        let (most, item_most) = (bodies.batch.as_bytes(), bodies.item.as_bytes() as usize);
        let mut received = 0;
        let mut rest = BytesMut::new();
        while let Some(chunk) = next_chunk(&mut body, deadline).await? {
            received += chunk.len() as u64;
            if received > most {
                let message = format!("the body is larger than {most} bytes");
                return Err(CallError::new(ErrorKind::BodyTooLarge, message));
            }
            self.digest.update(&chunk);
            rest.extend_from_slice(&chunk);
            while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
                let line = rest.split_to(end + 1).freeze();
                self.take_line(context, line).await?;
            }
            if rest.len() > item_most {
                let message = format!("line {} is larger than {item_most} bytes", self.line + 1);
                return Err(CallError::new(ErrorKind::BodyTooLarge, message));
            }
        }
        self.take_line(context, rest.freeze()).await?;
        self.check_lines()
    }

    async fn take_line(&mut self, context: &InstanceContext, line: Bytes) -> Result<()> {
        self.line += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        match self.parse_line(context, &line) {
            Ok(item) => self.take_item(context, item).await,
            Err(reason) => {
                if self.invalid.len() < MAX_REPORTED_LINES {
                    self.invalid.push(format!("line {}: {reason}", self.line));
                }
                Ok(())
            }
        }
    }

    fn parse_line(
        &mut self,
        context: &InstanceContext,
        line: &[u8],
    ) -> std::result::Result<ItemInput, String> {
        let parsed: BatchLine = serde_json::from_slice(line).map_err(|e| e.to_string())?;
        if !self.ids.insert(parsed.custom_id.clone()) {
            return Err(format!("custom_id {:?} stands twice", parsed.custom_id));
        }
        let body = parsed.body.get();
        if self.tier.is_none() {
            let tier = tier_of_body(context, body)?;
            self.tier = Some(tier);
        }
        Ok(ItemInput {
            custom_id: parsed.custom_id,
            body: body.as_bytes().to_vec(),
        })
    }

    async fn take_item(&mut self, context: &InstanceContext, item: ItemInput) -> Result<()> {
        if self.appended + self.items.len() as u32 >= MAX_ITEMS {
            let message = format!("a job has at most {MAX_ITEMS} items");
            return Err(CallError::new(ErrorKind::BodyTooLarge, message));
        }
        self.item_bytes += item.body.len() + item.custom_id.len();
        self.items.push(item);
        if self.item_bytes >= PIECE_BYTES && self.invalid.is_empty() {
            self.append_piece(context).await?;
        }
        Ok(())
    }

    async fn append_piece(&mut self, context: &InstanceContext) -> Result<()> {
        let items = std::mem::take(&mut self.items);
        self.item_bytes = 0;
        if items.is_empty() {
            return Ok(());
        }
        let first = self.appended;
        self.appended += items.len() as u32;
        if known_digest(context, &self.job).is_some() {
            // A resend: only its digest is still needed.
            return Ok(());
        }
        let record = LogRecord::JobItems {
            job: self.job.clone(),
            upload: self.upload,
            first,
            items,
        };
        context.committer.submit(vec![record], COMMIT_LIMIT).await?;
        Ok(())
    }

    fn check_lines(&self) -> Result<()> {
        if !self.invalid.is_empty() {
            let message = self.invalid.join("; ");
            return Err(CallError::new(ErrorKind::InvalidItems, message));
        }
        if self.appended == 0 && self.items.is_empty() {
            return Err(CallError::new(
                ErrorKind::InvalidItems,
                "the batch has no items",
            ));
        }
        Ok(())
    }

    /// Appends the rest and the record that accepts the job, and waits until it is folded.
    async fn seal(
        &mut self,
        context: &InstanceContext,
        team: TeamId,
        digest: String,
        deadline_ms: u64,
    ) -> Result<()> {
        self.append_piece(context).await?;
        let tier = self.tier.as_ref().expect("a batch with items has a tier");
        let record = LogRecord::JobSealed {
            job: self.job.clone(),
            upload: self.upload,
            team,
            tier: tier.name.clone(),
            count: self.appended,
            digest,
            submitted_ms: unix_ms(),
            deadline_ms,
        };
        let offset = context.committer.submit(vec![record], COMMIT_LIMIT).await?;
        if context.state.wait_folded(offset, COMMIT_LIMIT).await {
            return Ok(());
        }
        let message = "the job is on the log but was not read back in time";
        Err(CallError::new(ErrorKind::OutcomeUnknown, message))
    }
}

/// The tier that the model of an item's body names.
fn tier_of_body(
    context: &InstanceContext,
    body: &str,
) -> std::result::Result<TierSettings, String> {
    #[derive(Deserialize)]
    struct ItemModel {
        model: String,
    }
    let item: ItemModel = serde_json::from_str(body).map_err(|e| format!("body: {e}"))?;
    let tier = find_tier(context, None, &item.model).map_err(|e| e.message)?;
    if !tier.batch {
        return Err(format!("tier {} takes no batches", tier.name));
    }
    Ok(tier.clone())
}
