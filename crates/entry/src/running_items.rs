//! The active items of this instance: those that run and those whose result is not folded yet.

use std::collections::HashMap;
use std::sync::Mutex;

use amaranth_wire::id::{JobId, ShardId};
use tokio_util::sync::CancellationToken;

/// Items that one instance runs at once.
const RUNNING_LIMIT: usize = 1_024;
/// Items that may wait for a batch slot.
const SLOT_WAIT_LIMIT: usize = 48;
/// Results that may wait to be folded from the log.
const UNFOLDED_LIMIT: usize = 2_048;
/// Bytes of results that may wait to be folded from the log.
const UNFOLDED_BYTES: usize = 16 << 20;

/// Job and index of an item.
pub type ItemKey = (JobId, u32);

struct ActiveItem {
    shard: ShardId,
    cancel: CancellationToken,
    result_bytes: Option<usize>,
}

#[derive(Default)]
struct ActiveItems {
    by_key: HashMap<ItemKey, ActiveItem>,
    running: usize,
    unfolded_bytes: usize,
}

/// The active items, limited in number and in bytes of results.
#[derive(Default)]
pub struct RunningItems {
    active: Mutex<ActiveItems>,
}

impl RunningItems {
    /// The number of items that may be started now, given how many batch slots are in use.
    pub fn start_capacity(&self, slots_in_use: usize) -> usize {
        let active = self.active.lock().expect("not poisoned");
        let unfolded = active.by_key.len() - active.running;
        if unfolded >= UNFOLDED_LIMIT || active.unfolded_bytes >= UNFOLDED_BYTES {
            return 0;
        }
        let without_slot = active.running.saturating_sub(slots_in_use);
        let capacity = RUNNING_LIMIT.saturating_sub(active.running);
        capacity.min(SLOT_WAIT_LIMIT.saturating_sub(without_slot))
    }

    /// Adds an item as running and returns the token that cancels it; `None` if it is active
    /// already.
    pub fn start(&self, key: ItemKey, shard: ShardId) -> Option<CancellationToken> {
        let mut active = self.active.lock().expect("not poisoned");
        if active.by_key.contains_key(&key) {
            return None;
        }
        let cancel = CancellationToken::new();
        let item = ActiveItem {
            shard,
            cancel: cancel.clone(),
            result_bytes: None,
        };
        active.by_key.insert(key, item);
        active.running += 1;
        Some(cancel)
    }

    /// Marks an item as finished. Its result waits to be folded.
    pub fn finish(&self, key: &ItemKey, result_bytes: usize) {
        let mut active = self.active.lock().expect("not poisoned");
        let Some(item) = active.by_key.get_mut(key) else {
            return;
        };
        if item.result_bytes.replace(result_bytes).is_none() {
            active.running -= 1;
            active.unfolded_bytes += result_bytes;
        }
    }

    /// Removes an item.
    pub fn remove(&self, key: &ItemKey) {
        let mut active = self.active.lock().expect("not poisoned");
        match active.by_key.remove(key).map(|item| item.result_bytes) {
            None => {}
            Some(None) => active.running -= 1,
            Some(Some(bytes)) => active.unfolded_bytes -= bytes,
        }
    }

    /// Whether any item of the shard is active.
    pub fn is_busy(&self, shard: ShardId) -> bool {
        let active = self.active.lock().expect("not poisoned");
        active.by_key.values().any(|item| item.shard == shard)
    }

    /// Cancels the items of jobs that are not wanted any more.
    pub fn cancel_unwanted(&self, is_wanted: impl Fn(&JobId) -> bool) {
        let active = self.active.lock().expect("not poisoned");
        let jobs: Vec<JobId> = active.by_key.keys().map(|(job, _)| job.clone()).collect();
        drop(active);
        let unwanted: Vec<JobId> = jobs.into_iter().filter(|job| !is_wanted(job)).collect();
        let active = self.active.lock().expect("not poisoned");
        for (_, item) in active
            .by_key
            .iter()
            .filter(|((job, _), _)| unwanted.contains(job))
        {
            item.cancel.cancel();
        }
    }
}
