//! A fixed-size set of item indexes, stored as a bitmap.

use serde::{Deserialize, Serialize};

/// Number of bits per word.
const WORD_BITS: u32 = 64;

/// A set of indexes in `0..len`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemBitmap {
    words: Vec<u64>,
    len: u32,
    ones: u32,
}

impl ItemBitmap {
    /// Creates an empty set for indexes in `0..len`.
    pub fn new(len: u32) -> Self {
        let words = len.div_ceil(WORD_BITS) as usize;
        Self {
            words: vec![0; words],
            len,
            ones: 0,
        }
    }

    /// Adds an index. Returns false if it is out of range or already in the set.
    pub fn insert(&mut self, index: u32) -> bool {
        if index >= self.len || self.contains(index) {
            return false;
        }
        self.words[(index / WORD_BITS) as usize] |= 1 << (index % WORD_BITS);
        self.ones += 1;
        true
    }

    /// Whether the index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let word = self.words.get((index / WORD_BITS) as usize);
        word.is_some_and(|w| w & (1 << (index % WORD_BITS)) != 0)
    }

    /// Number of indexes in the set.
    pub fn count(&self) -> u32 {
        self.ones
    }

    /// Whether every index is in the set.
    pub fn is_full(&self) -> bool {
        self.ones == self.len
    }

    /// The indexes that are not in the set, in ascending order.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        let words = (0..).zip(&self.words);
        let incomplete_words = words.filter(|(_, bits)| **bits != u64::MAX);
        let indexes =
            incomplete_words.flat_map(|(word, _)| word * WORD_BITS..(word + 1) * WORD_BITS);
        indexes.filter(|&index| index < self.len && !self.contains(index))
    }
}
