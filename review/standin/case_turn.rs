//! The only runner of one service crashes for good. A job of 24 items comes for that service, and a second
//! later one of 10 items for another service, whose runner is idle.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::Job;
use crate::fleet::{Pace, Record, Runner, batch_route_due, configure, start_instances, wait_ready};
use crate::judge::{FINISH_S, judge_open_items};
use crate::store::Store;

/// Events of an item, as the deployment has it on average.
pub const EVENTS: u64 = 173;

pub fn run(record: &Arc<Record>, folder: PathBuf, trouble: bool) -> Outcome {
    let jobs = vec![Job::new("aaa", "job-a1", 24, EVENTS, "a1")];
    let plan = TwoServicePlan {
        jobs,
        // The store has dropped the runner's entry by then.
        later: Duration::from_secs(5),
        gap: Duration::from_secs(1),
        due_ms: 30_000,
    };
    run_two_services(record, folder, trouble, plan)
}

/// What comes after the crash of a service's runner.
pub struct TwoServicePlan {
    /// Jobs for that service.
    pub jobs: Vec<Job>,
    /// Time from the crash to the first of them.
    pub later: Duration,
    /// Time from the last of them to the job for the other service.
    pub gap: Duration,
    /// Time after which the results of both routes are due.
    pub due_ms: u64,
}

/// Plays the crash of a service's runner, jobs for that service some time later, and then a job for
/// the other service.
pub fn run_two_services(
    record: &Arc<Record>,
    folder: PathBuf,
    trouble: bool,
    plan: TwoServicePlan,
) -> Outcome {
    let store = Store::new(8);
    let stores = [store.listen(), store.listen()];
    let pace = Pace {
        first_ms: 20,
        pause_ms: 5,
    };
    let lost = Runner::start(record, "svc-a", "i-a1", 8, pace);
    let sound = Runner::start(record, "svc-b", "i-b1", 8, pace);
    lost.announce(&store);
    sound.announce(&store);
    let routes = [
        batch_route_due("aaa", "svc-a", plan.due_ms),
        batch_route_due("bbb", "svc-b", plan.due_ms),
    ];
    configure(record, &store, 1, &routes, &["svc-a", "svc-b"]);
    let instances = start_instances(&folder, &stores);
    if !wait_ready(&instances, Duration::from_secs(10)) {
        return Outcome::NotRun("the instances are not ready".to_owned());
    }
    record.say("all instances are ready");
    record.wait_until(5.0);
    let first = [
        Job::new("aaa", "job-a0", 10, EVENTS, "a0"),
        Job::new("bbb", "job-b0", 10, EVENTS, "b0"),
    ];
    if !first.iter().all(|job| job.submit(record, &instances)) {
        return Outcome::NotRun("the first jobs were not accepted".to_owned());
    }
    record.wait_until(9.0);
    let is_done =
        |job: &Job| job.read_all(record, &instances).states().get("succeeded") == Some(&10);
    if !first.iter().all(is_done) {
        return Outcome::NotRun("the first jobs were not done".to_owned());
    }
    record.wait_until(10.0);
    if trouble {
        lost.crash();
        record.say("disruption: the runner of svc-a crashes for good");
    }
    record.wait_until(10.0 + plan.later.as_secs_f64());
    for job in &plan.jobs {
        if !job.submit(record, &instances) {
            return Outcome::NotRun("a job of svc-a was not accepted".to_owned());
        }
    }
    thread::sleep(plan.gap);
    let last = Job::new("bbb", "job-b1", 10, EVENTS, "b1");
    if !last.submit(record, &instances) {
        return Outcome::NotRun("the job of svc-b was not accepted".to_owned());
    }
    let ended = record.seconds();
    record.say("traffic ends");
    record.wait_until(ended + FINISH_S);
    judge_open_items(record, &instances, &[&last], &[sound], &[lost])
}
