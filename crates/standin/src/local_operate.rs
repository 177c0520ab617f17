//! Operator actions during a checked run: a setting change, a leaving upstream, a planned stop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_settings::upstream::UpstreamKind;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::local_fleet::LocalFleet;
use crate::local_promises::{Promise, PromiseRecorder};

/// Timeouts of a call.
const CALL_TIMEOUTS: CallLimits = CallLimits::new(Duration::from_secs(10));
/// Time within which an accepted setting must be in force on every instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(18);
/// Time after which a leaving upstream must receive no new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(5);
/// Time for which a leaving upstream is observed after that.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// New value of the changed setting.
const QUEUE_LIMIT: u64 = 240;

/// Result of changing a setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedSetting {
    /// Name of the setting.
    pub name: String,
    /// Time until it was in force on every instance; `None` if it timed out.
    pub in_force: Option<Duration>,
}

/// Changes a setting and waits until it is in force on every ready instance.
pub async fn change_setting(fleet: &LocalFleet, recorder: &PromiseRecorder) -> ChangedSetting {
    let tier = &fleet.settings.tiers[0].name;
    let name = format!("tier.{tier}.queue_limit");
    let body = json!({
        "command": format!("local-{:016x}", rand::random::<u64>()),
        "author": "amaranth-local",
        "expected": 0,
        "name": name,
        "value": QUEUE_LIMIT,
    });
    let start = Instant::now();
    let call = HttpCall::post(fleet.pick_instance().address, "/v1/operator/config")
        .with_body(body.to_string());
    let accepted = fleet.client.fetch(call, CALL_TIMEOUTS).await;
    let is_accepted = matches!(accepted, Ok((200, _)));
    recorder.check(Promise::ConfigInForce, is_accepted, || {
        format!("{name} was answered {accepted:?}")
    });
    let mut in_force = None;
    while is_accepted && in_force.is_none() && start.elapsed() < IN_FORCE_TIMEOUT {
        match is_in_force(fleet, &name).await {
            true => in_force = Some(start.elapsed()),
            false => sleep(POLL_INTERVAL).await,
        }
    }
    recorder.check(Promise::ConfigInForce, in_force.is_some(), || {
        format!("{name} is not in force everywhere after {IN_FORCE_TIMEOUT:?}")
    });
    ChangedSetting { name, in_force }
}

/// Checks that a changed setting is still in force.
pub async fn check_still_in_force(
    fleet: &LocalFleet,
    recorder: &PromiseRecorder,
    setting: &ChangedSetting,
) {
    if setting.in_force.is_some() {
        let still_in_force = is_in_force(fleet, &setting.name).await;
        recorder.check(Promise::ConfigInForce, still_in_force, || {
            format!("{} reverted on an instance", setting.name)
        });
    }
}

async fn is_in_force(fleet: &LocalFleet, name: &str) -> bool {
    for instance in fleet.instances().iter().filter(|i| i.is_ready) {
        let call = HttpCall::get(instance.address, "/v1/operator/config");
        let shown: Result<Value, _> = fleet.client.fetch_json(call, CALL_TIMEOUTS).await;
        if !shown.is_ok_and(|shown| shown["values"][name] == QUEUE_LIMIT) {
            return false;
        }
    }
    true
}

/// Lists an engine as leaving and checks that it gets no requests after a grace period.
pub async fn check_leaving_upstream(fleet: &LocalFleet, recorder: &PromiseRecorder) {
    let groups = fleet.settings.upstreams.iter();
    let mut groups = groups.filter(|g| g.kind == UpstreamKind::Engine && g.count > 1);
    let Some(group) = groups.next() else { return };
    let name = group.upstreams()[group.count - 1].upstream.clone();
    let engine = fleet.engines.iter().find(|(known, _)| *known == name);
    let Some((_, engine)) = engine else { return };
    engine.set_leaving(true);
    log::info!("event=upstream_leaving upstream={name}");
    sleep(LEAVING_GRACE).await;
    let before = engine.request_count();
    sleep(OBSERVATION_TIME).await;
    let late = engine.request_count() - before;
    recorder.check(Promise::LeavingUpstreamIdle, late == 0, || {
        format!("{name} got {late} requests after {LEAVING_GRACE:?}")
    });
    engine.set_leaving(false);
}

/// Gracefully stops an instance under load, checks that no answer is cut, and restarts it.
pub async fn stop_instance(fleet: &Arc<LocalFleet>, recorder: &PromiseRecorder) {
    let name = fleet.settings.instances[0].name.clone();
    let broken = || {
        let rows = recorder.rows();
        let complete_row = rows.iter().find(|(p, _)| *p == Promise::AnswersComplete);
        complete_row.map_or(0, |(_, row)| row.broken)
    };
    let before = broken();
    fleet.stop_instance(&name).await;
    sleep(Duration::from_millis(500)).await;
    let cut = broken() - before;
    recorder.check(Promise::StopInterruptsNothing, cut == 0, || {
        format!("{cut} answers were cut while {name} stopped")
    });
    if let Err(e) = fleet.start_instance(&name).await {
        recorder.check(Promise::StopInterruptsNothing, false, || {
            format!("{name} did not start again: {e}")
        });
    }
}
