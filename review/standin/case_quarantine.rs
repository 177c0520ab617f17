//! Both runners of a service crash at the same moment and are back after 4.5 s. Items whose prompts
//! begin with the same part as those that ran then have to be done.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::Job;
use crate::fleet::{Pace, Record, Runner, batch_route, configure, start_instances, wait_ready};
use crate::judge::{FINISH_S, judge_open_items};
use crate::store::Store;

/// Time until crashed runners are back, in seconds.
const DOWN_S: f64 = 4.5;

pub fn run(record: &Arc<Record>, folder: PathBuf, trouble: bool) -> Outcome {
    let store = Store::new(8);
    let stores = [store.listen(), store.listen()];
    let pace = Pace {
        first_ms: 300,
        pause_ms: 5,
    };
    let start = |id: &str| {
        let runner = Runner::start(record, "svc-b", id, 8, pace);
        runner.announce(&store);
        runner
    };
    let mut runners = vec![start("i-b1"), start("i-b2")];
    configure(
        record,
        &store,
        1,
        &[batch_route("bbb", "svc-b")],
        &["svc-b"],
    );
    let instances = start_instances(&folder, &stores);
    if !wait_ready(&instances, Duration::from_secs(10)) {
        return Outcome::NotRun("the instances are not ready".to_owned());
    }
    record.wait_until(10.0);
    let first = Job::new("bbb", "job-b0", 10, 20, "5c1e07a2");
    if !first.submit(record, &instances) {
        return Outcome::NotRun("the first job was not accepted".to_owned());
    }
    let limit = record.seconds() + 3.0;
    let is_running = |runner: &Arc<Runner>| runner.events().iter().any(|event| event.kind == "run");
    while !runners.iter().all(is_running) {
        if record.seconds() > limit {
            return Outcome::NotRun("the first job does not run at both runners".to_owned());
        }
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(Duration::from_millis(150));
    let crashed = record.seconds();
    if trouble {
        runners.iter().for_each(|runner| runner.crash());
        record.say("disruption: both runners of svc-b crash");
        record.wait_until(crashed + DOWN_S);
        runners.push(start("i-b3"));
        runners.push(start("i-b4"));
        record.say("both runners are back, under new ids");
    }
    record.wait_until(crashed + DOWN_S + 1.0);
    let jobs = [
        Job::new("bbb", "job-b1", 10, 20, "5c1e07a2"),
        Job::new("bbb", "job-b2", 10, 20, "91bd3f06"),
    ];
    if !jobs.iter().all(|job| job.submit(record, &instances)) {
        return Outcome::NotRun("a job was not accepted".to_owned());
    }
    let ended = record.seconds();
    record.say("traffic ends");
    record.wait_until(ended + FINISH_S);
    let outcome = judge_open_items(
        record,
        &instances,
        &[&jobs[0], &jobs[1], &first],
        &runners[runners.len() - 2..],
        &runners[..runners.len() - 2],
    );
    for line in instances
        .iter()
        .flat_map(|instance| instance.log_lines("event=prompt_"))
    {
        record.say(&format!("log: {line}"));
    }
    outcome
}
