//! The rule on items that are open when `finishS` is over, with its excuses.

use std::sync::Arc;

use crate::Outcome;
use crate::client::Job;
use crate::fleet::{Instance, Record, Runner, RunnerEvent};

/// `finishS` of the deployment, in seconds.
pub const FINISH_S: f64 = 18.0;

/// Judges jobs of one service when `finishS` is over. `own` are the runners of that service that live,
/// `others` all further ones.
pub fn judge_open_items(
    record: &Record,
    instances: &[Arc<Instance>],
    jobs: &[&Job],
    own: &[Arc<Runner>],
    others: &[Arc<Runner>],
) -> Outcome {
    let now = record.seconds();
    let events: Vec<_> = own
        .iter()
        .chain(others)
        .flat_map(|runner| runner.events())
        .collect();
    let mut open: Vec<String> = Vec::new();
    for job in jobs {
        let listing = job.read_all(record, instances);
        let is_listed = |item: &&String| listing.results.iter().any(|(id, _, _)| id == *item);
        open.extend(job.items.iter().filter(|item| !is_listed(item)).cloned());
    }
    let all = open.len();
    // Items that were at a runner in the last 20 s may have failed there, and don't count.
    open.retain(|item| {
        !events
            .iter()
            .any(|event| event.id == *item && event.at > now - 20.0)
    });
    let running: usize = own.iter().map(|runner| open_runs(&runner.events())).sum();
    let slots: usize = own.iter().map(|runner| runner.slots).sum();
    let is_finish = |event: &RunnerEvent| event.kind == "end" && event.at > now - 3.0;
    let finished = events.iter().filter(|event| is_finish(event)).count();
    record.say(&format!(
        "of {all} unlisted items {} were at no runner in the last 20 s; {running} of {slots} slots of their \
         service are taken; {finished} items of any job were finished in the last 3 s",
        open.len()
    ));
    match !open.is_empty() && running * 2 < slots && finished == 0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

fn open_runs(events: &[RunnerEvent]) -> usize {
    let count = |kind: &str| events.iter().filter(|event| event.kind == kind).count();
    count("run").saturating_sub(count("end"))
}
