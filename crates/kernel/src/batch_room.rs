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
    /// Whether there was online work in the last seconds.
    pub online_lately: bool,
    /// Places to keep free for the online work that may come at once.
    pub reserve: u32,
    /// Longest step that batch may cause while online work runs, in thousandths of the step of
    /// the online work alone.
    pub slowdown_permille: u32,
    /// Growth of the step for each further stream, in thousandths of the step of one.
    pub growth_permille: u32,
}

/// The room that batch gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchRoom {
    /// Streams up to which new ones may be started.
    pub start: u32,
    /// Streams that may go on; those above are cancelled at once.
    pub keep: u32,
}

impl BatchRoom {
    /// Room that starts and keeps the same number of streams.
    fn fixed(streams: u32) -> Self {
        Self {
            start: streams,
            keep: streams,
        }
    }
}

/// A policy for the room that batch gets: a plug-in.
pub struct RoomPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Batch streams that the upstream may run.
    pub room: fn(view: &RoomView) -> BatchRoom,
}

inventory::collect!(RoomPolicy);

inventory::submit! {
    RoomPolicy { name: "preempt", room: preempt }
}
inventory::submit! {
    RoomPolicy { name: "no_distinction", room: |view| BatchRoom::fixed(view.slots) }
}
inventory::submit! {
    RoomPolicy { name: "static_split", room: |view| BatchRoom::fixed(view.slots / STATIC_SPLIT_DIVISOR) }
}

/// The room policy of this name.
pub fn room_policy(name: &str) -> Option<&'static RoomPolicy> {
    inventory::iter::<RoomPolicy>().find(|policy| policy.name == name)
}

/// Starts streams above the reserve, and cancels them only when online work takes the last free
/// places: a burst within the reserve costs no batch work. Beside online work no more are kept
/// than keep its steps short enough, and none are started that would soon be too many.
fn preempt(view: &RoomView) -> BatchRoom {
    let free = view.slots.saturating_sub(view.online);
    let reserve = view.reserve.max(LEAST_RESERVE);
    let start = free.saturating_sub(reserve);
    let keep = free.saturating_sub(LEAST_RESERVE);
    let bearable = bearable_streams(view);
    BatchRoom {
        start: if view.online_lately {
            start.min(bearable)
        } else {
            start
        },
        keep: if view.online > 0 {
            keep.min(bearable)
        } else {
            keep
        },
    }
}

/// Batch streams that lengthen the steps of online work no more than allowed.
fn bearable_streams(view: &RoomView) -> u32 {
    let others = u64::from(view.growth_permille) * u64::from(view.online.max(1) - 1);
    let alone_permille = u64::from(WHOLE_PERMILLE) + others;
    let extra_permille = u64::from(view.slowdown_permille.saturating_sub(WHOLE_PERMILLE));
    let extra = alone_permille * extra_permille / u64::from(WHOLE_PERMILLE);
    let bearable = extra.checked_div(u64::from(view.growth_permille));
    bearable.map_or(u32::MAX, |streams| {
        u32::try_from(streams).unwrap_or(u32::MAX)
    })
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

    /// Whether there was any online work.
    pub fn any(&self) -> bool {
        self.samples.iter().any(|(_, online)| *online > 0)
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
