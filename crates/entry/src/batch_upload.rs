//! Validates the lines of a batch and appends them to the log in pieces. The pieces have no effect
//! until a job or a file refers to the upload.

use std::collections::HashSet;
use std::time::Duration;

use amaranth_settings::tier::TierSettings;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{JobId, TierId};
use amaranth_wire::record::{ItemInput, LogRecord};
use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

use crate::accept::find_tier;
use crate::context::{InstanceContext, Result};

/// The only endpoint that batch items may use.
pub const ITEM_ENDPOINT: &str = "/v1/chat/completions";
/// Size at which a piece is appended, in bytes.
const PIECE_BYTES: usize = 512 << 10;
/// Most items of one job.
const MAX_ITEMS: u32 = 1_000_000;
/// Longest `custom_id`, in bytes.
const MAX_CUSTOM_ID_BYTES: usize = 512;
/// Most invalid lines that one error lists.
const MAX_REPORTED_LINES: usize = 20;
/// Timeout of one append.
pub const COMMIT_LIMIT: Duration = Duration::from_secs(5);

/// One line of a batch.
#[derive(Deserialize)]
#[serde(expecting = "an object with a \"custom_id\" and a \"body\"")]
struct BatchLine {
    custom_id: String,
    #[serde(default)]
    method: Option<String>,
    #[serde(default)]
    url: Option<String>,
    body: Box<RawValue>,
}

/// The part of an item's body that is validated.
#[derive(Deserialize)]
#[serde(expecting = "an object with a \"model\"")]
struct ItemHead {
    model: String,
}

type LineResult<T> = std::result::Result<T, String>;

/// A batch upload in progress.
pub struct BatchUpload {
    job: JobId,
    upload: u64,
    tier: Option<TierSettings>,
    /// Start of a line whose end has not arrived.
    partial_line: BytesMut,
    items: Vec<ItemInput>,
    item_bytes: usize,
    appended: u32,
    line: usize,
    ids: HashSet<String>,
    invalid: Vec<String>,
    digest: Sha256,
    bytes: u64,
}

/// A complete upload, whose lines are valid and on the log.
#[derive(Debug, Clone)]
pub struct StoredUpload {
    /// Identifies the upload among those of its job.
    pub upload: u64,
    /// The tier of its items.
    pub tier: TierId,
    /// Number of items.
    pub count: u32,
    /// SHA-256 of the lines, hexadecimal.
    pub digest: String,
    /// Size of the lines, in bytes.
    pub bytes: u64,
}

impl BatchUpload {
    /// Starts an upload for a job.
    pub fn new(job: JobId) -> Self {
        Self {
            job,
            upload: rand::random(),
            tier: None,
            partial_line: BytesMut::new(),
            items: Vec::new(),
            item_bytes: 0,
            appended: 0,
            line: 0,
            ids: HashSet::new(),
            invalid: Vec::new(),
            digest: Sha256::new(),
            bytes: 0,
        }
    }

    /// Sets the tier if one is named. Otherwise it is the first tier that serves the first item's
    /// model.
    pub fn with_tier(mut self, context: &InstanceContext, named: Option<&str>) -> Result<Self> {
        if named.is_some() {
            let tier = find_tier(context, named, "")?;
            let invalid = |message| CallError::new(ErrorKind::InvalidRequest, message);
            check_batch_tier(tier).map_err(invalid)?;
            self.tier = Some(tier.clone());
        }
        Ok(self)
    }

    /// Processes the next bytes of the body. Buffers at most one piece and one line.
    pub async fn push_chunk(&mut self, context: &InstanceContext, chunk: &[u8]) -> Result<()> {
        let max_bytes = context.config.fleet.bodies.item.as_bytes() as usize;
        self.digest.update(chunk);
        self.bytes += chunk.len() as u64;
        let mut searched = self.partial_line.len();
        self.partial_line.extend_from_slice(chunk);
        while let Some(end) = find_newline(&self.partial_line, searched) {
            let line = self.partial_line.split_to(end + 1).freeze();
            searched = 0;
            self.check_line_size(line.len(), max_bytes)?;
            self.process_line(context, line).await?;
        }
        self.check_line_size(self.partial_line.len(), max_bytes)
    }

    /// Processes the last line and appends the remaining items. An error if any line was invalid.
    pub async fn finish(mut self, context: &InstanceContext) -> Result<StoredUpload> {
        let last = std::mem::take(&mut self.partial_line).freeze();
        self.process_line(context, last).await?;
        self.check_lines()?;
        self.append_piece(context).await?;
        let tier = self.tier.expect("a batch with items has a tier");
        Ok(StoredUpload {
            upload: self.upload,
            tier: tier.name,
            count: self.appended,
            digest: hex(&self.digest.finalize()),
            bytes: self.bytes,
        })
    }

    fn check_line_size(&self, bytes: usize, max_bytes: usize) -> Result<()> {
        if bytes <= max_bytes {
            return Ok(());
        }
        let message = format!("line {} is larger than {max_bytes} bytes", self.line + 1);
        Err(CallError::new(ErrorKind::BodyTooLarge, message))
    }

    async fn process_line(&mut self, context: &InstanceContext, line: Bytes) -> Result<()> {
        self.line += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        match self.parse_line(context, &line) {
            Ok(item) => self.push_item(context, item).await,
            Err(reason) => {
                if self.invalid.len() < MAX_REPORTED_LINES {
                    self.invalid.push(format!("line {}: {reason}", self.line));
                }
                Ok(())
            }
        }
    }

    fn parse_line(&mut self, context: &InstanceContext, line: &[u8]) -> LineResult<ItemInput> {
        let parsed: BatchLine = serde_json::from_slice(line).map_err(|e| e.to_string())?;
        check_line_head(&parsed)?;
        if !self.ids.insert(parsed.custom_id.clone()) {
            return Err(format!("custom_id {:?} stands twice", parsed.custom_id));
        }
        let body = parsed.body.get();
        let head: ItemHead = serde_json::from_str(body).map_err(|e| format!("body: {e}"))?;
        self.check_model(context, &head.model)?;
        Ok(ItemInput {
            custom_id: parsed.custom_id,
            body: body.as_bytes().to_vec(),
        })
    }

    /// Checks that the batch's tier serves a model. Without a tier, the first model selects it.
    fn check_model(&mut self, context: &InstanceContext, model: &str) -> LineResult<()> {
        let Some(tier) = &self.tier else {
            let tier = find_tier(context, None, model).map_err(|e| e.message)?;
            check_batch_tier(tier)?;
            self.tier = Some(tier.clone());
            return Ok(());
        };
        let group = context.config.fleet.group(&tier.upstreams);
        let served = group.and_then(|group| group.model.as_ref());
        match served.is_some_and(|served| served.as_str() == model) {
            true => Ok(()),
            false => Err(format!(
                "tier {} does not serve the model {model:?}",
                tier.name
            )),
        }
    }

    async fn push_item(&mut self, context: &InstanceContext, item: ItemInput) -> Result<()> {
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
        if context.state.shard_for(&self.job).get(&self.job).is_some() {
            // The job exists, so this is a resend, of which only the digest is needed.
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
            let message = "the batch has no items";
            return Err(CallError::new(ErrorKind::InvalidItems, message));
        }
        Ok(())
    }
}

fn find_newline(bytes: &[u8], from: usize) -> Option<usize> {
    let found = bytes[from..].iter().position(|&byte| byte == b'\n');
    found.map(|at| from + at)
}

fn check_batch_tier(tier: &TierSettings) -> LineResult<()> {
    match tier.batch {
        true => Ok(()),
        false => Err(format!("tier {} takes no batches", tier.name)),
    }
}

fn check_line_head(line: &BatchLine) -> LineResult<()> {
    if line.custom_id.is_empty() || line.custom_id.len() > MAX_CUSTOM_ID_BYTES {
        return Err(format!(
            "custom_id must have 1 to {MAX_CUSTOM_ID_BYTES} bytes"
        ));
    }
    if line.method.as_ref().is_some_and(|method| method != "POST") {
        return Err("method must be \"POST\"".to_owned());
    }
    if line.url.as_ref().is_some_and(|url| url != ITEM_ENDPOINT) {
        return Err(format!("url must be {ITEM_ENDPOINT:?}"));
    }
    Ok(())
}

/// Formats bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
