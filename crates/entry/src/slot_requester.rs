//! Requests batch slots and reports online request counts, each to the instance that coordinates
//! the upstream.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_net::clock::steady_ms;
use amaranth_wire::batch_slots::{
    BATCH_SLOTS_PATH, ONLINE_NOTICE_PATH, OnlineCount, OnlineNotice, SlotGrant, SlotRequest,
};
use amaranth_wire::id::{InstanceId, UpstreamId};
use tokio::time::sleep;

use crate::context::InstanceContext;

/// Timeout of a slot request; the coordinator holds it for at most 400 ms.
const REQUEST_LIMIT: CallLimits = CallLimits::new(Duration::from_secs(1));
/// Timeout of a notice of online counts.
const NOTICE_LIMIT: CallLimits = CallLimits::new(Duration::from_millis(500));
/// Interval between checks for demand while no slots are wanted or held.
const IDLE_INTERVAL: Duration = Duration::from_millis(25);
/// Delay after a failed slot request.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between reads of the online request counts of this instance.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which unchanged counts are reported again, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// Requests slots and reports online counts until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    for (group, upstream) in batch_upstreams(&context) {
        tokio::spawn(maintain_grant(context.clone(), group, upstream));
    }
    tokio::select! {
        () = report_online(&context) => {}
        () = context.stop.cancelled() => {}
    }
}

/// The upstreams of the tiers that accept batch jobs.
fn batch_upstreams(context: &InstanceContext) -> Vec<(String, UpstreamId)> {
    let tiers = &context.config.fleet.tiers;
    let batch = |group: &str| tiers.iter().any(|t| t.batch && t.upstreams == group);
    let upstreams = context.upstreams.all().filter(|(group, _)| batch(group));
    upstreams
        .map(|(group, state)| (group.to_owned(), state.upstream.clone()))
        .collect()
}

/// The instance that allocates the batch slots of an upstream.
fn coordinator_of(live: &[InstanceId], upstream: &UpstreamId) -> Option<InstanceId> {
    let key = upstream.as_str().as_bytes();
    let order = rendezvous_order(key, live, |instance| instance.as_str());
    order.first().map(|instance| (*instance).clone())
}

async fn maintain_grant(context: Arc<InstanceContext>, group: String, upstream: UpstreamId) {
    let mut holds = SlotGrant::default();
    while !context.stop.is_cancelled() {
        let (want, running) = context.slots.demand(&group, &upstream);
        if want == 0 && holds == SlotGrant::default() {
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        let sent_ms = steady_ms();
        let request = SlotRequest {
            instance: context.config.instance.clone(),
            upstream: upstream.clone(),
            want,
            running,
            holds,
        };
        match send_request(&context, &request).await {
            Some(grant) => {
                holds = grant;
                let slots = &context.slots;
                slots.apply_grant(&group, &upstream, grant, sent_ms);
            }
            None => sleep(RETRY_DELAY).await,
        }
    }
}

async fn send_request(context: &InstanceContext, request: &SlotRequest) -> Option<SlotGrant> {
    let coordinator = coordinator_of(&context.members.live(), &request.upstream)?;
    if coordinator == context.config.instance {
        return context.slot_coordinator.request_slots(request).await.ok();
    }
    let address = context.members.address(&coordinator)?;
    let body = serde_json::to_vec(request).expect("slot requests always encode");
    let call = HttpCall::post(address, BATCH_SLOTS_PATH).with_body(body);
    context.client.fetch_json(call, REQUEST_LIMIT).await.ok()
}

/// Reports the online counts of this instance to the coordinators whenever they change.
async fn report_online(context: &Arc<InstanceContext>) {
    let upstreams = batch_upstreams(context);
    let mut reported: HashMap<UpstreamId, (u32, u64)> = HashMap::new();
    loop {
        let now_ms = steady_ms();
        let mut changed = Vec::new();
        for (_, state) in context.upstreams.all() {
            let online = state.in_flight();
            let last = reported.get(&state.upstream).copied().unwrap_or((0, 0));
            let repeated = online > 0 && now_ms >= last.1 + REPEAT_MS;
            let wanted = upstreams.iter().any(|(_, u)| *u == state.upstream);
            if wanted && (online != last.0 || repeated) {
                reported.insert(state.upstream.clone(), (online, now_ms));
                let upstream = state.upstream.clone();
                changed.push(OnlineCount { upstream, online });
            }
        }
        send_counts(context, changed);
        sleep(COUNT_INTERVAL).await;
    }
}

/// Sends each coordinator its counts in one notice.
fn send_counts(context: &Arc<InstanceContext>, counts: Vec<OnlineCount>) {
    if counts.is_empty() {
        return;
    }
    let live = context.members.live();
    let mut notices: HashMap<InstanceId, Vec<OnlineCount>> = HashMap::new();
    for count in counts {
        if let Some(coordinator) = coordinator_of(&live, &count.upstream) {
            notices.entry(coordinator).or_default().push(count);
        }
    }
    for (coordinator, counts) in notices {
        let instance = context.config.instance.clone();
        let notice = OnlineNotice {
            instance,
            told_ms: steady_ms(),
            counts,
        };
        if coordinator == context.config.instance {
            context.slot_coordinator.record_notice(&notice);
            continue;
        }
        let Some(address) = context.members.address(&coordinator) else {
            continue;
        };
        let body = serde_json::to_vec(&notice).expect("notices always encode");
        let call = HttpCall::post(address, ONLINE_NOTICE_PATH).with_body(body);
        let client = context.client.clone();
        tokio::spawn(async move {
            let _ = client.fetch(call, NOTICE_LIMIT).await;
        });
    }
}
