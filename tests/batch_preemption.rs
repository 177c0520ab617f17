//! Preemption and cancellation of batch work on engines shared with online work.

mod support;

use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_standin::token_text::complete_answer;
use serde_json::{Value, json};
use support::{TestFleet, batch_lines, chat, wait_until};

const CHAT: &str = "/v1/chat/completions";
/// Batch slots of the engine.
const SLOTS: u64 = 8;
/// Tokens of a batch item; 300 steps of 20 ms take at least 6 s.
const LONG: u32 = 300;
const ITEMS: usize = 12;
const BURST: usize = 6;

async fn start(policy: &str) -> TestFleet {
    let engine = ["--step", "20ms", "--slots", "8", "--report-lag", "50ms"];
    let policy = policy.to_owned();
    TestFleet::start_configured(1, 2, &engine, &[], move |settings| {
        settings["upstreams"][0]["slots"] = json!(SLOTS);
        settings["batch"] = json!({"policy": policy, "slowdown": 2_000});
    })
    .await
}

async fn engine_json(fleet: &TestFleet, path: &str) -> Value {
    let call = HttpCall::get(fleet.engines[0].address, path);
    let limits = CallLimits::new(Duration::from_secs(5));
    fleet.client.fetch_json(call, limits).await.expect("JSON")
}

async fn count(fleet: &TestFleet, path: &str, name: &str) -> u64 {
    let counts = engine_json(fleet, path).await;
    counts[name].as_u64().expect("a count")
}

async fn submit(fleet: &TestFleet) -> String {
    let lines = batch_lines("lot", ITEMS, LONG);
    let answer = fleet.post("entry-1", "/v1/batches", &[], lines).await;
    let (status, job) = answer.expect("an answer");
    assert_eq!(status, 200, "{job}");
    job["id"].as_str().expect("an id").to_owned()
}

async fn wait_active(fleet: &TestFleet, min_active: u64) {
    wait_until("batch work fills the engine", async || {
        count(fleet, "/engine/load", "active").await >= min_active
    })
    .await;
}

async fn burst(fleet: &TestFleet) {
    let calls = (0..BURST).map(|n| {
        let name = ["entry-1", "entry-2"][n % 2];
        fleet.post(name, CHAT, &[], chat(&format!("roof {n}"), 5, false))
    });
    let answers = futures_util::future::join_all(calls).await;
    for (n, answer) in answers.into_iter().enumerate() {
        let (status, answer) = answer.expect("an answer");
        assert_eq!(status, 200, "{answer}");
        let text = &answer["choices"][0]["message"]["content"];
        assert_eq!(*text, complete_answer(&format!("roof {n}"), 5));
    }
}

#[tokio::test]
async fn a_burst_preempts_running_batch_items() {
    let fleet = start("preempt").await;
    let job = submit(&fleet).await;
    wait_active(&fleet, SLOTS - 1).await;
    let before = count(&fleet, "/engine/counts", "tokens").await;
    burst(&fleet).await;
    // Fewer than half the tokens of a full batch: the burst did not wait for items to end.
    let after = count(&fleet, "/engine/counts", "tokens").await;
    let item_steps = SLOTS * u64::from(LONG);
    assert!(
        after - before < item_steps / 2,
        "{before} to {after} tokens"
    );
    let cancels = count(&fleet, "/engine/counts", "cancels").await;
    assert!(cancels >= 1, "no stream was preempted");
    let ended = fleet.wait_job("entry-2", &job).await;
    let all = json!({"total": ITEMS, "completed": ITEMS, "failed": 0});
    assert_eq!(ended["request_counts"], all);
}

#[tokio::test]
async fn a_cancelled_job_stops_at_the_engine() {
    let fleet = start("preempt").await;
    let job = submit(&fleet).await;
    wait_active(&fleet, SLOTS - 1).await;
    let path = format!("/v1/batches/{job}/cancel");
    let answer = fleet.post("entry-2", &path, &[], "").await;
    let (status, view) = answer.expect("an answer");
    let completed = &view["request_counts"]["completed"];
    assert_eq!((status, completed), (200, &json!(0)));
    wait_until("the engine is idle", async || {
        let load = engine_json(&fleet, "/engine/load").await;
        load["active"] == 0 && load["waiting"] == 0
    })
    .await;
    let tokens = count(&fleet, "/engine/counts", "tokens").await;
    assert!(
        tokens < ITEMS as u64 * u64::from(LONG) / 2,
        "{tokens} tokens"
    );
}
