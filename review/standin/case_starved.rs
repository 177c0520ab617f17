//! The only runner of one service crashes for good, and ten jobs of 24 items come for it within the next
//! two seconds. A job of another service, whose runner is idle, comes right after them.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::Outcome;
use crate::case_turn::{EVENTS, TwoServicePlan, run_two_services};
use crate::client::Job;
use crate::fleet::Record;

pub fn run(record: &Arc<Record>, folder: PathBuf, trouble: bool) -> Outcome {
    let job = |index: usize| {
        Job::new(
            "aaa",
            &format!("job-a{index}"),
            24,
            EVENTS,
            &format!("a{index}"),
        )
    };
    let plan = TwoServicePlan {
        jobs: (1..=10).map(job).collect(),
        later: Duration::from_millis(100),
        gap: Duration::ZERO,
        due_ms: 18_000,
    };
    run_two_services(record, folder, trouble, plan)
}
