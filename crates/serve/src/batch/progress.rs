//! What a run of an item has brought so far, kept on the log from time to time, so that another
//! instance can go on where this one stopped.

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

/// Time between two entries.
const PERIOD: Duration = Duration::from_millis(PROGRESS_PERIOD_MS);

/// Where progress is kept.
#[derive(Clone)]
pub struct ProgressLog {
    /// Outputs.
    pub blobs: Arc<BlobStore>,
    /// Entries.
    pub committer: BatchCommitter,
    /// Member name of this instance.
    pub member: String,
}

#[derive(Default)]
struct RunText {
    texts: Vec<String>,
    last_event: Option<u64>,
    /// When progress was last told; `None` before the first attempt.
    told: Option<Instant>,
}

/// The output of one run.
pub struct RunProgress {
    job: JobId,
    item: ItemId,
    log: ProgressLog,
    text: Mutex<RunText>,
    telling: AtomicBool,
}

impl RunProgress {
    /// A run that has brought nothing.
    pub fn new(job: JobId, item: ItemId, log: ProgressLog) -> Self {
        Self {
            job,
            item,
            log,
            text: Mutex::default(),
            telling: AtomicBool::new(false),
        }
    }

    /// Number of the last event.
    pub fn last_event(&self) -> Option<u64> {
        self.text.lock().expect("not poisoned").last_event
    }

    /// Whether it was told that the item runs here.
    pub fn has_started(&self) -> bool {
        self.text.lock().expect("not poisoned").told.is_some()
    }

    /// The whole output so far.
    pub fn text(&self) -> String {
        self.text.lock().expect("not poisoned").texts.join("\n")
    }

    /// Goes on from what an earlier run has brought.
    pub fn resume(&self, last_event: u64, text: String) {
        let mut own = self.text.lock().expect("not poisoned");
        own.texts = vec![text];
        own.last_event = Some(last_event);
    }

    /// Takes in an event.
    pub fn add(&self, number: Option<u64>, data: String) {
        let mut own = self.text.lock().expect("not poisoned");
        own.last_event = number;
        own.texts.push(data);
    }

    /// Tells the log that the item runs here, and what it has brought, if that is due.
    pub fn tell(self: &Arc<Self>) {
        let mut text = self.text.lock().expect("not poisoned");
        let is_due = text.told.is_none_or(|told| told.elapsed() >= PERIOD);
        if !is_due || self.telling.swap(true, Ordering::Relaxed) {
            return;
        }
        text.told = Some(Instant::now());
        drop(text);
        let progress = self.clone();
        tokio::spawn(async move {
            let member = Some(progress.log.member.clone());
            if let Err(e) = progress.append(member, false).await {
                progress.note_lost(&e.to_string());
            }
            progress.telling.store(false, Ordering::Relaxed);
        });
    }

    /// Leaves the item to others, with what it has brought.
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
            Err(e) => self.note_lost(&e.to_string()),
        }
    }

    async fn append(&self, member: Option<String>, urgent: bool) -> Result<()> {
        let (last_event, text) = {
            let text = self.text.lock().expect("not poisoned");
            (text.last_event, text.texts.join("\n"))
        };
        let kept = match last_event {
            None => None,
            Some(last_event) => {
                let blob = self.log.blobs.put(&self.job, text.into_bytes(), urgent);
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
        self.log.committer.append(&entry, urgent).await.map(|_| ())
    }

    fn note_lost(&self, why: &str) {
        log::info!(
            "event=item_progress_lost job={} item={} why={}",
            self.job,
            self.item,
            quote(why)
        );
    }
}
