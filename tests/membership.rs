//! Instances detect the loss of others without the platform's list.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{TestFleet, batch_lines, chat, wait_until};

#[tokio::test]
async fn jobs_of_a_lost_instance_move_while_the_list_is_stale() {
    let mut fleet = TestFleet::start(2, 4).await;
    fleet.platform_faults(json!({"list_frozen": true})).await;
    fleet.kill("entry-4");
    // Enough jobs that some belong to shards whose preferred owner is the lost instance.
    let mut jobs = Vec::new();
    for index in 0..12 {
        let lines = batch_lines(&format!("lot-{index}"), 3, 1);
        let (status, job) = fleet
            .post("entry-1", "/v1/batches", &[], lines)
            .await
            .expect("an answer");
        assert_eq!(status, 200, "{job}");
        jobs.push(job["id"].as_str().expect("an id").to_owned());
    }
    for job in &jobs {
        let ended = fleet.wait_job("entry-2", job).await;
        assert_eq!(ended["request_counts"]["completed"], 3);
    }
}

#[tokio::test]
async fn an_instance_that_is_cut_off_refuses_new_work_until_it_is_back() {
    let fleet = TestFleet::start(1, 3).await;
    let others = [
        &fleet.platform,
        &fleet.entries["entry-2"],
        &fleet.entries["entry-3"],
    ];
    others.iter().for_each(|process| process.signal("STOP"));
    wait_until("entry-1 is not ready", async || {
        matches!(fleet.get("entry-1", "/readyz").await, Ok((503, _)))
    })
    .await;
    let body = chat("roof 17", 2, false);
    let answer = fleet
        .post("entry-1", "/v1/chat/completions", &[], body)
        .await;
    let (status, answer) = answer.expect("an answer");
    assert_eq!(
        (status, &answer["error"]["kind"]),
        (503, &json!("not_ready"))
    );
    assert_eq!(answer["error"]["ran"], "no");
    others.iter().for_each(|process| process.signal("CONT"));
    fleet.wait_ready("entry-1").await;
    let body = chat("roof 17", 2, false);
    let answer = fleet
        .post("entry-1", "/v1/chat/completions", &[], body)
        .await;
    assert_eq!(answer.expect("an answer").0, 200);
}

#[tokio::test]
async fn online_requests_succeed_during_a_log_outage() {
    let fleet = TestFleet::start(1, 3).await;
    fleet.platform_faults(json!({"outage": true})).await;
    tokio::time::sleep(Duration::from_secs(25)).await;
    for name in ["entry-1", "entry-2", "entry-3"] {
        let body = chat("roof 18", 2, false);
        let answer = fleet.post(name, "/v1/chat/completions", &[], body).await;
        assert_eq!(answer.expect("an answer").0, 200, "{name}");
    }
}
