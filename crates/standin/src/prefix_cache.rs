//! Prefix cache of an engine: a bounded LRU set of blocks, whose change events are published with
//! delay and loss.

use std::collections::{BTreeMap, HashMap, VecDeque};

use amaranth_wire::engine::{CacheEvent, CacheEvents};

/// Most events kept for readers.
const MAX_EVENTS: usize = 1 << 14;
/// Most events covered by one answer.
const MAX_EVENTS_PER_ANSWER: usize = 4_096;

/// Cache size, and delay and loss of cache events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheLimits {
    /// Capacity in blocks.
    pub blocks: usize,
    /// Delay before events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// Percentage of events that are lost.
    pub event_loss_percent: u8,
}

/// LRU cache of blocks, keyed by the hash of the prompt up to the end of the block.
#[derive(Debug)]
pub struct PrefixCache {
    limits: CacheLimits,
    last_use_ticks: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_tick: u64,
    next_sequence: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(limits: CacheLimits) -> Self {
        Self {
            limits,
            last_use_ticks: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_tick: 0,
            next_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Counts the cached blocks from the start of a prompt and marks them as used.
    pub fn lookup(&mut self, prefixes: &[u64]) -> usize {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.last_use_ticks.contains_key(prefix))
            .count();
        prefixes[..cached].iter().for_each(|&p| self.mark_used(p));
        cached
    }

    /// Adds the blocks of a prompt, evicting the least recently used ones. `now_ms` is in Unix
    /// milliseconds.
    pub fn insert_blocks(&mut self, prefixes: &[u64], now_ms: u64) {
        for &prefix in prefixes {
            if !self.last_use_ticks.contains_key(&prefix) {
                self.publish(prefix, true, now_ms);
            }
            self.mark_used(prefix);
            self.evict(now_ms);
        }
    }

    /// Evicts all blocks.
    pub fn clear(&mut self, now_ms: u64) {
        let dropped = std::mem::take(&mut self.by_last_use);
        self.last_use_ticks.clear();
        for prefix in dropped.into_values() {
            self.publish(prefix, false, now_ms);
        }
    }

    /// The events from sequence number `from` on that are published by `now_ms`, in Unix
    /// milliseconds.
    pub fn events(&self, from: u64, now_ms: u64) -> CacheEvents {
        let visible_ms = now_ms.saturating_sub(self.limits.event_lag_ms);
        let published = self
            .events
            .iter()
            .filter(|(time_ms, event)| *time_ms <= visible_ms && event.sequence >= from)
            .map(|(_, event)| *event)
            .take(MAX_EVENTS_PER_ANSWER);
        let mut next = from;
        let mut events = Vec::new();
        for event in published {
            next = event.sequence + 1;
            if !self.is_dropped(event.sequence) {
                events.push(event);
            }
        }
        CacheEvents { next, events }
    }

    fn is_dropped(&self, sequence: u64) -> bool {
        const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let hashed = sequence.wrapping_add(1).wrapping_mul(HASH_MULTIPLIER) >> 32;
        hashed % 100 < u64::from(self.limits.event_loss_percent)
    }

    fn mark_used(&mut self, prefix: u64) {
        self.use_tick += 1;
        if let Some(before) = self.last_use_ticks.insert(prefix, self.use_tick) {
            self.by_last_use.remove(&before);
        }
        self.by_last_use.insert(self.use_tick, prefix);
    }

    fn evict(&mut self, now_ms: u64) {
        while self.last_use_ticks.len() > self.limits.blocks {
            let Some((_, prefix)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use_ticks.remove(&prefix);
            self.publish(prefix, false, now_ms);
        }
    }

    fn publish(&mut self, prefix: u64, stored: bool, now_ms: u64) {
        let event = CacheEvent {
            sequence: self.next_sequence,
            prefix,
            stored,
        };
        self.next_sequence += 1;
        self.events.push_back((now_ms, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
