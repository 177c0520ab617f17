//! Requests with an idempotency key: any instance returns the stored answer, calls that may not be
//! repeated run at most once, and results survive the loss or stop of an instance.

mod support;

use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_standin::token_text::complete_answer;
use serde_json::{Value, json};
use support::{TestFleet, TestProcess, chat, streamed_text, wait_until};
use tokio::time::sleep;

const CHAT: &str = "/v1/chat/completions";
const QUOTE: &str = "/v1/services/desk/quote";
const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(5));
const UNREPEATABLE_HEADERS: [(&str, &str); 2] = [
    ("idempotency-key", "quote-17"),
    ("amaranth-repeatable", "false"),
];

/// A fleet with an additional upstream of kind service, in tier `desk`.
struct ServiceFleet {
    fleet: TestFleet,
    service: TestProcess,
}

impl ServiceFleet {
    async fn start() -> Self {
        let args = ["--kind", "service", "--time", "100ms"];
        let service = TestProcess::start(env!("CARGO_BIN_EXE_amaranth-engine"), &args);
        let address = service.address.to_string();
        let add = |settings: &mut Value| {
            let group = json!({
                "name": "floor-desk", "kind": "service", "count": 1,
                "addresses": [address], "data_centres": ["dc-a"],
            });
            let tier = json!({"name": "desk", "upstreams": "floor-desk"});
            let groups = settings["upstreams"].as_array_mut().expect("a list");
            groups.push(group);
            settings["tiers"].as_array_mut().expect("a list").push(tier);
        };
        let fleet = TestFleet::start_configured(1, 3, &["--step", "5ms"], &[], add).await;
        Self { fleet, service }
    }

    async fn faults(&self, faults: Value) {
        let call = HttpCall::post(self.service.address, "/faults").with_body(faults.to_string());
        let (status, _) = self
            .fleet
            .client
            .fetch(call, LIMITS)
            .await
            .expect("an answer");
        assert!(status < 300);
    }

    /// Number of calls that the service has run, from its own record.
    async fn runs(&self) -> u64 {
        let call = HttpCall::get(self.service.address, "/service/calls");
        let totals: Result<Value, _> = self.fleet.client.fetch_json(call, LIMITS).await;
        totals.expect("the account")["runs"]
            .as_u64()
            .expect("a count")
    }

    async fn quote(&self, entry: &str) -> (u16, Value) {
        let answer = self
            .fleet
            .post(entry, QUOTE, &UNREPEATABLE_HEADERS, "one table")
            .await;
        answer.expect("an answer")
    }
}

async fn engine_requests(fleet: &TestFleet) -> u64 {
    let call = HttpCall::get(fleet.engines[0].address, "/engine/counts");
    let counts: Result<Value, _> = fleet.client.fetch_json(call, LIMITS).await;
    counts.expect("the engine's counts")["requests"]
        .as_u64()
        .expect("a count")
}

async fn stream(fleet: &TestFleet, entry: &str, key: &str) -> (String, String) {
    let headers = [("idempotency-key", key)];
    let body = chat("roof 17", 20, true);
    let answer = fleet
        .open(entry, CHAT, &headers, body)
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 200);
    let id = answer.headers().get("amaranth-request-id").expect("an id");
    let id = id.to_str().expect("text").to_owned();
    let body = answer.read_all().await.expect("a complete stream");
    (id, String::from_utf8(body.to_vec()).expect("text"))
}

#[tokio::test]
async fn the_same_key_gives_the_same_answer_from_any_instance() {
    let fleet = TestFleet::start(1, 4).await;
    let (id, first) = stream(&fleet, "entry-1", "note-1").await;
    assert_eq!(
        streamed_text(&first),
        (complete_answer("roof 17", 20), true)
    );
    for entry in ["entry-2", "entry-3", "entry-4", "entry-1"] {
        assert_eq!(
            stream(&fleet, entry, "note-1").await,
            (id.clone(), first.clone())
        );
    }
    let stored = fleet
        .get_text("entry-3", &format!("/v1/requests/{id}"))
        .await;
    assert_eq!(stored, first);
    let other = chat("roof 18", 20, true);
    let headers = [("idempotency-key", "note-1")];
    let (status, answer) = fleet
        .post("entry-2", CHAT, &headers, other)
        .await
        .expect("an answer");
    assert_eq!(
        (status, &answer["error"]["kind"]),
        (422, &json!("key_conflict"))
    );
    assert_eq!(engine_requests(&fleet).await, 1);
}

/// Uses enough keys that the killed instance stored a copy of some results.
#[tokio::test]
async fn results_survive_the_loss_of_the_instance_that_returned_them() {
    let mut fleet = TestFleet::start(1, 4).await;
    let mut first_answers = Vec::new();
    for index in 0..16 {
        let key = format!("note-{index}");
        let answer = stream(&fleet, "entry-1", &key).await;
        first_answers.push((key, answer));
    }
    fleet.kill("entry-1");
    for (key, answer) in first_answers {
        assert_eq!(stream(&fleet, "entry-2", &key).await, answer, "{key}");
    }
    assert_eq!(engine_requests(&fleet).await, 16);
}

#[tokio::test]
async fn a_resend_is_refused_while_the_first_request_runs() {
    let fleet = TestFleet::start_with(1, 3, &["--step", "50ms"], &[]).await;
    let headers = [("idempotency-key", "note-2")];
    let body = chat("roof 17", 40, true);
    let first = fleet.open("entry-1", CHAT, &headers, body.clone()).await;
    let first = first.expect("an answer begins");
    let (status, answer) = fleet
        .post("entry-2", CHAT, &headers, body)
        .await
        .expect("an answer");
    assert_eq!(
        (status, &answer["error"]["kind"]),
        (409, &json!("in_progress"))
    );
    first.read_all().await.expect("a complete stream");
    assert_eq!(engine_requests(&fleet).await, 1);
}

#[tokio::test]
async fn a_request_runs_again_when_its_instance_died_before_the_answer() {
    let mut fleet = TestFleet::start_with(1, 3, &["--step", "50ms"], &[]).await;
    let headers = [("idempotency-key", "note-3")];
    let body = chat("roof 17", 20, true);
    let first = fleet.open("entry-1", CHAT, &headers, body.clone()).await;
    let first = first.expect("an answer begins");
    fleet.kill("entry-1");
    assert!(first.read_all().await.is_err(), "the answer was cut");
    wait_until(
        "the request has run again on another instance",
        async || {
            let answer = fleet.open("entry-2", CHAT, &headers, body.clone()).await;
            let answer = answer.expect("an answer");
            let status = answer.status();
            let text = answer.read_all().await.expect("a complete answer");
            let text = String::from_utf8(text.to_vec()).expect("text");
            status == 200 && streamed_text(&text) == (complete_answer("roof 17", 20), true)
        },
    )
    .await;
}

#[tokio::test]
async fn a_call_that_may_not_be_repeated_runs_once_when_sent_several_times() {
    let desk = ServiceFleet::start().await;
    let calls = ["entry-1", "entry-2", "entry-3", "entry-1", "entry-2"].map(|e| desk.quote(e));
    let answers = futures_util::future::join_all(calls).await;
    for (status, answer) in &answers {
        assert!(*status == 200 || *status == 409, "{status} {answer}");
    }
    let complete: Vec<_> = answers
        .iter()
        .filter(|(status, _)| *status == 200)
        .collect();
    assert!(!complete.is_empty() && complete.iter().all(|answer| *answer == complete[0]));
    assert_eq!(desk.quote("entry-3").await, *complete[0]);
    assert_eq!(desk.runs().await, 1);
}

/// Every reply of the service is lost after the call ran: the caller is told that the outcome is
/// unknown, and gets the answer once the service's record of calls shows it.
#[tokio::test]
async fn a_lost_reply_is_unknown_until_the_services_record_resolves_it() {
    let desk = ServiceFleet::start().await;
    desk.faults(json!({"lost_reply_percent": 100})).await;
    let (status, answer) = desk.quote("entry-1").await;
    assert_eq!(
        (status, &answer["error"]["ran"]),
        (502, &json!("unknown")),
        "{answer}"
    );
    wait_until("the service's record resolves the call", async || {
        let (status, answer) = desk.quote("entry-2").await;
        status == 200 && answer["run"] == 1
    })
    .await;
    assert_eq!(desk.runs().await, 1);
}

#[tokio::test]
async fn a_call_is_not_sent_when_its_intent_cannot_be_put_on_the_log() {
    let desk = ServiceFleet::start().await;
    desk.fleet.platform.signal("STOP");
    let (status, answer) = desk.quote("entry-1").await;
    assert_eq!(
        (status, &answer["error"]["ran"]),
        (503, &json!("no")),
        "{answer}"
    );
    assert_eq!(desk.runs().await, 0);
    desk.fleet.platform.signal("CONT");
    wait_until("the log is back", async || {
        desk.quote("entry-1").await.0 == 200
    })
    .await;
    assert_eq!(desk.runs().await, 1);
}

/// An instance dies while its call runs; no other instance runs the call again.
#[tokio::test]
async fn a_call_whose_instance_died_is_not_run_again() {
    let mut desk = ServiceFleet::start().await;
    desk.faults(json!({"slow_factor": 10.0})).await;
    let address = desk.fleet.address("entry-1");
    let client = desk.fleet.client.clone();
    let mut headers = http::HeaderMap::new();
    for (name, value) in UNREPEATABLE_HEADERS {
        headers.insert(name, http::HeaderValue::from_static(value));
    }
    let call = HttpCall::post(address, QUOTE)
        .with_headers(headers)
        .with_body("one table");
    let first = tokio::spawn(async move { client.fetch(call, LIMITS).await });
    wait_until("the call runs", async || desk.runs().await == 1).await;
    desk.fleet.kill("entry-1");
    assert!(first.await.expect("no panic").is_err());
    wait_until("the service's record resolves the call", async || {
        desk.quote("entry-2").await.0 == 200
    })
    .await;
    assert_eq!(desk.runs().await, 1);
}

#[tokio::test]
async fn a_graceful_stop_completes_streams_and_hands_over_results() {
    let mut fleet = TestFleet::start_with(1, 3, &["--step", "20ms"], &[]).await;
    let mut first_answers = Vec::new();
    for index in 0..8 {
        let key = format!("note-{index}");
        let answer = stream(&fleet, "entry-1", &key).await;
        first_answers.push((key, answer));
    }
    let body = chat("roof 1", 300, true);
    let running = fleet
        .open("entry-1", CHAT, &[], body)
        .await
        .expect("an answer begins");
    for name in ["entry-1", "entry-2"] {
        fleet.entries[name].signal("TERM");
    }
    sleep(Duration::from_millis(300)).await;
    let ready = fleet
        .get("entry-1", "/readyz")
        .await
        .expect("it still accepts");
    assert_eq!(ready.0, 503, "not ready first");
    let late = fleet
        .post("entry-1", CHAT, &[], chat("late", 2, false))
        .await;
    assert_eq!(
        late.expect("an answer").0,
        200,
        "it accepts until the balancer has noticed"
    );
    let body = running.read_all().await.expect("the stream is not cut");
    let body = String::from_utf8(body.to_vec()).expect("text");
    assert_eq!(streamed_text(&body), (complete_answer("roof 1", 300), true));
    for name in ["entry-1", "entry-2"] {
        let mut entry = fleet.entries.remove(name).expect("it was started");
        assert_eq!(entry.wait(), Some(0));
    }
    for (key, answer) in first_answers {
        assert_eq!(stream(&fleet, "entry-3", &key).await, answer, "{key}");
    }
}
