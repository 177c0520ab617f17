//! The plain service stand-in over HTTP.

mod support;

use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpError};
use amaranth_standin::service::{ServiceProfile, body_hash};
use serde_json::json;
use support::TestStandin;

const KEY: &str = "idempotency-key";

fn quick() -> ServiceProfile {
    ServiceProfile {
        time: Duration::from_millis(2),
        ..ServiceProfile::default()
    }
}

#[tokio::test]
async fn answers_echo_path_body_and_key() {
    let service = TestStandin::service(quick()).await;
    let body = json!({"roof": 17});
    for (path, headers, key, run) in [
        (
            "/v1/services/quotes/17?a=b",
            vec![(KEY, "k-1")],
            json!("k-1"),
            1,
        ),
        (
            "/v1/services/quotes/17?a=b",
            vec![(KEY, "k-1")],
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
async fn a_call_whose_reply_is_lost_has_run() {
    let service = TestStandin::service(quick()).await;
    service.faults(json!({"lost_reply_percent": 100})).await;
    let lost = service
        .try_post("/quotes", &[(KEY, "k-1")], &json!({}))
        .await;
    assert!(matches!(lost, Err(HttpError::Broken(_))), "{lost:?}");
    let calls = service.get("/service/calls/k-1").await.1;
    assert_eq!(calls["runs"], 1);
    assert!(calls["answer"].is_string());
}

#[tokio::test]
async fn a_call_runs_to_its_end_though_the_caller_left() {
    let mut profile = quick();
    profile.time = Duration::from_millis(300);
    let mut service = TestStandin::service(profile).await;
    service.limits = CallLimits::new(Duration::from_millis(50));
    let left = service
        .try_post("/quotes", &[(KEY, "k-1")], &json!({}))
        .await;
    assert!(matches!(left, Err(HttpError::TimedOut)), "{left:?}");
    service.limits = CallLimits::new(support::PATIENCE);
    let done = |calls: &serde_json::Value| calls["answer"].is_string();
    assert_eq!(service.wait("/service/calls/k-1", done).await["runs"], 1);
}

#[tokio::test]
async fn refused_calls_have_not_run() {
    let service = TestStandin::service(quick()).await;
    let refusals = [
        (json!({"refuse": true}), json!({}), 503),
        (json!({"error_percent": 100}), json!({}), 500),
        (json!({}), json!({"note": "[impossible]"}), 422),
    ];
    for (faults, body, status) in refusals {
        service.faults(faults).await;
        let answer = service.try_post("/quotes", &[(KEY, "k-1")], &body).await;
        assert_eq!(answer.expect("an answer").0, status);
        assert_eq!(service.get("/service/calls/k-1").await.1["runs"], 0);
    }
}
