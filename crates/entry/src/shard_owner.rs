//! Runs the batch jobs of the shards that this instance holds.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::lease::{ShardAction, ShardView, next_shard_action};
use amaranth_kernel::ledger::{JobLedger, SHARD_COUNT};
use amaranth_wire::id::{LeaseEpoch, ShardId, TierId};
use amaranth_wire::message::JobPhase;
use amaranth_wire::record::LeaseName;
use tokio::time::sleep;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::context::InstanceContext;
use crate::item_reader::ItemPiece;
use crate::item_run::{self, ItemTask};
use crate::lease_keeper::LeaseKeeper;
use crate::running_items::RunningItems;
use crate::shard_preference::ShardPreference;

/// Interval between checks of the shards.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Claims shards and runs the items of their jobs.
pub struct ShardOwner {
    preference: ShardPreference,
    keeper: Arc<LeaseKeeper>,
    claiming: Arc<Mutex<HashSet<ShardId>>>,
    running: Arc<RunningItems>,
    /// Delays a planned stop until every lease is released.
    stop_guard: Option<TaskTrackerToken>,
}

/// Claims and runs shards until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    let mut owner = ShardOwner::new(&context);
    while !context.stop.is_cancelled() {
        owner.check_shards(&context);
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = context.stop.cancelled() => {}
        }
    }
}

impl ShardOwner {
    fn new(context: &InstanceContext) -> Self {
        Self {
            preference: ShardPreference::new(context),
            keeper: Arc::default(),
            claiming: Arc::default(),
            running: Arc::default(),
            stop_guard: None,
        }
    }

    fn check_shards(&mut self, context: &Arc<InstanceContext>) {
        self.preference.refresh(context);
        self.keeper.renew_due(context);
        self.running.cancel_unwanted(|job| {
            let ledger = context.state.shard_for(job);
            let state = ledger.get(job);
            state.is_some_and(|state| state.phase() == JobPhase::InProgress)
        });
        for shard in (0..SHARD_COUNT).map(ShardId) {
            self.check_shard(context, shard);
        }
        self.update_stop_guard(context);
    }

    fn check_shard(&self, context: &Arc<InstanceContext>, shard: ShardId) {
        let held = self.keeper.current_epoch(shard);
        if held.is_none() && !has_work(&context.state.shard(shard)) {
            return;
        }
        match next_shard_action(self.view(context, shard, held)) {
            ShardAction::Run(epoch) => self.start_items(context, shard, epoch),
            ShardAction::Claim(after) => self.start_claim(context, shard, after),
            ShardAction::Release(epoch) => self.start_release(context, LeaseName { shard, epoch }),
            ShardAction::Drain | ShardAction::Ignore => {}
        }
    }

    fn view(
        &self,
        context: &InstanceContext,
        shard: ShardId,
        held: Option<LeaseEpoch>,
    ) -> ShardView {
        let leases = context.state.leases();
        let lease = leases.get(shard);
        let log_now_ms = context.state.log_now_ms();
        ShardView {
            held,
            last: lease.map(|lease| lease.epoch),
            claimable: log_now_ms
                .is_some_and(|now_ms| lease.is_none_or(|lease| lease.is_claimable(now_ms))),
            preferred: self.preference.is_preferred(shard),
            displaced_ms: self.preference.displaced_ms(shard),
            leaving: context.is_leaving(),
            busy: self.running.is_busy(shard),
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

    fn start_release(&self, context: &Arc<InstanceContext>, name: LeaseName) {
        let (release_context, keeper) = (context.clone(), self.keeper.clone());
        context
            .work
            .spawn(async move { keeper.release(&release_context, name).await });
    }

    /// Delays a planned stop while valid leases are held. Expired leases do not delay it.
    fn update_stop_guard(&mut self, context: &InstanceContext) {
        let shards = (0..SHARD_COUNT).map(ShardId);
        let held = shards.filter(|shard| self.keeper.current_epoch(*shard).is_some());
        let count = held.count();
        metrics::gauge!("amaranth_leases_held").set(count as f64);
        if count > 0 {
            self.stop_guard.get_or_insert_with(|| context.work.token());
        } else {
            self.stop_guard = None;
        }
    }

    fn start_items(&self, context: &Arc<InstanceContext>, shard: ShardId, epoch: LeaseEpoch) {
        for task in self.next_tasks(context, shard, epoch) {
            let (context, keeper) = (context.clone(), self.keeper.clone());
            let running = self.running.clone();
            let tracker = context.work.clone();
            tracker.spawn(async move {
                item_run::run(&context, &keeper, &running, &task).await;
                running.remove(&task.key());
            });
        }
    }

    fn next_tasks(
        &self,
        context: &InstanceContext,
        shard: ShardId,
        epoch: LeaseEpoch,
    ) -> Vec<ItemTask> {
        let capacity = self.running.start_capacity(context.slots.in_use());
        let mut tasks = Vec::new();
        if capacity == 0 {
            return tasks;
        }
        let ledger = context.state.shard(shard);
        for (job, state) in ledger.jobs() {
            if state.phase() != JobPhase::InProgress || is_paused(context, &state.tier) {
                continue;
            }
            for index in state.finished.missing() {
                if tasks.len() >= capacity {
                    return tasks;
                }
                let Some(cancel) = self.running.start((job.clone(), index), shard) else {
                    continue;
                };
                tasks.push(ItemTask {
                    piece: ItemPiece {
                        job: job.clone(),
                        upload: state.upload,
                        range: state.range_of(index).expect("ranges start at item 0"),
                    },
                    tier: state.tier.clone(),
                    shard,
                    epoch,
                    index,
                    cancel,
                });
            }
        }
        tasks
    }
}

/// Whether the configuration pauses the batch items of a tier.
fn is_paused(context: &InstanceContext, tier: &TierId) -> bool {
    let config = context.state.config();
    let paused = config.get(&format!("tier.{tier}.batch_paused"));
    paused.is_some_and(|setting| setting.value == true)
}

fn has_work(ledger: &JobLedger) -> bool {
    let mut jobs = ledger.jobs();
    jobs.any(|(_, state)| state.phase() == JobPhase::InProgress)
}
