//! Rewritten copies of items and results, estimated ages of entries, and checkpoints in parts.

use std::collections::BTreeMap;

use amaranth_kernel::ledger::JobLedger;
use amaranth_kernel::retention::{CheckpointAssembler, CheckpointName, OffsetTimes, RetentionView};
use amaranth_wire::id::{JobId, LeaseEpoch, LogOffset, WriterId};
use amaranth_wire::record::{ItemInput, ItemOutcome, LogRecord};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ITEMS: u32 = 12;
const RANGE_ITEMS: u32 = 4;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn job() -> JobId {
    "batch_a".parse().expect("a valid name")
}

fn result(index: u32, status: u16) -> ItemOutcome {
    ItemOutcome {
        index,
        status,
        attempts: 1,
        body: Vec::new(),
    }
}

/// A log with one record per entry, and the ledger built from it.
#[derive(Default)]
struct SmallLog {
    records: Vec<LogRecord>,
    ledger: JobLedger,
}

impl SmallLog {
    fn append(&mut self, record: LogRecord) -> LogOffset {
        let offset = LogOffset(self.records.len() as u64);
        self.ledger.apply(offset, offset.0, &record);
        self.records.push(record);
        offset
    }

    fn submit(&mut self) {
        for first in (0..ITEMS).step_by(RANGE_ITEMS as usize) {
            let item = |index| ItemInput {
                custom_id: format!("item-{index}"),
                body: Vec::new(),
            };
            let items = (first..first + RANGE_ITEMS).map(item).collect();
            self.append(LogRecord::JobItems {
                job: job(),
                upload: 1,
                first,
                items,
            });
        }
        self.append(LogRecord::JobSealed {
            job: job(),
            upload: 1,
            team: "team".parse().expect("a valid name"),
            tier: "tier".parse().expect("a valid name"),
            count: ITEMS,
            digest: String::new(),
            submitted_ms: 0,
            deadline_ms: 0,
        });
    }

    fn finish(&mut self, outcomes: Vec<ItemOutcome>) {
        let epoch = LeaseEpoch(0);
        self.append(LogRecord::ItemsFinished {
            job: job(),
            epoch,
            outcomes,
        });
    }

    /// The first result of each finished item, read through the ledger's index.
    fn readable(&self) -> BTreeMap<u32, u16> {
        let state = self.ledger.get(&job()).expect("the job was accepted");
        let mut statuses = BTreeMap::new();
        for entry in &state.results {
            let (LogRecord::ItemsFinished { outcomes, .. }
            | LogRecord::ResultsCarried { outcomes, .. }) = &self.records[entry.offset.0 as usize]
            else {
                panic!("no results at {}", entry.offset);
            };
            for outcome in outcomes.iter().filter(|o| state.finished.contains(o.index)) {
                if entry.covers(outcome.index) {
                    statuses.entry(outcome.index).or_insert(outcome.status);
                }
            }
        }
        statuses
    }

    /// Rewrites the items and results stored before `cut`, with up to `size` results per record.
    /// The writer crashes after `crash_after` appends.
    fn rewrite(&mut self, cut: LogOffset, size: usize, crash_after: usize) {
        let state = self
            .ledger
            .get(&job())
            .expect("the job was accepted")
            .clone();
        let mut copies = Vec::new();
        for range in state.ranges.iter().filter(|range| range.offset < cut) {
            let (LogRecord::JobItems { items, .. } | LogRecord::ItemsCarried { items, .. }) =
                &self.records[range.offset.0 as usize]
            else {
                panic!("no items at {}", range.offset);
            };
            let (first, items) = (range.first, items.clone());
            copies.push(LogRecord::ItemsCarried {
                job: job(),
                upload: 1,
                first,
                items,
            });
        }
        let old = state.results.iter().rposition(|entry| entry.offset < cut);
        let replaced = &state.results[..old.map_or(0, |at| at + 1)];
        let mut statuses: BTreeMap<u32, u16> = BTreeMap::new();
        for entry in replaced {
            let (LogRecord::ItemsFinished { outcomes, .. }
            | LogRecord::ResultsCarried { outcomes, .. }) = &self.records[entry.offset.0 as usize]
            else {
                panic!("no results at {}", entry.offset);
            };
            for outcome in outcomes {
                statuses.entry(outcome.index).or_insert(outcome.status);
            }
        }
        let all: Vec<_> = statuses.into_iter().map(|(i, s)| result(i, s)).collect();
        let parts: Vec<_> = all.chunks(size).collect();
        for (n, part) in (0..).zip(&parts) {
            copies.push(LogRecord::ResultsCarried {
                job: job(),
                copy: self.records.len() as u64,
                through: replaced.last().expect("an entry").offset,
                part: n,
                last: n as usize + 1 == parts.len(),
                outcomes: part.to_vec(),
            });
        }
        for copy in copies.into_iter().take(crash_after) {
            self.append(copy);
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Each item keeps its first result, however often results are rewritten and wherever a rewrite
    /// stops. After a completed rewrite the index refers to no offset before the cut.
    #[test]
    fn rewritten_results_equal_the_originals(
        steps in vec((vec((0..ITEMS, prop_oneof![Just(200_u16), Just(422)]), 1..5), 1..4_usize, 0..12_usize), 1..8),
    ) {
        let mut log = SmallLog::default();
        log.submit();
        let mut first: BTreeMap<u32, u16> = BTreeMap::new();
        for (outcomes, size, crash_after) in steps {
            for (index, status) in &outcomes {
                if first.len() < ITEMS as usize {
                    first.entry(*index).or_insert(*status);
                }
            }
            log.finish(outcomes.into_iter().map(|(i, s)| result(i, s)).collect());
            let cut = LogOffset(log.records.len() as u64 - 1);
            log.rewrite(cut, size, crash_after);
            prop_assert_eq!(log.readable(), first.clone());
        }
        let cut = LogOffset(log.records.len() as u64);
        log.rewrite(cut, 3, usize::MAX);
        prop_assert_eq!(log.readable(), first);
        let state = log.ledger.get(&job()).expect("the job was accepted");
        prop_assert!(state.ranges.iter().all(|range| range.offset >= cut));
        prop_assert!(state.results.iter().all(|entry| entry.offset >= cut));
    }

    /// The estimated time of an entry is never later than its actual time, whichever samples were
    /// dropped.
    #[test]
    fn estimated_time_is_a_lower_bound(
        gaps in vec((1..4_u64, 0..50_u64), 1..9_000),
        oldest in 0..9_000_usize,
    ) {
        let mut times = OffsetTimes::default();
        let (mut offset, mut time_ms) = (0, 0);
        let mut entries = Vec::new();
        for (step, wait) in gaps {
            offset += step;
            time_ms += wait;
            times.record_time(LogOffset(offset), time_ms);
            entries.push((LogOffset(offset), time_ms));
        }
        let oldest = oldest % entries.len();
        times.truncate_before(entries[oldest].0);
        for (offset, time_ms) in entries.into_iter().skip(oldest) {
            prop_assert!(times.time_of(offset) <= time_ms);
        }
    }

    /// The newest checkpoint with all parts is found, in whatever order the parts are read.
    #[test]
    fn newest_complete_checkpoint_is_found(
        parts in vec((0..4_u64, 0..3_u64, 0..3_u32), 0..60),
    ) {
        let mut assembler = CheckpointAssembler::default();
        let mut seen: BTreeMap<CheckpointName, Vec<u32>> = BTreeMap::new();
        for (as_of, writer, part) in parts {
            let name = CheckpointName { as_of: LogOffset(as_of), writer: WriterId(writer) };
            assembler.add_part(name, part, 3, &[as_of as u8, writer as u8, part as u8]);
            let seen = seen.entry(name).or_default();
            seen.push(part);
        }
        let whole = seen.into_iter().rev().find(|(_, parts)| (0..3).all(|p| parts.contains(&p)));
        let expected = whole.map(|(name, _)| {
            let (a, w) = (name.as_of.0 as u8, name.writer.0 as u8);
            (name, vec![a, w, 0, a, w, 1, a, w, 2])
        });
        let found = assembler.latest().map(|(name, bytes)| (name, bytes.to_vec()));
        prop_assert_eq!(found, expected);
    }
}

#[test]
fn rewrites_and_checkpoints_are_due_before_entries_expire() {
    let view = RetentionView {
        now_ms: 100_000,
        configured_ms: 40_000,
        oldest: LogOffset(0),
        oldest_ms: 10,
    };
    assert_eq!(view.retention_ms(), 40_000, "no entry was dropped yet");
    let shorter = RetentionView {
        oldest: LogOffset(9),
        oldest_ms: 80_000,
        ..view
    };
    assert_eq!(
        shorter.retention_ms(),
        20_000,
        "the log drops entries earlier than configured"
    );
    assert_eq!(shorter.rewrite_before_ms(), 90_000);
    assert!(view.is_checkpoint_due(None));
    assert!(view.is_checkpoint_due(Some(90_000)));
    assert!(!view.is_checkpoint_due(Some(90_001)));
}
