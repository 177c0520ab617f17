//! Appends that are refused, delayed or lose their reply: each batch takes effect exactly once, and
//! a withdrawn batch never reaches the log.

use amaranth_kernel::commit::{
    AppendBudget, AppendOutcome, CommitAttempts, CommitStep, PendingGroup, RESULT_FLUSH_THRESHOLD,
    flush_delay_ms, merge_results,
};
use amaranth_kernel::cursor::{EntryVerdict, FoldCursor};
use amaranth_kernel::ledger::JobLedger;
use amaranth_wire::id::{LeaseEpoch, LogOffset, WriterId};
use amaranth_wire::record::{ItemInput, ItemOutcome, LogRecord, RecordBatch, RecordEntry};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// How the simulated log handles one attempt.
#[derive(Debug, Clone, Copy)]
enum LogBehavior {
    Succeed,
    Refuse,
    LoseReply,
    LoseRequest,
    /// The request arrives after this many further attempts.
    Delay(usize),
}

fn any_behavior() -> impl Strategy<Value = LogBehavior> {
    prop_oneof![
        Just(LogBehavior::Succeed),
        Just(LogBehavior::Refuse),
        Just(LogBehavior::LoseReply),
        Just(LogBehavior::LoseRequest),
        (1..6_usize).prop_map(LogBehavior::Delay),
    ]
}

/// A log of sequence numbers that behaves as scripted, then accepts every append.
struct ScriptedLog {
    script: Vec<LogBehavior>,
    attempts: usize,
    entries: Vec<u64>,
    delayed: Vec<(usize, u64)>,
}

impl ScriptedLog {
    fn append(&mut self, sequence: u64) -> AppendOutcome {
        let behavior = self.script.pop().unwrap_or(LogBehavior::Succeed);
        self.attempts += 1;
        let now = self.attempts;
        let due = self.delayed.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<u64> = due.map(|(_, sequence)| sequence).collect();
        self.entries.extend(due);
        match behavior {
            LogBehavior::Succeed => AppendOutcome::Appended(self.push(sequence)),
            LogBehavior::Refuse => AppendOutcome::Refused,
            LogBehavior::LoseReply => {
                self.push(sequence);
                AppendOutcome::Unknown
            }
            LogBehavior::LoseRequest => AppendOutcome::Unknown,
            LogBehavior::Delay(delay) => {
                self.delayed.push((now + delay, sequence));
                AppendOutcome::Unknown
            }
        }
    }

    fn push(&mut self, sequence: u64) -> LogOffset {
        self.entries.push(sequence);
        LogOffset(self.entries.len() as u64 - 1)
    }

    fn first(&self, sequence: u64) -> Option<LogOffset> {
        let position = self.entries.iter().position(|&s| s == sequence)?;
        Some(LogOffset(position as u64))
    }
}

/// Sequence numbers and offsets of the batches that are applied.
fn applied_batches(entries: &[u64]) -> Vec<(u64, LogOffset)> {
    let mut cursor = FoldCursor::default();
    let mut applied = Vec::new();
    for (offset, &sequence) in (0..).zip(entries) {
        let entry = RecordEntry {
            offset: LogOffset(offset),
            time_ms: 0,
            batch: RecordBatch::new(WriterId(9), sequence),
        };
        if cursor.admit(&entry) == EntryVerdict::Apply {
            applied.push((sequence, entry.offset));
        }
    }
    applied
}

fn result(index: u32) -> ItemOutcome {
    ItemOutcome {
        index,
        status: 200,
        attempts: 1,
        body: vec![index as u8],
    }
}

fn any_record() -> impl Strategy<Value = LogRecord> {
    let job = |n: u8| format!("batch_{n}").parse().expect("a valid name");
    prop_oneof![
        8 => (0..2_u8, 0..2_u64, 0..6_u32).prop_map(move |(n, epoch, index)| {
            LogRecord::ItemsFinished {
                job: job(n),
                epoch: LeaseEpoch(epoch),
                outcomes: vec![result(index)],
            }
        }),
        1 => (0..2_u8).prop_map(move |n| LogRecord::JobCancelled {
            job: job(n),
            command: "cancel-1".parse().expect("a valid name"),
        }),
    ]
}

fn ledger_after(records: &[LogRecord]) -> String {
    let mut ledger = JobLedger::default();
    let item = ItemInput {
        custom_id: String::new(),
        body: Vec::new(),
    };
    for n in 0..2 {
        let job: amaranth_wire::id::JobId = format!("batch_{n}").parse().expect("a valid name");
        let items = LogRecord::JobItems {
            job: job.clone(),
            upload: 1,
            first: 0,
            items: vec![item.clone(); 6],
        };
        let seal = LogRecord::JobSealed {
            job,
            upload: 1,
            team: "team".parse().expect("a valid name"),
            tier: "tier".parse().expect("a valid name"),
            count: 6,
            digest: String::new(),
            submitted_ms: 0,
            deadline_ms: 0,
        };
        ledger.apply(LogOffset(n), 0, &items);
        ledger.apply(LogOffset(n), 0, &seal);
    }
    records
        .iter()
        .for_each(|record| ledger.apply(LogOffset(5), 0, record));
    let mut jobs: Vec<_> = ledger.jobs().map(|job| format!("{job:?}")).collect();
    jobs.sort();
    jobs.join("\n")
}

proptest! {
    #![proptest_config(config())]

    /// Without crashes of the writer, each confirmed batch is applied once at its reported offset,
    /// and a withdrawn batch is never on the log, however late a delayed request arrives.
    #[test]
    fn each_batch_is_applied_once_at_its_reported_offset(
        script in vec(any_behavior(), 0..40),
        patience in vec(1..8_usize, 1..8),
    ) {
        let mut log = ScriptedLog { script, attempts: 0, entries: Vec::new(), delayed: Vec::new() };
        let (mut done, mut withdrawn) = (Vec::new(), Vec::new());
        for (sequence, patience) in (1..).zip(patience) {
            let mut attempts = CommitAttempts::default();
            for tries in 0.. {
                // The caller gives up, but the batch may be withdrawn only while that is safe.
                if tries >= patience && attempts.is_withdrawable() {
                    withdrawn.push(sequence);
                    break;
                }
                let step = attempts.next_step(log.append(sequence));
                let reported = match step {
                    CommitStep::Done(offset) => Some(offset),
                    CommitStep::AwaitEntry => log.first(sequence),
                    CommitStep::Backoff(_) | CommitStep::Discard => None,
                };
                if let Some(offset) = reported {
                    done.push((sequence, offset));
                    break;
                }
            }
        }
        let delayed: Vec<u64> = log.delayed.iter().map(|(_, sequence)| *sequence).collect();
        log.entries.extend(delayed);
        prop_assert_eq!(&applied_batches(&log.entries), &done);
        prop_assert!(withdrawn.iter().all(|sequence| !log.entries.contains(sequence)));
    }

    /// Merged results give the same ledger state as the separate records.
    #[test]
    fn merged_results_give_the_same_ledger(records in vec(any_record(), 0..30)) {
        let merged = merge_results(records.clone());
        prop_assert!(merged.len() <= records.len());
        prop_assert_eq!(ledger_after(&merged), ledger_after(&records));
    }
}

#[test]
fn append_is_not_withdrawable_after_an_unknown_outcome() {
    let mut attempts = CommitAttempts::default();
    assert_eq!(
        attempts.next_step(AppendOutcome::Refused),
        CommitStep::Backoff(50)
    );
    assert!(attempts.is_withdrawable());
    assert_eq!(
        attempts.next_step(AppendOutcome::Unknown),
        CommitStep::AwaitEntry
    );
    assert_eq!(
        attempts.next_step(AppendOutcome::Refused),
        CommitStep::Backoff(100)
    );
    assert!(!attempts.is_withdrawable());
    assert_eq!(
        attempts.next_step(AppendOutcome::TooLarge),
        CommitStep::AwaitEntry
    );
    assert_eq!(
        attempts.next_step(AppendOutcome::Appended(LogOffset(9))),
        CommitStep::AwaitEntry
    );
}

#[test]
fn too_large_batch_is_discarded() {
    let step = CommitAttempts::default().next_step(AppendOutcome::TooLarge);
    assert_eq!(step, CommitStep::Discard);
}

#[test]
fn flush_delay_depends_on_pending_records_and_budget() {
    let small = AppendBudget {
        rate: 300,
        writers: 12,
    };
    let large = AppendBudget {
        rate: 300,
        writers: 43,
    };
    let group = |results, urgent, more_expected| PendingGroup {
        results,
        urgent,
        more_expected,
    };
    let cases = [
        (group(5, true, true), large, 10),
        (group(5, false, true), small, 1_000),
        (group(RESULT_FLUSH_THRESHOLD, false, true), small, 80),
        (group(5, false, false), small, 80),
        (group(5, false, false), large, 286),
    ];
    for (group, budget, expected) in cases {
        assert_eq!(flush_delay_ms(group, budget), expected, "{group:?}");
    }
}
