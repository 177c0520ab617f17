//! The log cursor with late, repeated and missing entries.

use amaranth_kernel::cursor::{EntryVerdict, FoldCursor};
use amaranth_wire::id::{LogOffset, WriterId};
use amaranth_wire::record::{RecordBatch, RecordEntry};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn entry(offset: u64, writer: u64, sequence: u64) -> RecordEntry {
    RecordEntry {
        offset: LogOffset(offset),
        time_ms: offset,
        batch: RecordBatch::new(WriterId(writer), sequence),
    }
}

#[test]
fn admit_classifies_past_missing_and_duplicate_entries() {
    let mut cursor = FoldCursor::new(LogOffset(5));
    let steps = [
        (entry(4, 1, 1), EntryVerdict::Past, 5),
        (entry(6, 1, 1), EntryVerdict::Gap, 5),
        (entry(5, 1, 1), EntryVerdict::Apply, 6),
        (entry(5, 1, 1), EntryVerdict::Past, 6),
        (entry(6, 1, 1), EntryVerdict::Duplicate, 7),
        (entry(7, 2, 1), EntryVerdict::Apply, 8),
        (entry(8, 1, 3), EntryVerdict::Apply, 9),
        (entry(9, 1, 2), EntryVerdict::Duplicate, 10),
    ];
    for (index, (entry, verdict, next)) in steps.into_iter().enumerate() {
        assert_eq!(cursor.admit(&entry), verdict, "step {index}");
        assert_eq!(cursor.next(), LogOffset(next), "step {index}");
    }
}

#[test]
fn skip_ignores_all_but_the_next_entry() {
    let mut cursor = FoldCursor::default();
    cursor.skip(LogOffset(3));
    assert_eq!(cursor.next(), LogOffset(0));
    cursor.skip(LogOffset(0));
    assert_eq!(cursor.next(), LogOffset(1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Redelivered entries change nothing: the same entries are applied as when each is read once.
    #[test]
    fn redelivered_entries_are_applied_once(
        log in prop::collection::vec((0..3_u64, 1..6_u64), 1..30),
        reads in prop::collection::vec((any::<prop::sample::Index>(), 1..8_usize), 0..40),
    ) {
        let log: Vec<_> = log.iter().zip(0..).map(|(&(w, s), at)| entry(at, w, s)).collect();
        let applied = |reads: &[(usize, usize)]| {
            let mut cursor = FoldCursor::default();
            let read = reads.iter().flat_map(|&(from, len)| log.iter().skip(from).take(len));
            let all = read.chain(&log);
            let admitted = all.filter(|entry| cursor.admit(entry) == EntryVerdict::Apply);
            admitted.map(|entry| entry.offset).collect::<Vec<_>>()
        };
        let reads: Vec<_> = reads.iter().map(|(at, len)| (at.index(log.len()), *len)).collect();
        prop_assert_eq!(applied(&reads), applied(&[]));
    }
}
