//! Invalid input is refused with a typed error that says it was not run, and leaves no work behind.

mod support;

use serde_json::{Value, json};
use support::raw::{AfterSend, RawAnswer, request, send};
use support::{TestFleet, batch_lines, chat, wait_until};

const CHAT: &str = "POST /v1/chat/completions";
const BATCH: &str = "POST /v1/batches";
const FILES: &str = "POST /v1/files";
const JSON: &str = "content-type: application/json";
const FORM: &str = "content-type: multipart/form-data; boundary=b";
/// Largest online body of the test's settings, in bytes.
const ONLINE_BYTES: usize = 4_096;
/// Largest batch of the test's settings, in bytes.
const BATCH_BYTES: usize = 32_768;

async fn start() -> TestFleet {
    TestFleet::start_configured(1, 1, &["--step", "1ms"], &[], |settings| {
        settings["bodies"] = json!({
            "online": format!("{ONLINE_BYTES}B"),
            "batch": format!("{BATCH_BYTES}B"),
            "item": "2KiB",
            "time": "1s",
        });
        let tiers = settings["tiers"].as_array_mut().expect("a list");
        tiers.push(json!({"name": "online-only", "upstreams": "sketch-llm"}));
        tiers.push(json!({"name": "booking", "upstreams": "desk"}));
        let groups = settings["upstreams"].as_array_mut().expect("a list");
        let desk = json!({"name": "desk", "kind": "service", "count": 1, "data_centres": ["dc-a"]});
        groups.push(desk);
    })
    .await
}

/// Checks that an answer is an error of this status and kind with the documented fields.
fn check_refusal(case: &str, answer: &Option<RawAnswer>, status: u16, kind: &str) {
    let answer = answer
        .as_ref()
        .unwrap_or_else(|| panic!("{case}: no answer"));
    let error = &answer.body["error"];
    assert_eq!(answer.status, status, "{case}: {}", answer.body);
    assert_eq!(error["kind"], kind, "{case}: {}", answer.body);
    assert_eq!(error["type"], kind, "{case}");
    assert_eq!(error["ran"], "no", "{case}");
    assert!(error["message"].is_string(), "{case}");
}

/// Checks that the instance serves requests and that no work of the bad input remains.
async fn check_nothing_in_progress(fleet: &TestFleet) {
    let (status, _) = fleet
        .post(
            "entry-1",
            "/v1/chat/completions",
            &[],
            chat("roof", 2, false),
        )
        .await
        .expect("an answer");
    assert_eq!(status, 200);
    wait_until("nothing is in progress", async || {
        let metrics = fleet.get_text("entry-1", "/metrics").await;
        let zero = |name: &str| metrics.lines().any(|line| line == format!("{name} 0"));
        zero("amaranth_calls_in_progress") && zero("amaranth_work_in_progress")
    })
    .await;
}

fn line(custom_id: &str, body: Value) -> String {
    format!("{}\n", json!({"custom_id": custom_id, "body": body}))
}

fn form(fields: &[(&str, &str)]) -> String {
    let mut form = String::new();
    for (name, value) in fields {
        form += "--b\r\ncontent-disposition: form-data; ";
        form += &format!("name=\"{name}\"; filename=\"{name}\"\r\n\r\n{value}\r\n");
    }
    form + "--b--\r\n"
}

#[tokio::test]
async fn malformed_requests_are_refused_by_kind() {
    let fleet = start().await;
    let address = fleet.address("entry-1");
    let good = chat("roof", 2, false);
    let lines = batch_lines("lot", 2, 2);
    let large = "x".repeat(ONLINE_BYTES + 1);
    let large_batch = lines.repeat(BATCH_BYTES / lines.len() + 1);
    let long_line = format!("{{\"custom_id\": \"{}\"}}\n", "y".repeat(4_096));
    let long_key = format!("idempotency-key: {}", "k".repeat(257));
    let file = |text: &str| form(&[("purpose", "batch"), ("file", text)]);
    let job = |window: &str| {
        let call = json!({"input_file_id": "file-0", "endpoint": "/v1/chat/completions",
            "completion_window": window});
        call.to_string()
    };
    let cases: &[(&str, &[&str], &str, u16, &str)] = &[
        (CHAT, &[], "", 400, "invalid_request"),
        (CHAT, &[], "{", 400, "invalid_request"),
        (CHAT, &[], "[]", 400, "invalid_request"),
        (CHAT, &[], "null", 400, "invalid_request"),
        (CHAT, &[], "\u{0}\u{1}", 400, "invalid_request"),
        (CHAT, &[], "{\"messages\": []}", 400, "invalid_request"),
        (CHAT, &[], "{\"model\": 7}", 400, "invalid_request"),
        (
            CHAT,
            &[],
            "{\"model\": \"a\", \"model\": \"b\"}",
            400,
            "invalid_request",
        ),
        (
            CHAT,
            &[],
            "{\"model\": \"a\", \"stream\": \"yes\"}",
            400,
            "invalid_request",
        ),
        (CHAT, &[], "{\"model\": \"nobody\"}", 404, "unknown_target"),
        (
            CHAT,
            &["amaranth-tier: nowhere"],
            &good,
            404,
            "unknown_target",
        ),
        (
            CHAT,
            &["amaranth-tier: a b/c"],
            &good,
            404,
            "unknown_target",
        ),
        (CHAT, &[], &large, 413, "body_too_large"),
        (
            CHAT,
            &["amaranth-tier: booking"],
            &good,
            404,
            "unknown_target",
        ),
        (
            "POST /v1/services/shading/engine/orders",
            &[],
            "{}",
            404,
            "unknown_target",
        ),
        (
            "POST /v1/services/nowhere/book",
            &[],
            "{}",
            404,
            "unknown_target",
        ),
        (
            "GET /v1/chat/completions",
            &[],
            "",
            405,
            "method_not_allowed",
        ),
        ("PUT /v1/batches", &[], "{}", 405, "method_not_allowed"),
        (
            "DELETE /v1/batches/batch_0",
            &[],
            "",
            405,
            "method_not_allowed",
        ),
        ("POST /metrics", &[], "", 405, "method_not_allowed"),
        ("GET /", &[], "", 404, "not_found"),
        ("GET /v1", &[], "", 404, "not_found"),
        ("POST /v2/chat/completions", &[], &good, 404, "not_found"),
        ("GET /v1/batches/batch_0", &[], "", 404, "not_found"),
        ("GET /v1/batches/a%20b", &[], "", 404, "not_found"),
        ("POST /v1/batches/batch_0/cancel", &[], "", 404, "not_found"),
        ("GET /v1/batches/batch_0/results", &[], "", 404, "not_found"),
        ("GET /v1/batches?limit=0", &[], "", 400, "invalid_request"),
        (
            "GET /v1/batches?limit=many",
            &[],
            "",
            400,
            "invalid_request",
        ),
        ("GET /v1/batches?after=batch_0", &[], "", 404, "not_found"),
        ("GET /v1/files/file-0", &[], "", 404, "not_found"),
        (
            "GET /v1/files/file-0-output/content",
            &[],
            "",
            404,
            "not_found",
        ),
        ("GET /v1/models/nobody", &[], "", 404, "unknown_target"),
        (BATCH, &[], "", 400, "invalid_items"),
        (BATCH, &[], "\n \n", 400, "invalid_items"),
        (BATCH, &[], &large_batch, 413, "body_too_large"),
        (BATCH, &[], &long_line, 413, "body_too_large"),
        (
            BATCH,
            &["amaranth-tier: nowhere"],
            &lines,
            404,
            "unknown_target",
        ),
        (
            BATCH,
            &["amaranth-tier: online-only"],
            &lines,
            400,
            "invalid_request",
        ),
        (
            BATCH,
            &["amaranth-deadline-ms: soon"],
            &lines,
            400,
            "invalid_request",
        ),
        (
            BATCH,
            &["amaranth-deadline-ms: -1"],
            &lines,
            400,
            "invalid_request",
        ),
        (
            BATCH,
            &["amaranth-deadline-ms: 18446744073709551615"],
            &lines,
            400,
            "invalid_request",
        ),
        (
            BATCH,
            &["idempotency-key: "],
            &lines,
            400,
            "invalid_request",
        ),
        (
            BATCH,
            &["idempotency-key: é"],
            &lines,
            400,
            "invalid_request",
        ),
        (BATCH, &[&long_key], &lines, 400, "invalid_request"),
        (BATCH, &[JSON], &lines, 400, "invalid_request"),
        (
            BATCH,
            &[JSON],
            "{\"input_file_id\": \"a b\"}",
            400,
            "invalid_request",
        ),
        (BATCH, &[JSON], &job("never"), 400, "invalid_request"),
        (BATCH, &[JSON], &job("0s"), 400, "invalid_request"),
        (BATCH, &[JSON], &job("99999h"), 400, "invalid_request"),
        (BATCH, &[JSON], &job("24h"), 404, "not_found"),
        (FILES, &[], &lines, 400, "invalid_request"),
        (
            FILES,
            &["content-type: multipart/form-data"],
            &lines,
            400,
            "invalid_request",
        ),
        (FILES, &[FORM], &lines, 400, "invalid_request"),
        (
            FILES,
            &[FORM],
            &form(&[("purpose", "batch")]),
            400,
            "invalid_request",
        ),
        (
            FILES,
            &[FORM],
            &form(&[("file", &lines)]),
            400,
            "invalid_request",
        ),
        (
            FILES,
            &[FORM],
            &form(&[("purpose", "fun"), ("file", &lines)]),
            400,
            "invalid_request",
        ),
        (
            FILES,
            &[FORM],
            &form(&[("purpose", &large)]),
            413,
            "body_too_large",
        ),
        (FILES, &[FORM], &file("{}"), 400, "invalid_items"),
        (FILES, &[FORM], &file(&large_batch), 413, "body_too_large"),
        (
            "POST /v1/operator/config",
            &[],
            "{}",
            400,
            "invalid_request",
        ),
    ];
    for (line, headers, body, status, kind) in cases {
        let bytes = request(line, headers, body.as_bytes());
        let answer = send(address, &bytes, AfterSend::Wait);
        let case = format!("{line} {headers:?} {:.60}", body);
        check_refusal(&case, &answer, *status, kind);
    }
    check_nothing_in_progress(&fleet).await;
}

#[tokio::test]
async fn invalid_lines_are_named_by_number() {
    let fleet = start().await;
    let body = json!({"model": "sketch-llm"});
    let lines = [
        line("a", body.clone()),
        "{\n".to_owned(),
        "\n".to_owned(),
        line("a", body.clone()),
        line("", body.clone()),
        line("b", json!({"model": "nobody"})),
        line("c", json!("text")),
        line("d", json!({})),
        format!(
            "{}\n",
            json!({"custom_id": "e", "body": body, "url": "/v1/embeddings"})
        ),
        format!(
            "{}\n",
            json!({"custom_id": "f", "body": body, "method": "GET"})
        ),
        format!("{}\n", json!({"custom_id": 7, "body": body})),
        json!({"body": body}).to_string(),
    ];
    let bytes = request(BATCH, &[], lines.concat().as_bytes());
    let answer = send(fleet.address("entry-1"), &bytes, AfterSend::Wait);
    check_refusal("invalid lines", &answer, 400, "invalid_items");
    let message = answer.expect("an answer").body["error"]["message"].to_string();
    for number in [2, 4, 5, 6, 7, 8, 9, 10, 11, 12] {
        assert!(
            message.contains(&format!("line {number}: ")),
            "{number}: {message}"
        );
    }
    for number in [1, 3] {
        assert!(
            !message.contains(&format!("line {number}: ")),
            "{number}: {message}"
        );
    }
    check_nothing_in_progress(&fleet).await;
}

#[tokio::test]
async fn slow_and_broken_senders_leave_nothing_behind() {
    let fleet = start().await;
    let address = fleet.address("entry-1");
    let good = chat("roof", 2, false);
    let full_request = request(CHAT, &[], good.as_bytes());
    let part = &full_request[..full_request.len() - 5];

    // The answer is sent while the sender is still sending; it must reach the sender.
    let huge = "x".repeat(12 << 20);
    for (line, file) in [(CHAT, false), (BATCH, false), (FILES, true)] {
        let body = if file {
            form(&[("purpose", "batch"), ("file", &huge)])
        } else {
            huge.clone()
        };
        let bytes = request(line, if file { &[FORM] } else { &[] }, body.as_bytes());
        let answer = send(address, &bytes, AfterSend::Wait);
        check_refusal(&format!("{line} of 12 MiB"), &answer, 413, "body_too_large");
    }
    let slow = send(address, part, AfterSend::Wait);
    check_refusal("a body that stops coming", &slow, 408, "body_timeout");
    let batch = request(BATCH, &[], batch_lines("lot", 2, 2).as_bytes());
    let slow = send(address, &batch[..batch.len() - 5], AfterSend::Wait);
    check_refusal("a batch that stops coming", &slow, 408, "body_timeout");
    let broken = send(address, part, AfterSend::HalfClose);
    check_refusal("a body that breaks off", &broken, 400, "invalid_request");
    let half_closed = send(address, &full_request, AfterSend::HalfClose).expect("an answer");
    assert_eq!(half_closed.status, 200);

    let streamed = request(CHAT, &[], chat("roof", 500, true).as_bytes());
    for bytes in [
        part,
        &full_request,
        &streamed,
        &batch[..batch.len() - 5],
        b"GET /livez HT",
    ] {
        for _ in 0..10 {
            send(address, bytes, AfterSend::Disconnect);
        }
    }
    let not_http: [&[u8]; 4] = [
        b"\x16\x03\x01\x00",
        b"GET\r\n\r\n",
        b"\0\0\0\0",
        b"POST / HTTP/9\r\n\r\n",
    ];
    for bytes in not_http {
        let answer = send(address, bytes, AfterSend::HalfClose);
        assert!(
            answer.is_none_or(|a| (400..500).contains(&a.status)),
            "{bytes:?}"
        );
    }
    check_nothing_in_progress(&fleet).await;
}

#[tokio::test]
async fn a_key_is_refused_with_a_different_body() {
    let fleet = start().await;
    let address = fleet.address("entry-1");
    let key = ["idempotency-key: lot-7"];
    let lines = batch_lines("lot", 2, 2);
    let other = batch_lines("plot", 2, 2);
    let first = send(
        address,
        &request(BATCH, &key, lines.as_bytes()),
        AfterSend::Wait,
    );
    let again = send(
        address,
        &request(BATCH, &key, lines.as_bytes()),
        AfterSend::Wait,
    );
    let (first, again) = (first.expect("an answer"), again.expect("an answer"));
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body["id"], again.body["id"]);
    let answer = send(
        address,
        &request(BATCH, &key, other.as_bytes()),
        AfterSend::Wait,
    );
    check_refusal("another batch", &answer, 422, "key_conflict");

    let key = ["idempotency-key: lot-8", FORM];
    let upload = |text: &str| {
        let form = form(&[("purpose", "batch"), ("file", text)]);
        send(
            address,
            &request(FILES, &key, form.as_bytes()),
            AfterSend::Wait,
        )
    };
    let (first, again) = (
        upload(&lines).expect("an answer"),
        upload(&lines).expect("an answer"),
    );
    assert_eq!(
        (first.status, &first.body["id"]),
        (200, &again.body["id"]),
        "{}",
        first.body
    );
    check_refusal("another file", &upload(&other), 422, "key_conflict");
}
