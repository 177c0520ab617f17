//! Lets one item at a time ask for an upstream slot, in the order that `item_order` decides.

use std::sync::Arc;

use amaranth_kernel::item_order::{WaitingItem, next_item};
use amaranth_kernel::moving_average::moving_average;
use amaranth_net::clock::unix_ms;
use amaranth_net::state_lock::StateMutex;
use tokio::sync::oneshot;

/// Weight of a new run's duration in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Duration of a run assumed until one is measured, in milliseconds.
const DEFAULT_RUN_MS: f64 = 5_000.0;

#[derive(Default)]
struct QueueState {
    is_taken: bool,
    waiting: Vec<(WaitingItem, oneshot::Sender<ItemTurn>)>,
    turns: u64,
    run_ms: Option<f64>,
}

/// Queue of the items that wait to ask for a slot. Cheap to clone.
#[derive(Clone, Default)]
pub struct ItemQueue {
    state: Arc<StateMutex<QueueState>>,
}

/// The right to ask for a slot; dropping it passes it on.
pub struct ItemTurn {
    queue: ItemQueue,
}

impl Drop for ItemTurn {
    fn drop(&mut self) {
        self.queue.pass_on();
    }
}

impl ItemQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits for the turn of an item.
    pub async fn take_turn(&self, item: WaitingItem) -> ItemTurn {
        let waiter = {
            let mut state = self.state.lock();
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
        };
        match waiter {
            None => turn(),
            // A sender is only dropped with the queue, which this future holds.
            Some(waiter) => waiter.await.unwrap_or_else(|_| turn()),
        }
    }

    /// Records the duration of a whole run in milliseconds.
    pub fn record_run(&self, run_ms: f64) {
        let mut state = self.state.lock();
        state.run_ms = Some(moving_average(state.run_ms, run_ms, SAMPLE_WEIGHT));
    }

    fn pass_on(&self) {
        let mut state = self.state.lock();
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
        drop(state);
        let turn = ItemTurn {
            queue: self.clone(),
        };
        // If the item was cancelled just now, the turn comes back and its drop passes it on.
        drop(sender.send(turn));
    }
}
