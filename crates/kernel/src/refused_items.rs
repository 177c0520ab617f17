//! Sets batch items aside that upstreams refuse again and again.
//!
//! The load: jobs whose items are larger than the memory of any upstream, which refuses them as if it were full. An
//! instance starts a limited number of items, oldest first. Those that can't be served would use the limit up
//! until they are given up, beside idle upstreams and younger items that fit.

use std::collections::HashMap;
use std::hash::Hash;

/// Refusals in a row after which an item is set aside for the first time. Fewer happen where the estimate
/// of an upstream's load was late.
const FIRST_REFUSALS: u32 = 3;
/// Time for which an item is set aside first, in milliseconds. It doubles with each refusal.
const FIRST_PAUSE_MS: u64 = 1_000;
/// Longest pause of an item that fits an upstream, in milliseconds: it runs soon after there is room again.
const MAX_PAUSE_MS: u64 = 2_000;
/// Longest pause of an item that is larger than any upstream's memory, in milliseconds. What the configuration says
/// of that memory may be wrong, so it is still tried.
const MAX_OVERSIZED_PAUSE_MS: u64 = 15_000;

/// Whether an item fits the memory of an upstream, as far as the configuration says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemFit {
    /// It fits, or the memory isn't known.
    Fits,
    /// It is larger than the memory of every upstream that may serve it.
    Oversized,
}

impl ItemFit {
    /// Compares an item's tokens with the memory of the groups that may serve it, in tokens.
    pub fn new(tokens: u64, memories: impl IntoIterator<Item = Option<u64>>) -> Self {
        let mut memories = memories.into_iter().peekable();
        let is_known = memories.peek().is_some();
        let is_oversized = memories.all(|memory| memory.is_some_and(|memory| tokens > memory));
        match is_known && is_oversized {
            true => Self::Oversized,
            false => Self::Fits,
        }
    }

    fn max_pause_ms(self) -> u64 {
        match self {
            Self::Fits => MAX_PAUSE_MS,
            Self::Oversized => MAX_OVERSIZED_PAUSE_MS,
        }
    }
}

/// When an item is tried again.
#[derive(Debug, Clone, Copy)]
struct ItemPause {
    until_ms: u64,
    pause_ms: u64,
}

/// Items of this instance that are set aside, by key `K`. Times are milliseconds of a steady clock.
#[derive(Debug)]
pub struct RefusedItems<K> {
    pauses: HashMap<K, ItemPause>,
}

impl<K: Eq + Hash> Default for RefusedItems<K> {
    fn default() -> Self {
        Self {
            pauses: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> RefusedItems<K> {
    /// Refusals in a row after which an item is set aside. One that was before is so at the first.
    pub fn allowed_refusals(&self, item: &K, fit: ItemFit) -> u32 {
        match fit == ItemFit::Oversized || self.pauses.contains_key(item) {
            true => 1,
            false => FIRST_REFUSALS,
        }
    }

    /// Sets an item aside, and returns for how long, in milliseconds.
    pub fn set_aside(&mut self, item: K, fit: ItemFit, now_ms: u64) -> u64 {
        let before = self.pauses.get(&item).map(|pause| pause.pause_ms);
        let pause_ms = before.map_or(FIRST_PAUSE_MS, |before| before.saturating_mul(2));
        let pause_ms = pause_ms.min(fit.max_pause_ms());
        let until_ms = now_ms.saturating_add(pause_ms);
        self.pauses.insert(item, ItemPause { until_ms, pause_ms });
        pause_ms
    }

    /// Whether an item was refused since it last ran.
    pub fn contains(&self, item: &K) -> bool {
        self.pauses.contains_key(item)
    }

    /// Whether no items are set aside.
    pub fn is_empty(&self) -> bool {
        self.pauses.is_empty()
    }

    /// Whether an item may be tried.
    pub fn is_due(&self, item: &K, now_ms: u64) -> bool {
        self.pauses
            .get(item)
            .is_none_or(|pause| pause.until_ms <= now_ms)
    }

    /// Forgets an item that ran.
    pub fn remove(&mut self, item: &K) {
        self.pauses.remove(item);
    }

    /// Keeps only the items for which `is_open` holds.
    pub fn retain(&mut self, mut is_open: impl FnMut(&K) -> bool) {
        self.pauses.retain(|item, _| is_open(item));
    }
}
