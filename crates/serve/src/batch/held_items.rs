//! Counts the items that are held back as their prompts crash upstreams. They need no capacity of
//! their instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of items that are held back.
#[derive(Debug, Default)]
pub struct HeldItems(AtomicUsize);

/// Counts an item as held back until dropped.
#[derive(Debug)]
pub struct HeldItem(Arc<HeldItems>);

impl HeldItems {
    /// Number of items that are held back.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one more item.
    pub fn add(self: &Arc<Self>) -> HeldItem {
        self.0.fetch_add(1, Ordering::Relaxed);
        HeldItem(self.clone())
    }
}

impl Drop for HeldItem {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
