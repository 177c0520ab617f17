//! Placing by what one instance knows itself.

use amaranth_kernel::placement::{LoadTrack, PlacementCandidate, PlacementStep, place};
use amaranth_wire::placement_message::PlacementDemand;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 8;
const ONLINE: PlacementDemand = PlacementDemand::Online { objective_ms: 300 };

fn reported(total: u32, at_ms: u64) -> LoadTrack {
    let mut track = LoadTrack::default();
    track.note_report(total, at_ms);
    track
}

fn step(tracks: &[LoadTrack], demand: PlacementDemand, now_ms: u64) -> PlacementStep {
    let candidates = tracks
        .iter()
        .enumerate()
        .map(|(index, track)| PlacementCandidate {
            slots: SLOTS,
            near: index == 0,
            track,
        });
    let candidates: Vec<_> = candidates.collect();
    place(&candidates, demand, now_ms, &mut SmallRng::seed_from_u64(3))
}

#[test]
fn stale_reports_fade() {
    let tracks = [reported(8, 0), reported(8, 0)];
    let refused = PlacementDemand::Batch;
    assert!(matches!(
        step(&tracks, refused, 10),
        PlacementStep::Refuse { .. }
    ));
    assert!(matches!(
        step(&tracks, refused, 8_000),
        PlacementStep::Send { .. }
    ));
}

#[test]
fn the_least_loaded_is_chosen_and_a_near_one_among_equals() {
    let cases = [
        (vec![6, 1], 1),
        (vec![1, 6], 0),
        (vec![3, 3], 0),
        (vec![8, 8, 2], 2),
    ];
    for (loads, expected) in cases {
        let tracks: Vec<_> = loads.iter().map(|load| reported(*load, 0)).collect();
        let PlacementStep::Send { index, .. } = step(&tracks, ONLINE, 0) else {
            panic!("{loads:?}");
        };
        assert_eq!(index, expected, "{loads:?}");
    }
}

#[test]
fn what_would_wait_past_its_objective_is_refused() {
    let step = step(&[reported(40, 0)], ONLINE, 0);
    let PlacementStep::Refuse { retry_after_ms } = step else {
        panic!("{step:?}");
    };
    assert!((500..=5_000).contains(&retry_after_ms), "{retry_after_ms}");
}

#[test]
fn an_upstream_that_fails_is_left_out_while_others_remain() {
    let mut failing = reported(0, 0);
    for _ in 0..3 {
        failing.health.fail(0);
    }
    let PlacementStep::Send { index, .. } = step(
        &[failing.clone(), reported(5, 0), reported(5, 0)],
        ONLINE,
        10,
    ) else {
        panic!("no place");
    };
    assert_ne!(index, 0);
    assert!(matches!(
        step(&[failing], ONLINE, 10),
        PlacementStep::Send { index: 0, .. }
    ));
}

#[test]
fn without_candidates_there_is_no_place() {
    assert_eq!(step(&[], ONLINE, 0), PlacementStep::NoUpstream);
}
