//! Requests of silent upstreams, alone and under the load of a group whose upstreams pause.

use amaranth_kernel::attempt_plan::{AttemptBounds, AttemptCount};
use amaranth_kernel::hand_over::SilenceStep::{FindSuccessor, Wait};
use amaranth_kernel::hand_over::{SilentRequest, after_silence, may_take_place};
use amaranth_kernel::retry::RetryBudget;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn silent(silent_ms: u64, may_have_run: u32, bounds: AttemptBounds) -> SilentRequest {
    let count = AttemptCount {
        may_have_run,
        ..AttemptCount::default()
    };
    SilentRequest {
        silent_ms,
        count,
        bounds,
    }
}

fn bounds(repeatable: bool, max_attempts: u32, remaining_ms: u64) -> AttemptBounds {
    AttemptBounds {
        repeatable,
        max_attempts,
        remaining_ms,
    }
}

#[test]
fn each_silence_leads_to_the_expected_step() {
    let find = |max_wait_ms| FindSuccessor { max_wait_ms };
    let cases = [
        (silent(1_000, 0, bounds(true, 2, 3_000)), find(1_000)),
        (silent(2_500, 0, bounds(true, 3, 3_000)), find(2_500)),
        (silent(1_000, 0, bounds(true, 2, 400)), find(400)),
        (silent(1_000, 1, bounds(true, 2, 3_000)), Wait),
        (silent(1_000, 1, bounds(true, 3, 3_000)), find(1_000)),
        (silent(1_000, 0, bounds(true, 1, 3_000)), Wait),
        (silent(1_000, 0, bounds(false, 3, 3_000)), Wait),
        (silent(1_000, 0, bounds(true, 3, 10)), Wait),
    ];
    for (request, expected) in cases {
        let step = after_silence(&request, &RetryBudget::new());
        assert_eq!(step, expected, "{request:?}");
    }
}

/// Without a retry, no place is asked for that would be given back, as it may be a batch item's.
#[test]
fn an_empty_budget_asks_only_for_places_without_a_wait() {
    let mut budget = RetryBudget::new();
    while budget.take_retry() {}
    let request = silent(1_000, 0, bounds(true, 2, 3_000));
    let step = after_silence(&request, &budget);
    assert_eq!(step, FindSuccessor { max_wait_ms: 0 });
    for has_free_slot in [true, false] {
        assert!(may_take_place(has_free_slot, 0, &mut budget));
    }
    assert!(may_take_place(true, 1_000, &mut budget));
    assert!(!may_take_place(false, 1_000, &mut budget));
}

/// Slots of each upstream of the played group.
const SLOTS: usize = 8;
/// Time that a request takes at a sound upstream, in milliseconds.
const SERVICE_MS: u64 = 400;
/// Silence after which another upstream is looked for, in milliseconds.
const LIMIT_MS: u64 = 1_000;
/// Interval between two looks, in milliseconds.
const RECHECK_MS: u64 = 200;
/// Time until a request's deadline, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

/// Plays requests that are stuck at upstreams which pause or have died, before others with some free
/// slots. Returns how many are answered, and the mean time in milliseconds.
fn play(stuck: usize, pause_ms: Option<u64>, free: usize, rng: &mut StdRng) -> (usize, f64) {
    let mut budget = RetryBudget::new();
    let mut taken: Vec<u64> = vec![0; free];
    let mut ends = Vec::new();
    for _ in 0..stuck {
        let phase = rng.random_range(0..RECHECK_MS);
        let mut end = pause_ms.map(|pause_ms| pause_ms + SERVICE_MS);
        let mut at = LIMIT_MS + phase;
        while pause_ms.is_none_or(|pause_ms| at < pause_ms) && at < DEADLINE_MS {
            let request = silent(at, 0, bounds(true, 2, DEADLINE_MS - at));
            let slot = taken.iter_mut().find(|until| **until <= at);
            let is_found = matches!(after_silence(&request, &budget), FindSuccessor { .. });
            match slot {
                Some(slot) if is_found && may_take_place(true, at, &mut budget) => {
                    end = Some(at + SERVICE_MS);
                    *slot = at + SERVICE_MS;
                    break;
                }
                _ => at += RECHECK_MS,
            }
        }
        ends.extend(end.filter(|end| *end <= DEADLINE_MS));
    }
    let sum: u64 = ends.iter().sum();
    (ends.len(), sum as f64 / ends.len().max(1) as f64)
}

/// A group of which most upstreams pause for 1.3 s answers every request, whatever is free elsewhere.
#[test]
fn no_request_of_a_paused_group_is_given_up() {
    let mut rng = StdRng::seed_from_u64(33);
    for free in [0, 1, SLOTS] {
        let (answered, mean_ms) = play(SLOTS * 6, Some(1_300), free, &mut rng);
        assert_eq!(answered, SLOTS * 6, "{free} free slots");
        assert!(mean_ms <= 1_300.0 + SERVICE_MS as f64, "{mean_ms}");
    }
}

/// Requests at dead upstreams go on where slots become free, beyond what the retry budget covers.
#[test]
fn requests_of_a_dead_upstream_use_every_slot_that_becomes_free() {
    let mut rng = StdRng::seed_from_u64(34);
    let (answered, _) = play(SLOTS * 4, None, SLOTS, &mut rng);
    assert_eq!(answered, SLOTS * 4);
}
