//! What operators do during a checked run: a setting, a leaving upstream, a planned stop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_settings::upstream::UpstreamKind;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::local_fleet::LocalFleet;
use crate::local_promises::{Promise, PromiseBook};

/// Longest wait for one call.
const CALL_LIMITS: CallLimits = CallLimits::new(Duration::from_secs(10));
/// Time within which an accepted setting must be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(18);
/// Time after which a leaving upstream must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(5);
/// Time for which a leaving upstream is watched.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Time between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// The value that is set.
const QUEUE_LIMIT: u64 = 240;

/// A setting that was changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedSetting {
    /// Its name.
    pub name: String,
    /// Time until it was in force everywhere.
    pub in_force: Option<Duration>,
}

/// Changes one setting and waits until every instance has it.
pub async fn change_setting(fleet: &LocalFleet, book: &PromiseBook) -> ChangedSetting {
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
    let call =
        HttpCall::post(fleet.pick().address, "/v1/operator/config").with_body(body.to_string());
    let accepted = fleet.client.fetch(call, CALL_LIMITS).await;
    let is_accepted = matches!(accepted, Ok((200, _)));
    book.check(Promise::ConfigInForce, is_accepted, || {
        format!("{name} was answered {accepted:?}")
    });
    let mut in_force = None;
    while is_accepted && in_force.is_none() && start.elapsed() < IN_FORCE_LIMIT {
        match is_in_force(fleet, &name).await {
            true => in_force = Some(start.elapsed()),
            false => sleep(LOOK_PERIOD).await,
        }
    }
    book.check(Promise::ConfigInForce, in_force.is_some(), || {
        format!("{name} is not in force everywhere after {IN_FORCE_LIMIT:?}")
    });
    ChangedSetting { name, in_force }
}

/// Checks at the end that a setting did not revert.
pub async fn check_kept(fleet: &LocalFleet, book: &PromiseBook, setting: &ChangedSetting) {
    if setting.in_force.is_some() {
        let is_kept = is_in_force(fleet, &setting.name).await;
        book.check(Promise::ConfigInForce, is_kept, || {
            format!("{} reverted on an instance", setting.name)
        });
    }
}

async fn is_in_force(fleet: &LocalFleet, name: &str) -> bool {
    for instance in fleet.instances().iter().filter(|i| i.is_ready) {
        let call = HttpCall::get(instance.address, "/v1/operator/config");
        let shown: Result<Value, _> = fleet.client.fetch_json(call, CALL_LIMITS).await;
        if !shown.is_ok_and(|shown| shown["values"][name] == QUEUE_LIMIT) {
            return false;
        }
    }
    true
}

/// Lists one engine as leaving and watches that it gets no new work after a while.
pub async fn leave_upstream(fleet: &LocalFleet, book: &PromiseBook) {
    let groups = fleet.settings.upstreams.iter();
    let mut groups = groups.filter(|g| g.kind == UpstreamKind::Engine && g.count > 1);
    let Some(group) = groups.next() else { return };
    let name = group.upstreams()[group.count - 1].upstream.clone();
    let engine = fleet.engines.iter().find(|(known, _)| *known == name);
    let Some((_, engine)) = engine else { return };
    engine.set_leaving(true);
    log::info!("event=upstream_leaving upstream={name}");
    sleep(LEAVING_LIMIT).await;
    let before = engine.request_count();
    sleep(QUIET_TIME).await;
    let late = engine.request_count() - before;
    book.check(Promise::LeavingQuiet, late == 0, || {
        format!("{name} got {late} requests after {LEAVING_LIMIT:?}")
    });
    engine.set_leaving(false);
}

/// Stops one instance as planned under load and starts it again.
pub async fn stop_instance(fleet: &Arc<LocalFleet>, book: &PromiseBook) {
    let name = fleet.settings.instances[0].name.clone();
    let broken = || {
        let rows = book.rows();
        let whole = rows.iter().find(|(p, _)| *p == Promise::OnlineWhole);
        whole.map_or(0, |(_, row)| row.broken)
    };
    let before = broken();
    fleet.stop_instance(&name).await;
    sleep(Duration::from_millis(500)).await;
    let cut = broken() - before;
    book.check(Promise::StopCutsNothing, cut == 0, || {
        format!("{cut} answers were cut while {name} stopped")
    });
    if let Err(e) = fleet.start_instance(&name).await {
        book.check(Promise::StopCutsNothing, false, || {
            format!("{name} did not start again: {e}")
        });
    }
}
