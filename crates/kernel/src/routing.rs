//! Routing policies, which choose an upstream for one attempt.

use amaranth_wire::id::UpstreamId;
use rand::RngExt;

use crate::hashing::hash_bytes;

/// Upstreams with the highest affinity that are tried before falling back to two choices.
const AFFINITY_CANDIDATES: usize = 3;
/// Load limit for affinity, as a multiple of the group's mean occupancy.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Occupancy that affinity may always reach, since requests don't wait below it.
const AFFINITY_MIN_BOUND: f64 = 1.0;
/// Steps per doubling to which the speed is rounded for affinity.
const SPEED_STEPS_PER_DOUBLING: f64 = 2.0;

/// The state of one upstream that a routing policy decides on.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// Its name.
    pub upstream: UpstreamId,
    /// Whether it may get new requests.
    pub available: bool,
    /// Whether it may get new requests whose prefix it may have cached.
    pub affine: bool,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Estimated requests there from all instances.
    pub load: u32,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Relative speed, measured if possible; 1.0 is the tier's default.
    pub speed: f64,
}

impl UpstreamView {
    /// Occupancy with one more request. The part above 1.0 waits, so it is divided by the speed.
    fn cost(&self) -> f64 {
        let occupancy = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        match occupancy <= 1.0 {
            true => occupancy,
            false => 1.0 + (occupancy - 1.0) / self.speed,
        }
    }

    /// Relative throughput.
    fn capacity(&self) -> f64 {
        f64::from(self.slots.max(1)) * self.speed
    }
}

/// Properties of the request that is routed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteHint {
    /// Incremented for each choice.
    pub counter: u64,
    /// Hash of the start of the prompt if it is long enough to be cached.
    pub prefix: Option<u64>,
}

/// Relative speeds of upstreams, by the measured step time or else by the settings. Measured speeds
/// are scaled so that their mean equals that of the settings of the same upstreams.
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

/// Random number generator passed in by the caller, so that decisions can be reproduced.
pub type DecisionRng<'a> = &'a mut dyn rand::Rng;

/// A routing policy plug-in.
pub struct RoutingPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Picks the index of a view, or `None` if no upstream is available.
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

/// Power of two choices: samples two upstreams weighted by capacity and takes the one with the
/// lower cost.
fn pick_two_choices(views: &[UpstreamView], _: RouteHint, rng: DecisionRng<'_>) -> Option<usize> {
    let indexes = available_indexes(views);
    let a = draw_by_capacity(views, &indexes, rng)?;
    let b = draw_by_capacity(views, &indexes, rng)?;
    Some(match views[b].cost() < views[a].cost() {
        true => b,
        false => a,
    })
}

fn draw_by_capacity(
    views: &[UpstreamView],
    indexes: &[usize],
    rng: DecisionRng<'_>,
) -> Option<usize> {
    let total: f64 = indexes.iter().map(|&index| views[index].capacity()).sum();
    let mut remaining = rng.random::<f64>() * total;
    for &index in indexes {
        remaining -= views[index].capacity();
        if remaining < 0.0 {
            return Some(index);
        }
    }
    indexes.last().copied()
}

/// Picks the first of the upstreams with the highest affinity for the prefix that is within the
/// load bound, else falls back to two choices.
fn pick_prefix_affinity(
    views: &[UpstreamView],
    hint: RouteHint,
    rng: DecisionRng<'_>,
) -> Option<usize> {
    let preferred_upstream = hint
        .prefix
        .and_then(|prefix| preferred_upstream(views, prefix));
    preferred_upstream.or_else(|| pick_two_choices(views, hint, rng))
}

fn preferred_upstream(views: &[UpstreamView], prefix: u64) -> Option<usize> {
    let indexes: Vec<_> = (0..views.len())
        .filter(|&index| views[index].affine)
        .collect();
    let load: u32 = indexes.iter().map(|&index| views[index].load).sum();
    let slots: u32 = indexes.iter().map(|&index| views[index].slots).sum();
    let mean = f64::from(load + 1) / f64::from(slots.max(1));
    let bound = (mean * AFFINITY_LOAD_FACTOR).max(AFFINITY_MIN_BOUND);
    let mut ranking: Vec<_> = indexes
        .into_iter()
        .map(|index| (affinity_score(&views[index], prefix), index))
        .collect();
    ranking.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let mut nearest = ranking.into_iter().take(AFFINITY_CANDIDATES);
    nearest
        .find(|&(_, index)| views[index].cost() <= bound)
        .map(|(_, index)| index)
}

/// Weighted rendezvous hash: upstreams win prefixes in proportion to their capacity. Speeds are
/// rounded so that measurement noise moves few prefixes.
fn affinity_score(view: &UpstreamView, prefix: u64) -> f64 {
    let hash = hash_bytes(view.upstream.as_str().as_bytes(), prefix);
    let draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let speed = (view.speed.log2() * SPEED_STEPS_PER_DOUBLING).round() / SPEED_STEPS_PER_DOUBLING;
    -f64::from(view.slots.max(1)) * speed.exp2() / draw.ln()
}
