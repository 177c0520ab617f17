//! Property tests of the retry policy over random requests, failures and times.

use amaranth_kernel::retry::{
    AttemptFailure, MAX_ATTEMPTS, NextStep, RequestProgress, RetryBudget, backoff_ms, next_step,
};
use amaranth_wire::error::RanState;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn failure() -> impl Strategy<Value = AttemptFailure> {
    prop_oneof![
        Just(AttemptFailure::NotRun),
        Just(AttemptFailure::Broken),
        Just(AttemptFailure::StreamUnknown),
        Just(AttemptFailure::WrongStream),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_respect_repeatability_deadline_and_attempt_limit(
        seed in any::<u64>(),
        repeatable in any::<bool>(),
        deadline in 1..5_000u64,
        steps in prop::collection::vec((failure(), any::<bool>(), 1..800u64, 0..20u8), 1..30),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut budget = RetryBudget::new();
        let mut progress = RequestProgress::new(repeatable, deadline);
        let (mut now, mut sent) = (0, 0);
        for (failure, resumable, took, gone) in steps {
            progress.attempts += 1;
            progress.resumable = resumable;
            let ran = failure != AttemptFailure::NotRun;
            sent += u32::from(ran);
            progress.may_have_run |= ran;
            progress.caller_connected = gone > 0;
            now += took;
            match next_step(&progress, failure, now, &mut budget, &mut rng) {
                NextStep::Resume { delay_ms } => {
                    prop_assert!(progress.caller_connected && resumable);
                    prop_assert!(now + delay_ms < deadline, "a resume after the deadline");
                    progress.attempts -= 1;
                    progress.resumes_without_token += 1;
                    sent -= u32::from(ran);
                }
                NextStep::Retry { delay_ms } => {
                    prop_assert!(progress.caller_connected);
                    prop_assert!(repeatable || sent == 0, "work that is not repeatable was sent again");
                    prop_assert!(now + delay_ms < deadline, "an attempt after the deadline");
                    prop_assert!(progress.attempts < MAX_ATTEMPTS);
                    now += delay_ms;
                }
                NextStep::GiveUp(_, ran) => {
                    let proved = !progress.may_have_run;
                    prop_assert_eq!(ran == RanState::No, proved, "the error claims the wrong run state");
                    return Ok(());
                }
                NextStep::Abandon => {
                    prop_assert!(!progress.caller_connected);
                    return Ok(());
                }
            }
        }
    }

    /// Retries never exceed a tenth of the requests plus those that the initial budget allows.
    #[test]
    fn retries_stay_within_the_budget(arrivals in prop::collection::vec(0..4u32, 1..400)) {
        let mut budget = RetryBudget::new();
        let (mut requests, mut retries) = (0, 0);
        for wanted in arrivals {
            budget.add_request();
            requests += 1;
            retries += (0..wanted).filter(|_| budget.take_retry()).count();
        }
        prop_assert!(retries <= 10 + requests / 10);
    }

    #[test]
    fn backoff_is_bounded(seed in any::<u64>(), attempts in 0..100u32) {
        let mut rng = StdRng::seed_from_u64(seed);
        prop_assert!(backoff_ms(attempts, &mut rng) <= 1_000);
    }
}

/// A stream whose upstream pauses is not given up for want of retries; one that the upstream doesn't
/// know is.
#[test]
fn paused_streams_are_resumed_when_no_retry_is_left() {
    let mut rng = StdRng::seed_from_u64(33);
    let mut empty = RetryBudget::new();
    while empty.take_retry() {}
    let cases = [
        (1, empty.clone(), AttemptFailure::Broken, true, true),
        (
            MAX_ATTEMPTS,
            RetryBudget::new(),
            AttemptFailure::Broken,
            true,
            true,
        ),
        (1, empty.clone(), AttemptFailure::Broken, false, false),
        (1, empty.clone(), AttemptFailure::StreamUnknown, true, false),
        (1, empty, AttemptFailure::NotRun, true, false),
    ];
    for (attempts, mut budget, failure, resumable, resumes) in cases {
        let mut progress = RequestProgress::new(true, 10_000);
        progress.attempts = attempts;
        progress.resumable = resumable;
        progress.may_have_run = true;
        progress.resumes_without_token = 1;
        let step = next_step(&progress, failure, 5_000, &mut budget, &mut rng);
        let resumed = matches!(step, NextStep::Resume { delay_ms } if delay_ms > 0);
        assert_eq!(
            resumed, resumes,
            "{attempts} {failure:?} {resumable}: {step:?}"
        );
        let is_given_up = matches!(step, NextStep::GiveUp(..));
        assert_eq!(
            is_given_up, !resumes,
            "{attempts} {failure:?} {resumable}: {step:?}"
        );
    }
}
