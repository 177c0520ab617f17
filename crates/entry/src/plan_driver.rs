//! Executes plans while holding the plan lease, and writes snapshots of configuration and plans
//! before their records expire from the log.
//!
//! Each step is appended to the log before the next is taken, so a new lease holder resumes from
//! the log. Orders carry the lease epoch as fencing token. For engines that do not check it, a
//! new driver waits until no order of an earlier one can still arrive.

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
use crate::order_client::{ORDER_TIMEOUT, OrderClient, OrderOutcome};
use crate::plan_lookup::{
    checks_fencing, driven_plans, engine_address, is_rollout, needs_snapshot, plans_to_repair,
    rollout_limits, should_claim_lease,
};
use crate::plan_tracker::PlanTracker;

/// Shard id of the plan lease, above every batch shard's id.
pub const PLAN_SHARD: ShardId = ShardId(1_000);
/// Interval at which plans are processed and the lease is checked for renewal.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// Timeout for a record to be appended, and for it to be folded.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(4);
/// Immediate attempts for an order with an unknown outcome. The engine deduplicates by order id.
const MAX_ORDER_ATTEMPTS: usize = 3;
/// Allowance for clock and scheduling error while waiting until earlier orders can no longer
/// arrive, in milliseconds.
const FENCE_MARGIN_MS: u64 = 1_500;

/// Executes plans while this instance holds the plan lease.
struct PlanDriver {
    keeper: Arc<LeaseKeeper>,
    order_client: OrderClient,
    /// Whether there is work that needs the lease; read by the renewal task.
    needed: Arc<AtomicBool>,
    epoch: Option<LeaseEpoch>,
    held_since_ms: u64,
    /// Time until which an order of unknown outcome can still arrive, on the steady clock, by
    /// upstream.
    unanswered_until_ms: HashMap<UpstreamId, u64>,
    trackers: HashMap<CommandId, PlanTracker>,
}

/// Processes plans until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    let mut driver = PlanDriver {
        keeper: Arc::default(),
        order_client: OrderClient::new(),
        needed: Arc::default(),
        epoch: None,
        held_since_ms: 0,
        unanswered_until_ms: HashMap::new(),
        trackers: HashMap::new(),
    };
    let renewal = renew(
        context.clone(),
        driver.keeper.clone(),
        driver.needed.clone(),
    );
    tokio::spawn(renewal);
    while !context.stop.is_cancelled() {
        tokio::select! {
            () = driver.reconcile(&context) => {}
            () = context.stop.cancelled() => return,
        }
        tokio::select! {
            () = sleep(POLL_PERIOD) => {}
            () = context.stop.cancelled() => return,
        }
    }
}

/// Renews the lease in a task of its own, because a pass over the plans can outlast the lease.
async fn renew(context: Arc<InstanceContext>, keeper: Arc<LeaseKeeper>, needed: Arc<AtomicBool>) {
    while !context.stop.is_cancelled() {
        if needed.load(Ordering::Acquire) {
            keeper.renew_due(&context);
        }
        sleep(POLL_PERIOD).await;
    }
}

impl PlanDriver {
    /// Makes one pass over the active plans and those that ended recently.
    async fn reconcile(&mut self, context: &Arc<InstanceContext>) {
        let snapshot_due = needs_snapshot(context);
        let plans = driven_plans(context);
        let ended = plans_to_repair(context);
        let needed = !plans.is_empty() || !ended.is_empty() || snapshot_due;
        self.needed.store(needed, Ordering::Release);
        if !needed {
            return self.release_lease(context).await;
        }
        let Some(epoch) = self.ensure_lease(context).await else {
            return;
        };
        if snapshot_due {
            write_snapshot(context).await;
        }
        let known = |id: &CommandId| plans.iter().chain(&ended).any(|(plan, _)| plan == id);
        self.trackers.retain(|id, _| known(id));
        for (id, plan) in ended {
            self.repair_engines(context, epoch, &id, &plan).await;
        }
        for (id, plan) in plans {
            self.advance_plan(context, epoch, &id, &plan).await;
        }
    }

    /// Releases the lease, if held, when no plan needs it.
    async fn release_lease(&mut self, context: &InstanceContext) {
        if let Some(epoch) = self.keeper.current_epoch(PLAN_SHARD) {
            let shard = PLAN_SHARD;
            self.keeper
                .release(context, LeaseName { shard, epoch })
                .await;
        }
    }

    /// Returns the epoch of the held lease, claiming it first if this instance should hold it.
    /// Resets the driver's state when the epoch changes.
    async fn ensure_lease(&mut self, context: &Arc<InstanceContext>) -> Option<LeaseEpoch> {
        let held = self.keeper.current_epoch(PLAN_SHARD);
        if held.is_none() && should_claim_lease(context) {
            let after = context.state.leases().get(PLAN_SHARD).map(|l| l.epoch);
            self.keeper.claim(context, PLAN_SHARD, after).await;
        }
        let held = self.keeper.current_epoch(PLAN_SHARD);
        if held != self.epoch {
            self.epoch = held;
            self.held_since_ms = steady_ms();
            self.unanswered_until_ms.clear();
            self.trackers.clear();
        }
        held
    }

    /// Reads the plan's engines, writes the steps that are due and sends the orders.
    async fn advance_plan(
        &mut self,
        context: &Arc<InstanceContext>,
        epoch: LeaseEpoch,
        id: &CommandId,
        plan: &PlanState,
    ) {
        let observations = self.read_engines(context, id, plan).await;
        let tracker = self.trackers.entry(id.clone()).or_default();
        let mut limits = rollout_limits(context);
        limits.soaking = is_rollout(plan) && tracker.is_soaking(context, plan);
        let regression = tracker.health.check_regression(context, plan).await;
        let actions = next_actions(plan, epoch, &observations, limits, regression);
        let (orders, steps) = self.split_actions(id, actions);
        self.write_steps(context, epoch, id, steps).await;
        for (upstream, action) in orders {
            if self.keeper.current_epoch(PLAN_SHARD) != Some(epoch) {
                return;
            }
            self.send_order(context, epoch, id, upstream, action).await;
        }
    }

    /// Restores engines that differ from the final state of an ended plan.
    async fn repair_engines(
        &mut self,
        context: &Arc<InstanceContext>,
        epoch: LeaseEpoch,
        id: &CommandId,
        plan: &PlanState,
    ) {
        let observations = self.read_engines(context, id, plan).await;
        let actions = {
            let changes = context.state.changes();
            let plans = &changes.core().plans;
            repair_orders(plan, &observations, |upstream| {
                plans.is_superseded(plan, upstream)
            })
        };
        let (orders, _) = self.split_actions(id, actions);
        for (upstream, action) in orders {
            log::warn!("event=engine_repair_started plan={id} upstream={upstream}");
            metrics::counter!("amaranth_engine_repairs_total").increment(1);
            if self.keeper.current_epoch(PLAN_SHARD) == Some(epoch) {
                self.send_order(context, epoch, id, upstream, action).await;
            }
        }
    }

    /// Reads the status of all engines of a plan concurrently.
    async fn read_engines(
        &mut self,
        context: &InstanceContext,
        id: &CommandId,
        plan: &PlanState,
    ) -> BTreeMap<UpstreamId, EngineObservation> {
        let mut reads = JoinSet::new();
        for upstream in plan.steps.keys() {
            let client = self.order_client.clone();
            let address = engine_address(context, upstream);
            let upstream = upstream.clone();
            reads.spawn(async move {
                let status = match address {
                    Some(address) => client.read_status(address).await,
                    None => None,
                };
                (upstream, status)
            });
        }
        let mut observations = BTreeMap::new();
        while let Some(read) = reads.join_next().await {
            if let Ok((upstream, status)) = read {
                let tracker = self.trackers.entry(id.clone()).or_default();
                let mut observation = tracker.record_status(&upstream, status);
                observation.fencing = self.order_fencing(context, &upstream, &observation);
                observations.insert(upstream, observation);
            }
        }
        observations
    }

    /// Returns whether an earlier order can still reach an engine: one of an earlier driver, or
    /// one of this driver whose outcome is unknown.
    fn order_fencing(
        &self,
        context: &InstanceContext,
        upstream: &UpstreamId,
        observation: &EngineObservation,
    ) -> OrderFencing {
        let now_ms = steady_ms();
        let unanswered_until_ms = self.unanswered_until_ms.get(upstream).copied().unwrap_or(0);
        if now_ms < unanswered_until_ms {
            return OrderFencing::Wait;
        }
        if checks_fencing(context, upstream) {
            let seen = observation.status.as_ref().map(|status| status.fence);
            return match seen < self.epoch {
                true => OrderFencing::RaiseToken,
                false => OrderFencing::Safe,
            };
        }
        let order_ms = ORDER_TIMEOUT.as_millis() as u64;
        let waited_ms = LEASE_TTL_MS + FENCE_MARGIN_MS + order_ms;
        match now_ms < self.held_since_ms + waited_ms {
            true => OrderFencing::Wait,
            false => OrderFencing::Safe,
        }
    }

    /// Splits actions into orders that can be sent now and steps to write to the log.
    fn split_actions(
        &mut self,
        id: &CommandId,
        actions: Vec<PlanAction>,
    ) -> (Vec<(UpstreamId, OrderAction)>, Vec<PlanStep>) {
        let tracker = self.trackers.entry(id.clone()).or_default();
        let mut orders = Vec::new();
        let mut steps = Vec::new();
        for action in actions {
            let step = match action {
                PlanAction::Order { upstream, action } => {
                    if tracker.is_settled(&upstream) {
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

    /// Writes steps to the log and waits until they are folded, so that the next pass sees them.
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
        let submitted = context.committer.submit(records.collect(), COMMIT_TIMEOUT);
        let Ok(offset) = submitted.await else {
            return;
        };
        context.state.wait_folded(offset, COMMIT_TIMEOUT).await;
        metrics::counter!("amaranth_plan_steps_total").increment(steps.len() as u64);
        let tracker = self.trackers.entry(id.clone()).or_default();
        for step in steps {
            match step {
                PlanStep::Started { upstream, .. } => {
                    tracker.started_ms.insert(upstream, steady_ms());
                }
                PlanStep::Finished { .. } => tracker.finished_ms = Some(steady_ms()),
                // Rollback has its own count of orders.
                PlanStep::Halted { .. } => tracker.orders_sent.clear(),
                _ => {}
            }
        }
    }

    /// Sends an order, retrying while its outcome is unknown and the lease is held.
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
        let tracker = self.trackers.entry(id.clone()).or_default();
        let order = EngineOrder {
            id: tracker.order_id(epoch, id, &upstream),
            fence: epoch,
            action,
        };
        let mut outcome = OrderOutcome::Unknown;
        for _ in 0..MAX_ORDER_ATTEMPTS {
            outcome = self.order_client.post_order(address, &order).await;
            if outcome != OrderOutcome::Unknown
                || self.keeper.current_epoch(PLAN_SHARD) != Some(epoch)
            {
                break;
            }
        }
        log::info!(
            "event=engine_order_sent plan={id} upstream={upstream} order={} outcome={outcome:?}",
            order.id
        );
        if outcome == OrderOutcome::Unknown {
            let unanswered_ms = ORDER_TIMEOUT.as_millis() as u64 + FENCE_MARGIN_MS;
            self.unanswered_until_ms
                .insert(upstream.clone(), steady_ms() + unanswered_ms);
        }
        let tracker = self.trackers.entry(id.clone()).or_default();
        match outcome {
            OrderOutcome::Taken | OrderOutcome::Unknown => {
                *tracker.orders_sent.entry(upstream.clone()).or_default() += 1;
                *tracker.next_order_numbers.entry(upstream).or_default() += 1;
            }
            OrderOutcome::Fenced | OrderOutcome::Refused => {}
        }
    }
}

/// Writes a snapshot of configuration and plans to the log, one record per part.
async fn write_snapshot(context: &InstanceContext) {
    let records = context.state.changes().snapshot_records();
    let parts = records.len();
    for record in records {
        let submitted = context.committer.submit(vec![record], COMMIT_TIMEOUT).await;
        let Ok(offset) = submitted else {
            return;
        };
        context.state.wait_folded(offset, COMMIT_TIMEOUT).await;
    }
    log::info!("event=changes_snapshot_written parts={parts}");
}
