//! Prints the resident memory of the job ledger for different numbers of jobs and items.

use amaranth_kernel::ledger::JobLedger;
use amaranth_wire::id::{JobId, LeaseEpoch, LogOffset};
use amaranth_wire::record::{ItemInput, ItemOutcome, LogRecord};

/// Number of results in one log entry.
const RESULTS_PER_ENTRY: u32 = 100;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

fn add_job(ledger: &mut JobLedger, number: u64, items: u32) {
    let job: JobId = format!("batch_{number:032x}")
        .parse()
        .expect("a valid name");
    let input = |index: u32| ItemInput {
        custom_id: index.to_string(),
        body: Vec::new(),
    };
    let job_items = LogRecord::JobItems {
        job: job.clone(),
        upload: 1,
        first: 0,
        items: (0..items).map(input).collect(),
    };
    ledger.apply(LogOffset(number), 1, &job_items);
    let sealed = LogRecord::JobSealed {
        job: job.clone(),
        upload: 1,
        team: "team-1".parse().expect("a valid name"),
        tier: "lots".parse().expect("a valid name"),
        count: items,
        digest: "0".repeat(64),
        submitted_ms: 1,
        deadline_ms: 2,
    };
    ledger.apply(LogOffset(number), 1, &sealed);
    for first in (0..items).step_by(RESULTS_PER_ENTRY as usize) {
        let outcome = |index: u32| ItemOutcome {
            index,
            status: 200,
            attempts: 1,
            body: Vec::new(),
        };
        let finished = LogRecord::ItemsFinished {
            job: job.clone(),
            epoch: LeaseEpoch(1),
            outcomes: (first..items.min(first + RESULTS_PER_ENTRY))
                .map(outcome)
                .collect(),
        };
        ledger.apply(LogOffset(number + u64::from(first)), 1, &finished);
    }
}

fn main() {
    println!("jobs   items each  resident KiB  bytes a job");
    let mut kept = Vec::new();
    for (jobs, items) in [
        (1_000, 400),
        (10_000, 400),
        (40_000, 400),
        (100, 10_000),
        (100, 190_000),
    ] {
        let before = resident_bytes();
        let mut ledger = JobLedger::default();
        (0..jobs).for_each(|number| add_job(&mut ledger, number, items));
        let grown = resident_bytes().saturating_sub(before);
        println!(
            "{jobs:6}  {items:9}  {:12}  {:11}",
            grown / 1_024,
            grown / jobs
        );
        // Kept alive so that the next row does not reuse its memory.
        kept.push(ledger);
    }
}
