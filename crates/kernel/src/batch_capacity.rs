//! How many batch streams an upstream may run beside its online work, and their split by instance.

use std::collections::VecDeque;

/// Length of the window in which bursts of online work count, in milliseconds.
const BURST_WINDOW_MS: u64 = 20_000;
/// Longest duration of a single burst of online work, in milliseconds.
const BURST_SPAN_MS: u64 = 500;
/// Fewest slots that stay free for online work.
const MIN_RESERVE: u32 = 1;
/// The `static_split` policy gives batch the slots divided by this.
const STATIC_SPLIT_DIVISOR: u32 = 2;
/// 100 %, in thousandths.
const PERMILLE_SCALE: u32 = 1_000;

/// The state of one upstream that a capacity policy decides on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityView {
    /// Streams that the upstream runs concurrently.
    pub slots: u32,
    /// Online streams that it runs.
    pub online: u32,
    /// Whether the burst window contains any online work.
    pub recently_online: bool,
    /// Slots to keep free for a burst of online work.
    pub reserve: u32,
    /// Longest step time that batch may cause while online work runs, in thousandths of the step
    /// time of the online work alone.
    pub slowdown_permille: u32,
    /// Increase of the step time per further stream, in thousandths of that of a single stream.
    pub growth_permille: u32,
}

/// Limits on the batch streams of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchCapacity {
    /// New streams may be started up to this number.
    pub start: u32,
    /// Running streams above this number are cancelled at once.
    pub keep: u32,
}

impl BatchCapacity {
    /// The same limit for starting and keeping streams.
    fn fixed(streams: u32) -> Self {
        Self {
            start: streams,
            keep: streams,
        }
    }
}

/// A policy plug-in that limits the batch streams of an upstream.
pub struct CapacityPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Computes the limits.
    pub capacity: fn(view: &CapacityView) -> BatchCapacity,
}

inventory::collect!(CapacityPolicy);

inventory::submit! {
    CapacityPolicy { name: "preempt", capacity: preempt }
}
inventory::submit! {
    CapacityPolicy { name: "no_distinction", capacity: |view| BatchCapacity::fixed(view.slots) }
}
inventory::submit! {
    CapacityPolicy { name: "static_split", capacity: |view| BatchCapacity::fixed(view.slots / STATIC_SPLIT_DIVISOR) }
}

/// Finds the capacity policy registered under this name.
pub fn capacity_policy(name: &str) -> Option<&'static CapacityPolicy> {
    inventory::iter::<CapacityPolicy>().find(|policy| policy.name == name)
}

/// Starts streams only outside the reserve, and cancels them only when online work takes the last
/// free slots, so a burst within the reserve preempts nothing. While online work runs, batch is
/// also limited by the allowed slowdown; starts stay so limited for the rest of the burst window,
/// as they would soon be cancelled.
fn preempt(view: &CapacityView) -> BatchCapacity {
    let free = view.slots.saturating_sub(view.online);
    let reserve = view.reserve.max(MIN_RESERVE);
    let start = free.saturating_sub(reserve);
    let keep = free.saturating_sub(MIN_RESERVE);
    let max_streams = max_batch_streams(view);
    BatchCapacity {
        start: if view.recently_online {
            start.min(max_streams)
        } else {
            start
        },
        keep: if view.online > 0 {
            keep.min(max_streams)
        } else {
            keep
        },
    }
}

/// Most batch streams that keep the step time of online work within the allowed slowdown.
fn max_batch_streams(view: &CapacityView) -> u32 {
    let others = u64::from(view.growth_permille) * u64::from(view.online.max(1) - 1);
    let alone_permille = u64::from(PERMILLE_SCALE) + others;
    let extra_permille = u64::from(view.slowdown_permille.saturating_sub(PERMILLE_SCALE));
    let extra = alone_permille * extra_permille / u64::from(PERMILLE_SCALE);
    let max_streams = extra.checked_div(u64::from(view.growth_permille));
    max_streams.map_or(u32::MAX, |streams| {
        u32::try_from(streams).unwrap_or(u32::MAX)
    })
}

/// Online streams of one upstream over the last `BURST_WINDOW_MS`.
#[derive(Debug, Clone, Default)]
pub struct BurstWindow {
    samples: VecDeque<(u64, u32)>,
}

impl BurstWindow {
    /// Records the current number of online streams.
    pub fn record(&mut self, now_ms: u64, online: u32) {
        self.samples.push_back((now_ms, online));
        let oldest = now_ms.saturating_sub(BURST_WINDOW_MS);
        while self.samples.front().is_some_and(|(at, _)| *at < oldest) {
            self.samples.pop_front();
        }
    }

    /// Whether any sample in the window has online streams.
    pub fn has_online(&self) -> bool {
        self.samples.iter().any(|(_, online)| *online > 0)
    }

    /// The largest growth of online streams within `BURST_SPAN_MS`.
    pub fn largest_growth(&self) -> u32 {
        let mut largest_growth = 0;
        for (index, (at, before)) in self.samples.iter().enumerate() {
            let later = self.samples.iter().skip(index + 1);
            let within = later.take_while(|(time, _)| *time <= at + BURST_SPAN_MS);
            let peak = within.map(|(_, online)| *online).max().unwrap_or(0);
            largest_growth = largest_growth.max(peak.saturating_sub(*before));
        }
        largest_growth
    }
}

/// Max-min fair split of the capacity: equal shares, where the surplus of owners that want less
/// goes to the others and the remainder to the first owners.
pub fn split_capacity(capacity: u32, wants: &[u32]) -> Vec<u32> {
    let mut shares = vec![0; wants.len()];
    let mut left = capacity;
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
