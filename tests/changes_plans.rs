//! Plans end to end: rollouts, swaps and drains while their drivers crash, pause or compete.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall};
use serde_json::{Value, json};
use support::{TestFleet, chat, wait_until};
use tokio::time::sleep;

const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(5));
const CHAT: &str = "/v1/chat/completions";

async fn engine_status(fleet: &TestFleet, index: usize) -> Value {
    let call = HttpCall::get(fleet.engines[index].address, "/engine/status");
    let status = fleet.client.fetch_json(call, LIMITS).await;
    status.expect("the engine answers")
}

async fn set_engine_faults(fleet: &TestFleet, index: usize, faults: Value) {
    let address = fleet.engines[index].address;
    let call = HttpCall::post(address, "/faults").with_body(faults.to_string());
    let (status, _) = fleet.client.fetch(call, LIMITS).await.expect("an answer");
    assert_eq!(status, 204);
}

/// State of a plan as reported by an instance.
async fn plan_state(fleet: &TestFleet, name: &str, plan: &str) -> Value {
    let query = json!({"text": format!("explain {plan}")}).to_string();
    let answer = fleet.post(name, "/v1/operator/query", &[], query).await;
    answer.map_or(Value::Null, |(_, found)| found["plan"].clone())
}

async fn wait_plan(fleet: &TestFleet, name: &str, plan: &str, state: &str) -> Value {
    let mut last = Value::Null;
    wait_until(&format!("{plan} is {state}"), async || {
        last = plan_state(fleet, name, plan).await;
        last["state"] == state
    })
    .await;
    last
}

fn started_steps(plan: &Value) -> usize {
    let steps = plan["steps"].as_object();
    steps.map_or(0, |steps| {
        steps.values().filter(|step| **step != "waiting").count()
    })
}

/// Returns the instance that drives plans, found by its metrics.
async fn find_driver(fleet: &TestFleet) -> String {
    let mut found = None;
    wait_until("a driver has carried out a step", async || {
        for name in fleet.entries.keys() {
            let text = fleet.get_text(name, "/metrics").await;
            let counted = text
                .lines()
                .find(|line| line.starts_with("amaranth_plan_steps_total"));
            if counted.is_some() {
                found = Some(name.clone());
            }
        }
        found.is_some()
    })
    .await;
    found.expect("a driver")
}

fn other_instance(fleet: &TestFleet, name: &str) -> String {
    let mut names = fleet.entries.keys();
    names.find(|other| *other != name).expect("another").clone()
}

async fn start_rollout(fleet: &TestFleet, name: &str, plan: &str) {
    let call = json!({
        "command": plan,
        "text": "roll model sketch-llm to version 2 on tier shading",
    });
    let (status, answer) = fleet
        .post(name, "/v1/operator/command", &[], call.to_string())
        .await
        .expect("an answer");
    assert_eq!(
        (status, &answer["outcome"]),
        (200, &json!("accepted")),
        "{answer}"
    );
}

async fn check_versions(fleet: &TestFleet, version: &str) {
    for index in 0..fleet.engines.len() {
        let status = engine_status(fleet, index).await;
        assert_eq!(status["version"], version, "engine {index}: {status}");
    }
}

#[tokio::test]
async fn a_rollout_is_finished_by_a_successor_of_its_driver() {
    let engine_args = ["--step", "2ms", "--order-time", "700ms"];
    let mut fleet = TestFleet::start_with(4, 3, &engine_args, &[]).await;
    start_rollout(&fleet, "entry-1", "roll-1").await;
    let driver = find_driver(&fleet).await;
    let other = other_instance(&fleet, &driver);
    wait_until("an engine is being changed", async || {
        started_steps(&plan_state(&fleet, &other, "roll-1").await) > 0
    })
    .await;
    fleet.kill(&driver);
    let plan = wait_plan(&fleet, &other, "roll-1", "committed").await;
    assert_eq!(started_steps(&plan), 4);
    check_versions(&fleet, "2").await;
    let rows = fleet
        .ctl(&other, &["-e", "show upstreams where state != serving"])
        .rows();
    let own: Vec<_> = rows
        .iter()
        .filter(|row| row["instance"] != driver)
        .collect();
    assert!(own.is_empty(), "still withheld: {own:?}");
}

#[tokio::test]
async fn requests_succeed_during_a_rollout() {
    let engine_args = ["--step", "2ms", "--order-time", "300ms"];
    let fleet = TestFleet::start_with(4, 2, &engine_args, &[]).await;
    start_rollout(&fleet, "entry-1", "roll-1").await;
    let mut answered = 0;
    loop {
        let body = chat(&format!("roof {answered}"), 4, false);
        let (status, answer) = fleet
            .post("entry-2", CHAT, &[], body)
            .await
            .expect("an answer");
        assert_eq!(status, 200, "{answer}");
        answered += 1;
        let plan = plan_state(&fleet, "entry-2", "roll-1").await;
        if plan["state"] == "committed" {
            break;
        }
        assert!(plan["state"] == "running", "{plan}");
    }
    check_versions(&fleet, "2").await;
}

#[tokio::test]
async fn a_rollout_that_raises_the_error_rate_is_reverted() {
    let engine_args = ["--step", "2ms", "--order-time", "200ms"];
    let fleet = Arc::new(TestFleet::start_with(4, 2, &engine_args, &[]).await);
    let stop = Arc::new(AtomicBool::new(false));
    let traffic: Vec<_> = (0..4)
        .map(|_| {
            let (fleet, stop) = (fleet.clone(), stop.clone());
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let _ = fleet
                        .post("entry-1", CHAT, &[], chat("roof", 2, false))
                        .await;
                }
            })
        })
        .collect();
    // The first engine with the new version fails most requests and some orders.
    start_rollout(&fleet, "entry-2", "roll-1").await;
    let mut broken = None;
    wait_until("one engine has the new version", async || {
        for index in 0..4 {
            if engine_status(&fleet, index).await["version"] == "2" {
                broken = Some(index);
                return true;
            }
        }
        false
    })
    .await;
    let broken = broken.expect("an engine");
    set_engine_faults(&fleet, broken, json!({"error_percent": 60})).await;
    let plan = wait_plan(&fleet, "entry-1", "roll-1", "reverted").await;
    stop.store(true, Ordering::Relaxed);
    for task in traffic {
        task.await.expect("traffic ends");
    }
    let reason = plan["reason"].to_string();
    assert!(reason.contains("at the new version"), "{reason}");
    set_engine_faults(&fleet, broken, json!({})).await;
    check_versions(&fleet, "1").await;
}

#[tokio::test]
async fn a_log_outage_only_delays_a_rollout() {
    let engine_args = ["--step", "2ms", "--order-time", "300ms"];
    let fleet = TestFleet::start_with(4, 3, &engine_args, &[]).await;
    start_rollout(&fleet, "entry-1", "roll-1").await;
    wait_until("an engine is being changed", async || {
        started_steps(&plan_state(&fleet, "entry-2", "roll-1").await) > 0
    })
    .await;
    fleet.platform_faults(json!({"outage": true})).await;
    sleep(Duration::from_secs(3)).await;
    let plan = plan_state(&fleet, "entry-2", "roll-1").await;
    assert_eq!(plan["state"], "running", "{plan}");
    fleet.platform_faults(json!({})).await;
    wait_plan(&fleet, "entry-2", "roll-1", "committed").await;
    check_versions(&fleet, "2").await;
}

#[tokio::test]
async fn one_of_a_concurrent_drain_and_rollout_is_rejected() {
    let engine_args = ["--step", "2ms", "--order-time", "300ms"];
    let fleet = TestFleet::start_with(3, 2, &engine_args, &[]).await;
    let command = |id: &str, text: &str| json!({"command": id, "text": text}).to_string();
    let start_rollout = command(
        "roll-1",
        "roll model sketch-llm to version 2 on tier shading",
    );
    let drain = command("drain-1", "drain upstream sketch-llm-2");
    let path = "/v1/operator/command";
    let (rolled, drained) = tokio::join!(
        fleet.post("entry-1", path, &[], start_rollout),
        fleet.post("entry-2", path, &[], drain),
    );
    let (rolled, drained) = (rolled.expect("an answer").1, drained.expect("an answer").1);
    let (loser, winner) = match rolled["outcome"] == "accepted" {
        true => (&drained, "roll-1"),
        false => (&rolled, "drain-1"),
    };
    assert_eq!(loser["outcome"], "rejected", "{rolled} {drained}");
    let reason = loser["reason"].to_string();
    assert!(reason.contains(&format!("plan {winner} by")), "{reason}");
    if winner == "roll-1" {
        wait_plan(&fleet, "entry-2", "roll-1", "committed").await;
        check_versions(&fleet, "2").await;
    } else {
        check_versions(&fleet, "1").await;
    }
}

#[tokio::test]
async fn lost_order_replies_are_resolved_from_the_engines_state() {
    let engine_args = ["--step", "2ms", "--order-time", "200ms"];
    let fleet = TestFleet::start_with(2, 2, &engine_args, &[]).await;
    for index in 0..2 {
        set_engine_faults(&fleet, index, json!({"lose_order_replies": true})).await;
    }
    start_rollout(&fleet, "entry-1", "roll-1").await;
    wait_plan(&fleet, "entry-2", "roll-1", "committed").await;
    check_versions(&fleet, "2").await;
}

#[tokio::test]
async fn roles_are_swapped_and_a_plan_is_undone() {
    let engine_args = ["--step", "2ms", "--order-time", "700ms"];
    let fleet = TestFleet::start_with(3, 2, &engine_args, &[]).await;
    start_rollout(&fleet, "entry-1", "roll-1").await;
    wait_until("an engine has the new version", async || {
        let plan = plan_state(&fleet, "entry-1", "roll-1").await;
        plan["steps"].to_string().contains("finished")
    })
    .await;
    let run = fleet.ctl("entry-2", &["-e", "undo roll-1"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    let plan = wait_plan(&fleet, "entry-1", "roll-1", "reverted").await;
    assert_eq!(plan["reason"], "undone by anyone");
    check_versions(&fleet, "1").await;

    let run = fleet.ctl(
        "entry-2",
        &[
            "--command-id",
            "s-1",
            "-e",
            "swap sketch-llm-1 with sketch-llm-3",
        ],
    );
    assert_eq!(run.code, Some(0), "{run:?}");
    wait_plan(&fleet, "entry-1", "s-1", "committed").await;
}

#[tokio::test]
async fn configuration_survives_the_expiry_of_its_records() {
    let mut fleet = TestFleet::start_with(1, 2, &["--step", "2ms"], &[]).await;
    for name in ["entry-1", "entry-2"] {
        fleet.kill(name);
        fleet.start_entry_with(name, |settings| {
            settings["platform"]["retention"] = json!("8s");
        });
        fleet.wait_ready(name).await;
    }
    fleet.platform_faults(json!({"retention_ms": 8_000})).await;
    let run = fleet.ctl("entry-1", &["-e", "set tier shading limit = 46"]);
    assert_eq!(run.code, Some(0), "{run:?}");
    let offset = run.answer()["offset"].as_u64().expect("an offset");
    wait_until("the record has expired", async || {
        let path = format!("/log/read?from={offset}&max=1&wait_ms=0");
        let call = HttpCall::get(fleet.platform.address, path);
        let reply: Result<amaranth_wire::platform::ReadReply, _> =
            fleet.client.fetch_message(call, LIMITS).await;
        reply.is_ok_and(|reply| reply.oldest.0 > offset)
    })
    .await;
    fleet.kill("entry-1");
    fleet.kill("entry-2");
    fleet.start_entry_with("entry-1", |settings| {
        settings["platform"]["retention"] = json!("8s");
    });
    wait_until("the setting is in force again", async || {
        let config = fleet.get("entry-1", "/v1/operator/config").await;
        config.is_ok_and(|(_, c)| c["values"]["tier.shading.queue_limit"] == 46)
    })
    .await;
}

/// Starts a fleet whose engines ignore fencing tokens and whose settings say so.
async fn start_unfenced() -> TestFleet {
    let engine_args = [
        "--step",
        "2ms",
        "--order-time",
        "300ms",
        "--fencing",
        "ignored",
    ];
    let mut fleet = TestFleet::start_with(2, 3, &engine_args, &[]).await;
    for name in ["entry-1", "entry-2", "entry-3"] {
        fleet.kill(name);
        fleet.start_entry_with(name, |settings| {
            settings["upstreams"][0]["checks_fencing"] = json!(false);
        });
        fleet.wait_ready(name).await;
    }
    fleet
}

#[tokio::test]
async fn engines_without_fencing_are_repaired_after_a_paused_driver() {
    let fleet = start_unfenced().await;
    start_rollout(&fleet, "entry-1", "roll-1").await;
    let driver = find_driver(&fleet).await;
    let other = other_instance(&fleet, &driver);
    wait_until("an engine is being changed", async || {
        started_steps(&plan_state(&fleet, &other, "roll-1").await) > 0
    })
    .await;
    let first = plan_state(&fleet, &other, "roll-1").await["driver_epoch"].clone();
    fleet.entries[&driver].signal("STOP");
    wait_until("a successor has taken over", async || {
        plan_state(&fleet, &other, "roll-1").await["driver_epoch"] != first
    })
    .await;
    wait_plan(&fleet, &other, "roll-1", "committed").await;
    check_versions(&fleet, "2").await;
    fleet.entries[&driver].signal("CONT");

    // A delayed order of the paused driver arrives after its successor has finished.
    let late = json!({
        "id": "roll-1:late",
        "fence": first,
        "action": {"load_model": {"model": "sketch-llm", "version": "1"}},
    });
    let call =
        HttpCall::post(fleet.engines[0].address, "/engine/orders").with_body(late.to_string());
    let (status, _) = fleet.client.fetch(call, LIMITS).await.expect("an answer");
    assert!(status < 300, "the engine takes it: {status}");
    wait_until("the late order has landed", async || {
        engine_status(&fleet, 0).await["version"] == "1"
    })
    .await;
    wait_until("the engine is repaired", async || {
        engine_status(&fleet, 0).await["version"] == "2"
    })
    .await;
    assert_eq!(
        plan_state(&fleet, &driver, "roll-1").await["state"],
        "committed"
    );
}
