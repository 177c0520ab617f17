//! Saves the partial output of a running item on the log periodically, so that another instance can
//! resume where this one stopped.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::job_table::PROGRESS_PERIOD_MS;
use amaranth_net::state_lock::StateMutex;
use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BatchEntry, BlobRef, ItemProgress, PartialOutput};
use amaranth_wire::id::{ItemId, JobId};
use tokio::time::Instant;

use crate::attempt::BrokenAnswer;
use crate::batch::blobs::BlobStore;
use crate::batch::commit::BatchCommitter;
use crate::batch::replica::progress_key;
use crate::log_access::{NewEntry, Result};

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
}

#[derive(Default)]
struct RunOutput {
    texts: Vec<String>,
    last_event: Option<u64>,
    /// When progress was last saved; `None` before the first attempt.
    last_saved: Option<Instant>,
    /// Partial outputs of this run on the log, oldest first.
    stored: Vec<BlobRef>,
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
            writer,
            output: StateMutex::default(),
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

    /// Returns the output so far, events separated by line feeds.
    pub fn text(&self) -> String {
        self.output.lock().texts.join("\n")
    }

    /// Continues from the output of an earlier run.
    pub fn resume(&self, last_event: u64, text: String) {
        let mut output = self.output.lock();
        output.texts = vec![text];
        output.last_event = Some(last_event);
    }

    /// Checks the end of an answer that brought this many events. One that resumed the output and
    /// brought none doesn't prove that the output is complete: the item starts from the beginning.
    pub fn check_end(&self, events: u32, is_framed: bool) -> std::result::Result<(), BrokenAnswer> {
        let mut output = self.output.lock();
        match output.last_event {
            Some(_) if events == 0 => {
                output.texts = Vec::new();
                output.last_event = None;
                Err(BrokenAnswer::new("no event in a resumed stream"))
            }
            None if !is_framed => Err(BrokenAnswer::lost("connection ended before an event")),
            _ => Ok(()),
        }
    }

    /// Appends the data of an event.
    pub fn add(&self, number: Option<u64>, data: String) {
        let mut output = self.output.lock();
        output.last_event = number;
        output.texts.push(data);
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
    async fn store_output(&self, text: String, urgent: bool) -> Result<BlobRef> {
        let unused = {
            let mut output = self.output.lock();
            let latest = output.stored.pop();
            std::mem::replace(&mut output.stored, latest.into_iter().collect())
        };
        let blobs = &self.writer.blobs;
        let stored = blobs.put_replacing(&self.job, text.into_bytes(), urgent, &unused);
        let blob = stored.await?;
        let mut output = self.output.lock();
        output.stored.push(blob.clone());
        Ok(blob)
    }

    async fn append(&self, member: Option<String>, urgent: bool) -> Result<()> {
        let (last_event, text) = {
            let output = self.output.lock();
            (output.last_event, output.texts.join("\n"))
        };
        let kept = match last_event {
            None => None,
            Some(last_event) => Some(PartialOutput {
                last_event,
                text: self.store_output(text, urgent).await?,
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
