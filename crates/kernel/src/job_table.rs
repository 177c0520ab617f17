//! State of batch jobs, built from log entries. Entries may be applied in any order: of conflicting
//! entries, the one with the lowest offset takes effect. Only submissions under a quota need all
//! entries before them, as these decide whether the job fits.

use std::collections::{BTreeMap, HashMap};

use amaranth_wire::batch_entry::{
    BatchEntry, BlobRef, ItemEnd, ItemProgress, PartialOutput, SubmittedJob, total_tokens,
};
use amaranth_wire::id::{ItemId, JobId, LogOffset};

use crate::token_quota::{QuotaDecision, TokenUsage};

/// Interval between progress entries for one item, in milliseconds. A lost run repeats at most this
/// much work; each entry costs two records.
pub const PROGRESS_PERIOD_MS: u64 = 2_000;
/// Time after its last progress entry for which an instance counts as running the item, in
/// milliseconds. Allows two consecutive entries to be lost or late.
const CLAIM_TTL_MS: u64 = 3 * PROGRESS_PERIOD_MS;

/// The latest report of which instance runs an item, if any.
#[derive(Debug)]
struct ItemClaim {
    offset: LogOffset,
    member: Option<String>,
    received_ms: u64,
}

/// A job and the state of its items.
#[derive(Debug, Default)]
pub struct TrackedJob {
    submission: Option<(LogOffset, SubmittedJob)>,
    ended: bool,
    /// Lowest offset of an end entry, by item.
    end_offsets: HashMap<ItemId, LogOffset>,
    /// The effective end of each item, in log order.
    ends: BTreeMap<LogOffset, (ItemId, ItemEnd)>,
    /// Claims on unfinished items.
    claims: HashMap<ItemId, ItemClaim>,
    /// Longest saved output of each unfinished item.
    partial_outputs: HashMap<ItemId, PartialOutput>,
    /// Saved output that is no longer needed, to be deleted with the job.
    obsolete_blobs: Vec<BlobRef>,
    /// Highest offset of an entry of the job, without those of progress.
    last_offset: LogOffset,
}

impl TrackedJob {
    /// The submission; `None` while only other entries of the job were applied.
    pub fn submission(&self) -> Option<&SubmittedJob> {
        self.submission.as_ref().map(|(_, job)| job)
    }

    /// Whether the caller ended the job.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether all items have finished.
    pub fn is_complete(&self) -> bool {
        self.submission()
            .is_some_and(|job| self.ends.len() >= job.items.len())
    }

    /// Finished items in log order, skipping the first `position`.
    pub fn ends_from(&self, position: usize) -> impl Iterator<Item = (&ItemId, &ItemEnd)> {
        self.ends.values().skip(position).map(|(id, end)| (id, end))
    }

    /// Number of finished items.
    pub fn ends_len(&self) -> usize {
        self.ends.len()
    }

    /// Whether the item has finished, with a result or an error.
    pub fn is_item_done(&self, item: &ItemId) -> bool {
        self.end_offsets.contains_key(item)
    }

    /// All blobs of the job: request bodies, outputs and partial outputs, obsolete ones included.
    pub fn blobs(&self) -> Vec<BlobRef> {
        let outputs = self.ends.values().filter_map(|(_, end)| match end {
            ItemEnd::Succeeded(blob) => Some(blob.clone()),
            ItemEnd::Errored => None,
        });
        let bodies = self.submission().map(|job| job.bodies.clone());
        let partial = self.partial_outputs.values().map(|kept| &kept.text);
        let partial = partial.chain(&self.obsolete_blobs).cloned();
        bodies.into_iter().chain(outputs).chain(partial).collect()
    }

    /// Whether a live instance other than `own` is running the item.
    pub fn is_claimed(
        &self,
        item: &ItemId,
        own: &str,
        is_alive: impl Fn(&str) -> bool,
        now_ms: u64,
    ) -> bool {
        self.claims.get(item).is_some_and(|claim| {
            let member = claim.member.as_deref();
            now_ms.saturating_sub(claim.received_ms) < CLAIM_TTL_MS
                && member.is_some_and(|member| member != own && is_alive(member))
        })
    }

    /// Longest saved output of an unfinished item.
    pub fn partial_output(&self, item: &ItemId) -> Option<&PartialOutput> {
        self.partial_outputs.get(item)
    }

    /// Tokens of items that have not finished; 0 once the caller ended the job.
    pub fn waiting_tokens(&self) -> u64 {
        let items = self.submission().filter(|_| !self.ended);
        let items = items.into_iter().flat_map(|job| &job.items);
        total_tokens(items.filter(|item| !self.is_item_done(&item.id)))
    }

    /// Highest offset of an entry of the job, without those of progress, which have a topic of their
    /// own.
    pub fn last_offset(&self) -> LogOffset {
        self.last_offset
    }

    fn quota_scope(&self) -> Option<&str> {
        let quota = self.submission()?.quota.as_ref()?;
        Some(&quota.scope)
    }

    fn add_progress(&mut self, offset: LogOffset, progress: ItemProgress, now_ms: u64) {
        let ItemProgress {
            item, member, kept, ..
        } = progress;
        if self.is_item_done(&item) {
            self.obsolete_blobs.extend(kept.map(|kept| kept.text));
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
                received_ms: now_ms,
            };
            self.claims.insert(item.clone(), claim);
        }
        let Some(kept) = kept else { return };
        let is_longer = |known: &PartialOutput| kept.last_event > known.last_event;
        if self.partial_outputs.get(&item).is_none_or(is_longer) {
            let shorter = self.partial_outputs.insert(item, kept);
            self.obsolete_blobs.extend(shorter.map(|kept| kept.text));
        } else {
            self.obsolete_blobs.push(kept.text);
        }
    }

    fn apply(&mut self, offset: LogOffset, entry: BatchEntry, now_ms: u64) {
        if !matches!(entry, BatchEntry::Progress(_)) {
            self.last_offset = self.last_offset.max(offset);
        }
        match entry {
            BatchEntry::Submitted(submission) => {
                let earlier = self.submission.as_ref().is_none_or(|(at, _)| offset < *at);
                if earlier {
                    self.submission = Some((offset, submission));
                }
            }
            BatchEntry::ItemEnded { item, end, .. } => self.add_end(offset, item, end),
            BatchEntry::Ended { .. } => self.ended = true,
            BatchEntry::Progress(progress) => self.add_progress(offset, progress, now_ms),
        }
    }

    fn add_end(&mut self, offset: LogOffset, item: ItemId, end: ItemEnd) {
        match self.end_offsets.get(&item) {
            Some(&known) if known <= offset => return,
            Some(&known) => {
                self.ends.remove(&known);
            }
            None => {}
        }
        self.claims.remove(&item);
        self.obsolete_blobs
            .extend(self.partial_outputs.remove(&item).map(|kept| kept.text));
        self.end_offsets.insert(item.clone(), offset);
        self.ends.insert(offset, (item, end));
    }
}

/// A submission that did not fit into its quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedJob {
    /// Offset of its entry.
    pub offset: LogOffset,
    /// The submission.
    pub job: SubmittedJob,
    /// When the entry was read, by the reader's steady clock in milliseconds.
    pub read_ms: u64,
}

/// Whether an entry changed the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The entry belongs to the state of its job.
    Applied,
    /// The entry is a submission that was rejected.
    Rejected,
}

/// All jobs known from the log, by id.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<JobId, TrackedJob>,
    usage: TokenUsage,
    /// Rejected submissions by the number of their call.
    rejected: HashMap<u64, RejectedJob>,
}

impl JobTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one log entry that was read at `now_ms`. Entries that are applied again change
    /// nothing. Whether a submission fits depends on all entries with lower offsets, so they must
    /// have been applied.
    pub fn apply(&mut self, offset: LogOffset, entry: BatchEntry, now_ms: u64) -> ApplyOutcome {
        if let BatchEntry::Submitted(submission) = &entry
            && self.is_rejected_now(offset, submission, now_ms)
        {
            return ApplyOutcome::Rejected;
        }
        let job = self.jobs.entry(entry.job().clone()).or_default();
        let before = job.waiting_tokens();
        job.apply(offset, entry, now_ms);
        let after = job.waiting_tokens();
        if let Some(scope) = job.quota_scope() {
            match after >= before {
                true => self.usage.add(scope, after - before),
                false => self.usage.free(scope, before - after, now_ms),
            }
        }
        ApplyOutcome::Applied
    }

    /// Decides on a submission of a job that is not accepted yet and remembers a rejection.
    fn is_rejected_now(&mut self, offset: LogOffset, job: &SubmittedJob, now_ms: u64) -> bool {
        if self.rejected.contains_key(&job.call) {
            return true;
        }
        let Some(quota) = &job.quota else {
            return false;
        };
        let is_accepted = self.job(&job.job).is_some();
        if is_accepted || self.usage.decide(quota, job.tokens()) == QuotaDecision::Fits {
            return false;
        }
        let rejected = RejectedJob {
            offset,
            job: job.clone(),
            read_ms: now_ms,
        };
        self.rejected.insert(job.call, rejected);
        true
    }

    /// Tokens that wait, by scope.
    pub fn usage(&self) -> &TokenUsage {
        &self.usage
    }

    /// Whether the submissions of this call were rejected.
    pub fn is_rejected(&self, call: u64) -> bool {
        self.rejected.contains_key(&call)
    }

    /// Rejected submissions whose records are on the log.
    pub fn rejected(&self) -> impl Iterator<Item = &RejectedJob> {
        self.rejected.values()
    }

    /// Whether a rejected submission precedes an offset. The entries that made it exceed its quota
    /// must stay on the log as long as it does, or an instance that starts anew would accept it.
    pub fn has_rejection_before(&self, offset: LogOffset) -> bool {
        self.rejected
            .values()
            .any(|rejected| rejected.offset < offset)
    }

    /// Forgets a rejected submission whose records were deleted.
    pub fn forget_rejection(&mut self, call: u64) {
        self.rejected.remove(&call);
    }

    /// Removes the progress of an item that no instance runs any more.
    pub fn remove_progress(&mut self, id: &JobId, item: &ItemId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.claims.remove(item);
        let partial = job.partial_outputs.remove(item);
        job.obsolete_blobs.extend(partial.map(|kept| kept.text));
        let has_entries = job.submission.is_some() || job.ended || !job.end_offsets.is_empty();
        if !has_entries {
            self.jobs.remove(id);
        }
    }

    /// Returns a job; `None` until its submission is applied.
    pub fn job(&self, job: &JobId) -> Option<&TrackedJob> {
        self.jobs.get(job).filter(|job| job.submission.is_some())
    }

    /// All jobs whose submission was applied.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &TrackedJob)> {
        self.jobs.iter().filter(|(_, job)| job.submission.is_some())
    }

    /// Removes a job and its state.
    pub fn remove_job(&mut self, job: &JobId) {
        let removed = self.jobs.remove(job);
        let Some(removed) = removed else { return };
        if let Some(scope) = removed.quota_scope() {
            self.usage.remove(scope, removed.waiting_tokens());
        }
    }
}
