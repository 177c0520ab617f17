//! Placement from local knowledge only.

use amaranth_kernel::placement::{LoadEstimate, PlacementCandidate, PlacementDecision, place};
use amaranth_wire::placement_message::PlacementDemand;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 8;
const ONLINE: PlacementDemand = PlacementDemand::Online { objective_ms: 300 };

fn reported(total: u32, at_ms: u64) -> LoadEstimate {
    let mut estimate = LoadEstimate::default();
    estimate.record_report(total, at_ms);
    estimate
}

fn decision(estimates: &[LoadEstimate], demand: PlacementDemand, now_ms: u64) -> PlacementDecision {
    let candidates = estimates
        .iter()
        .enumerate()
        .map(|(index, estimate)| PlacementCandidate {
            slots: SLOTS,
            is_local: index == 0,
            estimate,
        });
    let candidates: Vec<_> = candidates.collect();
    place(&candidates, demand, now_ms, &mut SmallRng::seed_from_u64(3))
}

#[test]
fn old_load_reports_lose_weight() {
    let estimates = [reported(8, 0), reported(8, 0)];
    let batch = PlacementDemand::Batch;
    assert!(matches!(
        decision(&estimates, batch, 10),
        PlacementDecision::Refuse { .. }
    ));
    assert!(matches!(
        decision(&estimates, batch, 8_000),
        PlacementDecision::Send { .. }
    ));
}

#[test]
fn least_loaded_candidate_wins_and_ties_go_to_the_same_data_centre() {
    let cases = [
        (vec![6, 1], 1),
        (vec![1, 6], 0),
        (vec![3, 3], 0),
        (vec![8, 8, 2], 2),
    ];
    for (loads, expected) in cases {
        let estimates: Vec<_> = loads.iter().map(|load| reported(*load, 0)).collect();
        let PlacementDecision::Send { index, .. } = decision(&estimates, ONLINE, 0) else {
            panic!("{loads:?}");
        };
        assert_eq!(index, expected, "{loads:?}");
    }
}

#[test]
fn request_that_would_miss_its_objective_is_refused() {
    let decision = decision(&[reported(40, 0)], ONLINE, 0);
    let PlacementDecision::Refuse { retry_after_ms } = decision else {
        panic!("{decision:?}");
    };
    assert!((500..=5_000).contains(&retry_after_ms), "{retry_after_ms}");
}

#[test]
fn ejected_upstream_is_skipped_unless_it_is_the_only_one() {
    let mut failing = reported(0, 0);
    for _ in 0..3 {
        failing.health.record_failure(0);
    }
    let PlacementDecision::Send { index, .. } = decision(
        &[failing.clone(), reported(5, 0), reported(5, 0)],
        ONLINE,
        10,
    ) else {
        panic!("no candidate was chosen");
    };
    assert_ne!(index, 0);
    assert!(matches!(
        decision(&[failing], ONLINE, 10),
        PlacementDecision::Send { index: 0, .. }
    ));
}

#[test]
fn request_without_candidates_gets_no_upstream() {
    assert_eq!(decision(&[], ONLINE, 0), PlacementDecision::NoUpstream);
}
