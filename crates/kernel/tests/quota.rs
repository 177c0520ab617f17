//! Quotas over the fleet: never more than the stated bound, and no less than demand or quota.

use amaranth_kernel::quota::{QuotaShare, QuotaVerdict, TeamDemand, most_admitted};
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

/// One period: every instance gets its arrivals, then all tell each other.
fn run_period(shares: &mut [QuotaShare], arrivals: &[u64], quota: u64) -> u64 {
    let mut admitted = 0;
    for (share, arrived) in shares.iter_mut().zip(arrivals) {
        let verdicts = (0..*arrived).map(|_| share.judge());
        admitted += verdicts.filter(|v| *v == QuotaVerdict::Admit).count() as u64;
    }
    let whole: u64 = arrivals.iter().sum();
    for (share, own) in shares.iter_mut().zip(arrivals) {
        let others = whole - own;
        share.turn(quota, TeamDemand { own: *own, others });
    }
    admitted
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_fleet_never_admits_more_than_the_bound(
        periods in proptest::collection::vec(proptest::collection::vec(0..200_u64, 8), 1..20),
        quota in 0..1_000_u64,
    ) {
        let mut shares = vec![QuotaShare::new(); 8];
        for arrivals in &periods {
            let admitted = run_period(&mut shares, arrivals, quota);
            prop_assert!(admitted <= most_admitted(quota, 8));
        }
    }

    #[test]
    fn steady_demand_gets_what_the_quota_allows(
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
