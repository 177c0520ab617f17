//! Settings on the log change the behaviour of instances, not only what they report.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{TestFleet, batch_lines, chat};
use tokio::time::sleep;

async fn set_value(fleet: &TestFleet, revision: u64, name: &str, value: Value) {
    let change = json!({
        "command": format!("change-{revision}"),
        "author": "ana",
        "expected": revision,
        "name": name,
        "value": value,
    });
    let path = "/v1/operator/config";
    let answer = fleet.post("entry-1", path, &[], change.to_string()).await;
    assert_eq!(answer.expect("an answer").0, 200);
}

#[tokio::test]
async fn a_paused_tier_runs_no_items_until_it_is_resumed() {
    let fleet = TestFleet::start(1, 1).await;
    set_value(&fleet, 0, "tier.shading.batch_paused", json!(true)).await;
    let lines = batch_lines("lot", 10, 1);
    let answer = fleet.post("entry-1", "/v1/batches", &[], lines).await;
    let (_, job) = answer.expect("an answer");
    let id = job["id"].as_str().expect("an id");
    sleep(Duration::from_secs(4)).await;
    let view = fleet.get("entry-1", &format!("/v1/batches/{id}")).await;
    let (_, view) = view.expect("an answer");
    assert_eq!(view["request_counts"]["completed"], 0);
    set_value(&fleet, 1, "tier.shading.batch_paused", json!(false)).await;
    let ended = fleet.wait_job("entry-1", id).await;
    assert_eq!(ended["request_counts"]["completed"], 10);
}

#[tokio::test]
async fn a_queue_limit_of_zero_refuses_calls_that_would_wait() {
    let fleet = TestFleet::start_with(1, 1, &["--step", "50ms"], &[]).await;
    set_value(&fleet, 0, "tier.shading.queue_limit", json!(0)).await;
    let calls = (0..60).map(|index| {
        let body = chat(&format!("roof {index}"), 20, false);
        fleet.post("entry-1", "/v1/chat/completions", &[], body)
    });
    let answers = futures_util::future::join_all(calls).await;
    let statuses: Vec<_> = answers
        .into_iter()
        .map(|a| a.expect("an answer").0)
        .collect();
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(statuses.contains(&429), "{statuses:?}");
}
