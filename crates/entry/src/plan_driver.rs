//! Drives plans under the plan lease, and carries configuration and plans past the log's
//! retention.
//!
//! Every step is a record before the next is made, so that a successor goes on where the log
//! ends. Orders carry the lease's epoch as fencing number. For engines that ignore it a new
//! driver waits until no order of an earlier one can still land.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_kernel::lease::LEASE_TTL_MS;
use amaranth_kernel::plan_state::PlanState;
use amaranth_kernel::rollout::{
    EngineObservation, OrderFencing, PlanAction, next_actions, repair_orders,
};
use amaranth_net::clock::steady_ms;
use amaranth_net::telemetry::quote;
use amaranth_wire::change::PlanStep;
use amaranth_wire::engine::{EngineOrder, OrderAction};
use amaranth_wire::id::{CommandId, LeaseEpoch, ShardId, UpstreamId};
use amaranth_wire::record::{LeaseName, LogRecord};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::context::InstanceContext;
use crate::lease_keeper::LeaseKeeper;
use crate::order_client::{ORDER_LIMIT, OrderClient, OrderOutcome};
use crate::plan_lookup::{
    checks_fencing, driven_plans, engine_address, is_carry_due, is_rollout, may_claim,
    rollout_limits, watched_plans,
};
use crate::plan_memory::PlanMemory;

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

/// Drives plans while this instance holds the lease.
struct PlanDriver {
    keeper: Arc<LeaseKeeper>,
    orders: OrderClient,
    /// Whether the lease is worth renewing.
    needed: Arc<AtomicBool>,
    epoch: Option<LeaseEpoch>,
    held_since_ms: u64,
    /// Until when an unanswered order of this driver can land, by upstream.
    open_until_ms: HashMap<UpstreamId, u64>,
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
        open_until_ms: HashMap::new(),
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
        let ended = watched_plans(context);
        let needed = !plans.is_empty() || !ended.is_empty() || carry_due;
        self.needed.store(needed, Ordering::Release);
        if !needed {
            return self.give_back(context).await;
        }
        let Some(epoch) = self.hold_lease(context).await else {
            return;
        };
        if carry_due {
            carry(context).await;
        }
        let known = |id: &CommandId| plans.iter().chain(&ended).any(|(plan, _)| plan == id);
        self.memory.retain(|id, _| known(id));
        for (id, plan) in ended {
            self.repair(context, epoch, &id, &plan).await;
        }
        for (id, plan) in plans {
            self.drive(context, epoch, &id, &plan).await;
        }
    }

    /// Ends the lease when there is nothing to drive.
    async fn give_back(&mut self, context: &InstanceContext) {
        if let Some(epoch) = self.keeper.current_epoch(PLAN_SHARD) {
            let shard = PLAN_SHARD;
            self.keeper
                .release(context, LeaseName { shard, epoch })
                .await;
        }
    }

    /// The epoch under which this instance drives, claiming the lease if it should have it.
    async fn hold_lease(&mut self, context: &Arc<InstanceContext>) -> Option<LeaseEpoch> {
        let held = self.keeper.current_epoch(PLAN_SHARD);
        if held.is_none() && may_claim(context) {
            let after = context.state.leases().get(PLAN_SHARD).map(|l| l.epoch);
            self.keeper.claim(context, PLAN_SHARD, after).await;
        }
        let held = self.keeper.current_epoch(PLAN_SHARD);
        if held != self.epoch {
            self.epoch = held;
            self.held_since_ms = steady_ms();
            self.open_until_ms.clear();
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
        let (orders, steps) = self.sort_actions(id, actions);
        self.write_steps(context, epoch, id, steps).await;
        for (upstream, action) in orders {
            if self.keeper.current_epoch(PLAN_SHARD) != Some(epoch) {
                return;
            }
            self.send_order(context, epoch, id, upstream, action).await;
        }
    }

    /// Brings engines back to where an ended plan left them.
    async fn repair(
        &mut self,
        context: &Arc<InstanceContext>,
        epoch: LeaseEpoch,
        id: &CommandId,
        plan: &PlanState,
    ) {
        let sights = self.read_engines(context, id, plan).await;
        let actions = {
            let changes = context.state.changes();
            let plans = &changes.core().plans;
            repair_orders(plan, &sights, |upstream| {
                plans.is_superseded(plan, upstream)
            })
        };
        let (orders, _) = self.sort_actions(id, actions);
        for (upstream, action) in orders {
            log::warn!("event=engine_repaired plan={id} upstream={upstream}");
            metrics::counter!("amaranth_engine_repairs_total").increment(1);
            if self.keeper.current_epoch(PLAN_SHARD) == Some(epoch) {
                self.send_order(context, epoch, id, upstream, action).await;
            }
        }
    }

    /// Reads the state of every engine of a plan, all at once.
    async fn read_engines(
        &mut self,
        context: &InstanceContext,
        id: &CommandId,
        plan: &PlanState,
    ) -> BTreeMap<UpstreamId, EngineObservation> {
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
        let mut sights = BTreeMap::new();
        while let Some(read) = reads.join_next().await {
            if let Ok((upstream, status)) = read {
                let memory = self.memory.entry(id.clone()).or_default();
                let mut sight = memory.note(&upstream, status);
                sight.fencing = self.guard(context, &upstream, &sight);
                sights.insert(upstream, sight);
            }
        }
        sights
    }

    /// Whether an earlier order can still land on an engine: one of an earlier driver, or one of
    /// this driver that was never answered.
    fn guard(
        &self,
        context: &InstanceContext,
        upstream: &UpstreamId,
        sight: &EngineObservation,
    ) -> OrderFencing {
        let now_ms = steady_ms();
        let open_until_ms = self.open_until_ms.get(upstream).copied().unwrap_or(0);
        if now_ms < open_until_ms {
            return OrderFencing::Wait;
        }
        if checks_fencing(context, upstream) {
            let seen = sight.status.as_ref().map(|status| status.fence);
            return match seen < self.epoch {
                true => OrderFencing::RaiseToken,
                false => OrderFencing::Safe,
            };
        }
        let order_ms = ORDER_LIMIT.as_millis() as u64;
        let waited_ms = LEASE_TTL_MS + FENCE_MARGIN_MS + order_ms;
        match now_ms < self.held_since_ms + waited_ms {
            true => OrderFencing::Wait,
            false => OrderFencing::Safe,
        }
    }

    /// Splits actions into orders that may be sent now and steps to write.
    fn sort_actions(
        &mut self,
        id: &CommandId,
        actions: Vec<PlanAction>,
    ) -> (Vec<(UpstreamId, OrderAction)>, Vec<PlanStep>) {
        let memory = self.memory.entry(id.clone()).or_default();
        let mut orders = Vec::new();
        let mut steps = Vec::new();
        for action in actions {
            let step = match action {
                PlanAction::Order { upstream, action } => {
                    if memory.is_settled(&upstream) {
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
        if steps.is_empty() || self.keeper.current_epoch(PLAN_SHARD) != Some(epoch) {
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
            if outcome != OrderOutcome::Unknown
                || self.keeper.current_epoch(PLAN_SHARD) != Some(epoch)
            {
                break;
            }
        }
        log::info!(
            "event=engine_ordered plan={id} upstream={upstream} order={} outcome={outcome:?}",
            order.id
        );
        if outcome == OrderOutcome::Unknown {
            let open_ms = ORDER_LIMIT.as_millis() as u64 + FENCE_MARGIN_MS;
            self.open_until_ms
                .insert(upstream.clone(), steady_ms() + open_ms);
        }
        let memory = self.memory.entry(id.clone()).or_default();
        match outcome {
            OrderOutcome::Taken | OrderOutcome::Unknown => {
                *memory.orders.entry(upstream.clone()).or_default() += 1;
                *memory.order_numbers.entry(upstream).or_default() += 1;
            }
            OrderOutcome::Fenced | OrderOutcome::Refused => {}
        }
    }
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
