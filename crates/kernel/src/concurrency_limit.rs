//! How many requests an upstream takes at once, and one instance's share of that.
//!
//! Instances do not see each other's requests at once. Each may always have its equal share of
//! the limit there. Beyond that it takes its part of the room that the last report showed, and
//! gives back in proportion when the report showed more than the limit.

use crate::upstream_load::LoadView;

/// Requests beyond the places of the batch, as a share of them, so that a place that falls free
/// between two reports is filled.
const SLACK_SHARE: f64 = 0.25;
/// Factor of the limit when steps take longer than the objective allows.
const DECREASE_FACTOR: f64 = 0.9;
/// Growth of the limit with each report that shows steps within the objective.
const INCREASE: f64 = 1.0;
/// Smallest limit, as a share of the places.
const MIN_SHARE: f64 = 0.25;

/// The limit of one upstream, adapted to its step time.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    /// The limit for an upstream with so many places.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: largest(slots),
        }
    }

    /// Adapts to a report. `gap_us` is the objective for the time between tokens.
    pub fn adapt(&mut self, slots: u32, step_us: u64, gap_us: u64) {
        let smallest = (f64::from(slots) * MIN_SHARE).max(1.0);
        let changed = match step_us > gap_us {
            true => self.limit * DECREASE_FACTOR,
            false => self.limit + INCREASE,
        };
        self.limit = changed.clamp(smallest, largest(slots).max(smallest));
    }

    /// Requests that the upstream takes at once from all instances.
    pub fn value(&self) -> u32 {
        self.limit as u32
    }

    /// How many requests this one of so many instances may have there. Shares are not whole
    /// numbers: `dither`, drawn from 0 to 1 for each report, rounds them so that together they
    /// are about the limit.
    pub fn allowance(&self, load: &LoadView, instances: u32, dither: f64) -> u32 {
        self.share(load, f64::from(instances.max(1)), dither, 1.0)
    }

    /// Whether this instance may send one more.
    pub fn has_room(&self, load: &LoadView, instances: u32, dither: f64) -> bool {
        load.own < self.allowance(load, instances, dither)
    }

    /// Whether this instance may send one more that gains much from this upstream. Few instances
    /// have such a request at a time, so each may take more of the room at once.
    pub fn has_affinity_room(&self, load: &LoadView, instances: u32, dither: f64) -> bool {
        let instances = f64::from(instances.max(1));
        load.own < self.share(load, instances, dither, instances.sqrt())
    }

    fn share(&self, load: &LoadView, instances: f64, dither: f64, boost: f64) -> u32 {
        let fair = self.limit / instances;
        let round = |share: f64| (share + dither).floor().max(1.0) as u32;
        let Some(reported) = load.reported.map(f64::from) else {
            return round(fair);
        };
        let own = f64::from(load.own_reported);
        let allowed = match self.limit >= reported {
            true => own + (self.limit - reported) / instances * boost,
            false => own * self.limit / reported,
        };
        round(allowed.max(fair))
    }
}

fn largest(slots: u32) -> f64 {
    let slots = f64::from(slots);
    (slots * (1.0 + SLACK_SHARE)).max(slots + 1.0)
}
