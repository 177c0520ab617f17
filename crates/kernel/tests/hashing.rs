//! Stable hashes and rendezvous order.

use amaranth_kernel::hashing::{hash_bytes, rendezvous_order};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn hash_values_are_stable_between_versions() {
    // Instances of different versions must agree on these values during a rolling upgrade.
    let cases = [
        ("", 0, 0x2d06_8005_38d3_94c2),
        ("shard", 0, 5_162_630_128_756_879_299),
    ];
    for (text, seed, hash) in cases {
        assert_eq!(hash_bytes(text.as_bytes(), seed), hash, "{text:?}");
    }
    assert_ne!(hash_bytes(b"shard", 0), hash_bytes(b"shard", 1));
}

fn order(key: &str, names: &[String]) -> Vec<String> {
    let ordered = rendezvous_order(key.as_bytes(), names, String::as_str);
    ordered.into_iter().cloned().collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(34),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rendezvous_order_ignores_the_input_order(key in "[a-z]{0,8}", count in 1..20_usize) {
        let names: Vec<_> = (0..count).map(|n| format!("entry-{n}")).collect();
        let reversed: Vec<_> = names.iter().rev().cloned().collect();
        prop_assert_eq!(order(&key, &names), order(&key, &reversed));
    }

    #[test]
    fn removing_a_candidate_keeps_the_order_of_the_others(
        key in "[a-z]{0,8}",
        count in 2..20_usize,
        removed in any::<prop::sample::Index>(),
    ) {
        let names: Vec<_> = (0..count).map(|n| format!("entry-{n}")).collect();
        let gone = &names[removed.index(count)];
        let rest: Vec<_> = names.iter().filter(|name| *name != gone).cloned().collect();
        let mut expected = order(&key, &names);
        expected.retain(|name| name != gone);
        prop_assert_eq!(order(&key, &rest), expected);
    }
}

#[test]
fn keys_are_spread_evenly_over_candidates() {
    const KEYS: usize = 4_000;
    let names: Vec<_> = (0..8).map(|n| format!("entry-{n}")).collect();
    let mut first = std::collections::HashMap::<String, usize>::new();
    for key in 0..KEYS {
        *first
            .entry(order(&key.to_string(), &names)[0].clone())
            .or_default() += 1;
    }
    let mean = KEYS / names.len();
    assert!(
        names
            .iter()
            .all(|name| first[name] > mean / 2 && first[name] < 2 * mean),
        "{first:?}"
    );
}
