//! Fleet-wide quotas: the fleet admits at most the bound, and with steady demand no less than the
//! smaller of demand and quota, up to rounding.

use amaranth_kernel::quota::{QuotaDecision, QuotaShare, TeamDemand, max_admitted};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Runs one period: every instance receives its arrivals, then all exchange their demand.
fn run_period(shares: &mut [QuotaShare], arrivals: &[u64], quota: u64) -> u64 {
    let mut admitted = 0;
    for (share, arrived) in shares.iter_mut().zip(arrivals) {
        let decisions = (0..*arrived).map(|_| share.admit_request());
        admitted += decisions.filter(|d| *d == QuotaDecision::Admit).count() as u64;
    }
    let total: u64 = arrivals.iter().sum();
    for (share, own) in shares.iter_mut().zip(arrivals) {
        let others = total - own;
        share.end_period(quota, TeamDemand { own: *own, others });
    }
    admitted
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_fleet_admits_at_most_the_bound(
        periods in proptest::collection::vec(proptest::collection::vec(0..200_u64, 8), 1..20),
        quota in 0..1_000_u64,
    ) {
        let mut shares = vec![QuotaShare::new(); 8];
        for arrivals in &periods {
            let admitted = run_period(&mut shares, arrivals, quota);
            prop_assert!(admitted <= max_admitted(quota, 8));
        }
    }

    #[test]
    fn steady_demand_is_admitted_up_to_the_quota(
        arrivals in proptest::collection::vec(0..200_u64, 8),
        quota in 8..1_000_u64,
    ) {
        let mut shares = vec![QuotaShare::new(); 8];
        run_period(&mut shares, &arrivals, quota);
        let admitted = run_period(&mut shares, &arrivals, quota);
        let demand: u64 = arrivals.iter().sum();
        // Each instance's share is rounded down by less than one request.
        prop_assert!(admitted + 8 >= demand.min(quota));
    }
}
