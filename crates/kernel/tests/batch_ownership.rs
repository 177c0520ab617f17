//! Leases of processes that pause for any length of time, estimates of the log's clock, and
//! weighted owner selection.

use amaranth_kernel::hashing::weighted_rendezvous;
use amaranth_kernel::lease::{
    HAND_OVER_AFTER_MS, HeldLease, LeaseTable, ShardAction, ShardView, next_shard_action,
};
use amaranth_kernel::log_clock::LogClock;
use amaranth_wire::id::{InstanceId, LeaseEpoch, LogOffset, ShardId, WriterId};
use amaranth_wire::record::{LeaseName, LogRecord};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SHARD: ShardId = ShardId(3);

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A call of one instance to the log: the pause before it, and the latency of its request and
/// reply.
#[derive(Debug, Clone)]
struct LeaseCall {
    instance: usize,
    pause_ms: u64,
    request_ms: u64,
    reply_ms: u64,
}

fn any_call() -> impl Strategy<Value = LeaseCall> {
    let pause = prop_oneof![4 => 0..3_000_u64, 1 => 3_000..60_000_u64];
    let latency = prop_oneof![4 => 0..200_u64, 1 => 200..20_000_u64];
    (0..3_usize, pause, latency.clone(), latency).prop_map(
        |(instance, pause_ms, request, reply)| LeaseCall {
            instance,
            pause_ms,
            request_ms: request,
            reply_ms: reply,
        },
    )
}

/// A claim or renewal, and when it was sent, appended and confirmed.
struct SentRecord {
    instance: usize,
    sent_ms: u64,
    appended_ms: u64,
    confirmed_ms: u64,
    claim: bool,
}

fn sent_records(calls: &[LeaseCall]) -> Vec<SentRecord> {
    let mut now = [1_u64; 3];
    let mut claims = [0_u32; 3];
    let mut sent = Vec::new();
    for call in calls {
        let sent_ms = now[call.instance] + call.pause_ms;
        let appended_ms = sent_ms + call.request_ms;
        let confirmed_ms = appended_ms + call.reply_ms;
        claims[call.instance] += 1;
        now[call.instance] = confirmed_ms;
        sent.push(SentRecord {
            instance: call.instance,
            sent_ms,
            appended_ms,
            confirmed_ms,
            claim: claims[call.instance] % 3 == 1,
        });
    }
    sent.sort_by_key(|record| record.appended_ms);
    sent
}

proptest! {
    #![proptest_config(config(3_000))]

    /// With pauses and delays of any length, no two instances consider their leases valid at the
    /// same time.
    #[test]
    fn valid_leases_of_two_instances_never_overlap(calls in vec(any_call(), 2..40)) {
        let mut table = LeaseTable::default();
        let mut valid_periods: Vec<(usize, LeaseEpoch, u64, u64)> = Vec::new();
        for (offset, record) in (0..).zip(sent_records(&calls)) {
            let last = table.get(SHARD).cloned();
            let holder: InstanceId = format!("entry-{}", record.instance).parse().expect("a name");
            let lease_record = match &last {
                Some(lease) if !record.claim && lease.holder == holder => {
                    let name = LeaseName { shard: SHARD, epoch: lease.epoch };
                    LogRecord::LeasesRenewed { leases: vec![name] }
                }
                _ => LogRecord::LeaseClaimed {
                    shard: SHARD,
                    holder: holder.clone(),
                    writer: WriterId(record.instance as u64),
                    after: last.as_ref().map(|lease| lease.epoch),
                },
            };
            table.apply(LogOffset(offset), record.appended_ms, &lease_record);
            let lease = table.get(SHARD).expect("the first claim is valid");
            if lease.renewed_ms != record.appended_ms || lease.holder != holder {
                continue;
            }
            let held = HeldLease { epoch: lease.epoch, sent_ms: record.sent_ms };
            let mut times = (0..).map(|step| record.sent_ms + step * 100);
            let end_ms = times.find(|&ms| !held.is_valid(ms)).expect("leases end");
            if record.confirmed_ms < end_ms {
                valid_periods.push((record.instance, lease.epoch, record.confirmed_ms, end_ms));
            }
        }
        for (n, a) in valid_periods.iter().enumerate() {
            for b in &valid_periods[n + 1..] {
                let apart = a.3 <= b.2 || b.3 <= a.2;
                prop_assert!(a.0 == b.0 || apart, "{a:?} and {b:?}");
            }
        }
    }

    /// The estimate never exceeds the log's clock and never goes back, however long replies take.
    #[test]
    fn log_clock_estimate_is_a_monotonic_lower_bound(
        replies in vec((0..5_000_u64, 0..9_000_u64), 1..20),
        skew in 1..1_000_000_u64,
    ) {
        let mut clock = LogClock::default();
        let (mut steady, mut before) = (0, 0);
        for (wait, reply_latency) in replies {
            let answered_ms = steady + wait;
            steady = answered_ms + reply_latency;
            clock.observe(answered_ms + skew, steady);
            let now = clock.now(steady).expect("a reply was observed");
            prop_assert!(now <= steady + skew);
            prop_assert!(now >= answered_ms + skew);
            prop_assert!(now >= before, "the clock went back from {before} to {now}");
            before = now;
        }
    }

    /// Removing an instance reassigns only its own keys.
    #[test]
    fn only_keys_of_a_removed_instance_move(weights in vec(1..5_u32, 2..12), lost in 0..12_usize) {
        let names: Vec<(String, u32)> = (0..).zip(&weights)
            .map(|(n, weight): (usize, _)| (format!("entry-{n}"), *weight))
            .collect();
        let lost = &names[lost % names.len()];
        let left: Vec<_> = names.iter().filter(|name| *name != lost).cloned().collect();
        for key in 0..64_u64 {
            let key = key.to_be_bytes();
            let before = weighted_rendezvous(&key, &names, |n| &n.0, |n| n.1).expect("a holder");
            let after = weighted_rendezvous(&key, &left, |n| &n.0, |n| n.1).expect("a holder");
            prop_assert!(before == lost || before == after);
        }
    }
}

#[test]
fn key_shares_are_proportional_to_weights() {
    let names: Vec<(String, u32)> = [1, 1, 2, 4]
        .into_iter()
        .enumerate()
        .map(|(n, weight)| (format!("entry-{n}"), weight))
        .collect();
    let mut won = [0_u32; 4];
    for key in 0..8_000_u64 {
        let first = weighted_rendezvous(&key.to_be_bytes(), &names, |n| &n.0, |n| n.1);
        let first = first.expect("a holder");
        won[names.iter().position(|n| n == first).expect("one of them")] += 1;
    }
    for (count, (_, weight)) in won.iter().zip(&names) {
        let fair = 1_000 * weight;
        assert!(count.abs_diff(fair) < fair / 5, "{won:?}");
    }
}

#[test]
fn shard_action_follows_lease_preference_and_load() {
    let view = ShardView {
        held: Some(LeaseEpoch(7)),
        last: Some(LeaseEpoch(7)),
        claimable: false,
        preferred: false,
        displaced_ms: 0,
        leaving: false,
        busy: true,
    };
    let displaced_ms = HAND_OVER_AFTER_MS;
    let idle = ShardView {
        busy: false,
        ..view
    };
    let free = ShardView {
        held: None,
        claimable: true,
        preferred: true,
        ..idle
    };
    let cases = [
        (view, ShardAction::Run(LeaseEpoch(7))),
        (
            ShardView {
                displaced_ms,
                ..view
            },
            ShardAction::Drain,
        ),
        (
            ShardView {
                displaced_ms,
                ..idle
            },
            ShardAction::Release(LeaseEpoch(7)),
        ),
        (
            ShardView {
                leaving: true,
                ..view
            },
            ShardAction::Drain,
        ),
        (
            ShardView {
                leaving: true,
                ..idle
            },
            ShardAction::Release(LeaseEpoch(7)),
        ),
        (free, ShardAction::Claim(Some(LeaseEpoch(7)))),
        (
            ShardView {
                leaving: true,
                ..free
            },
            ShardAction::Ignore,
        ),
        (
            ShardView {
                preferred: false,
                ..free
            },
            ShardAction::Ignore,
        ),
        (
            ShardView {
                claimable: false,
                ..free
            },
            ShardAction::Ignore,
        ),
    ];
    for (view, step) in cases {
        assert_eq!(next_shard_action(view), step, "{view:?}");
    }
}
