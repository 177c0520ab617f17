//! Leases under pauses of any length, the log's clock, and the choice of owners.

use amaranth_kernel::hashing::weighted_rendezvous;
use amaranth_kernel::lease::{
    HAND_OVER_AFTER_MS, HeldLease, LeaseTable, ShardStep, ShardView, decide_shard,
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

/// One call of an instance: how long it paused before, how long the call and its answer took, and
/// whether it stopped its clock for the pause instead of counting it.
#[derive(Debug, Clone)]
struct LeaseCall {
    instance: usize,
    pause_ms: u64,
    way_out_ms: u64,
    way_back_ms: u64,
}

fn any_call() -> impl Strategy<Value = LeaseCall> {
    let pause = prop_oneof![4 => 0..3_000_u64, 1 => 3_000..60_000_u64];
    let way = prop_oneof![4 => 0..200_u64, 1 => 200..20_000_u64];
    (0..3_usize, pause, way.clone(), way).prop_map(|(instance, pause_ms, out, back)| LeaseCall {
        instance,
        pause_ms,
        way_out_ms: out,
        way_back_ms: back,
    })
}

/// A record on its way, in the order in which the log takes them.
struct SentRecord {
    instance: usize,
    sent_ms: u64,
    taken_ms: u64,
    known_ms: u64,
    claim: bool,
}

fn sent_records(calls: &[LeaseCall]) -> Vec<SentRecord> {
    let mut now = [1_u64; 3];
    let mut claims = [0_u32; 3];
    let mut sent = Vec::new();
    for call in calls {
        let sent_ms = now[call.instance] + call.pause_ms;
        let taken_ms = sent_ms + call.way_out_ms;
        let known_ms = taken_ms + call.way_back_ms;
        claims[call.instance] += 1;
        now[call.instance] = known_ms;
        sent.push(SentRecord {
            instance: call.instance,
            sent_ms,
            taken_ms,
            known_ms,
            claim: claims[call.instance] % 3 == 1,
        });
    }
    sent.sort_by_key(|record| record.taken_ms);
    sent
}

proptest! {
    #![proptest_config(config(3_000))]

    /// Whatever the pauses, at no time do two instances both believe that they may act.
    #[test]
    fn two_holders_never_act_at_once(calls in vec(any_call(), 2..40)) {
        let mut table = LeaseTable::default();
        let mut beliefs: Vec<(usize, LeaseEpoch, u64, u64)> = Vec::new();
        for (offset, record) in (0..).zip(sent_records(&calls)) {
            let last = table.get(SHARD).cloned();
            let holder: InstanceId = format!("entry-{}", record.instance).parse().expect("a name");
            let fact = match &last {
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
            table.apply(LogOffset(offset), record.taken_ms, &fact);
            let lease = table.get(SHARD).expect("the first claim is valid");
            if lease.renewed_ms != record.taken_ms || lease.holder != holder {
                continue;
            }
            let held = HeldLease { epoch: lease.epoch, sent_ms: record.sent_ms };
            let mut times = (0..).map(|step| record.sent_ms + step * 100);
            let end_ms = times.find(|&ms| !held.is_valid(ms)).expect("leases end");
            if record.known_ms < end_ms {
                beliefs.push((record.instance, lease.epoch, record.known_ms, end_ms));
            }
        }
        for (n, a) in beliefs.iter().enumerate() {
            for b in &beliefs[n + 1..] {
                let apart = a.3 <= b.2 || b.3 <= a.2;
                prop_assert!(a.0 == b.0 || apart, "{a:?} and {b:?}");
            }
        }
    }

    /// The clock never runs ahead of the log's, whatever the answers took.
    #[test]
    fn the_known_clock_is_a_lower_bound(
        answers in vec((0..5_000_u64, 0..9_000_u64), 1..20),
        skew in 1..1_000_000_u64,
    ) {
        let mut clock = LogClock::default();
        let (mut steady, mut before) = (0, 0);
        for (wait, way_back) in answers {
            let said = steady + wait;
            steady = said + way_back;
            clock.observe(said + skew, steady);
            let now = clock.now(steady).expect("an answer came");
            prop_assert!(now <= steady + skew);
            prop_assert!(now >= said + skew);
            prop_assert!(now >= before, "the clock went back from {before} to {now}");
            before = now;
        }
    }

    /// A lost instance moves its own keys only, and a new one takes keys only for itself.
    #[test]
    fn only_the_keys_of_a_lost_instance_move(weights in vec(1..5_u32, 2..12), lost in 0..12_usize) {
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
fn shares_follow_the_weights() {
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
fn a_shard_goes_over_without_a_gap_in_care() {
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
        (view, ShardStep::Run(LeaseEpoch(7))),
        (
            ShardView {
                displaced_ms,
                ..view
            },
            ShardStep::Finish,
        ),
        (
            ShardView {
                displaced_ms,
                ..idle
            },
            ShardStep::Release(LeaseEpoch(7)),
        ),
        (
            ShardView {
                leaving: true,
                ..view
            },
            ShardStep::Finish,
        ),
        (
            ShardView {
                leaving: true,
                ..idle
            },
            ShardStep::Release(LeaseEpoch(7)),
        ),
        (free, ShardStep::Claim(Some(LeaseEpoch(7)))),
        (
            ShardView {
                leaving: true,
                ..free
            },
            ShardStep::Leave,
        ),
        (
            ShardView {
                preferred: false,
                ..free
            },
            ShardStep::Leave,
        ),
        (
            ShardView {
                claimable: false,
                ..free
            },
            ShardStep::Leave,
        ),
    ];
    for (view, step) in cases {
        assert_eq!(decide_shard(view), step, "{view:?}");
    }
}
