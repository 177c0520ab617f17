//! Drives plans under the plan lease, and carries configuration and plans past the log's
//! retention.
//!
//! Every step is a record before the next is made, so that a successor goes on where the log
//! ends. Orders carry the lease's epoch as fencing number. For engines that ignore it a new
//! driver waits until no order of an earlier one can still land.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_kernel::lease::LEASE_TTL_MS;
use amaranth_kernel::plan_state::PlanState;
use amaranth_kernel::rollout::{EngineSight, PlanAction, RolloutLimits, next_actions};
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_net::telemetry::quote;
use amaranth_wire::change::{PlanSpec, PlanStep};
use amaranth_wire::engine::{EngineOrder, EngineStatus, OrderAction};
use amaranth_wire::id::{CommandId, LeaseEpoch, ShardId, UpstreamId};
use amaranth_wire::record::LogRecord;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::context::InstanceContext;
use crate::lease_keeper::LeaseKeeper;
use crate::order_client::{ORDER_LIMIT, OrderClient, OrderOutcome};
use crate::plan_health::HealthWatch;

/// The lease of the driver; batch shards end far below.
pub const PLAN_SHARD: ShardId = ShardId(1_000);
/// Time between two looks at the plans.
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait for a step to reach the log.
const COMMIT_LIMIT: Duration = Duration::from_secs(4);
/// How often an order without a clear answer is sent at once; its id makes it act once.
const ORDER_TRIES: usize = 3;
/// Allowance for clocks and scheduling when an earlier driver's orders are waited out, in
/// milliseconds.
const FENCE_MARGIN_MS: u64 = 1_500;
/// How long an upstream is out of service before it is ordered, so that every instance has read
/// it, in milliseconds.
const SETTLE_MS: u64 = 500;
const DEFAULT_LOAD_WIDTH: u64 = 2;
const DEFAULT_KEEP_PERCENT: u64 = 75;
const DEFAULT_SOAK_MS: u64 = 2_000;

/// What the driver remembers of one plan, for as long as it holds the lease.
#[derive(Debug, Default)]
struct PlanMemory {
    /// Orders by upstream since the plan last changed its direction.
    orders: HashMap<UpstreamId, u32>,
    /// Numbers of the next orders; never used twice.
    order_numbers: HashMap<UpstreamId, u32>,
    started_ms: HashMap<UpstreamId, u64>,
    silent_since_ms: HashMap<UpstreamId, u64>,
    /// When an engine was last seen to be done, on the steady clock.
    finished_ms: Option<u64>,
    health: HealthWatch,
}

/// Drives plans while this instance holds the lease.
struct PlanDriver {
    keeper: Arc<LeaseKeeper>,
    orders: OrderClient,
    /// Whether the lease is worth renewing.
    needed: Arc<AtomicBool>,
    epoch: Option<LeaseEpoch>,
    held_since_ms: u64,
    memory: HashMap<CommandId, PlanMemory>,
}

/// Drives until the instance ends.
pub async fn run(context: Arc<InstanceContext>) {
    let mut driver = PlanDriver {
        keeper: Arc::default(),
        orders: OrderClient::new(),
        needed: Arc::default(),
        epoch: None,
        held_since_ms: 0,
        memory: HashMap::new(),
    };
    let renewal = renew(
        context.clone(),
        driver.keeper.clone(),
        driver.needed.clone(),
    );
    tokio::spawn(renewal);
    while !context.stop.is_cancelled() {
        tokio::select! {
            () = driver.look(&context) => {}
            () = context.stop.cancelled() => return,
        }
        tokio::select! {
            () = sleep(LOOK_PERIOD) => {}
            () = context.stop.cancelled() => return,
        }
    }
}

/// Renews the lease beside the driver, whose steps may take long.
async fn renew(context: Arc<InstanceContext>, keeper: Arc<LeaseKeeper>, needed: Arc<AtomicBool>) {
    while !context.stop.is_cancelled() {
        if needed.load(Ordering::Acquire) {
            keeper.renew_due(&context);
        }
        sleep(LOOK_PERIOD).await;
    }
}

impl PlanDriver {
    async fn look(&mut self, context: &Arc<InstanceContext>) {
        let carry_due = is_carry_due(context);
        let plans = driven_plans(context);
        let needed = !plans.is_empty() || carry_due;
        self.needed.store(needed, Ordering::Release);
        if !needed {
            return;
        }
        let Some(epoch) = self.hold_lease(context).await else {
            return;
        };
        if carry_due {
            carry(context).await;
        }
        self.memory
            .retain(|id, _| plans.iter().any(|(plan, _)| plan == id));
        for (id, plan) in plans {
            self.drive(context, epoch, &id, &plan).await;
        }
    }

    /// The epoch under which this instance drives, claiming the lease if it should have it.
    async fn hold_lease(&mut self, context: &Arc<InstanceContext>) -> Option<LeaseEpoch> {
        let held = self.keeper.current(PLAN_SHARD);
        if held.is_none() && may_claim(context) {
            let after = context.state.leases().get(PLAN_SHARD).map(|l| l.epoch);
            self.keeper.claim(context, PLAN_SHARD, after).await;
        }
        let held = self.keeper.current(PLAN_SHARD);
        if held != self.epoch {
            self.epoch = held;
            self.held_since_ms = steady_ms();
            self.memory.clear();
        }
        held
    }

    async fn drive(
        &mut self,
        context: &Arc<InstanceContext>,
        epoch: LeaseEpoch,
        id: &CommandId,
        plan: &PlanState,
    ) {
        let sights = self.read_engines(context, id, plan).await;
        let memory = self.memory.entry(id.clone()).or_default();
        let mut limits = rollout_limits(context);
        limits.soaking = is_rollout(plan) && memory.is_soaking(context, plan);
        let worsened = memory.health.judge(context, plan).await;
        let actions = next_actions(plan, epoch, &sights, limits, worsened);
        let (orders, steps) = self.sort_actions(context, id, actions);
        self.write_steps(context, epoch, id, steps).await;
        for (upstream, action) in orders {
            if self.keeper.current(PLAN_SHARD) != Some(epoch) {
                return;
            }
            self.send_order(context, epoch, id, upstream, action).await;
        }
    }

    /// Reads the state of every engine of a plan, all at once.
    async fn read_engines(
        &mut self,
        context: &InstanceContext,
        id: &CommandId,
        plan: &PlanState,
    ) -> BTreeMap<UpstreamId, EngineSight> {
        let mut reads = JoinSet::new();
        for upstream in plan.steps.keys() {
            let client = self.orders.clone();
            let address = engine_address(context, upstream);
            let upstream = upstream.clone();
            reads.spawn(async move {
                let status = match address {
                    Some(address) => client.status(address).await,
                    None => None,
                };
                (upstream, status)
            });
        }
        let memory = self.memory.entry(id.clone()).or_default();
        let mut sights = BTreeMap::new();
        while let Some(read) = reads.join_next().await {
            if let Ok((upstream, status)) = read {
                let sight = memory.note(&upstream, status);
                sights.insert(upstream, sight);
            }
        }
        sights
    }

    /// Splits actions into orders that may be sent now and steps to write.
    fn sort_actions(
        &mut self,
        context: &InstanceContext,
        id: &CommandId,
        actions: Vec<PlanAction>,
    ) -> (Vec<(UpstreamId, OrderAction)>, Vec<PlanStep>) {
        let memory = self.memory.entry(id.clone()).or_default();
        let mut orders = Vec::new();
        let mut steps = Vec::new();
        for action in actions {
            let step = match action {
                PlanAction::Order { upstream, action } => {
                    if is_past_orders_over(context, &upstream, self.held_since_ms)
                        && memory.is_settled(&upstream)
                    {
                        orders.push((upstream, action));
                    }
                    continue;
                }
                PlanAction::TakeOver => PlanStep::TakenOver,
                PlanAction::Start { upstream, before } => PlanStep::Started { upstream, before },
                PlanAction::Finish(upstream) => PlanStep::Finished { upstream },
                PlanAction::Restore(upstream) => PlanStep::Restored { upstream },
                PlanAction::Halt(reason) => {
                    log::warn!("event=plan_halted plan={id} reason={}", quote(&reason));
                    PlanStep::Halted { reason }
                }
                PlanAction::Commit => PlanStep::Committed,
                PlanAction::Revert => PlanStep::Reverted,
            };
            steps.push(step);
        }
        (orders, steps)
    }

    /// Writes steps and waits until they are folded, so that the next look sees them.
    async fn write_steps(
        &mut self,
        context: &InstanceContext,
        epoch: LeaseEpoch,
        id: &CommandId,
        steps: Vec<PlanStep>,
    ) {
        if steps.is_empty() || self.keeper.current(PLAN_SHARD) != Some(epoch) {
            return;
        }
        let records = steps.iter().map(|step| LogRecord::PlanStepped {
            plan: id.clone(),
            epoch,
            step: step.clone(),
        });
        let submitted = context.committer.submit(records.collect(), COMMIT_LIMIT);
        let Ok(offset) = submitted.await else {
            return;
        };
        context.state.wait_folded(offset, COMMIT_LIMIT).await;
        metrics::counter!("amaranth_plan_steps_total").increment(steps.len() as u64);
        let memory = self.memory.entry(id.clone()).or_default();
        for step in steps {
            match step {
                PlanStep::Started { upstream, .. } => {
                    memory.started_ms.insert(upstream, steady_ms());
                }
                PlanStep::Finished { .. } => memory.finished_ms = Some(steady_ms()),
                // Orders of the way back are counted anew.
                PlanStep::Halted { .. } => memory.orders.clear(),
                _ => {}
            }
        }
    }

    async fn send_order(
        &mut self,
        context: &InstanceContext,
        epoch: LeaseEpoch,
        id: &CommandId,
        upstream: UpstreamId,
        action: OrderAction,
    ) {
        let Some(address) = engine_address(context, &upstream) else {
            return;
        };
        let memory = self.memory.entry(id.clone()).or_default();
        let order = EngineOrder {
            id: memory.order_id(epoch, id, &upstream),
            fence: epoch,
            action,
        };
        let mut outcome = OrderOutcome::Unknown;
        for _ in 0..ORDER_TRIES {
            outcome = self.orders.order(address, &order).await;
            if outcome != OrderOutcome::Unknown || self.keeper.current(PLAN_SHARD) != Some(epoch) {
                break;
            }
        }
        log::info!(
            "event=engine_ordered plan={id} upstream={upstream} order={} outcome={outcome:?}",
            order.id
        );
        match outcome {
            OrderOutcome::Taken | OrderOutcome::Unknown => {
                *memory.orders.entry(upstream.clone()).or_default() += 1;
                *memory.order_numbers.entry(upstream).or_default() += 1;
            }
            OrderOutcome::Fenced | OrderOutcome::Refused => {}
        }
    }
}

impl PlanMemory {
    fn note(&mut self, upstream: &UpstreamId, status: Option<EngineStatus>) -> EngineSight {
        let now_ms = steady_ms();
        let unreachable_ms = match &status {
            Some(_) => {
                self.silent_since_ms.remove(upstream);
                0
            }
            None => {
                let since = self.silent_since_ms.entry(upstream.clone());
                now_ms - *since.or_insert(now_ms)
            }
        };
        EngineSight {
            status,
            unreachable_ms,
            orders: self.orders.get(upstream).copied().unwrap_or(0),
        }
    }

    /// Whether the engines that were changed last are still being judged. A new driver judges
    /// those that it finds changed.
    fn is_soaking(&mut self, context: &InstanceContext, plan: &PlanState) -> bool {
        if plan.finished() == 0 {
            return false;
        }
        let finished_ms = *self.finished_ms.get_or_insert_with(steady_ms);
        let soak_ms = context.state.config().number("plan.soak_ms");
        steady_ms() < finished_ms + soak_ms.unwrap_or(DEFAULT_SOAK_MS)
    }

    /// Whether the upstream has been out of service long enough for every instance to know.
    fn is_settled(&self, upstream: &UpstreamId) -> bool {
        let started_ms = self.started_ms.get(upstream).copied().unwrap_or(0);
        steady_ms() >= started_ms + SETTLE_MS
    }

    /// The id of the next order. One that was not taken is sent again under the same id; one
    /// that may have been taken is followed only after the engine's state was read back.
    fn order_id(&self, epoch: LeaseEpoch, plan: &CommandId, upstream: &UpstreamId) -> String {
        let number = self.order_numbers.get(upstream).copied().unwrap_or(0);
        format!("{plan}:{upstream}:{epoch}:{number}")
    }
}

/// Plans that need steps, oldest first.
fn driven_plans(context: &InstanceContext) -> Vec<(CommandId, PlanState)> {
    let changes = context.state.changes();
    let plans = changes.core().plans.lasting();
    let driven = plans.filter(|(_, plan)| !plan.spec.is_drain());
    let mut driven: Vec<_> = driven.map(|(id, p)| (id.clone(), p.clone())).collect();
    driven.sort_by_key(|(_, plan)| plan.offset);
    driven
}

/// Whether this instance should take the lease now.
fn may_claim(context: &InstanceContext) -> bool {
    let leases = context.state.leases();
    let lease = leases.get(PLAN_SHARD);
    if lease.is_some_and(|lease| !lease.is_claimable(unix_ms())) || !context.is_ready() {
        return false;
    }
    drop(leases);
    let live = context.members.live();
    let known = live.iter().filter(|name| !context.gossip.is_lost(name));
    let known: Vec<_> = known.cloned().collect();
    let key = PLAN_SHARD.0.to_be_bytes();
    let order = rendezvous_order(&key, &known, |instance| instance.as_str());
    order.first() == Some(&&context.config.instance)
}

/// Whether no order of an earlier driver can still land on an upstream.
fn is_past_orders_over(
    context: &InstanceContext,
    upstream: &UpstreamId,
    held_since_ms: u64,
) -> bool {
    let groups = context.config.fleet.upstreams.iter();
    let mut groups = groups.filter(|group| group.checks_fencing);
    if groups.any(|group| group.upstreams().iter().any(|u| u.upstream == *upstream)) {
        return true;
    }
    let order_ms = ORDER_LIMIT.as_millis() as u64;
    steady_ms() >= held_since_ms + LEASE_TTL_MS + FENCE_MARGIN_MS + order_ms
}

fn engine_address(context: &InstanceContext, upstream: &UpstreamId) -> Option<SocketAddr> {
    let all = context.upstreams.all().into_iter();
    let mut found = all.filter(|(_, name, _, _)| name == upstream);
    found.next().map(|(_, _, address, _)| address)
}

fn rollout_limits(context: &InstanceContext) -> RolloutLimits {
    let config = context.state.config();
    let number = |name: &str, default: u64| config.number(name).unwrap_or(default) as usize;
    RolloutLimits {
        width: number("plan.load_width", DEFAULT_LOAD_WIDTH),
        keep_percent: number("plan.keep_percent", DEFAULT_KEEP_PERCENT),
        soaking: false,
    }
}

fn is_carry_due(context: &InstanceContext) -> bool {
    let retention_ms = context.config.fleet.platform.retention.as_millis();
    let changes = context.state.changes();
    changes.is_carry_due(unix_ms(), retention_ms)
}

/// Writes a snapshot of configuration and plans, a part at a time.
async fn carry(context: &InstanceContext) {
    let records = context.state.changes().snapshot_records();
    let parts = records.len();
    for record in records {
        let submitted = context.committer.submit(vec![record], COMMIT_LIMIT).await;
        let Ok(offset) = submitted else {
            return;
        };
        context.state.wait_folded(offset, COMMIT_LIMIT).await;
    }
    log::info!("event=changes_carried parts={parts}");
}

/// Whether a plan moves engines to another version, which may do harm.
pub fn is_rollout(plan: &PlanState) -> bool {
    matches!(plan.spec, PlanSpec::RollModel { .. })
}
