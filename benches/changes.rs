//! Measures configuration changes and rollouts: time until in force, cost on the log, effect of a
//! rollout on online requests, and wrong answers under faults. Prints Markdown.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_wire::platform::ReadReply;
use amaranth_wire::record::{LogRecord, RecordBatch};
use futures_util::future::join_all;
use serde_json::{Value, json};
use support::{TestFleet, chat, wait_until};
use tokio::time::sleep;

const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(5));
const CHANGES: u64 = 40;
const FLEET_SIZES: [usize; 3] = [3, 6, 12];
const RUNNERS: usize = 20;
const CALLERS: usize = 16;
const BASELINE_TIME: Duration = Duration::from_secs(10);
const FAULT_ROUNDS: u64 = 12;

#[tokio::main]
async fn main() {
    println!(
        "| instances | changes | in force everywhere p50 ms | p95 ms | max ms | bytes a change | records a change |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for size in FLEET_SIZES {
        measure_in_force(size).await;
    }
    measure_rollout().await;
    measure_wrong_answers().await;
}

async fn command(fleet: &TestFleet, name: &str, id: &str, text: &str) -> Value {
    let body = json!({"command": id, "text": text}).to_string();
    let answer = fleet.post(name, "/v1/operator/command", &[], body).await;
    answer.expect("an answer").1
}

async fn measure_in_force(size: usize) {
    let fleet = TestFleet::start(1, size).await;
    let names: Vec<_> = fleet.entries.keys().cloned().collect();
    let mut times = Vec::new();
    for number in 1..=CHANGES {
        let text = format!("set tier shading limit = {number}");
        let id = format!("c-{number}");
        let start = Instant::now();
        let sent = command(&fleet, &names[0], &id, &text);
        let seen = names
            .iter()
            .map(|name| wait_value(&fleet, name, number, start));
        let (_, seen) = tokio::join!(sent, join_all(seen));
        times.push(seen.into_iter().max().expect("an instance"));
    }
    times.sort();
    let percentile_ms =
        |percent: usize| times[(times.len() - 1) * percent / 100].as_secs_f64() * 1e3;
    let (bytes, records) = log_cost(&fleet).await;
    println!(
        "| {size} | {CHANGES} | {:.1} | {:.1} | {:.1} | {bytes} | {records:.2} |",
        percentile_ms(50),
        percentile_ms(95),
        percentile_ms(100)
    );
}

/// Waits until a value is in force on an instance and returns the time since `start`.
async fn wait_value(fleet: &TestFleet, name: &str, value: u64, start: Instant) -> Duration {
    loop {
        if let Ok((_, config)) = fleet.get(name, "/v1/operator/config").await
            && config["values"]["tier.shading.queue_limit"] == value
        {
            return start.elapsed();
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// Bytes of log entries and number of records per change.
async fn log_cost(fleet: &TestFleet) -> (usize, f64) {
    let call = HttpCall::get(
        fleet.platform.address,
        "/log/read?from=0&max=10000&wait_ms=0",
    );
    let reply: ReadReply = fleet
        .client
        .fetch_message(call, LIMITS)
        .await
        .expect("the log");
    let (mut bytes, mut records) = (0, 0);
    for entry in &reply.entries {
        let Ok(batch) = RecordBatch::decode(&entry.bytes) else {
            continue;
        };
        let is_change = |r: &&LogRecord| matches!(r, LogRecord::ConfigProposed { .. });
        let count = batch.records.iter().filter(is_change).count();
        if count > 0 {
            bytes += entry.bytes.len();
            records += count;
        }
    }
    (bytes / CHANGES as usize, records as f64 / CHANGES as f64)
}

async fn measure_rollout() {
    let engine_args = ["--step", "5ms", "--order-time", "1s"];
    let fleet = Arc::new(TestFleet::start_with(RUNNERS, 3, &engine_args, &[]).await);
    println!(
        "\n| {RUNNERS} runners, {CALLERS} callers | requests | failed | p50 ms | p99 ms | time s |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let baseline = run_traffic(&fleet, sleep(BASELINE_TIME)).await;
    print_traffic("no rollout", baseline);
    let rolled = run_traffic(&fleet, async {
        command(
            &fleet,
            "entry-1",
            "roll",
            "roll model sketch-llm to version 2 on tier shading",
        )
        .await;
        let start = Instant::now();
        let mut state = Value::Null;
        while state != "committed" && start.elapsed() < Duration::from_secs(120) {
            sleep(Duration::from_millis(200)).await;
            let query = json!({"text": "explain roll"}).to_string();
            let answer = fleet
                .post("entry-2", "/v1/operator/query", &[], query)
                .await;
            state = answer.map_or(Value::Null, |(_, found)| found["plan"]["state"].clone());
        }
        assert_eq!(state, "committed");
    })
    .await;
    print_traffic("rollout", rolled);
}

struct TrafficResult {
    times: Vec<Duration>,
    failed: usize,
    took: Duration,
}

async fn run_traffic(fleet: &Arc<TestFleet>, until: impl Future<Output = ()>) -> TrafficResult {
    let stop = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let callers = (0..CALLERS).map(|number| {
        let (fleet, stop) = (fleet.clone(), stop.clone());
        tokio::spawn(async move {
            let (mut times, mut failed) = (Vec::new(), 0);
            let name = format!("entry-{}", number % 3 + 1);
            while !stop.load(Ordering::Relaxed) {
                let sent = Instant::now();
                let body = chat(&format!("roof {number}"), 8, false);
                match fleet.post(&name, "/v1/chat/completions", &[], body).await {
                    Ok((200, _)) => times.push(sent.elapsed()),
                    _ => failed += 1,
                }
            }
            (times, failed)
        })
    });
    let callers: Vec<_> = callers.collect();
    until.await;
    stop.store(true, Ordering::Relaxed);
    let mut result = TrafficResult {
        times: Vec::new(),
        failed: 0,
        took: start.elapsed(),
    };
    for caller in callers {
        let (times, failed) = caller.await.expect("a caller ends");
        result.times.extend(times);
        result.failed += failed;
    }
    result.times.sort();
    result
}

fn print_traffic(name: &str, result: TrafficResult) {
    let times = &result.times;
    let percentile_ms =
        |percent: usize| times[(times.len() - 1) * percent / 100].as_secs_f64() * 1e3;
    println!(
        "| {name} | {} | {} | {:.1} | {:.1} | {:.1} |",
        times.len(),
        result.failed,
        percentile_ms(50),
        percentile_ms(99),
        result.took.as_secs_f64()
    );
}

/// Changes settings while an instance is paused or the log is down, and checks each answer of
/// `show instances` and `show config` against what was accepted.
async fn measure_wrong_answers() {
    let fleet = TestFleet::start(1, 3).await;
    let mut accepted = 0;
    let mut min_revisions: BTreeMap<String, u64> = BTreeMap::new();
    let (mut answers, mut rows, mut wrong, mut refused) = (0, 0, 0, 0);
    for round in 1..=FAULT_ROUNDS {
        let paused = (round % 3 == 1).then_some("entry-3");
        let outage = round % 3 == 2;
        if let Some(name) = paused {
            fleet.entries[name].signal("STOP");
        }
        fleet
            .platform_faults(json!({"outage": outage, "lost_reply_percent": 30}))
            .await;
        let text = format!("set tier shading limit = {round}");
        let outcome = command(&fleet, "entry-1", &format!("t-{round}"), &text).await;
        if outcome["outcome"] == "accepted" {
            accepted = outcome["revision"].as_u64().expect("a revision");
            for name in outcome["in_force"].as_array().expect("a list") {
                min_revisions.insert(name.as_str().expect("a name").to_owned(), accepted);
            }
        }
        for name in ["entry-1", "entry-2"] {
            let query = json!({"text": "show instances"}).to_string();
            let answer = fleet.post(name, "/v1/operator/query", &[], query).await;
            let Ok((200, answer)) = answer else {
                refused += 1;
                continue;
            };
            answers += 1;
            for row in answer["result"]["rows"].as_array().expect("rows") {
                rows += 1;
                let instance = row[0].as_str().expect("a name");
                let revision = row[5].as_u64().expect("a revision");
                let floor = min_revisions.get(instance).copied().unwrap_or(0);
                // Later revisions are not wrong: a command with an unknown outcome may have been
                // accepted since.
                let is_wrong = revision < floor || Some(instance) == paused;
                wrong += u32::from(is_wrong);
            }
        }
        fleet.platform_faults(json!({})).await;
        if let Some(name) = paused {
            fleet.entries[name].signal("CONT");
        }
        wait_until("the log is read again", async || {
            let again = command(&fleet, "entry-1", &format!("t-{round}"), &text).await;
            again["outcome"] != "unknown" && again["outcome"] != Value::Null
        })
        .await;
    }
    println!(
        "\n| `show instances` under faults: answers | rows | wrong rows | no answer | last accepted revision |"
    );
    println!("| --- | --- | --- | --- | --- |");
    println!("| {answers} | {rows} | {wrong} | {refused} | {accepted} |");
}
