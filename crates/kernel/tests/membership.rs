//! Gossip membership under crashes, pauses, network partitions, one-way loss and restarts.

#[path = "support/gossip_fleet.rs"]
mod gossip_fleet;

use amaranth_kernel::membership::{FORGET_MS, GONE_MS, HEARTBEAT_PERIOD_MS, MemberLiveness};
use amaranth_wire::id::{InstanceId, LogOffset};
use gossip_fleet::{GossipFleet, name_of};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Periods after which every member of an undisturbed data centre sees every other as live.
const SETTLE_PERIODS: u64 = 30;

fn deliver_all(_: &InstanceId, _: &InstanceId) -> bool {
    true
}

fn run_periods(
    fleet: &mut GossipFleet,
    periods: u64,
    network: impl Fn(&InstanceId, &InstanceId) -> bool,
) {
    for _ in 0..periods {
        fleet.step(&network);
    }
}

#[test]
fn undisturbed_members_stay_live_to_each_other() {
    for (data_centres, size) in [(1, 2), (3, 4), (2, 60)] {
        let mut fleet = GossipFleet::new(data_centres, size);
        run_periods(&mut fleet, SETTLE_PERIODS, deliver_all);
        for _ in 0..100 {
            fleet.step(deliver_all);
            assert_eq!(fleet.not_live_pairs(), 0, "{data_centres} x {size}");
        }
    }
}

#[test]
fn a_crashed_instance_is_gone_and_live_again_after_a_restart() {
    let mut fleet = GossipFleet::new(2, 12);
    run_periods(&mut fleet, SETTLE_PERIODS, deliver_all);
    fleet
        .members
        .get_mut(&name_of(4))
        .expect("a member")
        .running = false;
    run_periods(&mut fleet, 2 * GONE_MS / HEARTBEAT_PERIOD_MS, deliver_all);
    assert_eq!(fleet.liveness_of(0, 4), MemberLiveness::Gone);
    fleet.start(4, 0);
    fleet.publish_list();
    run_periods(&mut fleet, SETTLE_PERIODS, deliver_all);
    assert_eq!(fleet.not_live_pairs(), 0);
}

#[test]
fn stale_rows_do_not_revive_a_gone_instance() {
    let mut fleet = GossipFleet::new(1, 12);
    run_periods(&mut fleet, SETTLE_PERIODS, deliver_all);
    fleet
        .members
        .get_mut(&name_of(4))
        .expect("a member")
        .running = false;
    run_periods(&mut fleet, 2 * GONE_MS / HEARTBEAT_PERIOD_MS, deliver_all);
    // A restarted member receives rows from members that may still hold the crashed one's.
    for index in [5, 6, 7] {
        fleet.start(index, 0);
        fleet.publish_list();
        run_periods(&mut fleet, 3, deliver_all);
        assert_eq!(
            fleet.liveness_of(index, 4),
            MemberLiveness::Gone,
            "seen by {index}"
        );
    }
    run_periods(&mut fleet, FORGET_MS / HEARTBEAT_PERIOD_MS, deliver_all);
    assert_eq!(fleet.liveness_of(0, 4), MemberLiveness::Gone);
}

#[test]
fn a_partitioned_data_centre_recovers_without_extra_traffic() {
    let mut fleet = GossipFleet::new(3, 8);
    run_periods(&mut fleet, SETTLE_PERIODS, deliver_all);
    let data_centre_of = |name: &InstanceId| {
        let index = name
            .as_str()
            .rsplit('-')
            .next()
            .and_then(|n| n.parse::<usize>().ok());
        index.expect("an index") % 3
    };
    let partition =
        |a: &InstanceId, b: &InstanceId| (data_centre_of(a) == 0) == (data_centre_of(b) == 0);
    let sent = |fleet: &GossipFleet| fleet.members.values().map(|m| m.sent_messages).sum::<u64>();
    let before = sent(&fleet);
    run_periods(&mut fleet, 100, deliver_all);
    let before_partition = sent(&fleet) - before;
    run_periods(&mut fleet, 3_600, partition);
    assert_eq!(
        fleet.not_live_pairs(),
        0,
        "a partition between data centres affects no member within one"
    );
    let before = sent(&fleet);
    run_periods(&mut fleet, 100, deliver_all);
    let after_partition = sent(&fleet) - before;
    assert!(
        after_partition <= before_partition * 11 / 10,
        "{after_partition} messages after the partition, {before_partition} before"
    );
    for member in fleet.members.values() {
        let heard = member
            .table
            .digests(fleet.now_ms)
            .filter(|(_, age)| *age < GONE_MS);
        assert_eq!(heard.count(), 3);
    }
}

#[test]
fn one_way_loss_does_not_make_a_live_instance_gone() {
    let mut fleet = GossipFleet::new(1, 12);
    let (no_rx, no_tx) = (name_of(3), name_of(5));
    // Messages to instance 3 are all lost, and those from instance 5 reach only instance 6.
    let network =
        |from: &InstanceId, to: &InstanceId| *to != no_rx && (*from != no_tx || *to == name_of(6));
    run_periods(&mut fleet, SETTLE_PERIODS, network);
    for index in (0..12).filter(|index| ![3, 5].contains(index)) {
        assert_eq!(
            fleet.liveness_of(index, 3),
            MemberLiveness::Live,
            "3 seen by {index}"
        );
        assert_eq!(
            fleet.liveness_of(index, 5),
            MemberLiveness::Live,
            "5 seen by {index}"
        );
    }
}

/// A fault or change, followed by a few periods.
#[derive(Debug, Clone)]
enum FleetEvent {
    Pause(usize),
    Resume(usize),
    Restart(usize),
    RestartAll,
    Partition(usize),
    Heal,
    Fold(usize, u64),
}

fn fleet_events(size: usize) -> impl Strategy<Value = Vec<FleetEvent>> {
    let one = prop_oneof![
        (0..size).prop_map(FleetEvent::Pause),
        (0..size).prop_map(FleetEvent::Resume),
        (0..size).prop_map(FleetEvent::Restart),
        Just(FleetEvent::RestartAll),
        (1..size).prop_map(FleetEvent::Partition),
        Just(FleetEvent::Heal),
        (0..size, 0..1_000_u64).prop_map(|(index, offset)| FleetEvent::Fold(index, offset)),
    ];
    proptest::collection::vec(one, 1..12)
}

const SIZE: usize = 10;
const CENTRES: usize = 2;

fn apply_event(fleet: &mut GossipFleet, split: &mut Option<usize>, event: &FleetEvent) {
    match *event {
        FleetEvent::Pause(index) => set_running(fleet, index, false),
        FleetEvent::Resume(index) => set_running(fleet, index, true),
        FleetEvent::Restart(index) => fleet.start(index, index % CENTRES),
        FleetEvent::RestartAll => (0..SIZE).for_each(|index| fleet.start(index, index % CENTRES)),
        FleetEvent::Partition(at) => *split = Some(at),
        FleetEvent::Heal => *split = None,
        FleetEvent::Fold(index, offset) => {
            let member = fleet.members.get_mut(&name_of(index)).expect("a member");
            member.folded = LogOffset(offset);
        }
    }
    fleet.publish_list();
}

fn set_running(fleet: &mut GossipFleet, index: usize, running: bool) {
    fleet
        .members
        .get_mut(&name_of(index))
        .expect("a member")
        .running = running;
}

fn is_below_split(name: &InstanceId, split: usize) -> bool {
    let index = name
        .as_str()
        .rsplit('-')
        .next()
        .and_then(|n| n.parse::<usize>().ok());
    index.expect("an index") < split
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn membership_recovers_after_partitions_and_offsets_never_decrease(plan in fleet_events(SIZE)) {
        let mut fleet = GossipFleet::new(CENTRES, SIZE / CENTRES);
        let mut split = None;
        for event in &plan {
            apply_event(&mut fleet, &mut split, event);
            for _ in 0..7 {
                let offsets: Vec<_> =
                    fleet.members.values().map(|m| m.table.highest_offset()).collect();
                match split {
                    Some(at) => fleet.step(|a, b| is_below_split(a, at) == is_below_split(b, at)),
                    None => fleet.step(deliver_all),
                }
                for (member, before) in fleet.members.values().zip(offsets) {
                    prop_assert!(member.table.highest_offset() >= before);
                }
            }
        }
        (0..SIZE).for_each(|index| set_running(&mut fleet, index, true));
        run_periods(&mut fleet, 2 * SETTLE_PERIODS, deliver_all);
        prop_assert_eq!(fleet.not_live_pairs(), 0);
        let highest = fleet.members.values().map(|m| m.folded).max().unwrap_or_default();
        for member in fleet.members.values() {
            prop_assert!(member.table.highest_offset() >= highest);
        }
    }
}
