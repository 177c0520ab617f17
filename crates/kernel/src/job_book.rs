//! Batch jobs as a fold of log entries. The order in which entries arrive does not matter: every
//! entry has its offset, and the entry with the lowest offset counts where two disagree.

use std::collections::{BTreeMap, HashMap};

use amaranth_wire::batch_entry::{BatchEntry, BlobRef, ItemEnd, SubmittedJob};
use amaranth_wire::id::{ItemId, JobId, LogOffset};

/// One job.
#[derive(Debug, Default)]
pub struct BookedJob {
    submission: Option<(LogOffset, SubmittedJob)>,
    ended: bool,
    /// First end of each item, by item.
    first: HashMap<ItemId, LogOffset>,
    /// The counted ends in the order of the log.
    ends: BTreeMap<LogOffset, (ItemId, ItemEnd)>,
}

impl BookedJob {
    /// What was submitted; `None` while only results are known.
    pub fn submission(&self) -> Option<&SubmittedJob> {
        self.submission.as_ref().map(|(_, job)| job)
    }

    /// Whether its caller ended it.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether every item has an end.
    pub fn is_complete(&self) -> bool {
        self.submission()
            .is_some_and(|job| self.ends.len() >= job.items.len())
    }

    /// The counted ends from a position on.
    pub fn ends_from(&self, position: usize) -> impl Iterator<Item = (&ItemId, &ItemEnd)> {
        self.ends.values().skip(position).map(|(id, end)| (id, end))
    }

    /// Number of counted ends.
    pub fn ends_len(&self) -> usize {
        self.ends.len()
    }

    /// Whether an item has an end.
    pub fn is_item_done(&self, item: &ItemId) -> bool {
        self.first.contains_key(item)
    }

    /// Where the bodies and outputs lie.
    pub fn blobs(&self) -> Vec<BlobRef> {
        let outputs = self.ends.values().filter_map(|(_, end)| match end {
            ItemEnd::Succeeded(blob) => Some(blob.clone()),
            ItemEnd::Errored => None,
        });
        let bodies = self.submission().map(|job| job.bodies.clone());
        bodies.into_iter().chain(outputs).collect()
    }

    fn add_end(&mut self, offset: LogOffset, item: ItemId, end: ItemEnd) {
        match self.first.get(&item) {
            Some(&known) if known <= offset => return,
            Some(&known) => {
                self.ends.remove(&known);
            }
            None => {}
        }
        self.first.insert(item.clone(), offset);
        self.ends.insert(offset, (item, end));
    }
}

/// All jobs that are kept.
#[derive(Debug, Default)]
pub struct JobBook {
    jobs: HashMap<JobId, BookedJob>,
}

impl JobBook {
    /// A book without jobs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in one entry of the log.
    pub fn apply(&mut self, offset: LogOffset, entry: BatchEntry) {
        match entry {
            BatchEntry::Submitted(submission) => {
                let job = self.jobs.entry(submission.job.clone()).or_default();
                let earlier = job.submission.as_ref().is_none_or(|(at, _)| offset < *at);
                if earlier {
                    job.submission = Some((offset, submission));
                }
            }
            BatchEntry::ItemEnded { job, item, end } => {
                let job = self.jobs.entry(job).or_default();
                job.add_end(offset, item, end);
            }
            BatchEntry::Ended { job } => self.jobs.entry(job).or_default().ended = true,
        }
    }

    /// A job whose submission is known.
    pub fn job(&self, job: &JobId) -> Option<&BookedJob> {
        self.jobs.get(job).filter(|job| job.submission.is_some())
    }

    /// Jobs whose submission is known.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &BookedJob)> {
        self.jobs.iter().filter(|(_, job)| job.submission.is_some())
    }

    /// Drops a job.
    pub fn forget(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }
}
