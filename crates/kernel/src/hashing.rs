//! Hashes that are the same on every instance and in every version.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The XXH3 hash of the bytes.
pub fn hash_bytes(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Orders candidates for a key by rendezvous hashing (highest random weight). The result does not
/// depend on the input order, and removing one candidate moves only its own keys.
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

/// The winner for a key by weighted rendezvous hashing: a candidate of weight 2 wins twice as many
/// keys as one of weight 1, and one of weight 0 wins none. Removing a candidate moves only its own
/// keys, and adding one moves keys only to it.
pub fn weighted_rendezvous<'a, T>(
    key: &[u8],
    candidates: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
    weight: impl Fn(&T) -> u32,
) -> Option<&'a T> {
    let seed = hash_bytes(key, 0);
    let mut winner: Option<(f64, &T)> = None;
    for candidate in candidates {
        let share = weight(candidate);
        if share == 0 {
            continue;
        }
        let score = weighted_score(hash_bytes(name(candidate).as_bytes(), seed), share);
        let is_better = winner.is_none_or(|(best, best_candidate)| {
            score > best || (score == best && name(candidate) < name(best_candidate))
        });
        if is_better {
            winner = Some((score, candidate));
        }
    }
    winner.map(|(_, candidate)| candidate)
}

/// `-weight / ln(u)`, where the hash gives u between 0 and 1.
fn weighted_score(hash: u64, weight: u32) -> f64 {
    /// Bits of a hash that a double holds exactly.
    const EXACT_BITS: u32 = 52;
    let bucket = (hash >> (u64::BITS - EXACT_BITS)) as f64 + 0.5;
    let uniform = bucket / (1_u64 << EXACT_BITS) as f64;
    -f64::from(weight) / uniform.ln()
}
