//! Models which parts of prompts an engine holds, from the requests that it was sent.

use std::collections::{HashMap, VecDeque};

use amaranth_wire::placement_message::{PromptPart, PromptShape};

use crate::hashing::hash_bytes;

/// Part of the stated output that a running request is expected to take in memory: at a random moment half
/// of an answer is written, and few answers are as long as stated.
const EXPECTED_OUTPUT_PART: u32 = 2;

/// Tokens that a request is expected to take in an engine's memory while it runs; 0 if its size is
/// unknown.
pub fn expected_tokens(prompt: &PromptShape) -> u64 {
    u64::from(prompt.prompt_tokens) + u64::from(prompt.output_tokens / EXPECTED_OUTPUT_PART)
}

/// The parts of a prompt, each identified by itself and all parts before it.
#[derive(Debug, Clone, Default)]
pub struct PromptParts {
    parts: Vec<PartKey>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct PartKey {
    key: u64,
    tokens: u32,
}

impl PromptParts {
    /// Hashes the parts of a prompt. Without a stated size it is as large as its parts.
    pub fn new(prompt: &PromptShape) -> Self {
        let mut key = 0;
        let mut key_part = |part: &PromptPart| {
            key = hash_bytes(part.id.as_str().as_bytes(), key);
            PartKey {
                key,
                tokens: part.tokens,
            }
        };
        let parts = prompt.shared.iter().chain(&prompt.own);
        let parts: Vec<_> = parts.map(&mut key_part).collect();
        let sum = parts
            .iter()
            .fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
        let tokens = match prompt.prompt_tokens {
            0 => sum,
            tokens => tokens,
        };
        Self { parts, tokens }
    }
}

/// Room for parts of prompts at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheRoom {
    /// Tokens of the parts that fit beside the running requests.
    pub tokens: u64,
    /// Parts that the model keeps at most, which bounds its memory.
    pub parts: usize,
}

#[derive(Debug, Clone, Copy)]
struct HeldPart {
    tokens: u32,
    /// Number of its last use.
    used: u64,
}

/// Parts that one upstream probably holds. The least recently used ones are evicted first.
#[derive(Debug, Clone, Default)]
pub struct PromptCache {
    parts: HashMap<u64, HeldPart>,
    /// Uses in their order; only the last one of a part counts.
    uses: VecDeque<(u64, u64)>,
    tokens: u64,
    next_use: u64,
}

impl PromptCache {
    /// An upstream that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tokens of a prompt that need no prefill: those of its first parts that are all held.
    pub fn kept_tokens(&self, prompt: &PromptParts) -> u32 {
        let held = prompt.parts.iter();
        let held = held.take_while(|part| self.parts.contains_key(&part.key));
        let kept = held.fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
        kept.min(prompt.tokens)
    }

    /// Tokens that are evicted if a prompt of which `kept` tokens are held is sent there.
    pub fn evicted_tokens(&self, prompt: &PromptParts, kept: u32, room: CacheRoom) -> u64 {
        let added = u64::from(prompt.tokens.saturating_sub(kept));
        (self.tokens + added)
            .saturating_sub(room.tokens)
            .min(self.tokens)
    }

    /// Records that a prompt is sent there.
    pub fn record(&mut self, prompt: &PromptParts, room: CacheRoom) {
        // The last parts are evicted first: without the first ones they are worth nothing.
        for part in prompt.parts.iter().rev() {
            let used = self.next_use;
            self.next_use += 1;
            let held = HeldPart {
                tokens: part.tokens,
                used,
            };
            let before = self.parts.insert(part.key, held);
            let before = before.map_or(0, |before| u64::from(before.tokens));
            self.tokens = self.tokens - before + u64::from(part.tokens);
            self.uses.push_back((part.key, used));
        }
        self.shrink(room);
    }

    /// Evicts parts until the rest has room.
    fn shrink(&mut self, room: CacheRoom) {
        while self.tokens > room.tokens || self.parts.len() > room.parts {
            let Some((key, used)) = self.uses.pop_front() else {
                return;
            };
            if self.parts.get(&key).is_some_and(|part| part.used == used) {
                let part = self.parts.remove(&key);
                self.tokens -= part.map_or(0, |part| u64::from(part.tokens));
            }
        }
        if self.uses.len() > 2 * self.parts.len() + 8 {
            let parts = &self.parts;
            let is_last =
                |(key, used): &(u64, u64)| parts.get(key).is_some_and(|part| part.used == *used);
            self.uses.retain(is_last);
        }
    }

    /// Number of parts that are held.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
