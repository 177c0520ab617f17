//! Lets one item of each group at a time ask for a slot at its upstreams, in the order that `item_order`
//! decides. Items of a group without upstreams, or without room, keep only each other waiting.

use std::collections::HashMap;
use std::sync::Arc;

use amaranth_kernel::item_order::{WaitingItem, next_item};
use amaranth_kernel::moving_average::moving_average;
use amaranth_net::clock::unix_ms;
use amaranth_net::state_lock::StateMutex;
use amaranth_wire::id::UpstreamGroupId;
use tokio::sync::oneshot;

/// Weight of a new run's duration in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Duration of a run assumed until one is measured, in milliseconds.
const DEFAULT_RUN_MS: f64 = 5_000.0;

/// Items that wait for one group.
#[derive(Default)]
struct GroupQueue {
    is_taken: bool,
    waiting: Vec<(WaitingItem, oneshot::Sender<ItemTurn>)>,
    turns: u64,
    run_ms: Option<f64>,
}

/// Queues of the items that wait to ask for a slot, by group. Cheap to clone.
#[derive(Clone, Default)]
pub struct ItemQueue {
    groups: Arc<StateMutex<HashMap<UpstreamGroupId, GroupQueue>>>,
}

/// The right to ask for a slot of a group; dropping it passes it on.
pub struct ItemTurn {
    queue: ItemQueue,
    group: UpstreamGroupId,
}

impl Drop for ItemTurn {
    fn drop(&mut self) {
        self.queue.pass_on(&self.group);
    }
}

impl ItemQueue {
    /// Creates empty queues.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits for the turn of an item of a group.
    pub async fn take_turn(&self, group: &UpstreamGroupId, item: WaitingItem) -> ItemTurn {
        let waiter = {
            let mut groups = self.groups.lock();
            let state = groups.entry(group.clone()).or_default();
            if !state.is_taken {
                state.is_taken = true;
                None
            } else {
                let (sender, waiter) = oneshot::channel();
                state.waiting.push((item, sender));
                Some(waiter)
            }
        };
        let turn = || ItemTurn {
            queue: self.clone(),
            group: group.clone(),
        };
        match waiter {
            None => turn(),
            // A sender is only dropped with the queue, which this future holds.
            Some(waiter) => waiter.await.unwrap_or_else(|_| turn()),
        }
    }

    /// Records the duration of a whole run of a group's item in milliseconds.
    pub fn record_run(&self, group: &UpstreamGroupId, run_ms: f64) {
        let mut groups = self.groups.lock();
        let state = groups.entry(group.clone()).or_default();
        state.run_ms = Some(moving_average(state.run_ms, run_ms, SAMPLE_WEIGHT));
    }

    fn pass_on(&self, group: &UpstreamGroupId) {
        let mut groups = self.groups.lock();
        let state = groups.entry(group.clone()).or_default();
        // Items that were cancelled while they waited are gone.
        state.waiting.retain(|(_, sender)| !sender.is_closed());
        let items: Vec<_> = state.waiting.iter().map(|(item, _)| *item).collect();
        let run_ms = state.run_ms.unwrap_or(DEFAULT_RUN_MS) as u64;
        let next = next_item(&items, unix_ms(), run_ms, state.turns);
        state.turns += 1;
        let Some(next) = next else {
            state.is_taken = false;
            return;
        };
        let (_, sender) = state.waiting.swap_remove(next);
        drop(groups);
        let turn = ItemTurn {
            queue: self.clone(),
            group: group.clone(),
        };
        // If the item was cancelled just now, the turn comes back and its drop passes it on.
        drop(sender.send(turn));
    }
}
