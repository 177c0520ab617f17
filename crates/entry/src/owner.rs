//! Runs the batch jobs of the shards that this instance holds.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_kernel::ledger::SHARD_COUNT;
use amaranth_net::clock::unix_ms;
use amaranth_wire::id::{JobId, LeaseEpoch, ShardId};
use amaranth_wire::message::JobPhase;
use tokio::time::sleep;

use crate::context::InstanceContext;
use crate::item_run::{self, ItemTask};
use crate::lease_keeper::LeaseKeeper;

/// Time between two looks at the jobs.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Items that one instance runs at once.
const RUNNING_LIMIT: usize = 32;

/// What an instance does about one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShardStep {
    /// It holds the shard: run items.
    Run(LeaseEpoch),
    /// The shard is free and this instance should have it.
    Claim(Option<LeaseEpoch>),
    /// Another instance has it or should take it.
    Leave,
}

/// The shards and items in this instance's hands.
#[derive(Default)]
pub struct ShardOwner {
    keeper: Arc<LeaseKeeper>,
    claiming: Arc<Mutex<HashSet<ShardId>>>,
    running: Arc<Mutex<HashSet<(JobId, u32)>>>,
}

/// Owns shards until the instance ends.
pub async fn run(context: Arc<InstanceContext>) {
    let owner = ShardOwner::default();
    while !context.stop.is_cancelled() {
        owner.look(&context);
        tokio::select! {
            () = sleep(LOOK_PERIOD) => {}
            () = context.stop.cancelled() => {}
        }
    }
}

impl ShardOwner {
    fn look(&self, context: &Arc<InstanceContext>) {
        self.keeper.renew_due(context);
        for shard in (0..SHARD_COUNT).map(ShardId) {
            if !has_work(context, shard) {
                continue;
            }
            match self.decide(context, shard) {
                ShardStep::Run(epoch) => self.start_items(context, shard, epoch),
                ShardStep::Claim(after) => self.start_claim(context, shard, after),
                ShardStep::Leave => {}
            }
        }
    }

    fn decide(&self, context: &InstanceContext, shard: ShardId) -> ShardStep {
        if let Some(epoch) = self.keeper.current(shard) {
            return ShardStep::Run(epoch);
        }
        let leases = context.state.leases();
        let lease = leases.get(shard);
        if lease.is_some_and(|lease| !lease.is_claimable(unix_ms())) || context.is_leaving() {
            return ShardStep::Leave;
        }
        match is_preferred(context, shard) {
            true => ShardStep::Claim(lease.map(|lease| lease.epoch)),
            false => ShardStep::Leave,
        }
    }

    fn start_claim(
        &self,
        context: &Arc<InstanceContext>,
        shard: ShardId,
        after: Option<LeaseEpoch>,
    ) {
        if !self.claiming.lock().expect("not poisoned").insert(shard) {
            return;
        }
        let (context, keeper) = (context.clone(), self.keeper.clone());
        let claiming = self.claiming.clone();
        tokio::spawn(async move {
            keeper.claim(&context, shard, after).await;
            claiming.lock().expect("not poisoned").remove(&shard);
        });
    }

    fn start_items(&self, context: &Arc<InstanceContext>, shard: ShardId, epoch: LeaseEpoch) {
        for task in self.take_tasks(context, shard, epoch) {
            let (context, keeper) = (context.clone(), self.keeper.clone());
            let running = self.running.clone();
            let key = (task.job.clone(), task.index);
            let tracker = context.work.clone();
            tracker.spawn(async move {
                item_run::run(&context, &keeper, task).await;
                running.lock().expect("not poisoned").remove(&key);
            });
        }
    }

    fn take_tasks(
        &self,
        context: &InstanceContext,
        shard: ShardId,
        epoch: LeaseEpoch,
    ) -> Vec<ItemTask> {
        let ledger = context.state.shard(shard);
        let mut running = self.running.lock().expect("not poisoned");
        let mut tasks = Vec::new();
        for (job, state) in ledger.jobs() {
            if state.phase() != JobPhase::InProgress || context.is_leaving() {
                continue;
            }
            for index in state.finished.missing() {
                if running.len() >= RUNNING_LIMIT {
                    return tasks;
                }
                if !running.insert((job.clone(), index)) {
                    continue;
                }
                let range = state.ranges.iter().rfind(|range| range.first <= index);
                tasks.push(ItemTask {
                    job: job.clone(),
                    tier: state.tier.clone(),
                    shard,
                    epoch,
                    index,
                    range: *range.expect("ranges start at item 0"),
                });
            }
        }
        tasks
    }
}

fn has_work(context: &InstanceContext, shard: ShardId) -> bool {
    let ledger = context.state.shard(shard);
    let mut jobs = ledger.jobs();
    jobs.any(|(_, state)| state.phase() == JobPhase::InProgress)
}

/// Whether this instance comes first for the shard among those that are listed as live.
fn is_preferred(context: &InstanceContext, shard: ShardId) -> bool {
    let live = context.live_instances();
    let key = shard.0.to_be_bytes();
    let order = rendezvous_order(&key, &live, |instance| instance.as_str());
    order.first() == Some(&&context.config.instance)
}
