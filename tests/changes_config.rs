//! Configuration changes and operator statements, end to end and under failures.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::io::Write;
use std::process::{Command, Stdio};

use proxy::TestProxy;
use serde_json::{Value, json};
use support::{TestFleet, batch_lines, chat, wait_until};

const NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

async fn queue_limit(fleet: &TestFleet, name: &str) -> (u64, Value) {
    let (_, config) = fleet
        .get(name, "/v1/operator/config")
        .await
        .expect("an answer");
    let revision = config["revision"].as_u64().expect("a revision");
    (
        revision,
        config["values"]["tier.shading.queue_limit"].clone(),
    )
}

async fn wait_in_force(fleet: &TestFleet, name: &str, value: u64) {
    wait_until(&format!("{value} is in force on {name}"), async || {
        queue_limit(fleet, name).await.1 == value
    })
    .await;
}

fn record(id: &str, expected: u64, value: &str) -> String {
    json!({"records": [{"config_proposed": {
        "command": id,
        "author": "cron",
        "expected": expected,
        "name": "tier.shading.queue_limit",
        "value": value,
    }}]})
    .to_string()
}

#[tokio::test]
async fn records_of_external_tools_are_applied_and_invalid_ones_refused() {
    let fleet = TestFleet::start(1, 3).await;
    fleet.publish(record("own-1", 0, "40")).await;
    let bytes = fleet.publish("no batch at all").await;
    let future = r#"{"records": [{"of_a_later_version": {}}]}"#;
    let later = fleet.publish(future).await;
    fleet.publish(record("own-2", 0, "50")).await;
    fleet.publish(record("own-3", 1, "-1")).await;
    fleet.publish(record("own-4", 1, "60")).await;
    fleet.publish(record("own-1", 2, "70")).await;
    for name in NAMES {
        wait_in_force(&fleet, name, 60).await;
        let run = fleet.ctl(name, &["-e", "show refusals order by offset"]);
        let refused: Vec<_> = run
            .rows()
            .iter()
            .map(|row| row["command"].clone())
            .collect();
        let entry = |offset: u64| json!(format!("entry:{offset}"));
        assert_eq!(
            refused,
            [entry(bytes), entry(later), json!("own-2"), json!("own-3")]
        );
        let run = fleet.ctl(
            name,
            &["-e", "show audit where command ~ own order by offset"],
        );
        let accepted: Vec<_> = run
            .rows()
            .iter()
            .map(|row| row["command"].clone())
            .collect();
        assert_eq!(accepted, ["own-1", "own-4"]);
    }
    let lines = batch_lines("lot", 10, 2);
    let (status, job) = fleet
        .post("entry-1", "/v1/batches", &[], lines)
        .await
        .expect("an answer");
    assert_eq!(status, 200, "{job}");
    fleet
        .wait_job("entry-2", job["id"].as_str().expect("an id"))
        .await;
}

// The proxy must run while the test blocks on `amaranth-ctl`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_relay_to_an_instance_that_cannot_read_the_log() {
    let mut fleet = TestFleet::start(1, 3).await;
    let proxy = TestProxy::start(fleet.platform.address).await;
    fleet.kill("entry-3");
    fleet.start_entry_with("entry-3", |settings| {
        settings["platform"]["address"] = json!(proxy.address.to_string());
    });
    fleet.wait_ready("entry-3").await;
    wait_until("entry-3 has read the list", async || {
        let run = fleet.ctl("entry-3", &["-e", "show instances"]);
        run.rows().len() == 3
    })
    .await;
    proxy.set_open(false);
    let run = fleet.ctl(
        "entry-1",
        &["-e", "set tier shading limit = 41 if revision 0"],
    );
    assert_eq!(run.code, Some(0), "{run:?}");
    wait_in_force(&fleet, "entry-3", 41).await;

    // A retry with the same id through an instance that cannot reach the log returns the outcome
    // recorded on the log.
    let run = fleet.ctl(
        "entry-2",
        &["--command-id", "c-1", "-e", "set tier shading limit = 42"],
    );
    let offset = run.answer()["offset"].clone();
    wait_in_force(&fleet, "entry-3", 42).await;
    let again = ["--command-id", "c-1", "-e", "set tier shading limit = 42"];
    let run = fleet.ctl("entry-3", &again);
    assert_eq!(
        (run.code, &run.answer()["offset"]),
        (Some(0), &offset),
        "{run:?}"
    );
    proxy.set_open(true);
    wait_until("entry-3 reads the log itself", async || {
        let run = fleet.ctl("entry-3", &["-e", "set tier shading limit = 43"]);
        run.code == Some(0)
    })
    .await;
    wait_in_force(&fleet, "entry-1", 43).await;
}

#[tokio::test]
async fn an_instance_that_starts_in_an_outage_takes_the_state_from_peers() {
    let mut fleet = TestFleet::start(1, 3).await;
    let run = fleet.ctl("entry-1", &["-e", "set tier shading limit = 44"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    fleet.kill("entry-2");
    fleet.platform_faults(json!({"outage": true})).await;
    fleet.start_entry("entry-2");
    wait_in_force(&fleet, "entry-2", 44).await;
    let run = fleet.ctl("entry-2", &["-e", "set tier shading limit = 45"]);
    assert!(
        matches!(run.code, Some(5 | 6)),
        "nothing is accepted in an outage: {run:?}"
    );
    assert_eq!(queue_limit(&fleet, "entry-2").await, (1, json!(44)));
}

#[tokio::test]
async fn a_paused_instance_never_shows_an_older_revision() {
    let fleet = TestFleet::start(1, 3).await;
    let set = |value: u64| {
        let statement = format!("set tier shading limit = {value}");
        let run = fleet.ctl("entry-1", &["-e", &statement]);
        assert_eq!(run.code, Some(0), "{run:?}");
        run.answer()
    };
    set(1);
    wait_in_force(&fleet, "entry-2", 1).await;
    fleet.entries["entry-2"].signal("STOP");
    set(2);
    let answer = set(3);
    let silent: Vec<_> = answer["silent"]
        .as_array()
        .expect("a list")
        .iter()
        .collect();
    assert_eq!(silent.len(), 1, "{answer}");
    assert_eq!(silent[0]["instance"], "entry-2");
    assert!(silent[0]["last_heard_ms"].is_u64(), "{answer}");
    assert_eq!(answer["in_force"], json!(["entry-1", "entry-3"]));
    let run = fleet.ctl("entry-1", &["-e", "show instances"]);
    let shown: Vec<_> = run
        .rows()
        .iter()
        .map(|row| row["instance"].clone())
        .collect();
    assert_eq!(
        shown,
        ["entry-1", "entry-3"],
        "no row is made up for entry-2"
    );
    assert_eq!(run.answer()["silent"][0]["instance"], "entry-2");
    fleet.entries["entry-2"].signal("CONT");
    let mut last = 1;
    wait_until("entry-2 has caught up", async || {
        let (revision, _) = queue_limit(&fleet, "entry-2").await;
        assert!(revision >= last, "{revision} after {last}");
        last = revision;
        revision == 3
    })
    .await;
}

#[tokio::test]
async fn commands_take_effect_once_when_replies_are_lost() {
    let fleet = TestFleet::start(1, 3).await;
    let faults = json!({"lost_reply_percent": 60});
    fleet.platform_faults(faults).await;
    for number in 1..=12u64 {
        let statement = format!(
            "set tier shading limit = {number} if revision {}",
            number - 1
        );
        let name = NAMES[number as usize % NAMES.len()];
        let run = fleet.ctl(name, &["-e", &statement]);
        assert_eq!(run.code, Some(0), "{run:?}");
        assert_eq!(run.answer()["revision"], number);
        for name in NAMES {
            wait_in_force(&fleet, name, number).await;
        }
    }
    let run = fleet.ctl("entry-2", &["-e", "show audit count by author"]);
    assert_eq!(run.rows(), [json!({"author": "anyone", "count": 12})]);
    let run = fleet.ctl("entry-1", &["-e", "show refusals"]);
    assert_eq!(run.rows(), Vec::<Value>::new());
}

#[tokio::test]
async fn conflicting_commands_are_rejected_with_the_other_author() {
    let fleet = TestFleet::start(2, 2).await;
    let run = fleet.ctl(
        "entry-1",
        &["-e", "set tier shading limit = 5 if revision 0"],
    );
    assert_eq!(run.code, Some(0), "{run:?}");
    let run = fleet.ctl(
        "entry-2",
        &["-e", "set tier shading limit = 6 if revision 0"],
    );
    assert_eq!(run.code, Some(5), "{run:?}");
    let reason = run.answer()["reason"].to_string();
    assert!(
        reason.contains("revision in force is 1, made by anyone"),
        "{reason}"
    );

    let run = fleet.ctl(
        "entry-1",
        &["--command-id", "d-1", "-e", "drain upstream sketch-llm-1"],
    );
    assert_eq!(run.code, Some(0), "{run:?}");
    let run = fleet.ctl("entry-2", &["-e", "swap sketch-llm-1 with sketch-llm-2"]);
    assert_eq!(run.code, Some(5), "{run:?}");
    let reason = run.answer()["reason"].to_string();
    assert!(reason.contains("plan d-1 by anyone"), "{reason}");
    let show = ["-e", "show upstreams where upstream = sketch-llm-1"];
    wait_until("the upstream is drained", async || {
        let run = fleet.ctl("entry-2", &show);
        run.rows().iter().all(|row| row["state"] == "drained")
    })
    .await;
    let run = fleet.ctl("entry-2", &["-e", "undrain upstream sketch-llm-1"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    wait_until("the upstream serves again", async || {
        let run = fleet.ctl("entry-1", &show);
        run.rows().iter().all(|row| row["state"] == "serving")
    })
    .await;
}

#[tokio::test]
async fn the_client_reports_errors_scripts_and_exit_codes() {
    let fleet = TestFleet::start(1, 1).await;
    let run = fleet.ctl("entry-1", &["-e", "show batches where stat = done"]);
    assert_eq!(run.code, Some(2));
    let caret = run.stderr.lines().nth(1).expect("a caret");
    assert_eq!(caret.find('^'), Some(19), "{run:?}");
    let run = fleet.ctl("entry-1", &["-e", "cancel batch nothing"]);
    assert_eq!(run.code, Some(5), "{run:?}");
    let run = fleet.ctl("entry-1", &["--complete", "show up"]);
    assert_eq!(run.stdout, "show upstreams\n");

    let mut child = Command::new(env!("CARGO_BIN_EXE_amaranth-ctl"))
        .args(["--instance", &fleet.address("entry-1").to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("amaranth-ctl runs");
    let script =
        "# a script\nset tier shading limit = 9\n\nshow config\nset tier x = 1\nshow tiers\n";
    let mut stdin = child.stdin.take().expect("stdin is piped");
    stdin.write_all(script.as_bytes()).expect("written");
    drop(stdin);
    let output = child.wait_with_output().expect("it ends");
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("accepted cmd-"), "{text}");
    assert!(text.contains("tier.shading.queue_limit  9"), "{text}");
    assert!(
        !text.contains("deadline_ms"),
        "it went on after an error: {text}"
    );
}

#[tokio::test]
async fn requests_are_shown_while_they_run_and_explained_after() {
    let fleet = TestFleet::start_with(1, 2, &["--step", "20ms"], &[]).await;
    let key = [("idempotency-key", "note-1")];
    let stream = fleet.open(
        "entry-1",
        "/v1/chat/completions",
        &key,
        chat("roof", 100, true),
    );
    let stream = stream.await.expect("an answer");
    let run = fleet.ctl("entry-2", &["-e", "show requests"]);
    let rows = run.rows();
    assert_eq!(rows.len(), 1, "{run:?}");
    assert_eq!(
        (&rows[0]["state"], &rows[0]["instance"]),
        (&json!("running"), &json!("entry-1"))
    );
    let id = rows[0]["request"].as_str().expect("an id").to_owned();
    stream.read_all().await.expect("a complete stream");
    wait_until("the request is no longer shown", async || {
        let run = fleet.ctl("entry-2", &["-e", "show requests"]);
        run.rows().is_empty()
    })
    .await;
    let run = fleet.ctl("entry-2", &["-e", &format!("explain {id}")]);
    let events = run.answer()["requests"][0]["events"].to_string();
    assert!(events.contains("sent to sketch-llm-1"), "{events}");
    assert!(events.contains("Answered(200)"), "{events}");
    let run = fleet.ctl("entry-2", &["-e", "explain nothing-like-it"]);
    assert_eq!(run.answer()["known"], false);
}

#[tokio::test]
async fn operators_need_a_key_and_a_role() {
    const ROLES: [(&str, &str); 3] = [("vera", "viewer"), ("oto", "operator"), ("ada", "admin")];
    let mut fleet = TestFleet::start(1, 1).await;
    let operators: Vec<_> = ROLES
        .iter()
        .map(|(name, role)| {
            let key_sha256 = sha256_of(&format!("key of {name}"));
            json!({"name": name, "role": role, "key_sha256": key_sha256})
        })
        .collect();
    fleet.kill("entry-1");
    fleet.start_entry_with("entry-1", |settings| {
        settings["operators"] = json!(operators)
    });
    fleet.wait_ready("entry-1").await;
    let statements = [
        "show tiers",
        "drain upstream sketch-llm-1",
        "set tier shading limit = 3",
    ];
    let expected = [
        ("key of nobody", [Some(5), Some(5), Some(5)]),
        ("key of vera", [Some(0), Some(5), Some(5)]),
        ("key of oto", [Some(0), Some(0), Some(5)]),
        ("key of ada", [Some(0), Some(5), Some(0)]),
    ];
    for (key, codes) in expected {
        let file = std::env::temp_dir().join(format!("amaranth-key-{}", std::process::id()));
        std::fs::write(&file, key).expect("a key file");
        let path = file.to_str().expect("a plain path");
        for (statement, code) in statements.iter().zip(codes) {
            let run = fleet.ctl("entry-1", &["--key-file", path, "-e", statement]);
            assert_eq!(run.code, code, "{key}: {statement}: {run:?}");
        }
        let _ = std::fs::remove_file(&file);
    }
    let (status, _) = fleet
        .get("entry-1", "/v1/operator/config")
        .await
        .expect("an answer");
    assert_eq!(status, 401);
}

fn sha256_of(text: &str) -> String {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
