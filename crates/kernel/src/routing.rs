//! Choice of an upstream for one attempt.

use amaranth_wire::id::UpstreamId;
use rand::RngExt;

/// What is known of one upstream when a request is routed.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it may get new work.
    pub available: bool,
    /// Requests that this instance has in flight there.
    pub in_flight: u32,
    /// Relative speed; 1.0 is the tier's ordinary.
    pub speed: f64,
}

/// A source of randomness for decisions.
pub type DecisionRng<'a> = &'a mut dyn rand::Rng;

/// A routing policy: a plug-in that picks one of the views.
pub struct RoutingPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Picks the index of a view, or none when no view is available. The counter grows by one
    /// for each call.
    pub pick: fn(views: &[UpstreamView], counter: u64, rng: DecisionRng<'_>) -> Option<usize>,
}

inventory::submit! {
    RoutingPolicy { name: "round_robin", pick: pick_round_robin }
}
inventory::submit! {
    RoutingPolicy { name: "least_in_flight", pick: pick_least_in_flight }
}
inventory::submit! {
    RoutingPolicy { name: "two_choices", pick: pick_two_choices }
}

fn available_indexes(views: &[UpstreamView]) -> Vec<usize> {
    let indexes = 0..views.len();
    indexes.filter(|&index| views[index].available).collect()
}

fn pick_round_robin(views: &[UpstreamView], counter: u64, _: DecisionRng<'_>) -> Option<usize> {
    let indexes = available_indexes(views);
    let count = indexes.len() as u64;
    (count > 0).then(|| indexes[(counter % count) as usize])
}

fn pick_least_in_flight(views: &[UpstreamView], _: u64, _: DecisionRng<'_>) -> Option<usize> {
    let indexes = available_indexes(views);
    indexes
        .into_iter()
        .min_by_key(|&index| views[index].in_flight)
}

fn pick_two_choices(views: &[UpstreamView], _: u64, rng: DecisionRng<'_>) -> Option<usize> {
    let indexes = available_indexes(views);
    if indexes.is_empty() {
        return None;
    }
    let a = indexes[rng.random_range(0..indexes.len())];
    let b = indexes[rng.random_range(0..indexes.len())];
    let cost = |index: usize| f64::from(views[index].in_flight + 1) / views[index].speed;
    Some(if cost(b) < cost(a) { b } else { a })
}
