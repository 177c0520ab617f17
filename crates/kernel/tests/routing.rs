//! All routing policies on random upstream states.

use amaranth_kernel::plugin::{routing_policy, routing_policy_names};
use amaranth_kernel::routing::{RouteHint, UpstreamView, measured_speeds};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn view(
    index: usize,
    (available, affine, in_flight, load): (bool, bool, u32, u32),
    speed: f64,
) -> UpstreamView {
    UpstreamView {
        upstream: format!("engine-{index}").parse().expect("a valid name"),
        available,
        affine: affine || available,
        in_flight,
        load,
        slots: 16,
        speed,
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn policies_pick_an_available_upstream_whenever_one_exists(
        states in prop::collection::vec((any::<bool>(), any::<bool>(), 0..30u32, 0..60u32), 0..12),
        speed in 0.1..4.0f64,
        counter in any::<u64>(),
        prefix in any::<Option<u64>>(),
        seed in any::<u64>(),
    ) {
        let views: Vec<_> = states
            .into_iter()
            .enumerate()
            .map(|(index, state)| view(index, state, speed * (1 + index % 3) as f64))
            .collect();
        let hint = RouteHint { counter, prefix };
        for name in routing_policy_names() {
            let policy = routing_policy(name).expect("a listed policy");
            let picked = (policy.pick)(&views, hint, &mut StdRng::seed_from_u64(seed));
            match picked {
                Some(index) => {
                    let for_prefix = prefix.is_some() && views[index].affine;
                    prop_assert!(views[index].available || for_prefix, "{name}");
                }
                None => prop_assert!(views.iter().all(|view| !view.available), "{name}"),
            }
        }
    }

    /// A pick by affinity stays within the load bound. No upstream is available for the fallback.
    #[test]
    fn prefix_affinity_respects_the_load_bound(loads in prop::collection::vec(0..64u32, 2..10), prefix in any::<u64>()) {
        let views: Vec<_> = loads
            .iter()
            .enumerate()
            .map(|(index, &load)| view(index, (false, true, 0, load), 1.0))
            .collect();
        let policy = routing_policy("prefix_affinity").expect("registered");
        let hint = RouteHint { counter: 0, prefix: Some(prefix) };
        if let Some(index) = (policy.pick)(&views, hint, &mut StdRng::seed_from_u64(0)) {
            let mean = f64::from(loads.iter().sum::<u32>() + 1) / loads.len() as f64;
            let bound = (mean * 1.25).max(16.0);
            prop_assert!(f64::from(loads[index] + 1) <= bound + 1e-9);
        }
    }

    #[test]
    fn measured_speeds_keep_the_mean_of_the_settings(
        steps in prop::collection::vec(prop::option::of(1_000..200_000u64), 1..12),
    ) {
        let settings = vec![1.0; steps.len()];
        let speeds = measured_speeds(&settings, &steps);
        prop_assert!(speeds.iter().all(|speed| speed.is_finite() && *speed > 0.0));
        let measured: Vec<_> = speeds.iter().zip(&steps).filter(|(_, s)| s.is_some()).collect();
        let sum: f64 = measured.iter().map(|(speed, _)| **speed).sum();
        prop_assert!((sum - measured.len() as f64).abs() < 1e-6);
    }
}

#[test]
fn removing_an_upstream_moves_only_its_own_prefixes() {
    let policy = routing_policy("prefix_affinity").expect("registered");
    let pick = |views: &[UpstreamView], prefix| {
        let hint = RouteHint {
            counter: 0,
            prefix: Some(prefix),
        };
        let index = (policy.pick)(views, hint, &mut StdRng::seed_from_u64(0));
        index.map(|index| views[index].upstream.clone())
    };
    let all: Vec<_> = (0..8)
        .map(|index| view(index, (true, true, 0, 0), 1.0))
        .collect();
    for gone in 0..8 {
        let mut rest = all.clone();
        rest.remove(gone);
        for prefix in 0..200 {
            let before = pick(&all, prefix);
            if before.as_ref() != Some(&all[gone].upstream) {
                assert_eq!(before, pick(&rest, prefix));
            }
        }
    }
}
