//! Online requests while upstreams crash or stop responding and callers disconnect.

mod support;

use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_standin::token_text::complete_answer;
use serde_json::Value;
use support::{TestFleet, chat, streamed_text, wait_until};
use tokio::task::JoinSet;
use tokio::time::sleep;

const CHAT: &str = "/v1/chat/completions";
const SLOW_STEP: [&str; 2] = ["--step", "20ms"];
/// Tokens of an answer that is still running when the fault occurs.
const TOKENS: u32 = 60;

/// Opens streams on one instance and returns their bodies as they end.
async fn open_streams(
    fleet: &TestFleet,
    count: usize,
    headers: &[(&'static str, &str)],
) -> JoinSet<(String, String)> {
    let mut streams = JoinSet::new();
    for index in 0..count {
        let prompt = format!("roof {index}");
        let body = chat(&prompt, TOKENS, true);
        let answer = fleet.open("entry-1", CHAT, headers, body).await;
        let answer = answer.expect("an answer begins");
        assert_eq!(answer.status(), 200);
        streams.spawn(async move {
            let body = answer.read_all().await.expect("the stream ends in order");
            (prompt, String::from_utf8(body.to_vec()).expect("text"))
        });
    }
    streams
}

async fn check_complete(streams: JoinSet<(String, String)>) {
    for (prompt, body) in streams.join_all().await {
        let (text, ended) = streamed_text(&body);
        assert_eq!(
            (text, ended),
            (complete_answer(&prompt, TOKENS), true),
            "{body}"
        );
    }
}

#[tokio::test]
async fn streams_are_complete_when_their_engine_dies() {
    let fleet = TestFleet::start_with(3, 1, &SLOW_STEP, &[]).await;
    let streams = open_streams(&fleet, 9, &[]).await;
    sleep(Duration::from_millis(300)).await;
    fleet.engines[0].signal("KILL");
    check_complete(streams).await;
}

#[tokio::test]
async fn streams_are_complete_when_their_engine_hangs() {
    let fleet = TestFleet::start_with(3, 1, &SLOW_STEP, &[]).await;
    let streams = open_streams(&fleet, 9, &[]).await;
    sleep(Duration::from_millis(300)).await;
    fleet.engines[0].signal("STOP");
    check_complete(streams).await;
}

#[tokio::test]
async fn unstreamed_answers_are_complete_when_an_engine_dies() {
    let fleet = TestFleet::start_with(3, 1, &SLOW_STEP, &[]).await;
    let calls = (0..9).map(|index| {
        let body = chat(&format!("roof {index}"), 30, false);
        fleet.post("entry-1", CHAT, &[], body)
    });
    let kill = async {
        sleep(Duration::from_millis(300)).await;
        fleet.engines[0].signal("KILL");
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), kill);
    for (index, answer) in answers.into_iter().enumerate() {
        let (status, answer) = answer.expect("an answer");
        let text = &answer["choices"][0]["message"]["content"];
        assert_eq!(status, 200, "{answer}");
        assert_eq!(*text, complete_answer(&format!("roof {index}"), 30));
    }
}

/// The tokens received are a prefix of the answer, and the last event is an error that says the
/// work may have run. The work is not sent to another engine.
#[tokio::test]
async fn a_stream_that_may_not_be_repeated_ends_in_a_typed_error() {
    let fleet = TestFleet::start_with(2, 1, &SLOW_STEP, &[]).await;
    let streams = open_streams(&fleet, 8, &[("amaranth-repeatable", "false")]).await;
    sleep(Duration::from_millis(300)).await;
    fleet.engines[0].signal("KILL");
    let mut broken = 0;
    for (prompt, body) in streams.join_all().await {
        let (text, ended) = streamed_text(&body);
        assert!(
            complete_answer(&prompt, TOKENS).starts_with(&text),
            "{body}"
        );
        if !ended {
            let last = body.trim_end().rsplit("data: ").next().unwrap_or("");
            let last: Value = serde_json::from_str(last).expect("an error event");
            assert_eq!(last["error"]["kind"], "upstream_failed");
            assert_eq!(last["error"]["ran"], "unknown");
            broken += 1;
        }
    }
    assert!(broken > 0, "the fault met no stream");
}

#[tokio::test]
async fn a_call_is_refused_as_not_run_when_no_engine_is_reachable() {
    let mut fleet = TestFleet::start(1, 1).await;
    fleet.engines[0].signal("KILL");
    fleet.engines[0].wait();
    let (status, answer) = fleet
        .post("entry-1", CHAT, &[], chat("roof", 4, false))
        .await
        .expect("an answer");
    assert_eq!(status, 502, "{answer}");
    assert_eq!(answer["error"]["ran"], "no", "{answer}");
}

#[tokio::test]
async fn a_deadline_ends_a_stream_with_a_typed_error() {
    let fleet = TestFleet::start_with(1, 1, &SLOW_STEP, &[]).await;
    let headers = [("amaranth-deadline-ms", "400")];
    let streams = open_streams(&fleet, 1, &headers).await;
    let (prompt, body) = streams.join_all().await.remove(0);
    let (text, ended) = streamed_text(&body);
    assert!(!ended && complete_answer(&prompt, TOKENS).starts_with(&text));
    assert!(body.contains("\"deadline_missed\""), "{body}");
    wait_idle(&fleet).await;
}

#[tokio::test]
async fn an_engine_is_idle_after_its_caller_disconnects() {
    let fleet = TestFleet::start_with(1, 1, &SLOW_STEP, &[]).await;
    let body = chat("roof", 100_000, true);
    let mut answer = fleet
        .open("entry-1", CHAT, &[], body)
        .await
        .expect("an answer");
    answer.next_chunk().await.expect("a first token");
    wait_until("the engine works", async || active(&fleet).await > 0).await;
    drop(answer);
    wait_idle(&fleet).await;
}

#[tokio::test]
async fn a_slow_caller_gets_the_complete_answer() {
    let fleet = TestFleet::start(1, 1).await;
    let tokens = 2_000;
    let body = chat("roof", tokens, true);
    let mut answer = fleet
        .open("entry-1", CHAT, &[], body)
        .await
        .expect("an answer");
    let mut received = Vec::new();
    // Longer than the timeout between two tokens of an upstream.
    sleep(Duration::from_secs(3)).await;
    while let Some(chunk) = answer.next_chunk().await.expect("the stream goes on") {
        received.extend_from_slice(&chunk);
    }
    let body = String::from_utf8(received).expect("text");
    assert_eq!(
        streamed_text(&body),
        (complete_answer("roof", tokens), true)
    );
}

async fn active(fleet: &TestFleet) -> u64 {
    let limits = CallLimits::new(Duration::from_secs(5));
    let call = HttpCall::get(fleet.engines[0].address, "/engine/load");
    let load: Value = fleet
        .client
        .fetch_json(call, limits)
        .await
        .expect("a report");
    load["active"].as_u64().expect("a count")
}

async fn wait_idle(fleet: &TestFleet) {
    wait_until("the engine is idle", async || active(fleet).await == 0).await;
}
