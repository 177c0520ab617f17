//! Batch jobs while instances are lost, paused or stopped and the log fails: every item has exactly
//! one result, and items with a result are not run again.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_standin::token_text::complete_answer;
use proxy::TestProxy;
use serde::Deserialize;
use serde_json::{Value, json};
use support::{TestFleet, batch_lines, wait_until};
use tokio::time::sleep;

const ITEMS: usize = 400;
const TOKENS: u32 = 4;

async fn submit(fleet: &TestFleet, name: &str, key: &str) -> String {
    submit_items(fleet, name, key, ITEMS).await
}

async fn submit_items(fleet: &TestFleet, name: &str, key: &str, items: usize) -> String {
    let headers = [("idempotency-key", key)];
    let lines = batch_lines("lot", items, TOKENS);
    let answer = fleet.post(name, "/v1/batches", &headers, lines).await;
    let (status, job) = answer.expect("an answer");
    assert_eq!(status, 200, "{job}");
    job["id"].as_str().expect("an id").to_owned()
}

/// Number of item runs of all engines.
async fn item_runs(fleet: &TestFleet) -> u64 {
    let mut sum = 0;
    for engine in &fleet.engines {
        let call = HttpCall::get(engine.address, "/engine/counts");
        let limits = CallLimits::new(Duration::from_secs(5));
        let counts = fleet.client.fetch_json(call, limits).await;
        let counts: Value = counts.expect("counts");
        sum += counts["requests"].as_u64().expect("a count");
    }
    sum
}

/// Start of an item at an engine.
#[derive(Debug, Clone, Deserialize)]
struct ItemStart {
    /// Name of the run, which begins with the writer's own.
    #[allow(dead_code)] // Shown when a check fails.
    stream: String,
    prompt: String,
    started_ms: u64,
}

/// Starts of items at all engines, by time.
async fn item_starts(fleet: &TestFleet) -> Vec<ItemStart> {
    let mut starts: Vec<ItemStart> = Vec::new();
    for engine in &fleet.engines {
        let call = HttpCall::get(engine.address, "/engine/starts");
        let limits = CallLimits::new(Duration::from_secs(5));
        let started: Vec<ItemStart> = fleet.client.fetch_json(call, limits).await.expect("starts");
        starts.extend(started);
    }
    starts.sort_by_key(|start| start.started_ms);
    starts
}

/// Prompts of the items with a line in `results`.
fn finished_prompts(results: &str) -> BTreeSet<String> {
    let prompt = |line: &str| {
        let line: Value = serde_json::from_str(line).expect("a JSON line");
        let id = line["custom_id"].as_str().expect("an id");
        id.replace('-', " ")
    };
    results.lines().map(prompt).collect()
}

async fn wait_progress(fleet: &TestFleet, name: &str, job: &str, min: u64) {
    wait_until("some items have results", async || {
        let view = fleet.get(name, &format!("/v1/batches/{job}")).await;
        view.is_ok_and(|(_, view)| view["request_counts"]["completed"].as_u64() >= Some(min))
    })
    .await;
}

/// Checks that every item has exactly one result with its complete answer.
async fn check_results(fleet: &TestFleet, name: &str, job: &str) {
    check_items(fleet, name, job, ITEMS).await;
}

async fn check_items(fleet: &TestFleet, name: &str, job: &str, items: usize) {
    let ended = fleet.wait_job(name, job).await;
    let counts = json!({"total": items, "completed": items, "failed": 0});
    assert_eq!(ended["request_counts"], counts);
    let path = format!("/v1/batches/{job}/results");
    let lines = fleet.get_text(name, &path).await;
    let lines: Vec<Value> = lines
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"))
        .collect();
    assert_eq!(lines.len(), items);
    for (index, line) in lines.iter().enumerate() {
        assert_eq!(line["custom_id"], format!("lot-{index}"));
        let text = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(*text, complete_answer(&format!("lot {index}"), TOKENS));
    }
}

/// Returns the name of the instance that holds the lease of the only job.
async fn owner_of(fleet: &TestFleet) -> String {
    for name in fleet.entries.keys() {
        let metrics = fleet.get_text(name, "/metrics").await;
        if metrics.lines().any(|line| line == "amaranth_leases_held 1") {
            return name.clone();
        }
    }
    panic!("no instance holds a lease");
}

/// Starts a fleet whose engines are slow enough for faults to occur during a job.
async fn start_slow() -> TestFleet {
    TestFleet::start_with(2, 3, &["--step", "30ms"], &[]).await
}

#[tokio::test]
async fn results_survive_an_outage_longer_than_a_lease() {
    let fleet = start_slow().await;
    let job = submit(&fleet, "entry-1", "outage").await;
    wait_progress(&fleet, "entry-2", &job, 20).await;
    fleet.platform_faults(json!({"outage": true})).await;
    sleep(Duration::from_secs(9)).await;
    fleet.platform_faults(json!({})).await;
    check_results(&fleet, "entry-3", &job).await;
    assert_eq!(item_runs(&fleet).await, ITEMS as u64, "nothing ran twice");
}

#[tokio::test]
async fn lost_append_replies_duplicate_no_result() {
    let fleet = start_slow().await;
    fleet
        .platform_faults(json!({"lost_reply_percent": 30, "silent_percent": 10}))
        .await;
    let job = submit(&fleet, "entry-1", "lost").await;
    check_results(&fleet, "entry-3", &job).await;
}

/// Time after a pause in which engines receive the requests that were sent before it. The next
/// owner starts only after the lease has expired, seconds later.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

#[tokio::test]
async fn a_paused_owner_is_replaced_and_does_no_harm() {
    let fleet = start_slow().await;
    let job = submit(&fleet, "entry-1", "pause").await;
    wait_progress(&fleet, "entry-2", &job, 20).await;
    let owner = owner_of(&fleet).await;
    fleet.entries[&owner].signal("STOP");
    let mut others = fleet.entries.keys().filter(|name| **name != owner);
    let other = others.next().expect("another instance");
    sleep(DELIVERY_TIME).await;
    let paused_starts = item_starts(&fleet).await;
    let results = fleet
        .get_text(other, &format!("/v1/batches/{job}/results"))
        .await;
    let finished = finished_prompts(&results);
    let in_flight = paused_starts.len() - finished.len();
    let ended = fleet.wait_job(other, &job).await;
    let woken_starts = item_starts(&fleet).await.len();
    fleet.entries[&owner].signal("CONT");
    assert_eq!(ended["request_counts"]["completed"], json!(ITEMS));
    check_results(&fleet, &owner, &job).await;
    let starts = item_starts(&fleet).await;
    let sent_late = &starts[woken_starts..];
    assert!(sent_late.is_empty(), "the former owner ran {sent_late:?}");
    let mut runs: BTreeMap<&str, Vec<&ItemStart>> = BTreeMap::new();
    for start in &starts {
        runs.entry(&start.prompt).or_default().push(start);
    }
    assert_eq!(runs.len(), ITEMS);
    for (prompt, runs) in &runs {
        let most = if finished.contains(*prompt) { 1 } else { 2 };
        assert!(runs.len() <= most, "{prompt} ran as {runs:?}");
    }
    let again = starts.len() - ITEMS;
    assert!(
        again <= in_flight,
        "{again} items ran again, {in_flight} had no result on the log"
    );
}

/// Requests of a former owner arrive after another one has run the same items.
#[tokio::test]
async fn items_that_a_former_owner_sent_are_refused_when_they_come_late() {
    let mut fleet = start_slow().await;
    let mut proxies = Vec::new();
    for engine in &fleet.engines {
        proxies.push(TestProxy::start(engine.address).await);
    }
    let addresses: Vec<_> = proxies
        .iter()
        .map(|proxy| proxy.address.to_string())
        .collect();
    for name in ["entry-2", "entry-3"] {
        fleet.entries.remove(name);
    }
    fleet.entries.remove("entry-1");
    fleet.start_entry_with("entry-1", |settings| {
        settings["upstreams"][0]["addresses"] = json!(addresses);
    });
    fleet.wait_ready("entry-1").await;
    let job = submit(&fleet, "entry-1", "late").await;
    wait_progress(&fleet, "entry-1", &job, 20).await;
    proxies.iter().for_each(|proxy| proxy.hold_requests(true));
    sleep(DELIVERY_TIME).await;
    fleet.entries["entry-1"].signal("STOP");
    for name in ["entry-2", "entry-3"] {
        fleet.start_entry(name);
        fleet.wait_ready(name).await;
    }
    check_results(&fleet, "entry-2", &job).await;
    let before = item_starts(&fleet).await.len();
    proxies.iter().for_each(|proxy| proxy.hold_requests(false));
    sleep(DELIVERY_TIME).await;
    let starts = item_starts(&fleet).await;
    let late = &starts[before..];
    assert!(late.is_empty(), "the engines ran {late:?}");
}

#[tokio::test]
async fn a_lagging_instance_returns_results_that_others_have_returned() {
    let fleet = start_slow().await;
    let job = submit(&fleet, "entry-1", "behind").await;
    wait_progress(&fleet, "entry-2", &job, 20).await;
    let owner = owner_of(&fleet).await;
    let mut others = fleet.entries.keys().filter(|name| **name != owner);
    let (behind, other) = (others.next().expect("one"), others.next().expect("two"));
    fleet.entries[behind].signal("STOP");
    check_results(&fleet, other, &job).await;
    let later = submit_items(&fleet, other, "later", 1).await;
    fleet.entries[behind].signal("CONT");
    let results = async |name| {
        let path = format!("/v1/batches/{job}/results");
        fleet.get_text(name, &path).await
    };
    assert_eq!(results(behind).await, results(other).await);
    fleet.entries[behind].signal("STOP");
    let latest = submit_items(&fleet, other, "latest", 1).await;
    fleet.entries[behind].signal("CONT");
    for job in [latest, later] {
        let shown = fleet.get(behind, &format!("/v1/batches/{job}")).await;
        assert_eq!(shown.expect("an answer").0, 200);
    }
}

#[tokio::test]
async fn a_planned_stop_of_the_owner_runs_nothing_again() {
    let mut fleet = TestFleet::start_with(2, 3, &["--step", "400ms"], &[]).await;
    let job = submit_items(&fleet, "entry-1", "stop", 80).await;
    wait_progress(&fleet, "entry-2", &job, 1).await;
    let owner = owner_of(&fleet).await;
    let mut stopped = fleet.entries.remove(&owner).expect("the owner runs");
    stopped.signal("TERM");
    let code = tokio::task::spawn_blocking(move || stopped.wait()).await;
    assert_eq!(code.expect("joined"), Some(0));
    let other = fleet.entries.keys().next().expect("another instance");
    check_items(&fleet, other, &job, 80).await;
    assert_eq!(item_runs(&fleet).await, 80, "nothing ran twice");
}

#[tokio::test]
async fn a_resend_to_another_instance_returns_the_same_job() {
    let fleet = start_slow().await;
    let job = submit(&fleet, "entry-1", "again").await;
    for name in ["entry-2", "entry-3", "entry-1"] {
        wait_progress(&fleet, name, &job, 0).await;
        assert_eq!(submit(&fleet, name, "again").await, job);
    }
    check_results(&fleet, "entry-2", &job).await;
    assert_eq!(item_runs(&fleet).await, ITEMS as u64, "nothing ran twice");
}
