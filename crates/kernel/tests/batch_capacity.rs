//! Batch capacity beside online work, its split by instance, and the learned step time.

use amaranth_kernel::batch_capacity::{
    BatchCapacity, BurstWindow, CapacityView, capacity_policy, split_capacity,
};
use amaranth_kernel::batch_slot_allocator::{BatchSlotAllocator, OnlineReport, SlotParameters};
use amaranth_kernel::step_model::StepTimeModel;
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

fn any_view() -> impl Strategy<Value = CapacityView> {
    let loads = (1..64_u32, 0..80_u32, any::<bool>(), 0..20_u32);
    (loads, 1_000..2_000_u32, 0..100_u32).prop_map(
        |((slots, online, recent, reserve), slowdown_permille, growth_permille)| CapacityView {
            slots,
            online,
            recently_online: recent || online > 0,
            reserve,
            slowdown_permille,
            growth_permille,
        },
    )
}

fn preempt(view: &CapacityView) -> BatchCapacity {
    (capacity_policy("preempt").expect("registered").capacity)(view)
}

proptest! {
    #![proptest_config(config())]

    /// The reserve is free after batch has started all it may; one slot is free beside all kept
    /// streams; online work is slowed no more than allowed.
    #[test]
    fn preempt_keeps_the_reserve_free_and_bounds_the_slowdown(view in any_view()) {
        let capacity = preempt(&view);
        let free = |batch: u32| view.slots.saturating_sub(view.online + batch);
        prop_assert!(capacity.start == 0 || free(capacity.start) >= view.reserve.max(1));
        prop_assert!(capacity.keep == 0 || free(capacity.keep) >= 1);
        prop_assert!(capacity.start <= capacity.keep);
        if view.online > 0 {
            let step = |streams: u32| 1_000 + u64::from(view.growth_permille * (streams - 1));
            let allowed = step(view.online) * u64::from(view.slowdown_permille) / 1_000;
            prop_assert!(step(view.online + capacity.keep) <= allowed.max(step(view.online)));
        }
    }

    /// Without online work batch gets all slots outside the reserve; online work never adds any.
    #[test]
    fn preempt_fills_an_idle_upstream_up_to_the_reserve(view in any_view()) {
        let idle = CapacityView { online: 0, recently_online: false, ..view };
        prop_assert_eq!(preempt(&idle).start, view.slots.saturating_sub(view.reserve.max(1)));
        prop_assert!(preempt(&view).start <= preempt(&idle).start);
    }

    /// With no slowdown limit, a burst smaller than the reserve cancels no running batch stream.
    #[test]
    fn burst_within_the_reserve_preempts_nothing(view in any_view(), burst in 0..20_u32) {
        let view = CapacityView { slowdown_permille: u32::MAX, ..view };
        let started = preempt(&view).start;
        let burst = burst.min(view.reserve.saturating_sub(1));
        let after = CapacityView { online: view.online + burst, recently_online: true, ..view };
        prop_assert!(started == 0 || preempt(&after).keep >= started);
    }

    /// All wanted capacity is allocated, no owner gets more than it wants, and one that gets less
    /// is at most one below the largest share.
    #[test]
    fn split_capacity_is_fair_and_complete(capacity in 0..100_u32, wants in vec(0..40_u32, 0..12)) {
        let shares = split_capacity(capacity, &wants);
        let given: u32 = shares.iter().sum();
        prop_assert_eq!(given, capacity.min(wants.iter().sum()));
        for (share, want) in shares.iter().zip(&wants) {
            prop_assert!(share <= want);
            let largest = shares.iter().max().expect("not empty");
            prop_assert!(share == want || share + 1 >= *largest);
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Owners that start streams up to their grants, also while a request is in flight, never
    /// exceed the capacity together; without online work nothing is cancelled.
    #[test]
    fn owners_never_exceed_the_capacity_together(
        turns in vec((0..4_usize, 0..20_u32, 0..12_u32, 0..3_u32, 0..9_u32), 1..60),
        quiet in any::<bool>(),
    ) {
        let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
        let names = names.map(|name| name.parse::<InstanceId>().expect("a valid name"));
        let parameters = SlotParameters { slots: 16, slowdown_permille: 1_000, growth_permille: 0 };
        let policy = capacity_policy("preempt").expect("registered");
        let mut allocator = BatchSlotAllocator::default();
        let mut grants = [SlotGrant::default(); 4];
        let mut running = [0_u32; 4];
        for (now_ms, (owner, want, online, ended, started)) in (1..).zip(turns) {
            let online = if quiet { 0 } else { online };
            running[owner] = running[owner].saturating_sub(ended);
            let committed = running[owner].max(grants[owner].granted);
            let most = committed.min(running[owner] + started);
            running[owner] = running[owner].max(most);
            let report = OnlineReport { online, sent_ms: now_ms, received_ms: now_ms };
            allocator.record_online(&names[0], report);
            allocator.record_demand(&names[owner], want, committed, now_ms);
            let decided = allocator.grants(parameters, policy);
            for (index, name) in names.iter().enumerate() {
                let grant = decided.get(name).copied().unwrap_or_default();
                prop_assert!(!quiet || running[index] <= grant.keep);
                running[index] = running[index].min(grant.keep);
                grants[index] = grant;
            }
            let capacity = 16_u32.saturating_sub(online);
            let total: u32 = running.iter().sum();
            prop_assert!(total <= capacity, "{total} streams exceed the capacity of {capacity}");
        }
    }
}

#[test]
fn largest_growth_covers_only_recent_bursts() {
    let mut window = BurstWindow::default();
    for (at, online) in [(0, 2), (200, 5), (450, 9), (1_000, 3), (2_000, 4)] {
        window.record(at, online);
    }
    assert_eq!(window.largest_growth(), 7);
    window.record(21_000, 4);
    assert_eq!(window.largest_growth(), 0);
}

#[test]
fn only_the_preempt_policy_cancels_running_streams() {
    let view = CapacityView {
        slots: 16,
        online: 20,
        recently_online: true,
        reserve: 4,
        slowdown_permille: 1_050,
        growth_permille: 30,
    };
    let keep = |name| (capacity_policy(name).expect("registered").capacity)(&view).keep;
    let kept = ["preempt", "no_distinction", "static_split"].map(keep);
    assert_eq!(kept, [0, 16, 8]);
}

#[test]
fn step_growth_is_learned_only_from_varying_load() {
    let mut model = StepTimeModel::default();
    for round in 0..40_u32 {
        let active = 1 + round % 9;
        model.record(active, 20_000 + 600 * u64::from(active - 1));
    }
    assert_eq!(model.growth_permille(), Some(30));
    let mut steady = StepTimeModel::default();
    (0..40).for_each(|_| steady.record(5, 20_000));
    assert_eq!(steady.growth_permille(), None);
}
