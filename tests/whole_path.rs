//! End-to-end tests with separate processes: online, batch, configuration, and the loss of an
//! instance.

mod support;

use amaranth_standin::token_text::complete_answer;
use serde_json::{Value, json};
use support::{TestFleet, batch_lines, chat, streamed_text, wait_until};

const CHAT: &str = "/v1/chat/completions";

fn check_results(lines: &str, prefix: &str, items: usize, tokens: u32) {
    let lines: Vec<Value> = lines
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"))
        .collect();
    assert_eq!(lines.len(), items);
    for (index, line) in lines.iter().enumerate() {
        assert_eq!(line["custom_id"], format!("{prefix}-{index}"));
        let text = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(*text, complete_answer(&format!("{prefix} {index}"), tokens));
    }
}

#[tokio::test]
async fn online_answers_are_complete() {
    let fleet = TestFleet::start(2, 3).await;
    let (status, answer) = fleet
        .post("entry-1", CHAT, &[], chat("roof 17", 8, false))
        .await
        .expect("an answer");
    assert_eq!(status, 200);
    let text = &answer["choices"][0]["message"]["content"];
    assert_eq!(*text, complete_answer("roof 17", 8));

    let answer = fleet
        .open("entry-2", CHAT, &[], chat("roof 18", 8, true))
        .await;
    let body = answer
        .expect("an answer")
        .read_all()
        .await
        .expect("a complete stream");
    let body = String::from_utf8(body.to_vec()).expect("text");
    assert_eq!(streamed_text(&body), (complete_answer("roof 18", 8), true));
}

#[tokio::test]
async fn batch_results_are_read_from_another_instance() {
    let fleet = TestFleet::start(2, 3).await;
    let (status, job) = fleet
        .post("entry-1", "/v1/batches", &[], batch_lines("lot", 40, 2))
        .await
        .expect("an answer");
    assert_eq!(status, 200, "{job}");
    let id = job["id"].as_str().expect("an id");
    let ended = fleet.wait_job("entry-3", id).await;
    assert_eq!(
        ended["request_counts"],
        json!({"total": 40, "completed": 40, "failed": 0})
    );
    let results = fleet
        .get_text("entry-2", &format!("/v1/batches/{id}/results"))
        .await;
    check_results(&results, "lot", 40, 2);
}

#[tokio::test]
async fn a_setting_is_in_force_on_every_instance() {
    let fleet = TestFleet::start(1, 3).await;
    let change = json!({
        "command": "change-1",
        "author": "ana",
        "expected": 0,
        "name": "tier.shading.queue_limit",
        "value": 40,
    });
    let (status, answer) = fleet
        .post("entry-2", "/v1/operator/config", &[], change.to_string())
        .await
        .expect("an answer");
    assert_eq!((status, &answer["revision"]), (200, &json!(1)));
    for name in ["entry-1", "entry-2", "entry-3"] {
        wait_until("the setting is in force", async || {
            let config = fleet.get(name, "/v1/operator/config").await;
            config.is_ok_and(|(_, c)| c["values"]["tier.shading.queue_limit"] == 40)
        })
        .await;
    }
}

#[tokio::test]
async fn a_job_survives_the_loss_of_any_instance() {
    let mut fleet = TestFleet::start(2, 3).await;
    let key = [("idempotency-key", "lot-7")];
    let lines = batch_lines("lot", 300, 2);
    let (status, job) = fleet
        .post("entry-1", "/v1/batches", &key, lines.clone())
        .await
        .expect("an answer");
    assert_eq!(status, 200, "{job}");
    fleet.kill("entry-1");
    let (status, again) = fleet
        .post("entry-2", "/v1/batches", &key, lines)
        .await
        .expect("an answer");
    assert_eq!((status, &again["id"]), (200, &job["id"]));
    let id = job["id"].as_str().expect("an id");
    let ended = fleet.wait_job("entry-3", id).await;
    assert_eq!(
        ended["request_counts"],
        json!({"total": 300, "completed": 300, "failed": 0})
    );
    let results = fleet
        .get_text("entry-2", &format!("/v1/batches/{id}/results"))
        .await;
    check_results(&results, "lot", 300, 2);
}
