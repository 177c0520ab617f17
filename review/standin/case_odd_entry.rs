//! A runner drains, and another writer puts an entry without `version` under its id, which names no
//! runner to use. Callers of streams that may not be repeated go on all the time.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::fleet::{
    HOST, Instance, Pace, Record, Runner, configure, route, start_instances, wait_ready,
};
use crate::http;
use crate::store::Store;

/// `drainMs` of the deployment, in seconds.
const DRAIN_S: f64 = 2.0;

pub fn run(record: &Arc<Record>, folder: PathBuf, trouble: bool) -> Outcome {
    let store = Store::new(8);
    let stores = [store.listen(), store.listen()];
    let pace = Pace {
        first_ms: 20,
        pause_ms: 40,
    };
    let leaving = Runner::start(record, "svc-s", "i-s1", 8, pace);
    let staying = Runner::start(record, "svc-s", "i-s2", 8, pace);
    leaving.announce(&store);
    staying.announce(&store);
    let stream = "\"timeoutMs\":5000,\"targetLatencyMs\":300,\"maxAttempts\":1,\"sticky\":true,\
                  \"resumable\":false,\"gapTargetMs\":300";
    configure(
        record,
        &store,
        1,
        &[route("sss", "streaming", "svc-s", stream)],
        &["svc-s"],
    );
    let instances = start_instances(&folder, &stores);
    if !wait_ready(&instances, Duration::from_secs(10)) {
        return Outcome::NotRun("the instances are not ready".to_owned());
    }
    record.say("all instances are ready");
    record.wait_until(10.0);
    let stop = Arc::new(AtomicBool::new(false));
    let (calling, ended) = (instances.clone(), stop.clone());
    let seen = record.clone();
    let traffic = thread::spawn(move || send_traffic(&seen, &calling, &ended));
    record.wait_until(14.0);
    leaving.drain(&store);
    let drained = record.seconds();
    record.say("plan: i-s1 says draining, acknowledged by the store");
    record.wait_until(drained + 2.9);
    if trouble {
        let entry = leaving.write_odd_entry(&store);
        record.say(&format!(
            "disruption: another writer's entry servers/i-s1: {entry}"
        ));
    }
    record.wait_until(drained + 4.2);
    leaving.crash();
    record.say("plan: i-s1 exits");
    record.wait_until(drained + 8.0);
    stop.store(true, Ordering::SeqCst);
    let cut = traffic.join().unwrap_or(0);
    let late = leaving
        .events()
        .into_iter()
        .filter(|event| event.kind == "arrival" && event.at > drained + DRAIN_S);
    let late: Vec<_> = late.collect();
    for event in &late {
        record.say(&format!(
            "late: {} reached i-s1 {:.3} s after the acknowledgement",
            event.id,
            event.at - drained
        ));
    }
    record.say(&format!(
        "{} requests reached i-s1 too late; {cut} requests of clients got no whole answer",
        late.len()
    ));
    if !staying.events().iter().any(|event| event.kind == "end") {
        return Outcome::NotRun("nothing was served".to_owned());
    }
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

/// Sends six streams a second until the end. Returns how many got no whole answer.
fn send_traffic(record: &Arc<Record>, instances: &[Arc<Instance>], stop: &AtomicBool) -> usize {
    let mut calls = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let (record, instance) = (record.clone(), instances[number % instances.len()].clone());
        calls.push(thread::spawn(move || call(&record, &instance, number)));
        thread::sleep(Duration::from_millis(160));
    }
    calls
        .into_iter()
        .map(thread::JoinHandle::join)
        .filter(|whole| !matches!(whole, Ok(true)))
        .count()
}

fn call(record: &Record, instance: &Instance, number: usize) -> bool {
    let id = format!("req-{number}");
    let prompt = format!("{:x}:100,{:x}:250", number % 20, 1000 + number);
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", &id[..]),
        ("X-Deadline-Ms", "5000"),
        ("X-Model", "m"),
        ("X-Token-Usage", "350,30"),
        ("X-Prompt-Prefix", &prompt),
    ];
    let limit = Duration::from_secs(5);
    let answer = http::call(
        instance.front,
        "POST",
        &format!("/sss/3/{id}"),
        &headers,
        b"prompt",
        limit,
    );
    let told = match &answer {
        Ok(answer) => answer.status.to_string(),
        Err(e) => e.clone(),
    };
    record.say(&format!("client: {id} at {}: {told}", instance.name));
    answer.is_ok_and(|answer| answer.status == 200)
}
