//! Decisions after failed attempts, by run state, route, number of attempts and remaining time.

use amaranth_kernel::attempt_plan::AttemptDecision::{Again, Fail, Late, Refuse};
use amaranth_kernel::attempt_plan::FailureProof::{MayHaveRun, NotRun, Unreachable};
use amaranth_kernel::attempt_plan::{
    AttemptBounds, AttemptCount, AttemptDecision, decide_after_failure,
};
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
fn each_failure_leads_to_the_expected_decision() {
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
            unreachable: 0,
        };
        let next = decide_after_failure(count, proof, bounds, &mut RetryBudget::new());
        assert_eq!(next, expected, "{proof:?} {count:?} {bounds:?}");
    }
}

#[test]
fn an_empty_budget_allows_no_retry() {
    let mut budget = RetryBudget::new();
    while budget.take_retry() {}
    let count = AttemptCount {
        not_run: 1,
        ..AttemptCount::default()
    };
    let next = decide_after_failure(count, NotRun, bounds(true, 2, 1_000), &mut budget);
    assert_eq!(next, Refuse);
}

/// A request goes on to the next upstream when some are gone, without a share of the budget.
#[test]
fn unreachable_upstreams_cost_no_budget() {
    let cases = [
        (0, 1, bounds(false, 1, 1_000), Again),
        (0, 16, bounds(false, 1, 1_000), Again),
        (0, 17, bounds(false, 1, 1_000), Refuse),
        (1, 1, bounds(true, 2, 1_000), Again),
        (1, 17, bounds(true, 2, 1_000), Fail),
        (0, 1, bounds(true, 2, 5), Refuse),
        (1, 1, bounds(true, 2, 5), Late),
    ];
    for (may_have_run, unreachable, bounds, expected) in cases {
        let mut budget = RetryBudget::new();
        while budget.take_retry() {}
        let count = AttemptCount {
            may_have_run,
            not_run: 0,
            unreachable,
        };
        let next = decide_after_failure(count, Unreachable, bounds, &mut budget);
        assert_eq!(next, expected, "{count:?} {bounds:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]

    /// A refusal means that nothing ran; work that is not repeatable runs at most once; the number
    /// of attempts that may have run stays within the route's limit.
    #[test]
    fn decisions_respect_repeatability_and_attempt_limit(
        proofs in prop::collection::vec(prop_oneof![Just(NotRun), Just(Unreachable), Just(MayHaveRun)], 1..40),
        repeatable: bool,
        max_attempts in 1_u32..5,
        remaining_ms in 0_u64..2_000,
    ) {
        let mut count = AttemptCount::default();
        let mut budget = RetryBudget::new();
        for proof in proofs {
            count.add(proof);
            let next = decide_after_failure(count, proof, bounds(repeatable, max_attempts, remaining_ms), &mut budget);
            let ran = count.may_have_run;
            match next {
                AttemptDecision::Refuse => prop_assert_eq!(ran, 0),
                AttemptDecision::Again if !repeatable => prop_assert_eq!(ran, 0),
                AttemptDecision::Again => prop_assert!(ran < max_attempts),
                AttemptDecision::Fail | AttemptDecision::Late => prop_assert!(ran > 0),
            }
            if next != AttemptDecision::Again {
                break;
            }
        }
    }
}
