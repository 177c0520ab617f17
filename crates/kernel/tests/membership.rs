//! Membership under crashes, pauses, cuts, one-way loss and restarts.

#[path = "support/gossip_fleet.rs"]
mod gossip_fleet;

use amaranth_kernel::membership::{BEAT_PERIOD_MS, FORGET_MS, GONE_MS, MemberLiveness};
use amaranth_wire::id::{InstanceId, LogOffset};
use gossip_fleet::{GossipFleet, name_of};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Periods after which an undisturbed data centre knows itself.
const SETTLE_PERIODS: u64 = 30;

fn always(_: &InstanceId, _: &InstanceId) -> bool {
    true
}

fn steps(
    fleet: &mut GossipFleet,
    periods: u64,
    network: impl Fn(&InstanceId, &InstanceId) -> bool,
) {
    for _ in 0..periods {
        fleet.step(&network);
    }
}

#[test]
fn everyone_sees_everyone_and_keeps_doing_so() {
    for (centres, size) in [(1, 2), (3, 4), (2, 60)] {
        let mut fleet = GossipFleet::new(centres, size);
        steps(&mut fleet, SETTLE_PERIODS, always);
        for _ in 0..100 {
            fleet.step(always);
            assert_eq!(fleet.blind_pairs(), 0, "{centres} x {size}");
        }
    }
}

#[test]
fn a_crashed_instance_is_gone_and_its_next_run_is_live() {
    let mut fleet = GossipFleet::new(2, 12);
    steps(&mut fleet, SETTLE_PERIODS, always);
    fleet
        .members
        .get_mut(&name_of(4))
        .expect("a member")
        .running = false;
    steps(&mut fleet, 2 * GONE_MS / BEAT_PERIOD_MS, always);
    assert_eq!(fleet.sees(0, 4), MemberLiveness::Gone);
    fleet.start(4, 0);
    fleet.publish_list();
    steps(&mut fleet, SETTLE_PERIODS, always);
    assert_eq!(fleet.blind_pairs(), 0);
}

#[test]
fn a_gone_instance_does_not_come_back_by_hearsay() {
    let mut fleet = GossipFleet::new(1, 12);
    steps(&mut fleet, SETTLE_PERIODS, always);
    fleet
        .members
        .get_mut(&name_of(4))
        .expect("a member")
        .running = false;
    steps(&mut fleet, 2 * GONE_MS / BEAT_PERIOD_MS, always);
    // Restarts hear of the others from those that still have the old row.
    for index in [5, 6, 7] {
        fleet.start(index, 0);
        fleet.publish_list();
        steps(&mut fleet, 3, always);
        assert_eq!(
            fleet.sees(index, 4),
            MemberLiveness::Gone,
            "seen by {index}"
        );
    }
    steps(&mut fleet, FORGET_MS / BEAT_PERIOD_MS, always);
    assert_eq!(fleet.sees(0, 4), MemberLiveness::Gone);
}

#[test]
fn a_data_centre_that_was_cut_off_is_heard_again_without_a_storm() {
    let mut fleet = GossipFleet::new(3, 8);
    steps(&mut fleet, SETTLE_PERIODS, always);
    let centre_of = |name: &InstanceId| {
        let index = name
            .as_str()
            .rsplit('-')
            .next()
            .and_then(|n| n.parse::<usize>().ok());
        index.expect("an index") % 3
    };
    let cut = |a: &InstanceId, b: &InstanceId| (centre_of(a) == 0) == (centre_of(b) == 0);
    let sent = |fleet: &GossipFleet| fleet.members.values().map(|m| m.sent_messages).sum::<u64>();
    let before = sent(&fleet);
    steps(&mut fleet, 100, always);
    let calm = sent(&fleet) - before;
    steps(&mut fleet, 3_600, cut);
    assert_eq!(
        fleet.blind_pairs(),
        0,
        "a cut between data centres is none within them"
    );
    let before = sent(&fleet);
    steps(&mut fleet, 100, always);
    let healed = sent(&fleet) - before;
    assert!(
        healed <= calm * 11 / 10,
        "{healed} messages after the cut, {calm} before"
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
fn one_way_loss_hides_nobody() {
    let mut fleet = GossipFleet::new(1, 12);
    let (deaf, mute) = (name_of(3), name_of(5));
    // Nobody reaches instance 3 first-hand, and instance 5 reaches nobody first-hand but 6.
    let network =
        |from: &InstanceId, to: &InstanceId| *to != deaf && (*from != mute || *to == name_of(6));
    steps(&mut fleet, SETTLE_PERIODS, network);
    for index in (0..12).filter(|index| ![3, 5].contains(index)) {
        assert_eq!(
            fleet.sees(index, 3),
            MemberLiveness::Live,
            "3 seen by {index}"
        );
        assert_eq!(
            fleet.sees(index, 5),
            MemberLiveness::Live,
            "5 seen by {index}"
        );
    }
}

/// What happens to the fleet in one stretch of periods.
#[derive(Debug, Clone)]
enum Disturbance {
    Pause(usize),
    Resume(usize),
    Restart(usize),
    RestartAll,
    Cut(usize),
    Heal,
    Fold(usize, u64),
}

fn disturbances(size: usize) -> impl Strategy<Value = Vec<Disturbance>> {
    let one = prop_oneof![
        (0..size).prop_map(Disturbance::Pause),
        (0..size).prop_map(Disturbance::Resume),
        (0..size).prop_map(Disturbance::Restart),
        Just(Disturbance::RestartAll),
        (1..size).prop_map(Disturbance::Cut),
        Just(Disturbance::Heal),
        (0..size, 0..1_000_u64).prop_map(|(index, offset)| Disturbance::Fold(index, offset)),
    ];
    proptest::collection::vec(one, 1..12)
}

const SIZE: usize = 10;
const CENTRES: usize = 2;

fn disturb(fleet: &mut GossipFleet, split: &mut Option<usize>, disturbance: &Disturbance) {
    match *disturbance {
        Disturbance::Pause(index) => set_running(fleet, index, false),
        Disturbance::Resume(index) => set_running(fleet, index, true),
        Disturbance::Restart(index) => fleet.start(index, index % CENTRES),
        Disturbance::RestartAll => (0..SIZE).for_each(|index| fleet.start(index, index % CENTRES)),
        Disturbance::Cut(at) => *split = Some(at),
        Disturbance::Heal => *split = None,
        Disturbance::Fold(index, offset) => {
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

fn side(name: &InstanceId, split: usize) -> bool {
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
    fn every_cut_heals_and_offsets_never_go_back(plan in disturbances(SIZE)) {
        let mut fleet = GossipFleet::new(CENTRES, SIZE / CENTRES);
        let mut split = None;
        for disturbance in &plan {
            disturb(&mut fleet, &mut split, disturbance);
            for _ in 0..7 {
                let offsets: Vec<_> =
                    fleet.members.values().map(|m| m.table.highest_offset()).collect();
                match split {
                    Some(at) => fleet.step(|a, b| side(a, at) == side(b, at)),
                    None => fleet.step(always),
                }
                for (member, before) in fleet.members.values().zip(offsets) {
                    prop_assert!(member.table.highest_offset() >= before);
                }
            }
        }
        (0..SIZE).for_each(|index| set_running(&mut fleet, index, true));
        steps(&mut fleet, 2 * SETTLE_PERIODS, always);
        prop_assert_eq!(fleet.blind_pairs(), 0);
        let highest = fleet.members.values().map(|m| m.folded).max().unwrap_or_default();
        for member in fleet.members.values() {
            prop_assert!(member.table.highest_offset() >= highest);
        }
    }
}
