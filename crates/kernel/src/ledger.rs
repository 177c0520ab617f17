//! Index of batch jobs, built by replaying the log: the items of each job, the log offsets of their
//! inputs and results, and which items have finished.
//!
//! Inputs and results are not copied into the index; they stay on the log and are read by offset.

use std::collections::HashMap;

use amaranth_wire::id::{JobId, LogOffset, ShardId, TeamId, TierId};
use amaranth_wire::message::{JobPhase, JobReport};
use amaranth_wire::record::{ItemOutcome, LogRecord};
use serde::{Deserialize, Serialize};

use crate::bitmap::ItemBitmap;
use crate::hashing::hash_bytes;

/// Number of shards over which jobs are distributed.
pub const SHARD_COUNT: u64 = 64;
/// Time after its last record at which an unsealed upload expires, in milliseconds of the log's
/// clock.
const UPLOAD_TTL_MS: u64 = 3_600_000;
/// Maximum number of incomplete result copies per job; the oldest is dropped when exceeded.
const MAX_PENDING_COPIES: usize = 4;
/// How long results stay readable after a job ends, in milliseconds of the log's clock.
pub const RESULT_RETENTION_MS: u64 = 86_400_000;
/// Lowest HTTP status that counts as a failed item.
const MIN_FAILED_STATUS: u16 = 400;

/// Returns the shard that a job belongs to, by a hash of its id.
pub fn shard_of(job: &JobId) -> ShardId {
    ShardId(hash_bytes(job.as_str().as_bytes(), 0) % SHARD_COUNT)
}

/// A run of consecutive items of a job that are stored in one log entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRange {
    /// Offset of the entry that holds them.
    pub offset: LogOffset,
    /// Index of the first item.
    pub first: u32,
    /// Number of items.
    pub count: u32,
}

impl ItemRange {
    /// Index one past the last item; `None` if it overflows.
    fn end(&self) -> Option<u32> {
        self.first.checked_add(self.count)
    }
}

/// A log entry that holds accepted results of a job, and the range of their item indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultEntry {
    /// Offset of the entry.
    pub offset: LogOffset,
    /// Lowest item index among its accepted results.
    pub first: u32,
    /// Highest item index among its accepted results.
    pub last: u32,
}

impl ResultEntry {
    /// Whether the entry may hold the result of an item. The range can have gaps.
    pub fn covers(&self, index: u32) -> bool {
        (self.first..=self.last).contains(&index)
    }
}

/// A rewritten copy of results, of which some parts have not been read yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PendingCopy {
    copy: u64,
    parts: u32,
    entries: Vec<ResultEntry>,
}

impl PendingCopy {
    fn new(copy: u64) -> Self {
        Self {
            copy,
            parts: 0,
            entries: Vec::new(),
        }
    }
}

/// An upload that is not sealed yet: its item ranges, sorted and not overlapping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PendingUpload {
    ranges: Vec<ItemRange>,
    time_ms: u64,
}

impl PendingUpload {
    /// Inserts a range, unless it is empty or overlaps one that was inserted earlier.
    fn insert(&mut self, range: ItemRange) {
        let Some(end) = range.end().filter(|&end| end > range.first) else {
            return;
        };
        let position = self.ranges.partition_point(|r| r.first < range.first);
        let (before, after) = self.ranges.split_at(position);
        let starts_after_previous = before.last().and_then(ItemRange::end) <= Some(range.first);
        let ends_before_next = after.first().is_none_or(|next| end <= next.first);
        if starts_after_previous && ends_before_next {
            self.ranges.insert(position, range);
        }
    }
}

/// State of an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Team that submitted it.
    pub team: TeamId,
    /// The tier that runs it.
    pub tier: TierId,
    /// Number of items.
    pub count: u32,
    /// SHA-256 of the submitted body, hexadecimal.
    pub digest: String,
    /// Submission time, Unix milliseconds.
    pub submitted_ms: u64,
    /// Deadline, Unix milliseconds.
    pub deadline_ms: u64,
    /// The upload that provides the items.
    pub upload: u64,
    /// Log locations of the items, sorted by index.
    pub ranges: Vec<ItemRange>,
    /// Items with a result.
    pub finished: ItemBitmap,
    /// Items whose result is a failure.
    pub failed: u32,
    /// Entries that hold at least one accepted result, in order of acceptance. The first result of
    /// an item in this order is its result; rewritten copies take the place of the originals.
    pub results: Vec<ResultEntry>,
    copies: Vec<PendingCopy>,
    /// Whether the job was cancelled before all items finished.
    pub cancelled: bool,
    /// Time of completion or cancellation, Unix milliseconds by the log's clock.
    pub ended_ms: Option<u64>,
}

impl JobState {
    /// Whether the job is in progress, completed or cancelled.
    pub fn phase(&self) -> JobPhase {
        match (self.cancelled, self.finished.is_full()) {
            (true, _) => JobPhase::Cancelled,
            (false, true) => JobPhase::Completed,
            (false, false) => JobPhase::InProgress,
        }
    }

    /// The range that holds an item.
    pub fn range_of(&self, index: u32) -> Option<ItemRange> {
        let ranges = &self.ranges;
        ranges.iter().rfind(|range| range.first <= index).copied()
    }

    fn set_end_time(&mut self, time_ms: u64) {
        if self.phase() != JobPhase::InProgress {
            self.ended_ms.get_or_insert(time_ms);
        }
    }

    fn add_result(&mut self, offset: LogOffset, index: u32) {
        add_result_index(&mut self.results, offset, index);
    }

    /// Applies one part of a rewritten copy of results. After the last part, the copy replaces the
    /// original entries in the index.
    fn apply_result_copy(&mut self, offset: LogOffset, record: &LogRecord) {
        let LogRecord::ResultsCarried {
            copy,
            through,
            part,
            last,
            outcomes,
            ..
        } = record
        else {
            return;
        };
        if *part == 0 {
            self.copies.retain(|pending| pending.copy != *copy);
            self.copies.push(PendingCopy::new(*copy));
        }
        let expects_part = |pending: &PendingCopy| pending.copy == *copy && pending.parts == *part;
        let Some(position) = self.copies.iter().position(expects_part) else {
            return;
        };
        let pending = &mut self.copies[position];
        pending.parts += 1;
        for outcome in outcomes {
            add_result_index(&mut pending.entries, offset, outcome.index);
        }
        if *last {
            let copied = self.copies.remove(position).entries;
            let replaced = self.results.iter().position(|e| e.offset == *through);
            if let Some(replaced) = replaced {
                self.results.splice(..=replaced, copied);
            }
        }
        if self.copies.len() > MAX_PENDING_COPIES {
            self.copies.remove(0);
        }
    }

    /// Builds the job's status report for callers.
    pub fn report(&self, job: &JobId) -> JobReport {
        JobReport {
            job: job.clone(),
            phase: self.phase(),
            total: self.count,
            completed: self.finished.count() - self.failed,
            failed: self.failed,
        }
    }
}

/// Uploads and accepted jobs of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLedger {
    uploads: HashMap<(JobId, u64), PendingUpload>,
    jobs: HashMap<JobId, JobState>,
}

impl JobLedger {
    /// Applies one record; records of other kinds are ignored.
    pub fn apply(&mut self, offset: LogOffset, time_ms: u64, record: &LogRecord) {
        match record {
            LogRecord::JobItems {
                job,
                upload,
                first,
                items,
            } => {
                let range = ItemRange {
                    offset,
                    first: *first,
                    count: items.len() as u32,
                };
                self.add_items(job, *upload, range, time_ms);
            }
            LogRecord::JobSealed { .. } => self.accept_job(record),
            LogRecord::ItemsFinished { job, outcomes, .. } => {
                self.finish_items(offset, time_ms, job, outcomes);
            }
            LogRecord::JobCancelled { job, .. } => self.cancel_job(time_ms, job),
            LogRecord::ItemsCarried {
                job,
                upload,
                first,
                items,
            } => {
                let count = items.len() as u32;
                let first = *first;
                let range = ItemRange {
                    offset,
                    first,
                    count,
                };
                self.apply_item_copy(job, *upload, range);
            }
            LogRecord::ResultsCarried { job, .. } => {
                if let Some(state) = self.jobs.get_mut(job) {
                    state.apply_result_copy(offset, record);
                }
            }
            _ => {}
        }
    }

    /// Returns an accepted job that has not expired.
    pub fn get(&self, job: &JobId) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// All accepted jobs of the shard, in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &JobState)> {
        self.jobs.iter()
    }

    fn add_items(&mut self, job: &JobId, upload: u64, range: ItemRange, time_ms: u64) {
        if self.jobs.contains_key(job) {
            return;
        }
        let oldest = time_ms.saturating_sub(UPLOAD_TTL_MS);
        self.uploads.retain(|_, pending| pending.time_ms >= oldest);
        let pending = self
            .uploads
            .entry((job.clone(), upload))
            .or_insert_with(|| PendingUpload {
                ranges: Vec::new(),
                time_ms,
            });
        pending.time_ms = time_ms;
        pending.insert(range);
    }

    /// Accepts a job if its id is new and the upload has all of its items.
    fn accept_job(&mut self, record: &LogRecord) {
        let LogRecord::JobSealed {
            job,
            upload,
            team,
            tier,
            count,
            digest,
            submitted_ms,
            deadline_ms,
        } = record
        else {
            return;
        };
        if self.jobs.contains_key(job) {
            return;
        }
        let pending = self.uploads.get(&(job.clone(), *upload));
        let Some(pending) = pending.filter(|pending| covers_all_items(&pending.ranges, *count))
        else {
            return;
        };
        let ranges = pending.ranges.clone();
        self.uploads.retain(|(other, _), _| other != job);
        let state = JobState {
            team: team.clone(),
            tier: tier.clone(),
            count: *count,
            digest: digest.clone(),
            submitted_ms: *submitted_ms,
            deadline_ms: *deadline_ms,
            upload: *upload,
            ranges,
            finished: ItemBitmap::new(*count),
            failed: 0,
            results: Vec::new(),
            copies: Vec::new(),
            cancelled: false,
            ended_ms: None,
        };
        self.jobs.insert(job.clone(), state);
    }

    /// Records the first result of each item; ignores later ones and all results of ended jobs.
    fn finish_items(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        job: &JobId,
        outcomes: &[ItemOutcome],
    ) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        if state.phase() != JobPhase::InProgress {
            return;
        }
        for outcome in outcomes {
            if state.finished.insert(outcome.index) {
                state.failed += u32::from(outcome.status >= MIN_FAILED_STATUS);
                state.add_result(offset, outcome.index);
            }
        }
        state.set_end_time(time_ms);
    }

    /// Points the range of a rewritten copy to the copy's offset.
    fn apply_item_copy(&mut self, job: &JobId, upload: u64, copy: ItemRange) {
        let state = self.jobs.get_mut(job);
        let Some(state) = state.filter(|state| state.upload == upload) else {
            return;
        };
        let is_original =
            |range: &&mut ItemRange| range.first == copy.first && range.count == copy.count;
        if let Some(range) = state.ranges.iter_mut().find(is_original) {
            *range = copy;
        }
    }

    /// Drops jobs that ended more than [`RESULT_RETENTION_MS`] before `time_ms`, by the log's
    /// clock.
    pub fn drop_expired(&mut self, time_ms: u64) {
        let oldest = time_ms.saturating_sub(RESULT_RETENTION_MS);
        self.jobs
            .retain(|_, state| state.ended_ms.is_none_or(|ended_ms| ended_ms >= oldest));
    }

    fn cancel_job(&mut self, time_ms: u64, job: &JobId) {
        if let Some(state) = self.jobs.get_mut(job)
            && !state.finished.is_full()
        {
            state.cancelled = true;
            state.set_end_time(time_ms);
        }
    }
}

/// Adds an item index to the entry at `offset`, which holds its result.
fn add_result_index(entries: &mut Vec<ResultEntry>, offset: LogOffset, index: u32) {
    match entries.last_mut() {
        Some(entry) if entry.offset == offset => {
            entry.first = entry.first.min(index);
            entry.last = entry.last.max(index);
        }
        _ => entries.push(ResultEntry {
            offset,
            first: index,
            last: index,
        }),
    }
}

/// Whether the sorted ranges cover `0..count` without a gap.
fn covers_all_items(ranges: &[ItemRange], count: u32) -> bool {
    let mut next = 0;
    for range in ranges {
        if range.first != next {
            return false;
        }
        next += range.count;
    }
    next == count
}
