//! Allocates batch slots of the upstreams that rendezvous hashing assigns to this instance.

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

/// Longest time for which a slot request waits until its grant changes.
const GRANT_WAIT: Duration = Duration::from_millis(400);
/// Interval between reads of load reports and checks for silent instances.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Fallback when the settings name an unknown capacity policy.
const DEFAULT_POLICY: &str = "preempt";
/// Growth of the step time assumed until load reports give one, in thousandths per stream.
const DEFAULT_GROWTH_PERMILLE: u32 = 30;

type Grants = BTreeMap<InstanceId, SlotGrant>;

/// Slot allocation of one upstream.
struct UpstreamAllocation {
    slots: u32,
    allocator: Mutex<AllocatorState>,
    /// Whether the upstream may not receive new batch work.
    closed: AtomicBool,
    grants: watch::Sender<Grants>,
}

#[derive(Default)]
struct AllocatorState {
    slots: BatchSlotAllocator,
    steps: StepTimeModel,
}

/// Slot allocation of all upstreams. Requests arrive only for those that this instance coordinates.
pub struct SlotCoordinator {
    allocations: HashMap<UpstreamId, UpstreamAllocation>,
    policy: &'static CapacityPolicy,
    slowdown_permille: u32,
}

impl SlotCoordinator {
    /// Creates an allocation without demand for each upstream of the settings.
    pub fn new(fleet: &FleetSettings) -> Self {
        let groups = fleet.upstreams.iter();
        let allocations = groups.flat_map(|group| {
            group.upstreams().into_iter().map(|settings| {
                let allocation = UpstreamAllocation {
                    slots: group.slots,
                    allocator: Mutex::default(),
                    closed: AtomicBool::new(false),
                    grants: watch::Sender::default(),
                };
                (settings.upstream, allocation)
            })
        });
        let policy =
            capacity_policy(&fleet.batch.policy).or_else(|| capacity_policy(DEFAULT_POLICY));
        Self {
            allocations: allocations.collect(),
            policy: policy.expect("the default policy is registered"),
            slowdown_permille: fleet.batch.slowdown,
        }
    }

    /// Records the demand and waits until the grant differs from what the requester holds.
    pub async fn request_slots(&self, demand: &SlotRequest) -> Result<SlotGrant> {
        let allocation = self.allocations.get(&demand.upstream).ok_or_else(|| {
            let message = format!("no upstream is named {}", demand.upstream);
            CallError::new(ErrorKind::NotFound, message)
        })?;
        self.update(allocation, |allocator, now_ms| {
            // The requester may start streams up to its last grant while this request is in flight.
            let committed = demand.running.max(demand.holds.granted);
            allocator
                .slots
                .record_demand(&demand.instance, demand.want, committed, now_ms);
        });
        let granted = |grants: &Grants| grants.get(&demand.instance).copied().unwrap_or_default();
        let mut grants = allocation.grants.subscribe();
        let changed = grants.wait_for(|grants| granted(grants) != demand.holds);
        let _ = timeout(GRANT_WAIT, changed).await;
        Ok(granted(&allocation.grants.borrow()))
    }

    /// Records the online request counts that an instance reports.
    pub fn record_notice(&self, notice: &OnlineNotice) {
        for count in &notice.counts {
            if let Some(allocation) = self.allocations.get(&count.upstream) {
                self.update(allocation, |allocator, now_ms| {
                    let online = OnlineReport {
                        online: count.online,
                        sent_ms: notice.told_ms,
                        received_ms: now_ms,
                    };
                    allocator.slots.record_online(&notice.instance, online);
                });
            }
        }
    }

    /// Updates an allocation and notifies waiting requests if its grants change.
    fn update(
        &self,
        allocation: &UpstreamAllocation,
        update: impl FnOnce(&mut AllocatorState, u64),
    ) {
        let mut allocator = allocation.allocator.lock().expect("not poisoned");
        update(&mut allocator, steady_ms());
        let growth = allocator.steps.growth_permille();
        let parameters = SlotParameters {
            slots: match allocation.closed.load(Ordering::Relaxed) {
                true => 0,
                false => allocation.slots,
            },
            slowdown_permille: self.slowdown_permille,
            growth_permille: growth.unwrap_or(DEFAULT_GROWTH_PERMILLE),
        };
        let grants = allocator.slots.grants(parameters, self.policy);
        allocation.grants.send_if_modified(|current| {
            let differs = *current != grants;
            *current = grants;
            differs
        });
    }
}

/// Handles the slot request of a peer.
pub async fn handle_slot_request(
    context: Arc<InstanceContext>,
    request: RouteRequest,
) -> Result<Response> {
    let slot_request: SlotRequest = read_json(request.into_body(), online_limits(&context)).await?;
    Ok(answer::json(
        200,
        &context
            .slot_coordinator
            .request_slots(&slot_request)
            .await?,
    ))
}

/// Handles the online counts that a peer reports.
pub async fn handle_online_notice(
    context: Arc<InstanceContext>,
    request: RouteRequest,
) -> Result<Response> {
    let notice: OnlineNotice = read_json(request.into_body(), online_limits(&context)).await?;
    context.slot_coordinator.record_notice(&notice);
    Ok(answer::empty(204))
}

/// Reads load reports and expires silent instances until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    loop {
        tokio::select! {
            () = sleep(REFRESH_INTERVAL) => refresh_loads(&context),
            () = context.stop.cancelled() => return,
        }
    }
}

fn refresh_loads(context: &InstanceContext) {
    let instances = context.members.live().len() as u32;
    for (_, state) in context.upstreams.all() {
        let Some(allocation) = context.slot_coordinator.allocations.get(&state.upstream) else {
            continue;
        };
        let now_ms = unix_ms();
        let snapshot = state.snapshot(now_ms, instances);
        let withheld = context.upstreams.is_withheld(&state.upstream);
        let closed = withheld || snapshot.leaving || !snapshot.health.is_available(now_ms);
        allocation.closed.store(closed, Ordering::Relaxed);
        let load = snapshot.load;
        context
            .slot_coordinator
            .update(allocation, |allocator, now_ms| {
                if let (Some(active), Some(step_us)) = (load.reported, load.step_us) {
                    allocator
                        .steps
                        .record(active.min(allocation.slots), step_us);
                }
                allocator.slots.expire_silent(now_ms);
            });
    }
}
