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
