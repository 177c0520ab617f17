//! Tests of the engine stand-in over HTTP.

mod support;

use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpClient, HttpError};
use amaranth_standin::engine::EngineProfile;
use amaranth_standin::token_text::{complete_answer, token_at};
use serde_json::{Value, json};
use support::{ReadEvents, TestStandin, chat};

const CHAT_PATH: &str = "/v1/chat/completions";
const STREAM_ID_HEADER: &str = "amaranth-stream-id";
const SHARD_FENCE_HEADER: &str = "amaranth-shard-fence";

fn fast_profile() -> EngineProfile {
    let mut profile = EngineProfile::default();
    profile.speed.step = Duration::from_millis(2);
    profile.order_time = Duration::from_millis(5);
    profile.report_lag = Duration::ZERO;
    profile.cache.event_lag_ms = 0;
    profile.cache.event_loss_percent = 0;
    profile
}

fn expected_tokens(prompt: &str, from: u32, to: u32) -> Vec<(u32, String)> {
    (from..to).map(|i| (i, token_at(prompt, i))).collect()
}

#[tokio::test]
async fn both_endpoints_answer_whole_and_chat_also_streamed() {
    let engine = TestStandin::engine(fast_profile()).await;
    let (status, answer) = engine.post(CHAT_PATH, &chat("roof 17", 5, false)).await;
    assert_eq!(status, 200);
    let text = &answer["choices"][0]["message"]["content"];
    assert_eq!(*text, complete_answer("roof 17", 5));
    assert_eq!(answer["usage"]["completion_tokens"], 5);

    let body = json!({"model": "sketch-llm", "prompt": "roof 18", "max_tokens": 3});
    let (status, answer) = engine.post("/v1/completions", &body).await;
    assert_eq!(status, 200);
    assert_eq!(answer["choices"][0]["text"], complete_answer("roof 18", 3));

    let mut answer = engine.open(CHAT_PATH, &[], &chat("roof 19", 6, true)).await;
    let events = ReadEvents::read(answer.as_mut().expect("an answer"), usize::MAX).await;
    assert_eq!(events.tokens, expected_tokens("roof 19", 0, 6));
    assert!(events.done && !events.broken);
}

#[tokio::test]
async fn invalid_requests_get_status_and_error_kind() {
    let engine = TestStandin::engine(fast_profile()).await;
    let cases = [
        (json!({"model": "sketch-llm"}), 400, "invalid_request"),
        (
            json!({"model": "other", "messages": []}),
            404,
            "unknown_target",
        ),
        (
            chat("roof [impossible]", 4, false),
            422,
            "upstream_rejected",
        ),
        (chat("roof [impossible]", 4, true), 422, "upstream_rejected"),
    ];
    for (body, status, kind) in cases {
        let answer = engine.post(CHAT_PATH, &body).await;
        assert_eq!(
            (answer.0, &answer.1["error"]["kind"]),
            (status, &json!(kind))
        );
        assert_eq!(answer.1["error"]["ran"], "no");
    }
    let (status, _) = engine
        .post("/faults", &json!({"no_such_fault": true}))
        .await;
    assert_eq!(status, 400);
}

#[tokio::test]
async fn resumed_stream_sends_exactly_the_missing_tokens() {
    let engine = TestStandin::engine(fast_profile()).await;
    engine.faults(json!({"break_after_tokens": 4})).await;
    let mut first = engine
        .open(
            CHAT_PATH,
            &[(STREAM_ID_HEADER, "s-1")],
            &chat("roof 20", 10, true),
        )
        .await
        .expect("an answer");
    let broken = ReadEvents::read(&mut first, usize::MAX).await;
    assert_eq!(broken.tokens, expected_tokens("roof 20", 0, 4));
    assert!(broken.broken && !broken.done);

    engine.faults(json!({})).await;
    let mut rest = engine.resume("s-1", "3").await.expect("an answer");
    let rest = ReadEvents::read(&mut rest, usize::MAX).await;
    assert_eq!(rest.tokens, expected_tokens("roof 20", 4, 10));
    assert!(rest.done);

    let (_, counts) = engine.get("/engine/counts").await;
    assert_eq!(
        (&counts["resumes"], &counts["started"]["s-1"]),
        (&json!(1), &json!(1))
    );
    let again = engine
        .try_post(
            CHAT_PATH,
            &[(STREAM_ID_HEADER, "s-1")],
            &chat("roof 20", 10, true),
        )
        .await
        .expect("an answer");
    assert_eq!(again.0, 409, "a name is used once");
}

#[tokio::test]
async fn stream_without_reader_ends_after_retention() {
    let mut profile = fast_profile();
    profile.stream_retention = Duration::from_millis(50);
    profile.speed.step = Duration::from_millis(20);
    let engine = TestStandin::engine(profile).await;
    for (headers, kept) in [(vec![(STREAM_ID_HEADER, "s-1")], true), (vec![], false)] {
        let mut answer = engine
            .open(CHAT_PATH, &headers, &chat("roof 21", 100_000, true))
            .await
            .expect("an answer");
        ReadEvents::read(&mut answer, 2).await;
        drop(answer);
        engine
            .wait("/engine/load", |load| load["active"] == 0)
            .await;
        if kept {
            let resumed = engine.resume("s-1", "1").await.expect("an answer");
            assert_eq!(resumed.status(), 404);
        }
    }
}

#[tokio::test]
async fn cancelled_stream_frees_its_slot_without_end_marker() {
    let mut profile = fast_profile();
    profile.speed.slots = 1;
    let engine = TestStandin::engine(profile).await;
    let mut first = engine
        .open(
            CHAT_PATH,
            &[(STREAM_ID_HEADER, "s-1")],
            &chat("roof 22", 100_000, true),
        )
        .await
        .expect("an answer");
    ReadEvents::read(&mut first, 2).await;
    let waiting = chat("roof 23", 2, false);
    let (second, cancelled) = tokio::join!(engine.post(CHAT_PATH, &waiting), async {
        engine
            .wait("/engine/load", |load| load["waiting"] == 1)
            .await;
        engine.post("/engine/streams/s-1/cancel", &json!({})).await
    });
    assert_eq!(second.0, 200);
    assert_eq!(
        (cancelled.0, &cancelled.1["end"]),
        (200, &json!("cancelled"))
    );
    let rest = ReadEvents::read(&mut first, usize::MAX).await;
    assert_eq!(
        (rest.finish.as_deref(), rest.done),
        (Some("cancelled"), false)
    );
}

#[tokio::test]
async fn exported_stream_continues_on_another_engine() {
    let (from, to) = (
        TestStandin::engine(fast_profile()).await,
        TestStandin::engine(fast_profile()).await,
    );
    let mut first = from
        .open(
            CHAT_PATH,
            &[(STREAM_ID_HEADER, "s-1")],
            &chat("roof 24", 400, true),
        )
        .await
        .expect("an answer");
    let first_tokens = ReadEvents::read(&mut first, 3).await;
    let exported = from
        .try_post("/engine/streams/s-1/export", &[], &json!({}))
        .await
        .expect("an export");
    assert_eq!(exported.0, 200);
    let last = first_tokens.tokens.last().expect("a token").0.to_string();
    let headers = [(STREAM_ID_HEADER, "s-1"), ("last-event-id", last.as_str())];
    let import = amaranth_net::client::HttpCall::post(to.address, "/engine/import")
        .with_headers(
            headers
                .iter()
                .map(|(name, value)| {
                    (
                        http::HeaderName::from_static(name),
                        http::HeaderValue::from_str(value).expect("a plain value"),
                    )
                })
                .collect(),
        )
        .with_body(exported.1);
    let mut rest = to.client.send(import, to.limits).await.expect("an answer");
    let rest = ReadEvents::read(&mut rest, usize::MAX).await;
    let mut tokens = first_tokens.tokens;
    tokens.extend(rest.tokens);
    assert_eq!(tokens, expected_tokens("roof 24", 0, 400));
    assert!(rest.done);
}

fn order_body(id: &str, fence: u64, action: Value) -> Value {
    json!({"id": id, "fence": fence, "action": action})
}

#[tokio::test]
async fn stale_fencing_tokens_are_rejected_only_if_checked() {
    for (checks_fencing, status, fence) in [(true, 409, 7), (false, 202, 0)] {
        let profile = EngineProfile {
            checks_fencing,
            ..fast_profile()
        };
        let engine = TestStandin::engine(profile).await;
        let leave = json!({"set_leaving": {"leaving": true}});
        let stay = json!({"set_leaving": {"leaving": false}});
        assert_eq!(
            engine
                .post("/engine/orders", &order_body("a", 7, leave))
                .await
                .0,
            202
        );
        engine
            .wait("/engine/status", |s| s["last_order"] == "a")
            .await;
        let late = engine
            .post("/engine/orders", &order_body("b", 6, stay))
            .await;
        assert_eq!(late.0, status);
        let state = engine.wait("/engine/status", |s| s["busy"] == false).await;
        assert_eq!(
            (&state["leaving"], &state["fence"]),
            (&json!(checks_fencing), &json!(fence))
        );
    }
}

#[tokio::test]
async fn resent_order_after_lost_reply_executes_once() {
    let engine = TestStandin::engine(fast_profile()).await;
    engine.faults(json!({"lose_order_replies": true})).await;
    let load = order_body(
        "a",
        1,
        json!({"load_model": {"model": "sketch-llm", "version": "2"}}),
    );
    let lost = engine.try_post("/engine/orders", &[], &load).await;
    assert!(matches!(lost, Err(HttpError::Broken(_))), "{lost:?}");
    engine
        .wait("/engine/status", |s| s["last_order"] == "a")
        .await;
    engine.faults(json!({})).await;
    let (status, state) = engine.post("/engine/orders", &load).await;
    assert_eq!((status, &state["version"]), (202, &json!("2")));
    assert_eq!(state["busy"], false, "the resent order began again");
    let leave = order_body("b", 1, json!({"set_leaving": {"leaving": true}}));
    assert_eq!(engine.post("/engine/orders", &leave).await.0, 202);
    engine
        .wait("/engine/status", |s| s["last_order"] == "b")
        .await;
    assert_eq!(engine.get("/engine/counts").await.1["orders"], 2);
}

#[tokio::test]
async fn silenced_connections_time_out_while_new_ones_work() {
    let engine = TestStandin::engine(fast_profile()).await;
    let mut open = engine
        .open(CHAT_PATH, &[], &chat("roof 25", 100_000, true))
        .await
        .expect("an answer");
    ReadEvents::read(&mut open, 1).await;
    engine.faults(json!({"silence_existing": true})).await;
    let short_timeout = CallLimits::new(Duration::from_millis(300));
    let fresh = HttpClient::new(Duration::from_secs(1));
    let call = || amaranth_net::client::HttpCall::get(engine.address, "/livez");
    let old = engine.client.fetch(call(), short_timeout).await;
    assert!(matches!(old, Err(HttpError::TimedOut)), "{old:?}");
    let new = fresh.fetch(call(), engine.limits).await;
    assert_eq!(new.expect("an answer").0, 200);
}

#[tokio::test]
async fn cache_events_report_stored_and_evicted_blocks() {
    let mut profile = fast_profile();
    profile.cache.blocks = 4;
    let engine = TestStandin::engine(profile).await;
    for prompt in ["a".repeat(256), "b".repeat(256)] {
        assert_eq!(
            engine.post(CHAT_PATH, &chat(&prompt, 1, false)).await.0,
            200
        );
    }
    let (_, events) = engine.get("/engine/cache-events?from=0").await;
    let stored = |wanted| {
        let events = events["events"].as_array().expect("events");
        events
            .iter()
            .filter(|event| event["stored"] == wanted)
            .count()
    };
    assert_eq!((stored(true), stored(false)), (8, 4));
    assert_eq!(events["next"], 12);
}

/// An item is refused if a newer owner of its shard has sent one to the engine.
#[tokio::test]
async fn items_of_a_former_owner_of_a_shard_are_refused() {
    let cases = [
        (
            true,
            ["1:5", "1:5", "1:4", "2:4", "1:6"],
            [200, 200, 503, 200, 200],
        ),
        (false, ["1:5", "1:5", "1:4", "2:4", "1:6"], [200; 5]),
        (
            true,
            ["1:5", "x", "1", "1:", ":5"],
            [200, 400, 400, 400, 400],
        ),
    ];
    for (checks_fencing, fences, statuses) in cases {
        let mut profile = fast_profile();
        profile.checks_fencing = checks_fencing;
        let engine = TestStandin::engine(profile).await;
        for (fence, status) in fences.iter().zip(statuses) {
            let headers = [(SHARD_FENCE_HEADER, *fence)];
            let body = chat("roof 1", 2, false);
            let answer = engine.try_post(CHAT_PATH, &headers, &body).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.0, status, "{fences:?} {fence:?}");
        }
    }
}
