//! Two instances of each data centre read the log and relay it to the others; a lost relay is
//! replaced.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use support::{TestFleet, wait_until};
use tokio::time::sleep;

/// Instances of each data centre that read the log directly.
const RELAYS: usize = 2;
/// Observation time, longer than a read waits for entries.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

/// Number of direct log reads of each instance.
async fn direct_reads(fleet: &TestFleet) -> BTreeMap<String, u64> {
    let mut reads = BTreeMap::new();
    for name in fleet.entries.keys() {
        let metrics = fleet.get_text(name, "/metrics").await;
        let line = "amaranth_log_reads_total{source=\"log\"} ";
        let count = metrics.lines().find_map(|l| l.strip_prefix(line));
        let count = count.and_then(|count| count.parse().ok()).unwrap_or(0);
        reads.insert(name.clone(), count);
    }
    reads
}

/// Returns the instances that read the log directly during [`OBSERVATION_TIME`].
async fn direct_readers(fleet: &TestFleet) -> Vec<String> {
    let before = direct_reads(fleet).await;
    sleep(OBSERVATION_TIME).await;
    let after = direct_reads(fleet).await;
    let grown = after
        .into_iter()
        .filter(|(name, count)| *count > before[name]);
    grown.map(|(name, _)| name).collect()
}

async fn set_limit(fleet: &TestFleet, through: &str, revision: u64, limit: u64) {
    let change = json!({
        "command": format!("change-{revision}"),
        "author": "ana",
        "expected": revision,
        "name": "tier.shading.queue_limit",
        "value": limit,
    });
    let answer = fleet
        .post(through, "/v1/operator/config", &[], change.to_string())
        .await;
    assert_eq!(answer.expect("an answer").0, 200);
    for name in fleet.entries.keys() {
        wait_until("the setting is in force", async || {
            let config = fleet.get(name, "/v1/operator/config").await;
            config.is_ok_and(|(_, c)| c["values"]["tier.shading.queue_limit"] == limit)
        })
        .await;
    }
}

#[tokio::test]
async fn only_relays_read_the_log_and_a_lost_relay_is_replaced() {
    let mut fleet = TestFleet::start(1, 8).await;
    wait_until("only the relays read the log", async || {
        direct_readers(&fleet).await.len() == 2 * RELAYS
    })
    .await;
    set_limit(&fleet, "entry-1", 0, 41).await;
    let relay = direct_readers(&fleet).await.remove(0);
    fleet.kill(&relay);
    let other = fleet.entries.keys().next().expect("an instance").clone();
    set_limit(&fleet, &other, 1, 42).await;
    wait_until("another took the relay's place", async || {
        direct_readers(&fleet).await.len() == 2 * RELAYS
    })
    .await;
    set_limit(&fleet, &other, 2, 43).await;
}
