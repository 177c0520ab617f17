//! Decides on the batch places of the upstreams for which this instance comes first.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::batch_capacity::{CapacityPolicy, capacity_policy};
use amaranth_kernel::batch_slot_allocator::{BatchSlotAllocator, OnlineReport, SlotParameters};
use amaranth_kernel::step_model::StepTimeModel;
use amaranth_net::answer;
use amaranth_net::body::read_json;
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_net::route::RouteRequest;
use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::batch_slots::{OnlineNotice, SlotGrant, SlotRequest};
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{InstanceId, UpstreamId};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use volo_http::response::Response;

use crate::accept::online_limits;
use crate::context::{InstanceContext, Result};

/// Longest time for which an ask waits until its grant changes.
const ASK_WAIT: Duration = Duration::from_millis(400);
/// Time between two looks at load reports and silent instances.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// The policy that is used when the settings' is not known.
const DEFAULT_POLICY: &str = "preempt";
/// Growth of the step that is assumed before reports tell, in thousandths for each stream.
const DEFAULT_GROWTH_PERMILLE: u32 = 30;

type Grants = BTreeMap<InstanceId, SlotGrant>;

/// The gate of one upstream.
struct UpstreamGate {
    slots: u32,
    book: Mutex<GateBook>,
    /// Whether the upstream may get no new batch work.
    closed: AtomicBool,
    grants: watch::Sender<Grants>,
}

#[derive(Default)]
struct GateBook {
    slots: BatchSlotAllocator,
    steps: StepTimeModel,
}

/// The gates of all upstreams. Only those of which this instance is asked do anything.
pub struct BatchGates {
    gates: HashMap<UpstreamId, UpstreamGate>,
    policy: &'static CapacityPolicy,
    slowdown_permille: u32,
}

impl BatchGates {
    /// Gates without any work.
    pub fn new(fleet: &FleetSettings) -> Self {
        let groups = fleet.upstreams.iter();
        let gates = groups.flat_map(|group| {
            group.upstreams().into_iter().map(|settings| {
                let gate = UpstreamGate {
                    slots: group.slots,
                    book: Mutex::default(),
                    closed: AtomicBool::new(false),
                    grants: watch::Sender::default(),
                };
                (settings.upstream, gate)
            })
        });
        let policy =
            capacity_policy(&fleet.batch.policy).or_else(|| capacity_policy(DEFAULT_POLICY));
        Self {
            gates: gates.collect(),
            policy: policy.expect("the default policy is registered"),
            slowdown_permille: fleet.batch.slowdown,
        }
    }

    /// Takes an ask and waits until its grant differs from what the asker holds.
    pub async fn ask(&self, ask: &SlotRequest) -> Result<SlotGrant> {
        let gate = self.gates.get(&ask.upstream).ok_or_else(|| {
            let message = format!("no upstream is named {}", ask.upstream);
            CallError::new(ErrorKind::NotFound, message)
        })?;
        self.change(gate, |book, now_ms| {
            // The asker may start streams up to its last grant while this ask is under way.
            let committed = ask.running.max(ask.holds.granted);
            book.slots
                .record_demand(&ask.instance, ask.want, committed, now_ms);
        });
        let granted = |grants: &Grants| grants.get(&ask.instance).copied().unwrap_or_default();
        let mut grants = gate.grants.subscribe();
        let changed = grants.wait_for(|grants| granted(grants) != ask.holds);
        let _ = timeout(ASK_WAIT, changed).await;
        Ok(granted(&gate.grants.borrow()))
    }

    /// Takes a notice of online work.
    pub fn take_notice(&self, notice: &OnlineNotice) {
        for count in &notice.counts {
            if let Some(gate) = self.gates.get(&count.upstream) {
                self.change(gate, |book, now_ms| {
                    let online = OnlineReport {
                        online: count.online,
                        sent_ms: notice.told_ms,
                        received_ms: now_ms,
                    };
                    book.slots.record_online(&notice.instance, online);
                });
            }
        }
    }

    /// Changes a book and tells those whose grants change by it.
    fn change(&self, gate: &UpstreamGate, change: impl FnOnce(&mut GateBook, u64)) {
        let mut book = gate.book.lock().expect("not poisoned");
        change(&mut book, steady_ms());
        let growth = book.steps.growth_permille();
        let parameters = SlotParameters {
            slots: match gate.closed.load(Ordering::Relaxed) {
                true => 0,
                false => gate.slots,
            },
            slowdown_permille: self.slowdown_permille,
            growth_permille: growth.unwrap_or(DEFAULT_GROWTH_PERMILLE),
        };
        let grants = book.slots.grants(parameters, self.policy);
        gate.grants.send_if_modified(|current| {
            let differs = *current != grants;
            *current = grants;
            differs
        });
    }
}

/// Handles an ask of a peer.
pub async fn ask(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let ask: SlotRequest = read_json(request.into_body(), online_limits(&context)).await?;
    Ok(answer::json(200, &context.gates.ask(&ask).await?))
}

/// Handles a notice of a peer.
pub async fn notice(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let notice: OnlineNotice = read_json(request.into_body(), online_limits(&context)).await?;
    context.gates.take_notice(&notice);
    Ok(answer::empty(204))
}

/// Learns from load reports and forgets silent instances until the instance ends.
pub async fn run(context: Arc<InstanceContext>) {
    loop {
        tokio::select! {
            () = sleep(LOOK_PERIOD) => look(&context),
            () = context.stop.cancelled() => return,
        }
    }
}

fn look(context: &InstanceContext) {
    let instances = context.members.live().len() as u32;
    for (_, state) in context.upstreams.all() {
        let Some(gate) = context.gates.gates.get(&state.upstream) else {
            continue;
        };
        let now_ms = unix_ms();
        let snapshot = state.snapshot(now_ms, instances);
        let withheld = context.upstreams.is_withheld(&state.upstream);
        let closed = withheld || snapshot.leaving || !snapshot.health.is_available(now_ms);
        gate.closed.store(closed, Ordering::Relaxed);
        let load = snapshot.load;
        context.gates.change(gate, |book, now_ms| {
            if let (Some(active), Some(step_us)) = (load.reported, load.step_us) {
                book.steps.record(active.min(gate.slots), step_us);
            }
            book.slots.expire_silent(now_ms);
        });
    }
}
