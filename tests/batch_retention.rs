//! Batch jobs and configuration on a log with a retention of a few seconds.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{TestFleet, batch_lines, wait_until};
use tokio::time::sleep;

const ITEMS: usize = 60;
/// Longer than the log's retention of 8 s.
const BEYOND_RETENTION: Duration = Duration::from_secs(14);
const NAMES: [&str; 2] = ["entry-1", "entry-2"];

async fn start() -> TestFleet {
    let platform = ["--retention", "8s"];
    TestFleet::start_with(1, 2, &["--step", "20ms"], &platform).await
}

async fn submit(fleet: &TestFleet, name: &str, items: usize, tokens: u32) -> String {
    let headers = [("idempotency-key", "lot-1")];
    let lines = batch_lines("lot", items, tokens);
    let answer = fleet.post(name, "/v1/batches", &headers, lines).await;
    let (status, job) = answer.expect("an answer");
    assert_eq!(status, 200, "{job}");
    job["id"].as_str().expect("an id").to_owned()
}

async fn set_limit(fleet: &TestFleet, name: &str) {
    let change = json!({
        "command": "change-1",
        "author": "ana",
        "expected": 0,
        "name": "tier.shading.queue_limit",
        "value": 40,
    });
    let path = "/v1/operator/config";
    let answer = fleet.post(name, path, &[], change.to_string()).await;
    assert_eq!(answer.expect("an answer").0, 200);
}

async fn check_results_and_config(
    fleet: &TestFleet,
    name: &str,
    job: &str,
    items: usize,
    tokens: u32,
) {
    let ended = fleet.wait_job(name, job).await;
    let counts = json!({"total": items, "completed": items, "failed": 0});
    assert_eq!(ended["request_counts"], counts, "on {name}");
    let path = format!("/v1/batches/{job}/results");
    let lines = fleet.get_text(name, &path).await;
    assert_eq!(lines.lines().count(), items, "on {name}");
    for (index, line) in lines.lines().enumerate() {
        let line: Value = serde_json::from_str(line).expect("a JSON line");
        assert_eq!(line["custom_id"], format!("lot-{index}"));
    }
    assert_eq!(submit(fleet, name, items, tokens).await, job);
    let config = fleet.get(name, "/v1/operator/config").await;
    let (_, config) = config.expect("an answer");
    assert_eq!(config["values"]["tier.shading.queue_limit"], 40);
}

#[tokio::test]
async fn results_and_configuration_survive_log_retention_and_restarts() {
    let mut fleet = start().await;
    set_limit(&fleet, "entry-1").await;
    let job = submit(&fleet, "entry-1", ITEMS, 2).await;
    fleet.wait_job("entry-2", &job).await;
    sleep(BEYOND_RETENTION).await;
    for name in NAMES {
        fleet.kill(name);
        fleet.start_entry(name);
        fleet.wait_ready(name).await;
        check_results_and_config(&fleet, name, &job, ITEMS, 2).await;
    }
    sleep(BEYOND_RETENTION).await;
    NAMES.iter().for_each(|name| fleet.kill(name));
    NAMES.iter().for_each(|name| fleet.start_entry(name));
    for name in NAMES {
        fleet.wait_ready(name).await;
        check_results_and_config(&fleet, name, &job, ITEMS, 2).await;
    }
}

#[tokio::test]
async fn a_job_completes_when_it_runs_longer_than_the_log_retention() {
    let fleet = start().await;
    set_limit(&fleet, "entry-1").await;
    let job = submit(&fleet, "entry-1", 320, 40).await;
    sleep(BEYOND_RETENTION).await;
    // One of them did not run the job and has to read all results from the log.
    for name in NAMES {
        check_results_and_config(&fleet, name, &job, 320, 40).await;
    }
}

#[tokio::test]
async fn an_instance_that_starts_in_an_outage_takes_state_from_a_peer() {
    let mut fleet = start().await;
    set_limit(&fleet, "entry-1").await;
    fleet.platform_faults(json!({"outage": true})).await;
    fleet.kill("entry-2");
    fleet.start_entry("entry-2");
    fleet.wait_ready("entry-2").await;
    wait_until("the setting is in force", async || {
        let config = fleet.get("entry-2", "/v1/operator/config").await;
        config.is_ok_and(|(_, c)| c["values"]["tier.shading.queue_limit"] == 40)
    })
    .await;
    let lines = batch_lines("lot", 3, 2);
    let answer = fleet.post("entry-2", "/v1/batches", &[], lines).await;
    let (status, refusal) = answer.expect("an answer");
    assert_eq!((status, &refusal["error"]["ran"]), (503, &json!("no")));
}
