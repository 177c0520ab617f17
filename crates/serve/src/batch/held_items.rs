//! Counts the items of each job that are held back as their prompts crash upstreams. They need no
//! capacity of their instance.

use std::collections::HashMap;
use std::sync::Arc;

use amaranth_net::state_lock::StateMutex;
use amaranth_wire::id::JobId;

/// The number of items that are held back, by job.
#[derive(Debug, Default)]
pub struct HeldItems(StateMutex<HashMap<JobId, usize>>);

/// Counts an item as held back until dropped.
#[derive(Debug)]
pub struct HeldItem {
    items: Arc<HeldItems>,
    job: JobId,
}

impl HeldItems {
    /// Number of a job's items that are held back.
    pub fn count(&self, job: &JobId) -> usize {
        self.0.lock().get(job).copied().unwrap_or(0)
    }

    /// Counts one more item of a job.
    pub fn add(self: &Arc<Self>, job: &JobId) -> HeldItem {
        *self.0.lock().entry(job.clone()).or_default() += 1;
        HeldItem {
            items: self.clone(),
            job: job.clone(),
        }
    }
}

impl Drop for HeldItem {
    fn drop(&mut self) {
        let mut counts = self.items.0.lock();
        if let Some(count) = counts.get_mut(&self.job) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.job);
            }
        }
    }
}
