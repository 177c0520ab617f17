//! Compares the job ledger with a naive reference over random orders of records and repeated
//! batches.

use std::collections::{BTreeMap, BTreeSet};

use amaranth_kernel::cursor::{EntryVerdict, FoldCursor};
use amaranth_kernel::ledger::JobLedger;
use amaranth_wire::id::{JobId, LeaseEpoch, LogOffset, WriterId};
use amaranth_wire::message::JobPhase;
use amaranth_wire::record::{ItemInput, ItemOutcome, LogRecord, RecordBatch, RecordEntry};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const JOBS: [&str; 2] = ["batch_a", "batch_b"];

fn job(index: usize) -> JobId {
    JOBS[index].parse().expect("a valid name")
}

fn items(job_index: usize, upload: u64, first: u32, count: u32) -> LogRecord {
    let item = |index| ItemInput {
        custom_id: format!("item-{index}"),
        body: Vec::new(),
    };
    LogRecord::JobItems {
        job: job(job_index),
        upload,
        first,
        items: (first..first + count).map(item).collect(),
    }
}

fn seal(job_index: usize, upload: u64, count: u32) -> LogRecord {
    LogRecord::JobSealed {
        job: job(job_index),
        upload,
        team: "team".parse().expect("a valid name"),
        tier: "tier".parse().expect("a valid name"),
        count,
        digest: format!("digest-{upload}"),
        submitted_ms: 0,
        deadline_ms: 1_000,
    }
}

fn finished(job_index: usize, outcomes: &[(u32, u16)]) -> LogRecord {
    let outcome = |&(index, status)| ItemOutcome {
        index,
        status,
        attempts: 1,
        body: Vec::new(),
    };
    LogRecord::ItemsFinished {
        job: job(job_index),
        epoch: LeaseEpoch(0),
        outcomes: outcomes.iter().map(outcome).collect(),
    }
}

fn cancelled(job_index: usize) -> LogRecord {
    LogRecord::JobCancelled {
        job: job(job_index),
        command: "cancel-1".parse().expect("a valid name"),
    }
}

fn any_record() -> impl Strategy<Value = LogRecord> {
    let outcomes = vec((0..7_u32, prop_oneof![Just(200_u16), Just(422)]), 1..4);
    prop_oneof![
        6 => (0..2_usize, 0..2_u64, 0..3_u32).prop_map(|(j, u, p)| items(j, u, p * 2, 2)),
        1 => (0..2_usize, 0..2_u64, 0..6_u32, 0..4_u32).prop_map(|(j, u, f, c)| items(j, u, f, c)),
        3 => (0..2_usize, 0..2_u64, 1..4_u32).prop_map(|(j, u, p)| seal(j, u, p * 2)),
        6 => (0..2_usize, outcomes).prop_map(|(j, o)| finished(j, &o)),
        1 => (0..2_usize).prop_map(cancelled),
    ]
}

/// Batches to append: the records of each, and which earlier batch is appended again after it.
fn any_history() -> impl Strategy<Value = Vec<(Vec<LogRecord>, Option<usize>)>> {
    let repeat = prop_oneof![3 => Just(None), 1 => (0..40_usize).prop_map(Some)];
    vec((vec(any_record(), 1..4), repeat), 1..40)
}

/// The log entries of a history: each batch once, and the repeated ones again later.
fn entries_of(history: Vec<(Vec<LogRecord>, Option<usize>)>) -> Vec<RecordEntry> {
    let mut batches = Vec::new();
    let mut written = Vec::new();
    for (records, repeat) in history {
        let sequence = written.len() as u64 + 1;
        let batch = RecordBatch::new(WriterId(1), sequence).with_records(records);
        written.push(batch.clone());
        batches.push(batch);
        if let Some(again) = repeat {
            batches.push(written[again % written.len()].clone());
        }
    }
    let entry = |(offset, batch)| RecordEntry {
        offset: LogOffset(offset),
        time_ms: offset * 10,
        batch,
    };
    (0..).zip(batches).map(entry).collect()
}

#[derive(Debug, Default, PartialEq)]
struct ReferenceJob {
    digest: String,
    count: u32,
    /// Log offset of each item, by index.
    items: BTreeMap<u32, u64>,
    /// Log offset and status of the first result of each item, by index.
    results: BTreeMap<u32, (u64, u16)>,
    cancelled: bool,
}

/// Reference implementation that stores every item and result in a map.
#[derive(Default)]
struct ReferenceLedger {
    uploads: BTreeMap<(JobId, u64), BTreeMap<u32, u64>>,
    jobs: BTreeMap<JobId, ReferenceJob>,
}

impl ReferenceLedger {
    fn apply(&mut self, offset: u64, record: &LogRecord) {
        match record {
            LogRecord::JobItems {
                job,
                upload,
                first,
                items,
            } => {
                let indexes = *first..*first + items.len() as u32;
                let upload_items = self.uploads.entry((job.clone(), *upload)).or_default();
                if !indexes
                    .clone()
                    .any(|index| upload_items.contains_key(&index))
                {
                    upload_items.extend(indexes.map(|index| (index, offset)));
                }
            }
            LogRecord::JobSealed {
                job,
                upload,
                count,
                digest,
                ..
            } => {
                let empty = BTreeMap::new();
                let key = (job.clone(), *upload);
                let upload_items = self.uploads.get(&key).unwrap_or(&empty);
                let is_complete = upload_items.keys().copied().eq(0..*count);
                if is_complete && !self.jobs.contains_key(job) {
                    let accepted = ReferenceJob {
                        digest: digest.clone(),
                        count: *count,
                        items: upload_items.clone(),
                        ..ReferenceJob::default()
                    };
                    self.jobs.insert(job.clone(), accepted);
                }
            }
            LogRecord::ItemsFinished { job, outcomes, .. } => {
                let Some(state) = self.jobs.get_mut(job) else {
                    return;
                };
                for outcome in outcomes {
                    if !state.cancelled && outcome.index < state.count {
                        let result = (offset, outcome.status);
                        state.results.entry(outcome.index).or_insert(result);
                    }
                }
            }
            LogRecord::JobCancelled { job, .. } => {
                if let Some(state) = self.jobs.get_mut(job)
                    && state.results.len() < state.count as usize
                {
                    state.cancelled = true;
                }
            }
            _ => {}
        }
    }
}

/// Converts the ledger's jobs to the reference's representation.
fn observed(ledger: &JobLedger, entries: &[RecordEntry]) -> BTreeMap<JobId, ReferenceJob> {
    let jobs = ledger.jobs().map(|(id, state)| {
        let mut seen = ReferenceJob {
            digest: state.digest.clone(),
            count: state.count,
            cancelled: state.phase() == JobPhase::Cancelled,
            ..ReferenceJob::default()
        };
        for range in &state.ranges {
            let indexes = range.first..range.first + range.count;
            seen.items
                .extend(indexes.map(|index| (index, range.offset.0)));
        }
        for result in &state.results {
            let entry = &entries[result.offset.0 as usize];
            for record in &entry.batch.records {
                let LogRecord::ItemsFinished { job, outcomes, .. } = record else {
                    continue;
                };
                let readable = outcomes.iter().filter(|o| {
                    job == id && state.finished.contains(o.index) && result.covers(o.index)
                });
                for outcome in readable {
                    let found = (result.offset.0, outcome.status);
                    seen.results.entry(outcome.index).or_insert(found);
                }
            }
        }
        let failed = seen.results.values().filter(|(_, status)| *status >= 400);
        assert_eq!(failed.count() as u32, state.failed);
        assert_eq!(seen.results.len() as u32, state.finished.count());
        (id.clone(), seen)
    });
    jobs.collect()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Any order of records gives the same jobs, items and first results as the reference.
    #[test]
    fn ledger_matches_the_reference(history in any_history()) {
        let entries = entries_of(history);
        let (mut cursor, mut ledger) = (FoldCursor::default(), JobLedger::default());
        let mut reference = ReferenceLedger::default();
        let mut seen = BTreeSet::new();
        for entry in &entries {
            if seen.insert(entry.batch.sequence) {
                entry.batch.records.iter().for_each(|r| reference.apply(entry.offset.0, r));
            }
            if cursor.admit(entry) == EntryVerdict::Apply {
                let records = entry.batch.records.iter();
                records.for_each(|r| ledger.apply(entry.offset, entry.time_ms, r));
            }
        }
        prop_assert_eq!(observed(&ledger, &entries), reference.jobs);
    }

    /// A batch applied twice, as happens after its writer has expired from the cursor, removes no
    /// accepted job.
    #[test]
    fn repeated_batch_keeps_accepted_jobs(history in any_history()) {
        let once = entries_of(history.into_iter().map(|(records, _)| (records, None)).collect());
        let mut applied_once = JobLedger::default();
        let mut applied_twice = JobLedger::default();
        for entry in &once {
            for record in &entry.batch.records {
                applied_once.apply(entry.offset, entry.time_ms, record);
            }
            for record in &entry.batch.records {
                applied_twice.apply(entry.offset, entry.time_ms, record);
            }
            for record in &entry.batch.records {
                applied_twice.apply(entry.offset, entry.time_ms, record);
            }
        }
        let accepted = |ledger: &JobLedger| -> BTreeSet<JobId> {
            ledger.jobs().map(|(id, _)| id.clone()).collect()
        };
        prop_assert!(accepted(&applied_once).is_subset(&accepted(&applied_twice)));
    }
}

#[test]
fn item_index_overflow_rejects_the_upload() {
    let mut ledger = JobLedger::default();
    let item = ItemInput {
        custom_id: String::new(),
        body: Vec::new(),
    };
    let record = LogRecord::JobItems {
        job: job(0),
        upload: 1,
        first: u32::MAX,
        items: vec![item; 3],
    };
    ledger.apply(LogOffset(0), 0, &record);
    ledger.apply(LogOffset(1), 0, &seal(0, 1, 2));
    assert!(ledger.get(&job(0)).is_none());
}
