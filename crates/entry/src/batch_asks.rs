//! Asks for batch places and tells of online work, each to the instance that decides on the
//! upstream.

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

/// Longest wait for a grant; the other side waits for at most 400 ms.
const ASK_LIMIT: CallLimits = CallLimits::new(Duration::from_secs(1));
/// Longest wait for a notice to be taken.
const NOTICE_LIMIT: CallLimits = CallLimits::new(Duration::from_millis(500));
/// Time between two looks at whether anything wants places.
const IDLE_PERIOD: Duration = Duration::from_millis(25);
/// Wait after a failed ask.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between two looks at the online work of this instance.
const COUNT_PERIOD: Duration = Duration::from_millis(5);
/// Time after which unchanged counts are told again, in milliseconds.
const REPEAT_MS: u64 = 1_000;

/// Asks and tells until the instance ends.
pub async fn run(context: Arc<InstanceContext>) {
    for (group, upstream) in batch_upstreams(&context) {
        tokio::spawn(ask_for(context.clone(), group, upstream));
    }
    tokio::select! {
        () = tell(&context) => {}
        () = context.stop.cancelled() => {}
    }
}

/// The upstreams of the tiers that take batch jobs.
fn batch_upstreams(context: &InstanceContext) -> Vec<(String, UpstreamId)> {
    let tiers = &context.config.fleet.tiers;
    let batch = |group: &str| tiers.iter().any(|t| t.batch && t.upstreams == group);
    let upstreams = context.upstreams.all().filter(|(group, _)| batch(group));
    upstreams
        .map(|(group, state)| (group.to_owned(), state.upstream.clone()))
        .collect()
}

/// The instance that decides on an upstream.
fn decider_of(live: &[InstanceId], upstream: &UpstreamId) -> Option<InstanceId> {
    let key = upstream.as_str().as_bytes();
    let order = rendezvous_order(key, live, |instance| instance.as_str());
    order.first().map(|instance| (*instance).clone())
}

async fn ask_for(context: Arc<InstanceContext>, group: String, upstream: UpstreamId) {
    let mut holds = SlotGrant::default();
    while !context.stop.is_cancelled() {
        let (want, running) = context.slots.want(&group, &upstream);
        if want == 0 && holds == SlotGrant::default() {
            sleep(IDLE_PERIOD).await;
            continue;
        }
        let asked_ms = steady_ms();
        let ask = SlotRequest {
            instance: context.config.instance.clone(),
            upstream: upstream.clone(),
            want,
            running,
            holds,
        };
        match send_ask(&context, &ask).await {
            Some(grant) => {
                holds = grant;
                let slots = &context.slots;
                slots.set_granted(&group, &upstream, grant, asked_ms);
            }
            None => sleep(RETRY_DELAY).await,
        }
    }
}

async fn send_ask(context: &InstanceContext, ask: &SlotRequest) -> Option<SlotGrant> {
    let decider = decider_of(&context.members.live(), &ask.upstream)?;
    if decider == context.config.instance {
        return context.gates.ask(ask).await.ok();
    }
    let address = context.members.address(&decider)?;
    let body = serde_json::to_vec(ask).expect("asks always encode");
    let call = HttpCall::post(address, BATCH_SLOTS_PATH).with_body(body);
    context.client.fetch_json(call, ASK_LIMIT).await.ok()
}

/// Tells the deciders of the online work here whenever it changes.
async fn tell(context: &Arc<InstanceContext>) {
    let upstreams = batch_upstreams(context);
    let mut told: HashMap<UpstreamId, (u32, u64)> = HashMap::new();
    loop {
        let now_ms = steady_ms();
        let mut changed = Vec::new();
        for (_, state) in context.upstreams.all() {
            let online = state.in_flight();
            let last = told.get(&state.upstream).copied().unwrap_or((0, 0));
            let repeated = online > 0 && now_ms >= last.1 + REPEAT_MS;
            let wanted = upstreams.iter().any(|(_, u)| *u == state.upstream);
            if wanted && (online != last.0 || repeated) {
                told.insert(state.upstream.clone(), (online, now_ms));
                let upstream = state.upstream.clone();
                changed.push(OnlineCount { upstream, online });
            }
        }
        send_counts(context, changed);
        sleep(COUNT_PERIOD).await;
    }
}

/// Sends each decider its counts in one notice.
fn send_counts(context: &Arc<InstanceContext>, counts: Vec<OnlineCount>) {
    if counts.is_empty() {
        return;
    }
    let live = context.members.live();
    let mut notices: HashMap<InstanceId, Vec<OnlineCount>> = HashMap::new();
    for count in counts {
        if let Some(decider) = decider_of(&live, &count.upstream) {
            notices.entry(decider).or_default().push(count);
        }
    }
    for (decider, counts) in notices {
        let instance = context.config.instance.clone();
        let notice = OnlineNotice {
            instance,
            told_ms: steady_ms(),
            counts,
        };
        if decider == context.config.instance {
            context.gates.take_notice(&notice);
            continue;
        }
        let Some(address) = context.members.address(&decider) else {
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
