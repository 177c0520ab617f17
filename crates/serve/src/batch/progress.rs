//! Saves the partial output of a running item on the log periodically, so that another instance can
//! resume where this one stopped.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::job_table::PROGRESS_PERIOD_MS;
use amaranth_kernel::memory_budget::MemoryUse;
use amaranth_net::state_lock::StateMutex;
use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BatchEntry, BlobRef, ItemProgress, PartialOutput};
use amaranth_wire::id::{ItemId, JobId};
use bytes::Bytes;
use tokio::time::Instant;

use crate::attempt::BrokenAnswer;
use crate::batch::blobs::BlobStore;
use crate::batch::commit::BatchCommitter;
use crate::batch::replica::progress_key;
use crate::log_access::{LogError, NewEntry, Result};
use crate::memory_account::{MemoryAccount, MemoryGuard, OverBudget};

/// Least time between two progress entries of a run.
const SAVE_PERIOD: Duration = Duration::from_millis(PROGRESS_PERIOD_MS);

/// Writes the progress of items to the log.
#[derive(Clone)]
pub struct ProgressWriter {
    /// Stores partial outputs.
    pub blobs: Arc<BlobStore>,
    /// Appends the ends of items.
    pub committer: BatchCommitter,
    /// Appends progress entries.
    pub progress_committer: BatchCommitter,
    /// Member name of this instance.
    pub member: String,
    /// Memory held for items.
    pub account: MemoryAccount,
}

/// A complete output, accounted for until it is dropped.
pub struct HeldOutput {
    /// The data of all events, separated by line feeds.
    pub text: Bytes,
    _guard: MemoryGuard,
}

struct RunOutput {
    text: String,
    /// Memory of the text.
    guard: MemoryGuard,
    /// Whether the text has an event, which may be empty.
    has_event: bool,
    last_event: Option<u64>,
    /// When progress was last saved; `None` before the first attempt.
    last_saved: Option<Instant>,
    /// Partial outputs of this run on the log, oldest first.
    stored: Vec<BlobRef>,
}

impl RunOutput {
    fn new(account: &MemoryAccount) -> Self {
        Self {
            text: String::new(),
            guard: account.guard(MemoryUse::Item),
            has_event: false,
            last_event: None,
            last_saved: None,
            stored: Vec::new(),
        }
    }

    /// Gives up the text, so that the item starts from the beginning.
    fn discard(&mut self) {
        self.text = String::new();
        self.guard.release();
        self.has_event = false;
        self.last_event = None;
    }
}

/// Partial output of one run of an item.
pub struct RunProgress {
    job: JobId,
    item: ItemId,
    writer: ProgressWriter,
    output: StateMutex<RunOutput>,
    /// Held while progress is saved.
    saving: Arc<tokio::sync::Mutex<()>>,
}

impl RunProgress {
    /// Creates the progress of a run without output.
    pub fn new(job: JobId, item: ItemId, writer: ProgressWriter) -> Self {
        Self {
            job,
            item,
            output: StateMutex::new(RunOutput::new(&writer.account)),
            writer,
            saving: Arc::default(),
        }
    }

    /// Id of the last event received; `None` without one.
    pub fn last_event(&self) -> Option<u64> {
        self.output.lock().last_event
    }

    /// Whether saving was started once, which claims the item for this instance.
    pub fn has_started(&self) -> bool {
        self.output.lock().last_saved.is_some()
    }

    /// Size of the output so far, in bytes.
    pub fn output_bytes(&self) -> usize {
        self.output.lock().text.len()
    }

    /// Takes the complete output. Progress that is saved later has none.
    pub fn take_output(&self) -> HeldOutput {
        let mut output = self.output.lock();
        let bytes = output.guard.bytes();
        let held = HeldOutput {
            text: std::mem::take(&mut output.text).into(),
            _guard: output.guard.split(bytes),
        };
        output.discard();
        held
    }

    /// Holds memory for the output of an earlier run.
    pub fn reserve(&self, bytes: usize) -> std::result::Result<(), OverBudget> {
        self.output.lock().guard.resize(bytes)
    }

    /// Continues from the output of an earlier run, for which memory was reserved.
    pub fn resume(&self, last_event: u64, text: String) {
        let mut output = self.output.lock();
        output.text = text;
        output.has_event = true;
        output.last_event = Some(last_event);
    }

    /// Checks the end of an answer that brought this many events. One without events is no output, and
    /// doesn't prove that the output before it is complete: the item starts from the beginning.
    pub fn check_end(&self, events: u32, is_framed: bool) -> std::result::Result<(), BrokenAnswer> {
        if events > 0 {
            return Ok(());
        }
        let mut output = self.output.lock();
        let is_resumed = output.last_event.is_some();
        output.discard();
        Err(match (is_resumed, is_framed) {
            (true, _) => BrokenAnswer::new("no event in a resumed stream"),
            (false, true) => BrokenAnswer::new("no event in the answer"),
            (false, false) => BrokenAnswer::lost("connection ended before an event"),
        })
    }

    /// Appends the data of an event. An output that the log can't take, or for which there is no memory, is
    /// given up with the memory that it takes: other items may need it to end.
    pub fn add(&self, number: u64, data: &str) -> std::result::Result<(), BrokenAnswer> {
        let mut output = self.output.lock();
        let bytes = output.text.len() + usize::from(output.has_event) + data.len();
        if !self.writer.blobs.fits_append(bytes) {
            output.discard();
            let why = "the output exceeds what the log takes in one append";
            return Err(BrokenAnswer::new(why));
        }
        if let Err(over) = output.guard.resize(bytes) {
            output.discard();
            return Err(BrokenAnswer::new(over.to_string()));
        }
        if output.has_event {
            output.text.push('\n');
        }
        output.text.push_str(data);
        output.has_event = true;
        output.last_event = Some(number);
        Ok(())
    }

    /// Appends the item's claim and partial output in the background, if a save is due.
    pub fn save_if_due(self: &Arc<Self>) {
        let mut output = self.output.lock();
        let is_due = output
            .last_saved
            .is_none_or(|last_saved| last_saved.elapsed() >= SAVE_PERIOD);
        if !is_due {
            return;
        }
        let Ok(saving) = self.saving.clone().try_lock_owned() else {
            return;
        };
        // The first entry claims the item, which others must learn before they may start it.
        let is_claim = output.last_saved.is_none();
        output.last_saved = Some(Instant::now());
        drop(output);
        let progress = self.clone();
        tokio::spawn(async move {
            let member = Some(progress.writer.member.clone());
            if let Err(e) = progress.append(member, is_claim).await {
                progress.log_save_failure(&e.to_string());
            }
            drop(saving);
        });
    }

    /// Releases the item to other instances, with its partial output.
    pub async fn hand_over(&self) {
        if !self.has_started() {
            return;
        }
        match self.append(None, true).await {
            Ok(()) => log::info!(
                "event=item_handed_over job={} item={} last_event={:?}",
                self.job,
                self.item,
                self.last_event()
            ),
            Err(e) => self.log_save_failure(&e.to_string()),
        }
    }

    /// Returns the partial outputs of this run on the log, which its end makes obsolete.
    pub fn take_stored(&self) -> Vec<BlobRef> {
        let mut output = self.output.lock();
        std::mem::take(&mut output.stored)
    }

    /// Deletes the progress of an item whose end is on the log.
    pub async fn delete(&self) {
        if !self.has_started() {
            return;
        }
        let _saving = self.saving.lock().await;
        let stored = self.take_stored();
        if !stored.is_empty()
            && let Err(e) = self.writer.blobs.delete(&stored).await
        {
            self.log_save_failure(&e.to_string());
        }
        let record = NewEntry {
            key: progress_key(&self.job, &self.item),
            value: None,
        };
        let committer = &self.writer.progress_committer;
        if let Err(e) = committer.append_records(vec![record], false).await {
            self.log_save_failure(&e.to_string());
        }
    }

    /// Stores the output so far, and deletes the partial outputs before the latest one: that one is
    /// in use until an entry refers to the new one.
    async fn store_output(&self, text: Bytes, urgent: bool) -> Result<BlobRef> {
        let unused = {
            let mut output = self.output.lock();
            let latest = output.stored.pop();
            std::mem::replace(&mut output.stored, latest.into_iter().collect())
        };
        let blobs = &self.writer.blobs;
        let stored = blobs.put_replacing(&self.job, text, urgent, &unused);
        let blob = stored.await?;
        let mut output = self.output.lock();
        output.stored.push(blob.clone());
        Ok(blob)
    }

    /// Copies the output so far, if there is memory for a copy; `None` without output.
    fn copy_output(&self) -> Result<Option<(u64, HeldOutput)>> {
        let output = self.output.lock();
        let Some(last_event) = output.last_event else {
            return Ok(None);
        };
        let mut guard = self.writer.account.guard(MemoryUse::Item);
        let held = guard.resize(output.text.len());
        held.map_err(|over| LogError::NotDone(over.to_string()))?;
        let copy = HeldOutput {
            text: Bytes::copy_from_slice(output.text.as_bytes()),
            _guard: guard,
        };
        Ok(Some((last_event, copy)))
    }

    async fn append(&self, member: Option<String>, urgent: bool) -> Result<()> {
        let kept = match self.copy_output()? {
            None => None,
            Some((last_event, copy)) => Some(PartialOutput {
                last_event,
                text: self.store_output(copy.text.clone(), urgent).await?,
            }),
        };
        let entry = BatchEntry::Progress(ItemProgress {
            job: self.job.clone(),
            item: self.item.clone(),
            member,
            kept,
        });
        let record = NewEntry {
            key: progress_key(&self.job, &self.item),
            value: Some(entry.encode().into()),
        };
        let committer = &self.writer.progress_committer;
        committer
            .append_records(vec![record], urgent)
            .await
            .map(|_| ())
    }

    fn log_save_failure(&self, why: &str) {
        log::info!(
            "event=item_progress_not_saved job={} item={} why={}",
            self.job,
            self.item,
            quote(why)
        );
    }
}
