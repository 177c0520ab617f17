//! How many batch streams an upstream may run beside its online work, and who runs them.

use std::collections::VecDeque;

/// How long a burst of online work is remembered, in milliseconds.
const BURST_MEMORY_MS: u64 = 20_000;
/// Time within which online work that arrives together counts as one burst, in milliseconds.
const BURST_SPAN_MS: u64 = 500;
/// Least places that stay free for online work.
const LEAST_RESERVE: u32 = 1;
/// Places of the static split that batch gets, as a divisor of all places.
const STATIC_SPLIT_DIVISOR: u32 = 2;
/// A whole, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// What is known of one upstream when the room for batch is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomView {
    /// Places in the upstream's batch.
    pub slots: u32,
    /// Online streams there.
    pub online: u32,
    /// Places to keep free for the online work that may come at once.
    pub reserve: u32,
    /// Longest step that batch may cause while online work runs, in thousandths of the step of
    /// the online work alone.
    pub slowdown_permille: u32,
    /// Growth of the step for each further stream, in thousandths of the step of one.
    pub growth_permille: u32,
}

/// A policy for the room that batch gets: a plug-in.
pub struct RoomPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Batch streams that the upstream may run.
    pub room: fn(view: &RoomView) -> u32,
}

inventory::collect!(RoomPolicy);

inventory::submit! {
    RoomPolicy { name: "give_way", room: give_way }
}
inventory::submit! {
    RoomPolicy { name: "no_distinction", room: |view| view.slots }
}
inventory::submit! {
    RoomPolicy { name: "static_split", room: |view| view.slots / STATIC_SPLIT_DIVISOR }
}

/// The room policy of this name.
pub fn room_policy(name: &str) -> Option<&'static RoomPolicy> {
    inventory::iter::<RoomPolicy>().find(|policy| policy.name == name)
}

/// What is free above the reserve; beside online work no more than keeps its steps short enough.
fn give_way(view: &RoomView) -> u32 {
    let kept = view.online + view.reserve.max(LEAST_RESERVE);
    let free = view.slots.saturating_sub(kept);
    if view.online == 0 || view.growth_permille == 0 {
        return free;
    }
    let others = view.growth_permille * (view.online - 1);
    let alone_permille = u64::from(WHOLE_PERMILLE + others);
    let extra_permille = u64::from(view.slowdown_permille.saturating_sub(WHOLE_PERMILLE));
    let bearable = alone_permille * extra_permille
        / u64::from(WHOLE_PERMILLE)
        / u64::from(view.growth_permille);
    free.min(u32::try_from(bearable).unwrap_or(u32::MAX))
}

/// Online work of one upstream over the last seconds.
#[derive(Debug, Clone, Default)]
pub struct BurstWindow {
    samples: VecDeque<(u64, u32)>,
}

impl BurstWindow {
    /// Notes how many online streams there are.
    pub fn note(&mut self, now_ms: u64, online: u32) {
        self.samples.push_back((now_ms, online));
        let oldest = now_ms.saturating_sub(BURST_MEMORY_MS);
        while self.samples.front().is_some_and(|(at, _)| *at < oldest) {
            self.samples.pop_front();
        }
    }

    /// The largest growth of online work within the span of one burst.
    pub fn largest(&self) -> u32 {
        let mut largest = 0;
        for (index, (at, before)) in self.samples.iter().enumerate() {
            let later = self.samples.iter().skip(index + 1);
            let within = later.take_while(|(time, _)| *time <= at + BURST_SPAN_MS);
            let peak = within.map(|(_, online)| *online).max().unwrap_or(0);
            largest = largest.max(peak.saturating_sub(*before));
        }
        largest
    }
}

/// Splits room between owners that want some: everyone gets an equal share, and what one does not
/// want goes to the others. What cannot be split evenly goes to the first ones.
pub fn split_room(room: u32, wants: &[u32]) -> Vec<u32> {
    let mut shares = vec![0; wants.len()];
    let mut left = room;
    loop {
        let open: Vec<usize> = (0..wants.len()).filter(|&i| shares[i] < wants[i]).collect();
        if open.is_empty() || left == 0 {
            return shares;
        }
        let each = (left / open.len() as u32).max(1);
        for index in open {
            let share = each.min(wants[index] - shares[index]).min(left);
            shares[index] += share;
            left -= share;
        }
    }
}
