//! The fold of batch entries does not depend on the order in which they arrive.

use amaranth_kernel::job_book::JobBook;
use amaranth_wire::batch_entry::{BatchEntry, BlobRef, ItemEnd, SubmittedItem, SubmittedJob};
use amaranth_wire::id::{JobId, LogOffset};
use proptest::prelude::*;

const ITEMS: usize = 4;

fn job_id() -> JobId {
    "job".parse().unwrap()
}

fn blob(key: &str) -> BlobRef {
    BlobRef {
        key: key.to_owned(),
        offset: LogOffset(0),
        records: 1,
        bytes: 1,
    }
}

fn submitted(received_ms: u64) -> BatchEntry {
    let item = |index: usize| SubmittedItem {
        id: format!("item{index}").parse().unwrap(),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        tokens: 1,
    };
    BatchEntry::Submitted(SubmittedJob {
        job: job_id(),
        host: "a.example".to_owned(),
        path: "/p/".to_owned(),
        received_ms,
        items: (0..ITEMS).map(item).collect(),
        bodies: blob("bodies"),
    })
}

fn ended(item: usize, text: &str) -> BatchEntry {
    BatchEntry::ItemEnded {
        job: job_id(),
        item: format!("item{item}").parse().unwrap(),
        end: ItemEnd::Succeeded(blob(text)),
    }
}

fn results(book: &JobBook) -> Vec<(String, ItemEnd)> {
    let job = book.job(&job_id()).unwrap();
    let ends = job.ends_from(0);
    ends.map(|(item, end)| (item.to_string(), end.clone()))
        .collect()
}

/// The plain way: entries in the order of the log, the first end of each item counts.
fn reference(entries: &[(u64, BatchEntry)]) -> Vec<(String, ItemEnd)> {
    let mut sorted = entries.to_vec();
    sorted.sort_by_key(|(offset, _)| *offset);
    let mut results: Vec<(String, ItemEnd)> = Vec::new();
    for (_, entry) in sorted {
        if let BatchEntry::ItemEnded { item, end, .. } = entry
            && results.iter().all(|(known, _)| *known != item.to_string())
        {
            results.push((item.to_string(), end));
        }
    }
    results
}

fn entries() -> Vec<(u64, BatchEntry)> {
    vec![
        (3, submitted(30)),
        (5, ended(1, "first")),
        (6, ended(0, "zero")),
        (8, ended(1, "again")),
        (9, submitted(90)),
        (12, ended(3, "three")),
        (13, BatchEntry::Ended { job: job_id() }),
        (14, ended(0, "again")),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..Default::default() })]

    /// Entries read late, twice, or from the newest of each key give the same positions.
    #[test]
    fn any_order_gives_the_same_results(order in Just((0..8_usize).collect::<Vec<_>>()).prop_shuffle(), doubled in 0..8_usize) {
        let entries = entries();
        let mut book = JobBook::new();
        for index in order.iter().chain([&doubled]) {
            let (offset, entry) = entries[*index].clone();
            book.apply(LogOffset(offset), entry);
        }
        prop_assert_eq!(results(&book), reference(&entries));
        let job = book.job(&job_id()).unwrap();
        prop_assert_eq!(job.submission().unwrap().received_ms, 30);
        prop_assert!(job.is_ended());
    }
}

#[test]
fn a_job_without_its_submission_is_not_shown() {
    let mut book = JobBook::new();
    book.apply(LogOffset(1), ended(0, "early"));
    assert!(book.job(&job_id()).is_none());
    book.apply(LogOffset(2), submitted(1));
    assert_eq!(results(&book).len(), 1);
}

#[test]
fn a_job_is_complete_when_every_item_has_an_end() {
    let mut book = JobBook::new();
    book.apply(LogOffset(0), submitted(1));
    for item in 0..ITEMS {
        assert!(!book.job(&job_id()).unwrap().is_complete());
        book.apply(LogOffset(1 + item as u64), ended(item, "x"));
    }
    assert!(book.job(&job_id()).unwrap().is_complete());
}
