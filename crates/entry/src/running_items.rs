//! The items in this instance's hands: those that run and those whose result is not folded yet.

use std::collections::HashMap;
use std::sync::Mutex;

use amaranth_wire::id::{JobId, ShardId};
use tokio_util::sync::CancellationToken;

/// Items that one instance runs at once.
const RUNNING_LIMIT: usize = 1_024;
/// Items that may wait for a place at an upstream.
const UNPLACED_LIMIT: usize = 48;
/// Results that may wait for the log.
const WAITING_LIMIT: usize = 2_048;
/// Bytes of results that may wait for the log.
const WAITING_BYTES: usize = 16 << 20;

/// Names an item.
pub type ItemKey = (JobId, u32);

struct HeldItem {
    shard: ShardId,
    cancel: CancellationToken,
    result_bytes: Option<usize>,
}

#[derive(Default)]
struct HeldItems {
    by_key: HashMap<ItemKey, HeldItem>,
    running: usize,
    waiting_bytes: usize,
}

/// The items in hand, within limits of number and memory.
#[derive(Default)]
pub struct RunningItems {
    held: Mutex<HeldItems>,
}

impl RunningItems {
    /// Items that may still be started, given how many use a place at an upstream.
    pub fn room(&self, placed: usize) -> usize {
        let held = self.held.lock().expect("not poisoned");
        let waiting = held.by_key.len() - held.running;
        if waiting >= WAITING_LIMIT || held.waiting_bytes >= WAITING_BYTES {
            return 0;
        }
        let unplaced = held.running.saturating_sub(placed);
        let room = RUNNING_LIMIT.saturating_sub(held.running);
        room.min(UNPLACED_LIMIT.saturating_sub(unplaced))
    }

    /// Takes an item in hand; `None` if it is already. The token ends its run.
    pub fn start(&self, key: ItemKey, shard: ShardId) -> Option<CancellationToken> {
        let mut held = self.held.lock().expect("not poisoned");
        if held.by_key.contains_key(&key) {
            return None;
        }
        let cancel = CancellationToken::new();
        let item = HeldItem {
            shard,
            cancel: cancel.clone(),
            result_bytes: None,
        };
        held.by_key.insert(key, item);
        held.running += 1;
        Some(cancel)
    }

    /// Notes that an item has a result, which waits for the log.
    pub fn finish(&self, key: &ItemKey, result_bytes: usize) {
        let mut held = self.held.lock().expect("not poisoned");
        let Some(item) = held.by_key.get_mut(key) else {
            return;
        };
        if item.result_bytes.replace(result_bytes).is_none() {
            held.running -= 1;
            held.waiting_bytes += result_bytes;
        }
    }

    /// Lets go of an item.
    pub fn remove(&self, key: &ItemKey) {
        let mut held = self.held.lock().expect("not poisoned");
        match held.by_key.remove(key).map(|item| item.result_bytes) {
            None => {}
            Some(None) => held.running -= 1,
            Some(Some(bytes)) => held.waiting_bytes -= bytes,
        }
    }

    /// Whether items of a shard are in hand.
    pub fn is_busy(&self, shard: ShardId) -> bool {
        let held = self.held.lock().expect("not poisoned");
        held.by_key.values().any(|item| item.shard == shard)
    }

    /// Ends the runs of the jobs that are not wanted any more.
    pub fn cancel_unwanted(&self, is_wanted: impl Fn(&JobId) -> bool) {
        let held = self.held.lock().expect("not poisoned");
        let jobs: Vec<JobId> = held.by_key.keys().map(|(job, _)| job.clone()).collect();
        drop(held);
        let unwanted: Vec<JobId> = jobs.into_iter().filter(|job| !is_wanted(job)).collect();
        let held = self.held.lock().expect("not poisoned");
        for (_, item) in held
            .by_key
            .iter()
            .filter(|((job, _), _)| unwanted.contains(job))
        {
            item.cancel.cancel();
        }
    }
}
