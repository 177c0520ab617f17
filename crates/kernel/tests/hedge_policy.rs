//! Hedged appends: their delay follows the log's latency, and a budget limits them.

use amaranth_kernel::hedge_policy::{HedgePolicy, MAX_HEDGE_DELAY_MS, MIN_HEDGE_DELAY_MS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Each case: latencies of replies in order, and the delay of the first hedge afterwards.
#[test]
fn the_delay_follows_the_latency_of_replies() {
    let cases: [(&[u64], u64); 6] = [
        (&[], MIN_HEDGE_DELAY_MS),
        (&[4, 5, 4], MIN_HEDGE_DELAY_MS),
        (&[4, 100], 400),
        (&[4, 500], MAX_HEDGE_DELAY_MS),
        (&[200, 4], 604),
        (&[u64::MAX], MAX_HEDGE_DELAY_MS),
    ];
    for (latencies, delay_ms) in cases {
        let mut policy = HedgePolicy::new();
        for latency_ms in latencies {
            policy.record_reply(*latency_ms);
        }
        assert_eq!(policy.delay_ms(0), delay_ms, "{latencies:?}");
        assert_eq!(policy.delay_ms(1), delay_ms + delay_ms / 2, "{latencies:?}");
    }
}

#[test]
fn the_delay_is_short_again_soon_after_the_log_has_recovered() {
    let mut policy = HedgePolicy::new();
    policy.record_reply(1_000);
    let replies = (0..).take_while(|_| {
        policy.record_reply(4);
        policy.delay_ms(0) > MIN_HEDGE_DELAY_MS
    });
    assert!(replies.count() <= 20);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(22),
        ..ProptestConfig::default()
    })]

    /// Whatever the order of appends, hedges are at most two more than half of the appends that
    /// needed none.
    #[test]
    fn hedges_stay_within_their_budget(hedged in prop::collection::vec(any::<bool>(), 0..300)) {
        let mut policy = HedgePolicy::new();
        let (mut hedges, mut unhedged) = (0, 0);
        for wants_hedge in hedged {
            if wants_hedge {
                hedges += u64::from(policy.take_hedge());
            } else {
                policy.record_unhedged_append();
                unhedged += 1;
            }
            prop_assert!(hedges <= 2 + unhedged / 2);
        }
    }
}
