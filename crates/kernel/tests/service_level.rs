//! Classification of requests by objectives, and the counts per minute.

use amaranth_kernel::service_level::{
    LEVEL_MINUTES, LevelOutcome, LevelRing, LevelSample, classify,
};
use amaranth_wire::error::RanState::{No, Unknown};
use amaranth_wire::error::{ANSWER_TABLE, ErrorKind};
use amaranth_wire::service_level::{LevelCause, LevelCounts, LevelObjective};
use amaranth_wire::unit::{Percentage, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MINUTE_MS: u64 = 60_000;

fn objective() -> LevelObjective {
    LevelObjective {
        first_token: TimeSpan::from_millis(520),
        token_gap: TimeSpan::from_millis(70),
        target: Percentage::from_millionths(950_000),
    }
}

fn sample(outcome: LevelOutcome, first_token_ms: Option<u64>, longest_gap_ms: u64) -> LevelSample {
    LevelSample {
        outcome,
        total_ms: 5_000,
        first_token_ms,
        longest_gap_ms,
        beside_batch: false,
    }
}

#[test]
fn each_outcome_has_the_expected_cause() {
    use LevelCause::*;
    use LevelOutcome::*;
    let cases = [
        (Answered(200), Some(520), 70, Some(Good)),
        (Answered(200), Some(521), 70, Some(LateFirstToken)),
        (Answered(200), Some(520), 71, Some(SlowGap)),
        (Answered(200), Some(900), 900, Some(LateFirstToken)),
        (Answered(200), None, 0, Some(Good)),
        (Answered(422), Some(900), 0, None),
        (Answered(500), None, 0, Some(Error)),
        (
            Failed(ErrorKind::Overloaded, Unknown),
            None,
            0,
            Some(Refused),
        ),
        (
            Failed(ErrorKind::DeadlineExceeded, Unknown),
            None,
            0,
            Some(Refused),
        ),
        (
            Failed(ErrorKind::UpstreamFailed, No),
            None,
            0,
            Some(Refused),
        ),
        (
            Failed(ErrorKind::UpstreamFailed, Unknown),
            Some(10),
            0,
            Some(Error),
        ),
        (
            Failed(ErrorKind::DeadlineMissed, Unknown),
            Some(10),
            0,
            Some(Error),
        ),
        (Failed(ErrorKind::InvalidRequest, Unknown), None, 0, None),
        (Failed(ErrorKind::Unauthorized, Unknown), None, 0, None),
        (CallerGone, None, 0, Some(LateFirstToken)),
        (CallerGone, Some(10), 10, Some(Good)),
        (CallerGone, Some(10), 90, Some(SlowGap)),
    ];
    for (outcome, first, gap, cause) in cases {
        let classified = classify(&sample(outcome, first, gap), &objective());
        assert_eq!(classified, cause, "{outcome:?} {first:?} {gap}");
    }
    let mut early = sample(CallerGone, None, 0);
    early.total_ms = 100;
    assert_eq!(classify(&early, &objective()), None);
}

#[test]
fn batch_pressure_explains_only_delays_and_refusals() {
    for (outcome, first, expected) in [
        (LevelOutcome::Answered(200), 100, LevelCause::Good),
        (LevelOutcome::Answered(200), 900, LevelCause::BatchPressure),
        (
            LevelOutcome::Failed(ErrorKind::Overloaded, Unknown),
            0,
            LevelCause::BatchPressure,
        ),
        (
            LevelOutcome::Failed(ErrorKind::UpstreamFailed, Unknown),
            0,
            LevelCause::Error,
        ),
    ] {
        let mut sample = sample(outcome, Some(first), 0);
        sample.beside_batch = true;
        assert_eq!(
            classify(&sample, &objective()),
            Some(expected),
            "{outcome:?}"
        );
    }
}

#[test]
fn caller_errors_do_not_count_for_the_service_level() {
    for row in &ANSWER_TABLE {
        let classified = classify(
            &sample(LevelOutcome::Failed(row.kind, row.ran), None, 0),
            &objective(),
        );
        let caller_fault = (400..500).contains(&row.status) && row.kind != ErrorKind::Overloaded;
        assert_eq!(classified.is_none(), caller_fault, "{}", row.name);
    }
}

#[test]
fn old_minutes_are_dropped() {
    let mut ring = LevelRing::new();
    ring.record(10 * MINUTE_MS, LevelCause::Good);
    ring.record((10 + LEVEL_MINUTES) * MINUTE_MS, LevelCause::Error);
    // The clock was set back by more than the ring holds.
    ring.record(10 * MINUTE_MS, LevelCause::Good);
    let minutes = ring.minutes((10 + LEVEL_MINUTES) * MINUTE_MS);
    assert_eq!(minutes.len(), 1);
    assert_eq!(minutes[0].minute, 10 + LEVEL_MINUTES);
    assert_eq!(minutes[0].counts.get(LevelCause::Error), 1);
    assert_eq!(minutes[0].counts.get(LevelCause::Good), 0);
    assert!(
        ring.minutes((10 + 2 * LEVEL_MINUTES) * MINUTE_MS)
            .is_empty()
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The ring reports the same counts as a list of all requests, cut to the last minutes.
    #[test]
    fn the_ring_matches_a_list_of_all_requests(
        steps in prop::collection::vec((0..120_u64 * MINUTE_MS, 0..6_usize), 0..60),
    ) {
        let mut ring = LevelRing::new();
        let mut all = Vec::new();
        let mut now_ms = 0;
        for (step_ms, cause) in steps {
            now_ms += step_ms;
            ring.record(now_ms, LevelCause::ALL[cause]);
            all.push((now_ms / MINUTE_MS, LevelCause::ALL[cause]));
        }
        let first = (now_ms / MINUTE_MS + 1).saturating_sub(LEVEL_MINUTES);
        let mut expected = std::collections::BTreeMap::<u64, LevelCounts>::new();
        for (minute, cause) in all.into_iter().filter(|(minute, _)| *minute >= first) {
            expected.entry(minute).or_default().add(cause, 1);
        }
        let shown = ring.minutes(now_ms);
        let shown: Vec<_> = shown.into_iter().map(|m| (m.minute, m.counts)).collect();
        prop_assert_eq!(shown, expected.into_iter().collect::<Vec<_>>());
    }
}
