//! An adaptive concurrency limit per upstream, and one instance's share of it.
//!
//! Instances learn of each other's requests only by delayed load reports. Each may always use its
//! equal share of the limit. Beyond that it takes its part of the free capacity in the last report,
//! and reduces its requests in proportion when the report exceeds the limit.

use crate::upstream_load::LoadView;

/// Requests beyond the upstream's slots, as a share of them, so that a slot that becomes free
/// between two reports is filled.
const OVERCOMMIT_SHARE: f64 = 0.25;
/// Multiplicative decrease of the limit with a report whose step time exceeds the objective.
const DECREASE_FACTOR: f64 = 0.9;
/// Additive increase of the limit with a report whose step time is within the objective.
const INCREASE_STEP: f64 = 1.0;
/// Smallest limit, as a share of the slots.
const MIN_LIMIT_SHARE: f64 = 0.25;

/// The concurrency limit of one upstream, adapted to its step time.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    /// The largest limit for an upstream with this number of slots.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: max_limit(slots),
        }
    }

    /// Adapts the limit to a load report. `gap_us` is the objective for the time between tokens.
    pub fn adapt(&mut self, slots: u32, step_us: u64, gap_us: u64) {
        let min_limit = (f64::from(slots) * MIN_LIMIT_SHARE).max(1.0);
        let adjusted = match step_us > gap_us {
            true => self.limit * DECREASE_FACTOR,
            false => self.limit + INCREASE_STEP,
        };
        self.limit = adjusted.clamp(min_limit, max_limit(slots).max(min_limit));
    }

    /// Concurrent requests allowed from all instances together.
    pub fn value(&self) -> u32 {
        self.limit as u32
    }

    /// Concurrent requests allowed from this instance, one of `instances`. Shares are fractional:
    /// `dither`, drawn from 0 to 1 for each report, rounds them so that they add up to about the
    /// limit.
    pub fn allowance(&self, load: &LoadView, instances: u32, dither: f64) -> u32 {
        self.share(load, f64::from(instances.max(1)), dither, 1.0)
    }

    /// Whether this instance may send one more request.
    pub fn has_room(&self, load: &LoadView, instances: u32, dither: f64) -> bool {
        load.own < self.allowance(load, instances, dither)
    }

    /// Whether this instance may send one more request that gains from the upstream's cache. Few
    /// instances have such a request at a time, so each may take more of the free capacity.
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

fn max_limit(slots: u32) -> f64 {
    let slots = f64::from(slots);
    (slots * (1.0 + OVERCOMMIT_SHARE)).max(slots + 1.0)
}
