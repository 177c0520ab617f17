//! Appends whose answers are refused, lost or late: each record stands on the log once, and what
//! was taken back never does.

use amaranth_kernel::commit::{
    AppendBudget, AppendOutcome, CommitAttempts, CommitStep, FULL_RESULTS, PendingGroup,
    flush_wait, merge_results,
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

/// What the log does with one attempt.
#[derive(Debug, Clone, Copy)]
enum LogTurn {
    Answers,
    Refuses,
    LosesReply,
    LosesCall,
    /// The call arrives after so many further attempts.
    Delays(usize),
}

fn any_turn() -> impl Strategy<Value = LogTurn> {
    prop_oneof![
        Just(LogTurn::Answers),
        Just(LogTurn::Refuses),
        Just(LogTurn::LosesReply),
        Just(LogTurn::LosesCall),
        (1..6_usize).prop_map(LogTurn::Delays),
    ]
}

/// A log of sequence numbers that obeys its turns and then answers everything.
struct TurnLog {
    turns: Vec<LogTurn>,
    attempts: usize,
    entries: Vec<u64>,
    late: Vec<(usize, u64)>,
}

impl TurnLog {
    fn append(&mut self, sequence: u64) -> AppendOutcome {
        let turn = self.turns.pop().unwrap_or(LogTurn::Answers);
        self.attempts += 1;
        let now = self.attempts;
        let due = self.late.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<u64> = due.map(|(_, sequence)| sequence).collect();
        self.entries.extend(due);
        match turn {
            LogTurn::Answers => AppendOutcome::Appended(self.push(sequence)),
            LogTurn::Refuses => AppendOutcome::Refused,
            LogTurn::LosesReply => {
                self.push(sequence);
                AppendOutcome::Unknown
            }
            LogTurn::LosesCall => AppendOutcome::Unknown,
            LogTurn::Delays(turns) => {
                self.late.push((now + turns, sequence));
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

/// Offsets that count, by sequence number.
fn folded(entries: &[u64]) -> Vec<(u64, LogOffset)> {
    let mut cursor = FoldCursor::default();
    let mut counted = Vec::new();
    for (offset, &sequence) in (0..).zip(entries) {
        let entry = RecordEntry {
            offset: LogOffset(offset),
            time_ms: 0,
            batch: RecordBatch::new(WriterId(9), sequence),
        };
        if cursor.admit(&entry) == EntryVerdict::Apply {
            counted.push((sequence, entry.offset));
        }
    }
    counted
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

    /// A crash-free writer: what is done stands where it was said, once; what is taken back never
    /// stands anywhere, however late a copy arrives.
    #[test]
    fn each_batch_counts_once_where_it_was_said(
        turns in vec(any_turn(), 0..40),
        patience in vec(1..8_usize, 1..8),
    ) {
        let mut log = TurnLog { turns, attempts: 0, entries: Vec::new(), late: Vec::new() };
        let (mut done, mut withdrawn) = (Vec::new(), Vec::new());
        for (sequence, patience) in (1..).zip(patience) {
            let mut attempts = CommitAttempts::default();
            for tries in 0.. {
                // The caller gives up; the writer may drop the batch only where that is safe.
                if tries >= patience && attempts.is_withdrawable() {
                    withdrawn.push(sequence);
                    break;
                }
                let step = attempts.after(log.append(sequence));
                let said = match step {
                    CommitStep::Done(offset) => Some(offset),
                    CommitStep::Look => log.first(sequence),
                    CommitStep::Backoff(_) | CommitStep::Discard => None,
                };
                if let Some(offset) = said {
                    done.push((sequence, offset));
                    break;
                }
            }
        }
        let late: Vec<u64> = log.late.iter().map(|(_, sequence)| *sequence).collect();
        log.entries.extend(late);
        prop_assert_eq!(&folded(&log.entries), &done);
        prop_assert!(withdrawn.iter().all(|sequence| !log.entries.contains(sequence)));
    }

    /// Joined results fold to the same state as the records one by one.
    #[test]
    fn joined_results_fold_the_same(records in vec(any_record(), 0..30)) {
        let merged = merge_results(records.clone());
        prop_assert!(merged.len() <= records.len());
        prop_assert_eq!(ledger_after(&merged), ledger_after(&records));
    }
}

#[test]
fn a_refusal_after_an_unknown_attempt_takes_nothing_back() {
    let mut attempts = CommitAttempts::default();
    assert_eq!(
        attempts.after(AppendOutcome::Refused),
        CommitStep::Backoff(50)
    );
    assert!(attempts.is_withdrawable());
    assert_eq!(attempts.after(AppendOutcome::Unknown), CommitStep::Look);
    assert_eq!(
        attempts.after(AppendOutcome::Refused),
        CommitStep::Backoff(100)
    );
    assert!(!attempts.is_withdrawable());
    assert_eq!(attempts.after(AppendOutcome::TooLarge), CommitStep::Look);
    assert_eq!(
        attempts.after(AppendOutcome::Appended(LogOffset(9))),
        CommitStep::Look
    );
}

#[test]
fn a_batch_that_is_too_large_is_given_up() {
    let step = CommitAttempts::default().after(AppendOutcome::TooLarge);
    assert_eq!(step, CommitStep::Discard);
}

#[test]
fn waits_follow_what_is_pending() {
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
        (group(FULL_RESULTS, false, true), small, 80),
        (group(5, false, false), small, 80),
        (group(5, false, false), large, 286),
    ];
    for (group, budget, expected) in cases {
        assert_eq!(flush_wait(group, budget), expected, "{group:?}");
    }
}
