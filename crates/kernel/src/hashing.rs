//! Stable hashes: the same on every instance and in every version.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of some bytes under a seed.
pub fn hash_bytes(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Orders candidates for a key by highest random weight. Every caller with the same candidates
/// gets the same order; removing one candidate moves only its own keys.
pub fn rendezvous_order<'a, T>(
    key: &[u8],
    candidates: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let seed = hash_bytes(key, 0);
    let weighted = candidates
        .into_iter()
        .map(|candidate| (hash_bytes(name(candidate).as_bytes(), seed), candidate));
    let mut weighted: Vec<_> = weighted.collect();
    weighted.sort_by(|(wa, a), (wb, b)| wb.cmp(wa).then_with(|| name(a).cmp(name(b))));
    weighted
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// The candidate with the highest random weight for a key, where a candidate of weight 2 wins
/// twice as many keys as one of weight 1. Candidates without weight never win. Removing one
/// candidate moves only its own keys, and adding one takes keys only for it.
pub fn weighted_first<'a, T>(
    key: &[u8],
    candidates: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
    weight: impl Fn(&T) -> u32,
) -> Option<&'a T> {
    let seed = hash_bytes(key, 0);
    let mut first: Option<(f64, &T)> = None;
    for candidate in candidates {
        let share = weight(candidate);
        if share == 0 {
            continue;
        }
        let score = weighted_score(hash_bytes(name(candidate).as_bytes(), seed), share);
        let better = first.is_none_or(|(best, holder)| {
            score > best || (score == best && name(candidate) < name(holder))
        });
        if better {
            first = Some((score, candidate));
        }
    }
    first.map(|(_, candidate)| candidate)
}

/// `-weight / ln(u)`, where the hash gives u between 0 and 1.
fn weighted_score(hash: u64, weight: u32) -> f64 {
    /// Bits of a hash that a double holds exactly.
    const MANTISSA_BITS: u32 = 52;
    let steps = (hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5;
    let uniform = steps / (1_u64 << MANTISSA_BITS) as f64;
    -f64::from(weight) / uniform.ln()
}
