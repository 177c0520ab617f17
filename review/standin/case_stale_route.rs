//! An instance's connection on which it waits for configurations goes silent. A batch route is added,
//! another instance accepts a job on it, and the instance that runs its items has to do them.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::client::Job;
use crate::fleet::{Pace, Record, Runner, batch_route, configure, start_instances, wait_ready};
use crate::proxy::Proxy;
use crate::store::Store;

pub fn run(record: &Arc<Record>, folder: PathBuf, trouble: bool) -> Outcome {
    let store = Store::new(8);
    let proxy = Proxy::start(store.listen());
    let stores = [store.listen(), store.listen(), proxy.address];
    let runner = Runner::start(
        record,
        "svc-b",
        "i-b1",
        8,
        Pace {
            first_ms: 20,
            pause_ms: 5,
        },
    );
    runner.announce(&store);
    let old = batch_route("bbb", "svc-b");
    configure(record, &store, 1, &[old.clone()], &["svc-b"]);
    let instances = start_instances(&folder, &stores);
    if !wait_ready(&instances, Duration::from_secs(10)) {
        return Outcome::NotRun("the instances are not ready".to_owned());
    }
    record.say("all instances are ready");
    record.wait_until(10.0);
    let first = Job::new("bbb", "job-b0", 24, 20, "b0");
    if !first.submit(record, &instances[..2]) {
        return Outcome::NotRun("the first job was not accepted".to_owned());
    }
    record.wait_until(15.0);
    if first.read_all(record, &instances).states().get("succeeded") != Some(&24) {
        return Outcome::NotRun("the first job was not done".to_owned());
    }
    if trouble {
        let silenced = (0..100).map(|_| {
            thread::sleep(Duration::from_millis(20));
            proxy.silence("/-/log-read?topic=keyed.op")
        });
        let silenced = silenced.take(100).find(|count| *count > 0);
        let Some(count) = silenced else {
            return Outcome::NotRun("no connection waits for configurations".to_owned());
        };
        record.say(&format!(
            "disruption: {count} open connection of {} to the store goes silent",
            instances[2].name
        ));
    }
    configure(
        record,
        &store,
        2,
        &[old, batch_route("ccc", "svc-b")],
        &["svc-b"],
    );
    thread::sleep(Duration::from_millis(200));
    let job = Job::new("ccc", "job-c1", 24, 20, "c1");
    if !job.submit(record, &instances[..2]) {
        return Outcome::NotRun("the job on the new route was not accepted".to_owned());
    }
    record.wait_until(28.0);
    let states = job.read_all(record, &instances).states();
    for line in instances
        .iter()
        .flat_map(|instance| instance.log_lines("event=item_errored"))
    {
        record.say(&format!("log: {line}"));
    }
    // No runner answered an item with 422 or 500, its job and its route were not ended, and it was
    // far from the end of its retention.
    match states.get("errored").copied().unwrap_or(0) {
        0 if states.get("succeeded") == Some(&24) => Outcome::Held,
        0 => Outcome::NotRun("the job was not done in time".to_owned()),
        _ => Outcome::Broken,
    }
}
