//! Polls the upstreams' load reports and the platform's upstream list.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall, HttpClient, HttpError};
use amaranth_settings::upstream::UpstreamKind;
use amaranth_wire::engine::{EngineLoad, LOAD_PATH, ListedUpstream};
use amaranth_wire::platform::UPSTREAM_LIST_PATH;
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::context::InstanceContext;
use crate::upstream_table::UpstreamState;

/// Shortest time between two polls of one upstream.
const POLL_PERIOD: Duration = Duration::from_millis(250);
/// Minimum poll period per upstream, so that reports stay a bounded share of the instance's
/// traffic.
const PERIOD_PER_UPSTREAM: Duration = Duration::from_millis(33);
/// Timeout for a report or the list, and for connecting to the platform.
const POLL_LIMIT: Duration = Duration::from_secs(1);

/// Polls until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    tokio::select! {
        () = poll_loads(&context) => {}
        () = poll_list(&context) => {}
        () = context.stop.cancelled() => {}
    }
}

async fn poll_loads(context: &InstanceContext) {
    let count = context.upstreams.all().count() as u32;
    let period = POLL_PERIOD.max(PERIOD_PER_UPSTREAM * count);
    loop {
        let polls = context.upstreams.all();
        let polls = polls.map(|(group, state)| poll_load(state, gap_objective_us(context, group)));
        join_all(polls).await;
        sleep(period).await;
    }
}

/// The strictest objective for the time between tokens of the tiers that use a group.
fn gap_objective_us(context: &InstanceContext, group: &str) -> u64 {
    let fleet = &context.config.fleet;
    let is_engine = |kind| kind == UpstreamKind::Engine;
    if !fleet
        .group(group)
        .is_some_and(|group| is_engine(group.kind))
    {
        return u64::MAX;
    }
    let tiers = fleet.tiers.iter().filter(|tier| tier.upstreams == group);
    let gaps = tiers.map(|tier| tier.token_gap.as_micros());
    gaps.min().unwrap_or(u64::MAX)
}

async fn poll_load(state: &UpstreamState, gap_us: u64) {
    let call = HttpCall::get(state.address, LOAD_PATH);
    let report = state
        .client
        .fetch_json::<EngineLoad>(call, CallLimits::new(POLL_LIMIT));
    match report.await {
        Ok(report) => state.apply_report(&report, gap_us),
        // Upstreams need not serve load reports, so this is not a failure.
        Err(HttpError::BadAnswer(_)) => {}
        Err(e) => {
            log::debug!(
                "event=load_poll_failed upstream={} error={:?}",
                state.upstream,
                e.to_string()
            );
            state.record_failure();
        }
    }
}

async fn poll_list(context: &InstanceContext) {
    let client = HttpClient::new(POLL_LIMIT);
    let platform = context.config.fleet.platform.address;
    loop {
        let call = HttpCall::get(platform, UPSTREAM_LIST_PATH);
        let listed = client.fetch_json::<Vec<_>>(call, CallLimits::new(POLL_LIMIT));
        if let Ok(listed) = listed.await {
            apply_list(context, &listed);
        }
        let live = context.members.live().len();
        if live > 0 {
            context.upstreams.set_instance_count(live);
        }
        sleep(POLL_PERIOD).await;
    }
}

fn apply_list(context: &InstanceContext, listed: &[ListedUpstream]) {
    let leaving = listed.iter().filter(|row| row.leaving);
    let leaving: HashSet<_> = leaving.map(|row| &row.upstream).collect();
    for (_, state) in context.upstreams.all() {
        state.set_listed_leaving(leaving.contains(&state.upstream));
    }
}
