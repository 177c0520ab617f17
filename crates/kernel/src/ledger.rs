//! Batch jobs folded from the log: which items exist, where they stand, which are finished.
//!
//! The ledger keeps an index. Inputs and results stay on the log and are read by offset.

use std::collections::HashMap;

use amaranth_wire::id::{JobId, LogOffset, ShardId, TeamId, TierId};
use amaranth_wire::message::{JobPhase, JobReport};
use amaranth_wire::record::{ItemOutcome, LogRecord};
use serde::{Deserialize, Serialize};

use crate::bitmap::ItemBitmap;
use crate::hashing::hash_bytes;

/// Number of shards that jobs fall into.
pub const SHARD_COUNT: u64 = 64;
/// How long an upload that was never sealed is remembered, in milliseconds of the log's clock.
const UPLOAD_MEMORY_MS: u64 = 3_600_000;
/// Copyings of one job's results that may be under way at once.
const PENDING_COPIES: usize = 4;
/// How long the results of an ended job stay readable, in milliseconds of the log's clock.
pub const RESULT_MEMORY_MS: u64 = 86_400_000;
/// Lowest status that counts as a failed item.
const FIRST_FAILED_STATUS: u16 = 400;

/// The shard of a job.
pub fn shard_of(job: &JobId) -> ShardId {
    ShardId(hash_bytes(job.as_str().as_bytes(), 0) % SHARD_COUNT)
}

/// Where consecutive items of a job stand on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRange {
    /// Entry that holds them.
    pub offset: LogOffset,
    /// Index of the first.
    pub first: u32,
    /// How many.
    pub count: u32,
}

impl ItemRange {
    /// The index after the last; `None` when no job can be that large.
    fn end(&self) -> Option<u32> {
        self.first.checked_add(self.count)
    }
}

/// An entry that holds results of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultEntry {
    /// The entry.
    pub offset: LogOffset,
    /// Lowest index among its accepted results.
    pub first: u32,
    /// Highest index among its accepted results.
    pub last: u32,
}

impl ResultEntry {
    /// Whether the entry may hold the result of an item.
    pub fn covers(&self, index: u32) -> bool {
        (self.first..=self.last).contains(&index)
    }
}

/// A copying of results whose last part is not there yet.
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

/// The pieces of one upload, in the order of their items and without overlap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PendingUpload {
    ranges: Vec<ItemRange>,
    time_ms: u64,
}

impl PendingUpload {
    /// Adds a piece unless it is empty or overlaps one that came before it.
    fn insert(&mut self, range: ItemRange) {
        let Some(end) = range.end().filter(|&end| end > range.first) else {
            return;
        };
        let position = self.ranges.partition_point(|r| r.first < range.first);
        let (before, after) = self.ranges.split_at(position);
        let clear_before = before.last().and_then(ItemRange::end) <= Some(range.first);
        let clear_after = after.first().is_none_or(|next| end <= next.first);
        if clear_before && clear_after {
            self.ranges.insert(position, range);
        }
    }
}

/// One accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Who submitted it.
    pub team: TeamId,
    /// The tier that runs it.
    pub tier: TierId,
    /// Number of items.
    pub count: u32,
    /// SHA-256 of the submitted body, hexadecimal.
    pub digest: String,
    /// Submission time, Unix milliseconds.
    pub submitted_ms: u64,
    /// When it is due, Unix milliseconds.
    pub deadline_ms: u64,
    /// The upload whose items count.
    pub upload: u64,
    /// Where its items stand.
    pub ranges: Vec<ItemRange>,
    /// Items with a result.
    pub finished: ItemBitmap,
    /// Items whose result is a failure.
    pub failed: u32,
    /// Entries that hold at least one accepted result, in the order in which results were
    /// accepted. An item's result is the first in this order; copies stand where the originals did.
    pub results: Vec<ResultEntry>,
    copies: Vec<PendingCopy>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// When it was completed or cancelled, Unix milliseconds by the log's clock.
    pub ended_ms: Option<u64>,
}

impl JobState {
    /// Progress of the job.
    pub fn phase(&self) -> JobPhase {
        match (self.cancelled, self.finished.is_full()) {
            (true, _) => JobPhase::Cancelled,
            (false, true) => JobPhase::Completed,
            (false, false) => JobPhase::InProgress,
        }
    }

    /// The piece that holds an item.
    pub fn range_of(&self, index: u32) -> Option<ItemRange> {
        let ranges = &self.ranges;
        ranges.iter().rfind(|range| range.first <= index).copied()
    }

    fn note_end(&mut self, time_ms: u64) {
        if self.phase() != JobPhase::InProgress {
            self.ended_ms.get_or_insert(time_ms);
        }
    }

    fn note_result(&mut self, offset: LogOffset, index: u32) {
        add_index(&mut self.results, offset, index);
    }

    /// Reads results from their copies from now on, once every part of the copying is there.
    fn carry_results(&mut self, offset: LogOffset, record: &LogRecord) {
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
        let due = |pending: &PendingCopy| pending.copy == *copy && pending.parts == *part;
        let Some(position) = self.copies.iter().position(due) else {
            return;
        };
        let pending = &mut self.copies[position];
        pending.parts += 1;
        for outcome in outcomes {
            add_index(&mut pending.entries, offset, outcome.index);
        }
        if *last {
            let copied = self.copies.remove(position).entries;
            let replaced = self.results.iter().position(|e| e.offset == *through);
            if let Some(replaced) = replaced {
                self.results.splice(..=replaced, copied);
            }
        }
        if self.copies.len() > PENDING_COPIES {
            self.copies.remove(0);
        }
    }

    /// The job as callers see it.
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

/// The jobs of one shard.
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
            LogRecord::JobSealed { .. } => self.seal(record),
            LogRecord::ItemsFinished { job, outcomes, .. } => {
                self.finish(offset, time_ms, job, outcomes);
            }
            LogRecord::JobCancelled { job, .. } => self.cancel(time_ms, job),
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
                self.carry_items(job, *upload, range);
            }
            LogRecord::ResultsCarried { job, .. } => {
                if let Some(state) = self.jobs.get_mut(job) {
                    state.carry_results(offset, record);
                }
            }
            _ => {}
        }
    }

    /// One job.
    pub fn get(&self, job: &JobId) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// Every job of the shard.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &JobState)> {
        self.jobs.iter()
    }

    fn add_items(&mut self, job: &JobId, upload: u64, range: ItemRange, time_ms: u64) {
        if self.jobs.contains_key(job) {
            return;
        }
        let oldest = time_ms.saturating_sub(UPLOAD_MEMORY_MS);
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

    /// Accepts a job if it is the first with its id and all of its items are there.
    fn seal(&mut self, record: &LogRecord) {
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
        let Some(pending) = pending.filter(|pending| covers_all(&pending.ranges, *count)) else {
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

    /// Takes the first result of each item; later ones, and those of a cancelled job, are ignored.
    fn finish(&mut self, offset: LogOffset, time_ms: u64, job: &JobId, outcomes: &[ItemOutcome]) {
        let Some(state) = self.jobs.get_mut(job) else {
            return;
        };
        if state.phase() != JobPhase::InProgress {
            return;
        }
        for outcome in outcomes {
            if state.finished.insert(outcome.index) {
                state.failed += u32::from(outcome.status >= FIRST_FAILED_STATUS);
                state.note_result(offset, outcome.index);
            }
        }
        state.note_end(time_ms);
    }

    /// Reads a piece from its copy from now on.
    fn carry_items(&mut self, job: &JobId, upload: u64, copy: ItemRange) {
        let state = self.jobs.get_mut(job);
        let Some(state) = state.filter(|state| state.upload == upload) else {
            return;
        };
        let same = |range: &&mut ItemRange| range.first == copy.first && range.count == copy.count;
        if let Some(range) = state.ranges.iter_mut().find(same) {
            *range = copy;
        }
    }

    /// Forgets jobs that ended so long before a time of the log's clock that their results need
    /// not be readable any more.
    pub fn forget_ended(&mut self, time_ms: u64) {
        let oldest = time_ms.saturating_sub(RESULT_MEMORY_MS);
        self.jobs
            .retain(|_, state| state.ended_ms.is_none_or(|ended_ms| ended_ms >= oldest));
    }

    fn cancel(&mut self, time_ms: u64, job: &JobId) {
        if let Some(state) = self.jobs.get_mut(job)
            && !state.finished.is_full()
        {
            state.cancelled = true;
            state.note_end(time_ms);
        }
    }
}

/// Adds an index to the entry that holds its result.
fn add_index(entries: &mut Vec<ResultEntry>, offset: LogOffset, index: u32) {
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

/// Whether the ranges follow each other from 0 to `count`.
fn covers_all(ranges: &[ItemRange], count: u32) -> bool {
    let mut next = 0;
    for range in ranges {
        if range.first != next {
            return false;
        }
        next += range.count;
    }
    next == count
}
