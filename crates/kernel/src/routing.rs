//! Choice of an upstream for one attempt.

use amaranth_wire::id::UpstreamId;
use rand::RngExt;

use crate::hashing::hash_bytes;

/// Upstreams in the order of a prefix that are tried before affinity is given up.
const AFFINITY_DEPTH: usize = 3;
/// Most load of an upstream with affinity, as a multiple of the group's mean.
const AFFINITY_BOUND: f64 = 1.25;
/// Share of the places up to which affinity costs no wait.
const AFFINITY_FREE: f64 = 1.0;
/// Steps in which a doubling of the speed is rounded for affinity.
const SPEED_STEPS: f64 = 2.0;

/// What is known of one upstream when a request is routed.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it may get new work.
    pub available: bool,
    /// Whether it may get new work that gains from its cache.
    pub affine: bool,
    /// Requests that this instance has in flight there.
    pub in_flight: u32,
    /// Requests there from all instances, estimated.
    pub load: u32,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Relative speed, measured where there are measurements; 1.0 is the tier's ordinary.
    pub speed: f64,
}

impl UpstreamView {
    /// Share of the places that are taken with one more request. What is above one waits, the
    /// longer the slower the upstream is.
    fn cost(&self) -> f64 {
        let occupancy = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        match occupancy <= 1.0 {
            true => occupancy,
            false => 1.0 + (occupancy - 1.0) / self.speed,
        }
    }

    /// Work that it does in some time, compared with others.
    fn capacity(&self) -> f64 {
        f64::from(self.slots.max(1)) * self.speed
    }
}

/// What is known of the request that is routed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteHint {
    /// Grows by one for each choice.
    pub counter: u64,
    /// Hash of the start of the prompt, where it is long enough to be cached.
    pub prefix: Option<u64>,
}

/// Relative speeds from what was measured: the time of a step where it is known, else what the
/// settings say. Measured speeds are scaled to the settings' mean over the same upstreams.
pub fn measured_speeds(settings: &[f64], steps_us: &[Option<u64>]) -> Vec<f64> {
    let rate = |step_us: &u64| 1e6 / *step_us as f64;
    let pairs = || settings.iter().zip(steps_us);
    let known = pairs().filter_map(|(speed, step)| Some((speed, step.as_ref()?)));
    let sums = known.fold((0.0, 0.0), |(speeds, rates), (speed, step)| {
        (speeds + speed, rates + rate(step))
    });
    let scale = sums.0 / sums.1;
    let speed = |(speed, step): (&f64, &Option<u64>)| match step {
        Some(step_us) => rate(step_us) * scale,
        None => *speed,
    };
    pairs().map(speed).collect()
}

/// A source of randomness for decisions.
pub type DecisionRng<'a> = &'a mut dyn rand::Rng;

/// A routing policy: a plug-in that picks one of the views.
pub struct RoutingPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Picks the index of a view, or none when no view is available.
    pub pick: fn(views: &[UpstreamView], hint: RouteHint, rng: DecisionRng<'_>) -> Option<usize>,
}

inventory::submit! {
    RoutingPolicy { name: "round_robin", pick: pick_round_robin }
}
inventory::submit! {
    RoutingPolicy { name: "random", pick: pick_random }
}
inventory::submit! {
    RoutingPolicy { name: "least_in_flight", pick: pick_least_in_flight }
}
inventory::submit! {
    RoutingPolicy { name: "two_choices", pick: pick_two_choices }
}
inventory::submit! {
    RoutingPolicy { name: "prefix_affinity", pick: pick_prefix_affinity }
}

fn available_indexes(views: &[UpstreamView]) -> Vec<usize> {
    let indexes = 0..views.len();
    indexes.filter(|&index| views[index].available).collect()
}

fn pick_round_robin(views: &[UpstreamView], hint: RouteHint, _: DecisionRng<'_>) -> Option<usize> {
    let indexes = available_indexes(views);
    let count = indexes.len() as u64;
    (count > 0).then(|| indexes[(hint.counter % count) as usize])
}

fn pick_random(views: &[UpstreamView], _: RouteHint, rng: DecisionRng<'_>) -> Option<usize> {
    let indexes = available_indexes(views);
    (!indexes.is_empty()).then(|| indexes[rng.random_range(0..indexes.len())])
}

fn pick_least_in_flight(views: &[UpstreamView], _: RouteHint, _: DecisionRng<'_>) -> Option<usize> {
    let indexes = available_indexes(views);
    indexes
        .into_iter()
        .min_by_key(|&index| views[index].in_flight)
}

/// Draws two in proportion to capacity and takes the one with the lower load for its capacity.
fn pick_two_choices(views: &[UpstreamView], _: RouteHint, rng: DecisionRng<'_>) -> Option<usize> {
    let indexes = available_indexes(views);
    let a = draw(views, &indexes, rng)?;
    let b = draw(views, &indexes, rng)?;
    Some(match views[b].cost() < views[a].cost() {
        true => b,
        false => a,
    })
}

fn draw(views: &[UpstreamView], indexes: &[usize], rng: DecisionRng<'_>) -> Option<usize> {
    let total: f64 = indexes.iter().map(|&index| views[index].capacity()).sum();
    let mut rest = rng.random::<f64>() * total;
    for &index in indexes {
        rest -= views[index].capacity();
        if rest < 0.0 {
            return Some(index);
        }
    }
    indexes.last().copied()
}

/// Sends a prefix to the first upstreams in its own order that are not loaded far above the mean.
fn pick_prefix_affinity(
    views: &[UpstreamView],
    hint: RouteHint,
    rng: DecisionRng<'_>,
) -> Option<usize> {
    let preferred = hint.prefix.and_then(|prefix| preferred(views, prefix));
    preferred.or_else(|| pick_two_choices(views, hint, rng))
}

fn preferred(views: &[UpstreamView], prefix: u64) -> Option<usize> {
    let indexes: Vec<_> = (0..views.len())
        .filter(|&index| views[index].affine)
        .collect();
    let load: u32 = indexes.iter().map(|&index| views[index].load).sum();
    let slots: u32 = indexes.iter().map(|&index| views[index].slots).sum();
    let mean = f64::from(load + 1) / f64::from(slots.max(1));
    let bound = (mean * AFFINITY_BOUND).max(AFFINITY_FREE);
    let mut order: Vec<_> = indexes
        .into_iter()
        .map(|index| (affinity(&views[index], prefix), index))
        .collect();
    order.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let mut nearest = order.into_iter().take(AFFINITY_DEPTH);
    nearest
        .find(|&(_, index)| views[index].cost() <= bound)
        .map(|(_, index)| index)
}

/// Weighted rendezvous: upstreams win prefixes in proportion to their capacity. Measured speeds
/// are rounded, so that their noise moves few prefixes.
fn affinity(view: &UpstreamView, prefix: u64) -> f64 {
    let hash = hash_bytes(view.upstream.as_str().as_bytes(), prefix);
    let draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let speed = (view.speed.log2() * SPEED_STEPS).round() / SPEED_STEPS;
    -f64::from(view.slots.max(1)) * speed.exp2() / draw.ln()
}
