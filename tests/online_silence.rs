//! Connections that hang while new ones work, broken connections, leaving engines and overload.

mod support;

use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_standin::token_text::complete_answer;
use serde_json::{Value, json};
use std::time::Duration;
use support::{TestFleet, chat, streamed_text, wait_until};
use tokio::task::JoinSet;
use tokio::time::sleep;

const CHAT: &str = "/v1/chat/completions";
const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(5));
const TOKENS: u32 = 60;

async fn set_faults(fleet: &TestFleet, engine: usize, faults: Value) {
    let address = fleet.engines[engine].address;
    let call = HttpCall::post(address, "/faults").with_body(faults.to_string());
    let (status, body) = fleet.client.fetch(call, LIMITS).await.expect("an answer");
    assert!(status < 300, "{status} {body:?}");
}

async fn counts(fleet: &TestFleet, engine: usize) -> Value {
    let call = HttpCall::get(fleet.engines[engine].address, "/engine/counts");
    let counts = fleet.client.fetch_json(call, LIMITS).await;
    counts.expect("the engine's counts")
}

/// Opens streams through one instance and checks each answer when it ends.
async fn open(fleet: &TestFleet, count: usize, tokens: u32) -> JoinSet<()> {
    let mut streams = JoinSet::new();
    for index in 0..count {
        let prompt = format!("roof {index}");
        let body = chat(&prompt, tokens, true);
        let answer = fleet.open("entry-1", CHAT, &[], body).await;
        let answer = answer.expect("an answer begins");
        streams.spawn(async move {
            let body = answer.read_all().await.expect("the stream ends in order");
            let body = String::from_utf8(body.to_vec()).expect("text");
            let expected = (complete_answer(&prompt, tokens), true);
            assert_eq!(streamed_text(&body), expected, "{body}");
        });
    }
    streams
}

#[tokio::test]
async fn hung_connections_are_replaced_and_their_streams_resumed() {
    let fleet = TestFleet::start_with(1, 1, &["--step", "20ms"], &[]).await;
    let streams = open(&fleet, 6, TOKENS).await;
    sleep(Duration::from_millis(200)).await;
    set_faults(&fleet, 0, json!({"silence_existing": true})).await;
    streams.join_all().await;
    let counts = counts(&fleet, 0).await;
    assert!(counts["resumes"].as_u64() >= Some(6), "{counts}");
    // Every token was generated once: nothing was run again.
    assert_eq!(counts["tokens"], 6 * TOKENS, "{counts}");
}

#[tokio::test]
async fn streams_lose_no_token_when_connections_break() {
    let fleet = TestFleet::start_with(2, 1, &["--step", "5ms"], &[]).await;
    for engine in 0..2 {
        set_faults(&fleet, engine, json!({"break_after_tokens": 9})).await;
    }
    open(&fleet, 8, TOKENS).await.join_all().await;
}

/// The engine drops the stream's state, so another engine has to generate the answer again.
#[tokio::test]
async fn lost_streams_are_generated_again_on_another_engine() {
    let fleet = TestFleet::start_with(2, 1, &["--step", "5ms"], &[]).await;
    let faults = json!({"break_after_tokens": 9, "lose_broken": true});
    set_faults(&fleet, 0, faults).await;
    open(&fleet, 8, TOKENS).await.join_all().await;
}

/// The engine keeps a stream after its connection has closed, so the instance cancels it by id.
#[tokio::test]
async fn a_stream_is_cancelled_when_its_caller_disconnects() {
    let options = ["--step", "20ms", "--hold", "600s"];
    let fleet = TestFleet::start_with(1, 1, &options, &[]).await;
    let body = chat("roof", 100_000, true);
    let answer = fleet.open("entry-1", CHAT, &[], body).await;
    let mut answer = answer.expect("an answer begins");
    answer.next_chunk().await.expect("a first token");
    drop(answer);
    wait_until("the stream is cancelled", async || {
        counts(&fleet, 0).await["cancels"] == 1
    })
    .await;
}

/// An engine that is leaving gets no new work once its delayed load report says so.
#[tokio::test]
async fn a_leaving_engine_gets_no_new_work_and_finishes_its_own() {
    let fleet = TestFleet::start_with(2, 1, &["--step", "20ms"], &[]).await;
    let streams = open(&fleet, 8, TOKENS).await;
    let order = json!({"id": "leave-1", "fence": 1, "action": {"set_leaving": {"leaving": true}}});
    let call = HttpCall::post(fleet.engines[0].address, "/engine/orders");
    let call = call.with_body(order.to_string());
    let (status, body) = fleet.client.fetch(call, LIMITS).await.expect("an answer");
    assert!(status < 300, "{status} {body:?}");
    streams.join_all().await;
    // Longer than the delay of load reports plus the poll period.
    sleep(Duration::from_secs(2)).await;
    let before = counts(&fleet, 0).await;
    open(&fleet, 20, 4).await.join_all().await;
    assert_eq!(counts(&fleet, 0).await, before);
}

/// Load far beyond the capacity: calls that exceed the queue limit are refused with Retry-After and
/// are not run; all others get complete answers.
#[tokio::test]
async fn overload_is_refused_early_and_refused_calls_are_not_run() {
    const CALLS: u64 = 80;
    let slow = ["--step", "50ms", "--slots", "4"];
    let limit = |settings: &mut Value| settings["tiers"][0]["queue_limit"] = json!(8);
    let fleet = TestFleet::start_configured(1, 1, &slow, &[], limit).await;
    let calls = (0..CALLS).map(|index| {
        let body = chat(&format!("roof {index}"), 50, false);
        fleet.open("entry-1", CHAT, &[], body)
    });
    let answers = futures_util::future::join_all(calls).await;
    let (mut answered, mut refused) = (0, 0);
    for (index, answer) in answers.into_iter().enumerate() {
        let answer = answer.expect("an answer");
        let status = answer.status();
        let retry_after = answer.headers().contains_key("retry-after");
        let body = answer.read_all().await.expect("a complete answer");
        let body: Value = serde_json::from_slice(&body).expect("JSON");
        if status == 200 {
            let text = &body["choices"][0]["message"]["content"];
            assert_eq!(*text, complete_answer(&format!("roof {index}"), 50));
            answered += 1;
            continue;
        }
        assert_eq!((status, retry_after), (429, true), "{body}");
        assert_eq!(body["error"]["ran"], "no");
        refused += 1;
    }
    assert!(
        answered >= 8 && refused >= 20,
        "{answered} answered, {refused} refused"
    );
    // Refused work was not run, and no answer was generated twice.
    let counts = counts(&fleet, 0).await;
    assert_eq!(counts["requests"], answered, "{counts}");
    assert_eq!(counts["tokens"], answered * 50, "{counts}");
}

#[tokio::test]
async fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let fleet = TestFleet::start_with(1, 1, &["--step", "20ms"], &[]).await;
    // Lets the instance measure how long an answer takes.
    open(&fleet, 4, 20).await.join_all().await;
    let before = counts(&fleet, 0).await;
    let headers = [("amaranth-deadline-ms", "1")];
    let body = chat("roof", 20, false);
    let (status, answer) = fleet
        .post("entry-1", CHAT, &headers, body)
        .await
        .expect("an answer");
    assert_eq!(
        (status, &answer["error"]["ran"]),
        (504, &json!("no")),
        "{answer}"
    );
    assert_eq!(answer["error"]["kind"], "deadline_exceeded");
    assert_eq!(counts(&fleet, 0).await, before);
}
