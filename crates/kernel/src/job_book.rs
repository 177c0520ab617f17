//! Batch jobs as a fold of log entries. The order in which entries arrive does not matter: every
//! entry has its offset, and the entry with the lowest offset counts where two disagree.

use std::collections::{BTreeMap, HashMap};

use amaranth_wire::batch_entry::{
    BatchEntry, BlobRef, ItemEnd, ItemProgress, PartialOutput, SubmittedJob,
};
use amaranth_wire::id::{ItemId, JobId, LogOffset};

/// Time between two entries about the progress of one item, in milliseconds: a lost run costs at most
/// this much again, and an entry costs two records.
pub const PROGRESS_PERIOD_MS: u64 = 2_000;
/// Time for which an instance that told its progress is taken to run the item still, in
/// milliseconds: three entries, as two may be lost or late.
const CLAIM_MS: u64 = 3 * PROGRESS_PERIOD_MS;

/// The instance that last told that it runs an item.
#[derive(Debug)]
struct ItemClaim {
    offset: LogOffset,
    member: Option<String>,
    heard_ms: u64,
}

/// One job.
#[derive(Debug, Default)]
pub struct BookedJob {
    submission: Option<(LogOffset, SubmittedJob)>,
    ended: bool,
    /// First end of each item, by item.
    first: HashMap<ItemId, LogOffset>,
    /// The counted ends in the order of the log.
    ends: BTreeMap<LogOffset, (ItemId, ItemEnd)>,
    /// Who runs each open item.
    claims: HashMap<ItemId, ItemClaim>,
    /// What was kept of each open item's output, up to the last event.
    kept: HashMap<ItemId, PartialOutput>,
    /// Kept output that is not needed any more.
    spare: Vec<BlobRef>,
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
        let kept = self.kept.values().map(|kept| &kept.text);
        let kept = kept.chain(&self.spare).cloned();
        bodies.into_iter().chain(outputs).chain(kept).collect()
    }

    /// Whether another instance, one that is alive, runs an item.
    pub fn is_claimed(
        &self,
        item: &ItemId,
        own: &str,
        is_alive: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> bool {
        self.claims.get(item).is_some_and(|claim| {
            let member = claim.member.as_deref();
            now_ms.saturating_sub(claim.heard_ms) < CLAIM_MS
                && member.is_some_and(|member| member != own && is_alive(member))
        })
    }

    /// What was kept of an open item's output.
    pub fn kept(&self, item: &ItemId) -> Option<&PartialOutput> {
        self.kept.get(item)
    }

    fn add_progress(&mut self, offset: LogOffset, progress: ItemProgress, now_ms: u64) {
        let ItemProgress {
            item, member, kept, ..
        } = progress;
        if self.is_item_done(&item) {
            self.spare.extend(kept.map(|kept| kept.text));
            return;
        }
        let is_newer = self
            .claims
            .get(&item)
            .is_none_or(|claim| claim.offset < offset);
        if is_newer {
            let claim = ItemClaim {
                offset,
                member,
                heard_ms: now_ms,
            };
            self.claims.insert(item.clone(), claim);
        }
        let Some(kept) = kept else { return };
        let is_longer = |known: &PartialOutput| kept.last_event > known.last_event;
        if self.kept.get(&item).is_none_or(is_longer) {
            let shorter = self.kept.insert(item, kept);
            self.spare.extend(shorter.map(|kept| kept.text));
        } else {
            self.spare.push(kept.text);
        }
    }

    fn add_end(&mut self, offset: LogOffset, item: ItemId, end: ItemEnd) {
        match self.first.get(&item) {
            Some(&known) if known <= offset => return,
            Some(&known) => {
                self.ends.remove(&known);
            }
            None => {}
        }
        self.claims.remove(&item);
        self.spare
            .extend(self.kept.remove(&item).map(|kept| kept.text));
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

    /// Takes in one entry of the log that was read at a time, in milliseconds.
    pub fn apply(&mut self, offset: LogOffset, entry: BatchEntry, now_ms: u64) {
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
            BatchEntry::Progress(progress) => {
                let job = self.jobs.entry(progress.job.clone()).or_default();
                job.add_progress(offset, progress, now_ms);
            }
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
