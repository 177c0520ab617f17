//! The room that batch gets beside online work.

use amaranth_kernel::batch_room::{BatchRoom, BurstWindow, RoomView, room_policy, split_room};
use amaranth_kernel::slot_book::{OnlineWord, SlotBook, SlotTerms};
use amaranth_kernel::step_model::StepModel;
use amaranth_wire::batch_slots::SlotGrant;
use amaranth_wire::id::InstanceId;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn any_view() -> impl Strategy<Value = RoomView> {
    let loads = (1..64_u32, 0..80_u32, any::<bool>(), 0..20_u32);
    (loads, 1_000..2_000_u32, 0..100_u32).prop_map(
        |((slots, online, lately, reserve), slowdown_permille, growth_permille)| RoomView {
            slots,
            online,
            online_lately: lately || online > 0,
            reserve,
            slowdown_permille,
            growth_permille,
        },
    )
}

fn preempt(view: &RoomView) -> BatchRoom {
    (room_policy("preempt").expect("registered").room)(view)
}

proptest! {
    #![proptest_config(config())]

    /// A burst of the size of the reserve finds places after batch has started all it may; one
    /// place is free whatever is kept; online work is slowed no more than allowed.
    #[test]
    fn online_work_finds_its_reserve_and_its_speed(view in any_view()) {
        let room = preempt(&view);
        let free = |batch: u32| view.slots.saturating_sub(view.online + batch);
        prop_assert!(room.start == 0 || free(room.start) >= view.reserve.max(1));
        prop_assert!(room.keep == 0 || free(room.keep) >= 1);
        prop_assert!(room.start <= room.keep);
        if view.online > 0 {
            let step = |streams: u32| 1_000 + u64::from(view.growth_permille * (streams - 1));
            let allowed = step(view.online) * u64::from(view.slowdown_permille) / 1_000;
            prop_assert!(step(view.online + room.keep) <= allowed.max(step(view.online)));
        }
    }

    /// Without online work batch gets everything above the reserve; more online never gives more.
    #[test]
    fn idle_room_is_filled(view in any_view()) {
        let idle = RoomView { online: 0, online_lately: false, ..view };
        prop_assert_eq!(preempt(&idle).start, view.slots.saturating_sub(view.reserve.max(1)));
        prop_assert!(preempt(&view).start <= preempt(&idle).start);
    }

    /// Online work that takes no more than the reserve cancels nothing that was started before,
    /// unless batch would slow it too much.
    #[test]
    fn a_burst_within_the_reserve_costs_no_batch_work(view in any_view(), burst in 0..20_u32) {
        let view = RoomView { slowdown_permille: u32::MAX, ..view };
        let started = preempt(&view).start;
        let burst = burst.min(view.reserve.saturating_sub(1));
        let after = RoomView { online: view.online + burst, online_lately: true, ..view };
        prop_assert!(started == 0 || preempt(&after).keep >= started);
    }

    /// All room is given out, nobody gets more than wanted, and nobody who wants more gets less
    /// than another by more than one.
    #[test]
    fn room_is_split_fairly(room in 0..100_u32, wants in vec(0..40_u32, 0..12)) {
        let shares = split_room(room, &wants);
        let given: u32 = shares.iter().sum();
        prop_assert_eq!(given, room.min(wants.iter().sum()));
        for (share, want) in shares.iter().zip(&wants) {
            prop_assert!(share <= want);
            let largest = shares.iter().max().expect("not empty");
            prop_assert!(share == want || share + 1 >= *largest);
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Whatever the owners do within their grants, also while an ask is under way, they never run
    /// more than the room together, and without online work nothing is ever cancelled.
    #[test]
    fn owners_together_keep_to_the_room(
        turns in vec((0..4_usize, 0..20_u32, 0..12_u32, 0..3_u32, 0..9_u32), 1..60),
        quiet in any::<bool>(),
    ) {
        let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
        let names = names.map(|name| name.parse::<InstanceId>().expect("a valid name"));
        let terms = SlotTerms { slots: 16, slowdown_permille: 1_000, growth_permille: 0 };
        let policy = room_policy("preempt").expect("registered");
        let mut book = SlotBook::default();
        let mut grants = [SlotGrant::default(); 4];
        let mut running = [0_u32; 4];
        for (now_ms, (owner, want, online, ended, started)) in (1..).zip(turns) {
            let online = if quiet { 0 } else { online };
            running[owner] = running[owner].saturating_sub(ended);
            let committed = running[owner].max(grants[owner].granted);
            let most = committed.min(running[owner] + started);
            running[owner] = running[owner].max(most);
            let word = OnlineWord { online, told_ms: now_ms, heard_ms: now_ms };
            book.note_online(&names[0], word);
            book.note_ask(&names[owner], want, committed, now_ms);
            let decided = book.grants(terms, policy);
            for (index, name) in names.iter().enumerate() {
                let grant = decided.get(name).copied().unwrap_or_default();
                prop_assert!(!quiet || running[index] <= grant.keep);
                running[index] = running[index].min(grant.keep);
                grants[index] = grant;
            }
            let room = 16_u32.saturating_sub(online);
            let total: u32 = running.iter().sum();
            prop_assert!(total <= room, "{total} streams in a room of {room}");
        }
    }
}

#[test]
fn the_reserve_follows_recent_bursts() {
    let mut window = BurstWindow::default();
    for (at, online) in [(0, 2), (200, 5), (450, 9), (1_000, 3), (2_000, 4)] {
        window.note(at, online);
    }
    assert_eq!(window.largest(), 7);
    window.note(21_000, 4);
    assert_eq!(window.largest(), 0);
}

#[test]
fn the_baselines_do_not_preempt() {
    let view = RoomView {
        slots: 16,
        online: 20,
        online_lately: true,
        reserve: 4,
        slowdown_permille: 1_050,
        growth_permille: 30,
    };
    let keep = |name| (room_policy(name).expect("registered").room)(&view).keep;
    let kept = ["preempt", "no_distinction", "static_split"].map(keep);
    assert_eq!(kept, [0, 16, 8]);
}

#[test]
fn the_growth_of_a_step_is_learned() {
    let mut model = StepModel::default();
    for round in 0..40_u32 {
        let active = 1 + round % 9;
        model.note(active, 20_000 + 600 * u64::from(active - 1));
    }
    assert_eq!(model.growth_permille(), Some(30));
    let mut steady = StepModel::default();
    (0..40).for_each(|_| steady.note(5, 20_000));
    assert_eq!(steady.growth_permille(), None);
}
