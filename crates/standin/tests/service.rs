//! Tests of the plain service stand-in over HTTP.

mod support;

use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpError};
use amaranth_standin::service::{ServiceProfile, body_hash};
use serde_json::json;
use support::TestStandin;

const KEY_HEADER: &str = "idempotency-key";

fn fast_profile() -> ServiceProfile {
    ServiceProfile {
        time: Duration::from_millis(2),
        ..ServiceProfile::default()
    }
}

#[tokio::test]
async fn answer_echoes_path_body_and_key() {
    let service = TestStandin::service(fast_profile()).await;
    let body = json!({"roof": 17});
    for (path, headers, key, run) in [
        (
            "/v1/services/quotes/17?a=b",
            vec![(KEY_HEADER, "k-1")],
            json!("k-1"),
            1,
        ),
        (
            "/v1/services/quotes/17?a=b",
            vec![(KEY_HEADER, "k-1")],
            json!("k-1"),
            2,
        ),
        ("/", vec![], json!(null), 0),
    ] {
        let answer = service.try_post(path, &headers, &body).await;
        let (status, text) = answer.expect("an answer");
        let answer: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
        let hash = body_hash(body.to_string().as_bytes());
        assert_eq!(status, 200);
        assert_eq!(
            answer,
            json!({"method": "POST", "path": path, "body_hash": hash, "key": key, "run": run,
                "service": "service"})
        );
    }
    let calls = service.get("/service/calls/k-1").await.1;
    assert_eq!(calls["runs"], 2);
    let totals = service.get("/service/calls").await.1;
    assert_eq!(totals, json!({"runs": 3, "repeated": ["k-1"]}));
}

#[tokio::test]
async fn call_with_lost_reply_has_run() {
    let service = TestStandin::service(fast_profile()).await;
    service.faults(json!({"lost_reply_percent": 100})).await;
    let lost = service
        .try_post("/quotes", &[(KEY_HEADER, "k-1")], &json!({}))
        .await;
    assert!(matches!(lost, Err(HttpError::Broken(_))), "{lost:?}");
    let calls = service.get("/service/calls/k-1").await.1;
    assert_eq!(calls["runs"], 1);
    assert!(calls["answer"].is_string());
}

#[tokio::test]
async fn call_completes_after_caller_disconnects() {
    let mut profile = fast_profile();
    profile.time = Duration::from_millis(300);
    let mut service = TestStandin::service(profile).await;
    service.limits = CallLimits::new(Duration::from_millis(50));
    let left = service
        .try_post("/quotes", &[(KEY_HEADER, "k-1")], &json!({}))
        .await;
    assert!(matches!(left, Err(HttpError::TimedOut)), "{left:?}");
    service.limits = CallLimits::new(support::TEST_TIMEOUT);
    let done = |calls: &serde_json::Value| calls["answer"].is_string();
    assert_eq!(service.wait("/service/calls/k-1", done).await["runs"], 1);
}

#[tokio::test]
async fn refused_calls_do_not_run() {
    let service = TestStandin::service(fast_profile()).await;
    let refusals = [
        (json!({"refuse": true}), json!({}), 503),
        (json!({"error_percent": 100}), json!({}), 500),
        (json!({}), json!({"note": "[impossible]"}), 422),
    ];
    for (faults, body, status) in refusals {
        service.faults(faults).await;
        let answer = service
            .try_post("/quotes", &[(KEY_HEADER, "k-1")], &body)
            .await;
        assert_eq!(answer.expect("an answer").0, status);
        assert_eq!(service.get("/service/calls/k-1").await.1["runs"], 0);
    }
}
