//! What follows a failed attempt, by proof, kind, count and time.

use amaranth_kernel::attempt_plan::AttemptNext::{Again, Fail, Late, Refuse};
use amaranth_kernel::attempt_plan::FailureProof::{MayHaveRun, NotRun};
use amaranth_kernel::attempt_plan::{AttemptBounds, AttemptCount, AttemptNext, after_failure};
use amaranth_kernel::retry::RetryBudget;
use proptest::prelude::*;

fn bounds(repeatable: bool, max_attempts: u32, remaining_ms: u64) -> AttemptBounds {
    AttemptBounds {
        repeatable,
        max_attempts,
        remaining_ms,
    }
}

#[test]
fn each_failure_has_its_next_step() {
    let cases = [
        (MayHaveRun, 1, 0, bounds(true, 2, 1_000), Again),
        (MayHaveRun, 2, 0, bounds(true, 2, 1_000), Fail),
        (MayHaveRun, 1, 0, bounds(false, 2, 1_000), Fail),
        (MayHaveRun, 1, 0, bounds(true, 2, 5), Late),
        (NotRun, 0, 1, bounds(false, 1, 1_000), Again),
        (NotRun, 0, 3, bounds(false, 1, 1_000), Refuse),
        (NotRun, 0, 1, bounds(false, 1, 5), Refuse),
        (NotRun, 1, 1, bounds(false, 2, 1_000), Fail),
        (NotRun, 1, 1, bounds(true, 2, 1_000), Again),
    ];
    for (proof, may_have_run, not_run, bounds, expected) in cases {
        let count = AttemptCount {
            may_have_run,
            not_run,
        };
        let next = after_failure(count, proof, bounds, &mut RetryBudget::new());
        assert_eq!(next, expected, "{proof:?} {count:?} {bounds:?}");
    }
}

#[test]
fn without_budget_nothing_is_tried_again() {
    let mut budget = RetryBudget::new();
    while budget.take_retry() {}
    let count = AttemptCount {
        may_have_run: 0,
        not_run: 1,
    };
    let next = after_failure(count, NotRun, bounds(true, 2, 1_000), &mut budget);
    assert_eq!(next, Refuse);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]

    /// A refusal promises that nothing ran; work that may not be repeated runs at most once; no
    /// more upstreams run a request than its route allows.
    #[test]
    fn no_sequence_of_failures_breaks_a_promise(
        proofs in prop::collection::vec(prop_oneof![Just(NotRun), Just(MayHaveRun)], 1..12),
        repeatable: bool,
        max_attempts in 1_u32..5,
        remaining_ms in 0_u64..2_000,
    ) {
        let mut count = AttemptCount::default();
        let mut budget = RetryBudget::new();
        for proof in proofs {
            count.add(proof);
            let next = after_failure(count, proof, bounds(repeatable, max_attempts, remaining_ms), &mut budget);
            let ran = count.may_have_run;
            match next {
                AttemptNext::Refuse => prop_assert_eq!(ran, 0),
                AttemptNext::Again if !repeatable => prop_assert_eq!(ran, 0),
                AttemptNext::Again => prop_assert!(ran < max_attempts),
                AttemptNext::Fail | AttemptNext::Late => prop_assert!(ran > 0),
            }
            if next != AttemptNext::Again {
                break;
            }
        }
    }
}
