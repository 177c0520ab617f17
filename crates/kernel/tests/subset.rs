//! Subset assignment: even, bounded, and stable when an instance leaves.

use std::collections::{HashMap, HashSet};

use amaranth_kernel::subset::{SubsetSizes, assign_subsets};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|index| format!("{prefix}-{index}"))
        .collect()
}

fn assign(instances: &[String], upstreams: &[String], wanted: usize) -> HashSet<(String, String)> {
    let subsets = assign_subsets(instances, upstreams, wanted, |i| i.as_str(), |u| u.as_str());
    let pairs = subsets.into_iter().flat_map(|(instance, upstreams)| {
        let pairs = upstreams.into_iter().map(|u| (instance.clone(), u.clone()));
        pairs.collect::<Vec<_>>()
    });
    pairs.collect()
}

fn counts(
    pairs: &HashSet<(String, String)>,
    key: impl Fn(&(String, String)) -> &String,
) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for pair in pairs {
        *counts.entry(key(pair).clone()).or_default() += 1;
    }
    counts
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_upstream_is_assigned_and_no_instance_exceeds_its_limit(
        instances in 1..70_usize,
        upstreams in 1..250_usize,
        wanted in 1..40_usize,
    ) {
        let sizes = SubsetSizes::new(instances, upstreams, wanted);
        let pairs = assign(&names("i", instances), &names("u", upstreams), wanted);
        let by_upstream = counts(&pairs, |(_, upstream)| upstream);
        let by_instance = counts(&pairs, |(instance, _)| instance);
        prop_assert_eq!(by_upstream.len(), upstreams);
        let least = sizes.min_per_upstream();
        prop_assert!(by_upstream.values().all(|&count| count == least || count == least + 1));
        prop_assert!(by_instance.values().all(|&count| count <= sizes.max_per_instance()));
    }

    #[test]
    fn removing_an_instance_moves_few_pairs(
        instances in 10..70_usize,
        lost in 0..10_usize,
    ) {
        let upstreams = names("u", 233);
        let all = names("i", instances);
        let before = assign(&all, &upstreams, 24);
        let mut rest = all.clone();
        let gone = rest.remove(lost);
        let after = assign(&rest, &upstreams, 24);
        let kept = before.iter().filter(|(instance, _)| *instance != gone);
        let moved = kept.filter(|pair| !after.contains(*pair)).count();
        // The pairs of the lost instance have to move; the bound may move as many others.
        let had = before.len() / instances;
        prop_assert!(moved <= 2 * had, "{moved} of {} moved, the lost one had about {had}", before.len());
    }
}
