//! An engine's prefix cache: blocks in limited memory, least recently used evicted first, with
//! events that are published late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};

use amaranth_wire::engine::{CacheEvent, CacheEvents};

/// Events that are kept for readers.
const MAX_EVENTS: usize = 1 << 14;
/// Most events in one answer.
const MAX_EVENTS_PER_ANSWER: usize = 4_096;

/// Limits of a cache and its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheLimits {
    /// Blocks that fit.
    pub blocks: usize,
    /// How late events are published, in milliseconds.
    pub event_lag_ms: u64,
    /// Of 100 events, how many are lost.
    pub event_loss_percent: u8,
}

/// Blocks by the hash of the prompt up to their end.
#[derive(Debug)]
pub struct PrefixCache {
    limits: CacheLimits,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    tick: u64,
    next_sequence: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(limits: CacheLimits) -> Self {
        Self {
            limits,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            tick: 0,
            next_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// How many blocks from the start of a prompt are cached; they count as used.
    pub fn lookup(&mut self, prefixes: &[u64]) -> usize {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.last_used.contains_key(prefix))
            .count();
        prefixes[..cached].iter().for_each(|&p| self.touch(p));
        cached
    }

    /// Stores the blocks of a prompt at a time in Unix milliseconds.
    pub fn insert(&mut self, prefixes: &[u64], now_ms: u64) {
        for &prefix in prefixes {
            if !self.last_used.contains_key(&prefix) {
                self.publish(prefix, true, now_ms);
            }
            self.touch(prefix);
            self.evict(now_ms);
        }
    }

    /// Drops every block.
    pub fn clear(&mut self, now_ms: u64) {
        let dropped = std::mem::take(&mut self.by_last_use);
        self.last_used.clear();
        for prefix in dropped.into_values() {
            self.publish(prefix, false, now_ms);
        }
    }

    /// The events from a number on that are published by a time in Unix milliseconds.
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

    fn touch(&mut self, prefix: u64) {
        self.tick += 1;
        if let Some(before) = self.last_used.insert(prefix, self.tick) {
            self.by_last_use.remove(&before);
        }
        self.by_last_use.insert(self.tick, prefix);
    }

    fn evict(&mut self, now_ms: u64) {
        while self.last_used.len() > self.limits.blocks {
            let Some((_, prefix)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&prefix);
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
