//! Compares batch policies beside online work on separate processes: time to first token of online
//! requests, batch throughput, time to preempt, and log appends per item.
//!
//! `cargo bench --bench batch_beside_online`

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpCall};
use futures_util::future::join_all;
use serde_json::{Value, json};
use support::{TestFleet, batch_lines, chat};
use tokio::time::{sleep, sleep_until};

const CHAT: &str = "/v1/chat/completions";
const ENGINES: usize = 4;
const SLOTS: u32 = 16;
const INSTANCES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
/// Measured time per policy.
const RUN: Duration = Duration::from_secs(20);
/// Time before the measurement in which batch work fills the engines.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time between two single online requests.
const SINGLE_PERIOD: Duration = Duration::from_millis(50);
/// Time between two bursts.
const BURST_PERIOD: Duration = Duration::from_secs(4);
const BURST: usize = 16;
const ONLINE_TOKENS: u32 = 16;
const ITEMS: usize = 20_000;
const ITEM_TOKENS: u32 = 48;

/// Results of one policy.
struct PolicyRun {
    name: String,
    first_token_ms: Vec<f64>,
    batch_tokens_per_s: f64,
    preempt_ms: Vec<f64>,
    cancels: u64,
    items: u64,
    appends: f64,
    append_bytes: f64,
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let runs = [
            ("no batch", "preempt", 1_200, false),
            ("no_distinction", "no_distinction", 1_200, true),
            ("static_split", "static_split", 1_200, true),
            ("preempt, slowdown 1500", "preempt", 1_500, true),
            ("preempt, slowdown 1050", "preempt", 1_050, true),
        ];
        println!("| policy | first token p50 | p99 | batch tokens/s | time to preempt p50, max | cancels | items | appends per 100 items | bytes per item |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (name, policy, slowdown, batch) in runs {
            print_run(&measure(name, policy, slowdown, batch).await);
        }
    });
}

async fn measure(name: &str, policy: &str, slowdown: u32, batch: bool) -> PolicyRun {
    let engine = [
        "--step",
        "20ms",
        "--step-growth",
        "0.02",
        "--slots",
        "16",
        "--report-lag",
        "100ms",
    ];
    let policy = policy.to_owned();
    let fleet = TestFleet::start_configured(ENGINES, 3, &engine, &[], move |settings| {
        settings["upstreams"][0]["slots"] = json!(SLOTS);
        settings["batch"] = json!({"policy": policy, "slowdown": slowdown});
    })
    .await;
    let fleet = Arc::new(fleet);
    let mut job = String::new();
    if batch {
        let lines = batch_lines("lot", ITEMS, ITEM_TOKENS);
        let answer = fleet.post("entry-1", "/v1/batches", &[], lines).await;
        let (status, view) = answer.expect("an answer");
        assert_eq!(status, 200, "{view}");
        job = view["id"].as_str().expect("an id").to_owned();
    }
    sleep(WARM_UP).await;
    let tokens_before = counts(&fleet, "tokens").await;
    let cancels_before = counts(&fleet, "cancels").await;
    let done_before = completed(&fleet, &job).await;
    let log_before = log_appends(&fleet).await;
    let (first_token_ms, preempt_ms) = run_online(&fleet, batch).await;
    let tokens = counts(&fleet, "tokens").await - tokens_before;
    let online_tokens = first_token_ms.len() as u64 * u64::from(ONLINE_TOKENS);
    let log_after = log_appends(&fleet).await;
    PolicyRun {
        name: name.to_owned(),
        batch_tokens_per_s: tokens.saturating_sub(online_tokens) as f64 / RUN.as_secs_f64(),
        first_token_ms,
        preempt_ms,
        cancels: counts(&fleet, "cancels").await - cancels_before,
        items: completed(&fleet, &job).await - done_before,
        appends: log_after.0 - log_before.0,
        append_bytes: log_after.1 - log_before.1,
    }
}

/// Sends single requests and bursts for [`RUN`]. Returns the times to the first token and the times
/// from a burst to the first cancelled batch stream, in ms.
async fn run_online(fleet: &Arc<TestFleet>, batch: bool) -> (Vec<f64>, Vec<f64>) {
    let start = tokio::time::Instant::now();
    let mut calls = Vec::new();
    let mut watches = Vec::new();
    let (mut next_single, mut next_burst) = (start, start + BURST_PERIOD / 2);
    let mut number = 0;
    while next_single.min(next_burst) < start + RUN {
        if next_burst <= next_single {
            sleep_until(next_burst).await;
            next_burst += BURST_PERIOD;
            if batch {
                watches.push(tokio::spawn(watch_cancels(fleet.clone())));
            }
            for _ in 0..BURST {
                number += 1;
                calls.push(tokio::spawn(first_token(fleet.clone(), number)));
            }
        } else {
            sleep_until(next_single).await;
            next_single += SINGLE_PERIOD;
            number += 1;
            calls.push(tokio::spawn(first_token(fleet.clone(), number)));
        }
    }
    sleep_until(start + RUN).await;
    let times = join_all(calls)
        .await
        .into_iter()
        .map(|call| call.expect("a time"));
    let watched = join_all(watches).await.into_iter();
    let preempted = watched.filter_map(|watch| watch.expect("a watch"));
    (times.collect(), preempted.collect())
}

async fn first_token(fleet: Arc<TestFleet>, number: usize) -> f64 {
    let start = Instant::now();
    let name = INSTANCES[number % INSTANCES.len()];
    let body = chat(&format!("roof {number}"), ONLINE_TOKENS, true);
    let mut answer = fleet.open(name, CHAT, &[], body).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    answer
        .next_chunk()
        .await
        .expect("a stream")
        .expect("a token");
    let first_ms = start.elapsed().as_secs_f64() * 1_000.0;
    while answer.next_chunk().await.expect("a whole stream").is_some() {}
    first_ms
}

async fn watch_cancels(fleet: Arc<TestFleet>) -> Option<f64> {
    let start = Instant::now();
    let before = counts(&fleet, "cancels").await;
    while start.elapsed() < Duration::from_secs(1) {
        if counts(&fleet, "cancels").await > before {
            return Some(start.elapsed().as_secs_f64() * 1_000.0);
        }
        sleep(Duration::from_millis(1)).await;
    }
    None
}

async fn counts(fleet: &TestFleet, name: &str) -> u64 {
    let limits = CallLimits::new(Duration::from_secs(5));
    let reads = fleet.engines.iter().map(|engine| {
        let call = HttpCall::get(engine.address, "/engine/counts");
        fleet.client.fetch_json::<Value>(call, limits)
    });
    let counts = join_all(reads).await.into_iter();
    counts
        .map(|c| c.expect("counts")[name].as_u64().expect("a count"))
        .sum()
}

async fn completed(fleet: &TestFleet, job: &str) -> u64 {
    if job.is_empty() {
        return 0;
    }
    let view = fleet.get("entry-2", &format!("/v1/batches/{job}")).await;
    let (_, view) = view.expect("an answer");
    view["request_counts"]["completed"]
        .as_u64()
        .expect("a count")
}

/// Number and bytes of log appends of all instances.
async fn log_appends(fleet: &TestFleet) -> (f64, f64) {
    let (mut appends, mut bytes) = (0.0, 0.0);
    for name in INSTANCES {
        for line in fleet.get_text(name, "/metrics").await.lines() {
            let value = || line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
            if line.starts_with("amaranth_log_appends_total{") {
                appends += value().unwrap_or(0.0);
            }
            if line.starts_with("amaranth_log_append_bytes_total{") {
                bytes += value().unwrap_or(0.0);
            }
        }
    }
    (appends, bytes)
}

fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * share) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(f64::NAN)
}

fn print_run(run: &PolicyRun) {
    let items = run.items as f64;
    println!(
        "| {} | {:.0} ms | {:.0} ms | {:.0} | {:.0} ms, {:.0} ms ({}) | {} | {} | {:.2} | {:.0} |",
        run.name,
        percentile(&run.first_token_ms, 0.5),
        percentile(&run.first_token_ms, 0.99),
        run.batch_tokens_per_s,
        percentile(&run.preempt_ms, 0.5),
        percentile(&run.preempt_ms, 1.0),
        run.preempt_ms.len(),
        run.cancels,
        run.items,
        100.0 * run.appends / items,
        run.append_bytes / items,
    );
}
