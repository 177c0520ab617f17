//! Saves the partial output of a running item on the log periodically, so that another instance can
//! resume where this one stopped.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::job_table::PROGRESS_PERIOD_MS;
use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BatchEntry, ItemProgress, PartialOutput};
use amaranth_wire::id::{ItemId, JobId};
use tokio::time::Instant;

use crate::batch::blobs::BlobStore;
use crate::batch::commit::BatchCommitter;
use crate::log_access::Result;

/// Least time between two progress entries of a run.
const SAVE_PERIOD: Duration = Duration::from_millis(PROGRESS_PERIOD_MS);

/// Writes the progress of items to the log.
#[derive(Clone)]
pub struct ProgressWriter {
    /// Stores partial outputs.
    pub blobs: Arc<BlobStore>,
    /// Appends progress entries.
    pub committer: BatchCommitter,
    /// Member name of this instance.
    pub member: String,
}

#[derive(Default)]
struct RunOutput {
    texts: Vec<String>,
    last_event: Option<u64>,
    /// When progress was last saved; `None` before the first attempt.
    last_saved: Option<Instant>,
}

/// Partial output of one run of an item.
pub struct RunProgress {
    job: JobId,
    item: ItemId,
    writer: ProgressWriter,
    output: Mutex<RunOutput>,
    saving: AtomicBool,
}

impl RunProgress {
    /// Creates the progress of a run without output.
    pub fn new(job: JobId, item: ItemId, writer: ProgressWriter) -> Self {
        Self {
            job,
            item,
            writer,
            output: Mutex::default(),
            saving: AtomicBool::new(false),
        }
    }

    /// Id of the last event received; `None` without one.
    pub fn last_event(&self) -> Option<u64> {
        self.output.lock().expect("not poisoned").last_event
    }

    /// Whether saving was started once, which claims the item for this instance.
    pub fn has_started(&self) -> bool {
        self.output
            .lock()
            .expect("not poisoned")
            .last_saved
            .is_some()
    }

    /// Returns the output so far, events separated by line feeds.
    pub fn text(&self) -> String {
        self.output.lock().expect("not poisoned").texts.join("\n")
    }

    /// Continues from the output of an earlier run.
    pub fn resume(&self, last_event: u64, text: String) {
        let mut output = self.output.lock().expect("not poisoned");
        output.texts = vec![text];
        output.last_event = Some(last_event);
    }

    /// Appends the data of an event.
    pub fn add(&self, number: Option<u64>, data: String) {
        let mut output = self.output.lock().expect("not poisoned");
        output.last_event = number;
        output.texts.push(data);
    }

    /// Appends the item's claim and partial output in the background, if a save is due.
    pub fn save_if_due(self: &Arc<Self>) {
        let mut output = self.output.lock().expect("not poisoned");
        let is_due = output
            .last_saved
            .is_none_or(|last_saved| last_saved.elapsed() >= SAVE_PERIOD);
        if !is_due || self.saving.swap(true, Ordering::Relaxed) {
            return;
        }
        output.last_saved = Some(Instant::now());
        drop(output);
        let progress = self.clone();
        tokio::spawn(async move {
            let member = Some(progress.writer.member.clone());
            if let Err(e) = progress.append(member, false).await {
                progress.log_save_failure(&e.to_string());
            }
            progress.saving.store(false, Ordering::Relaxed);
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

    async fn append(&self, member: Option<String>, urgent: bool) -> Result<()> {
        let (last_event, text) = {
            let output = self.output.lock().expect("not poisoned");
            (output.last_event, output.texts.join("\n"))
        };
        let kept = match last_event {
            None => None,
            Some(last_event) => {
                let blob = self.writer.blobs.put(&self.job, text.into_bytes(), urgent);
                Some(PartialOutput {
                    last_event,
                    text: blob.await?,
                })
            }
        };
        let entry = BatchEntry::Progress(ItemProgress {
            job: self.job.clone(),
            item: self.item.clone(),
            member,
            kept,
        });
        self.writer
            .committer
            .append(&entry, urgent)
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
