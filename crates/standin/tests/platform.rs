//! Tests of the platform stand-in over HTTP, and unit tests of its log and list.

mod support;

use std::time::{Duration, Instant};

use amaranth_net::client::{HttpCall, HttpError};
use amaranth_standin::lagging_list::LaggingList;
use amaranth_standin::log_store::{AppendOutcome, LogLimits, LogStore};
use amaranth_standin::platform::PlatformProfile;
use amaranth_standin::platform_cli::default_profile;
use amaranth_wire::id::LogOffset;
use amaranth_wire::platform::ReadReply;
use serde_json::json;
use support::TestStandin;

const LIMITS: LogLimits = LogLimits {
    appends_per_second: 3,
    retention_ms: 1_000,
    max_entry_bytes: 4,
};

#[test]
fn log_limits_append_rate_and_entry_size() {
    let mut log = LogStore::new(LIMITS);
    let appended = |offset| AppendOutcome::Appended(LogOffset(offset));
    let cases = [
        (5_000, "a", appended(0)),
        (5_400, "b", appended(1)),
        (5_500, "large", AppendOutcome::TooLarge),
        (5_999, "c", appended(2)),
        (5_999, "d", AppendOutcome::RateLimited),
        (6_000, "e", appended(3)),
    ];
    for (now_ms, entry, outcome) in cases {
        assert_eq!(log.append(entry.into(), now_ms), outcome, "{entry}");
    }
}

#[test]
fn log_drops_entries_after_retention() {
    let mut log = LogStore::new(LIMITS);
    log.append("a".into(), 5_000);
    log.append("b".into(), 5_600);
    let texts = |log: &mut LogStore, now_ms| {
        let entries = log.read(LogOffset(0), 10, 1 << 20, now_ms);
        let bytes: Vec<u8> = entries.into_iter().flat_map(|e| e.bytes).collect();
        (
            String::from_utf8(bytes).expect("text"),
            log.oldest().0,
            log.head().0,
        )
    };
    assert_eq!(texts(&mut log, 6_000), ("ab".to_owned(), 0, 2));
    assert_eq!(texts(&mut log, 6_001), ("b".to_owned(), 1, 2));
    assert_eq!(texts(&mut log, 7_000), (String::new(), 2, 2));
}

#[test]
fn list_shows_changes_after_lag_and_expires_rows() {
    let mut list = LaggingList::new(1_000, Some(5_000));
    list.report("entry-1", "live", 10_000);
    assert!(list.visible(10_999).is_empty());
    assert_eq!(list.visible(11_000), ["live"]);
    list.report("entry-1", "leaving", 12_000);
    assert_eq!(list.visible(12_999), ["live"]);
    assert_eq!(list.visible(13_000), ["leaving"]);
    list.expire(16_999);
    assert_eq!(list.visible(16_999), ["leaving"]);
    list.expire(17_000);
    assert!(list.visible(17_000).is_empty());
}

async fn append(platform: &TestStandin, text: &str) -> Result<u16, HttpError> {
    let call = HttpCall::post(platform.address, "/log/append").with_body(text.to_owned());
    let answer = platform.client.fetch(call, platform.limits).await;
    answer.map(|(status, _)| status)
}

async fn read(platform: &TestStandin) -> Result<ReadReply, HttpError> {
    let call = HttpCall::get(platform.address, "/log/read?from=0&max=100&wait_ms=0");
    platform.client.fetch_message(call, platform.limits).await
}

#[tokio::test]
async fn append_with_lost_reply_is_stored() {
    let platform = TestStandin::platform(default_profile()).await;
    platform.faults(json!({"lost_reply_percent": 100})).await;
    let lost = append(&platform, "a").await;
    assert!(matches!(lost, Err(HttpError::Broken(_))), "{lost:?}");
    assert_eq!(read(&platform).await.expect("a reply").entries.len(), 1);
}

#[tokio::test]
async fn log_outages_refuse_the_affected_calls() {
    let platform = TestStandin::platform(default_profile()).await;
    for (faults, appended, readable) in [
        (json!({"outage": true}), 503, false),
        (json!({"appends_down": true}), 503, true),
        (json!({}), 200, true),
    ] {
        platform.faults(faults).await;
        assert_eq!(append(&platform, "a").await.expect("an answer"), appended);
        assert_eq!(read(&platform).await.is_ok(), readable);
    }
}

#[tokio::test]
async fn upstreams_are_listed_with_leaving_state() {
    let profile = PlatformProfile {
        list_lag_ms: 200,
        ..default_profile()
    };
    let platform = TestStandin::platform(profile).await;
    for leaving in [false, true] {
        let row = json!({"upstream": "sketch-llm-1", "leaving": leaving});
        assert_eq!(platform.post("/list/upstreams", &row).await.0, 204);
        platform
            .wait("/list/upstreams", |rows| *rows == json!([row]))
            .await;
    }
}

#[tokio::test]
async fn weight_store_readers_share_its_rate() {
    let mut profile = default_profile();
    profile.weights.model_bytes = 200_000;
    profile.weights.bytes_per_second = 1_000_000;
    let platform = TestStandin::platform(profile).await;
    let read = || async {
        let call = HttpCall::get(platform.address, "/weights/sketch-llm/2");
        let answer = platform.client.fetch(call, platform.limits).await;
        answer.expect("an answer").1.len()
    };
    let start = Instant::now();
    let sizes = tokio::join!(read(), read());
    assert_eq!(sizes, (200_000, 200_000));
    // Two downloads of 200 kB at a shared 1 MB/s take at least 400 ms on any machine.
    assert!(start.elapsed() >= Duration::from_millis(390), "too fast");
    platform.faults(json!({"weights_missing": ["2"]})).await;
    assert_eq!(platform.get("/weights/sketch-llm/2").await.0, 404);
}
