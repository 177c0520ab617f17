//! Chooses an upstream from local knowledge only, or refuses the request. Used when no slot
//! allocator answers.
//!
//! Arrivals step between 0.4 and 1.9 times the mean within a second, many instances choose
//! independently by load reports that are up to a few seconds old, and upstreams queue in order of
//! arrival. An upstream's queue is shared by all instances, so a request is sent there if the
//! expected wait is within its objective, and refused at once otherwise.

use amaranth_wire::placement_message::PlacementDemand;
use rand::RngExt;

use crate::ejection::{self, UpstreamHealth};
use crate::moving_average::moving_average;
use crate::routing::DecisionRng;
use crate::upstream_signs::UpstreamSigns;
use crate::upstream_speed::SpeedEstimate;

/// Time constant with which a load report loses weight, in milliseconds: about the duration of a
/// short stream. After it a report keeps a third of its weight.
const REPORT_DECAY_MS: f64 = 1_000.0;
/// Weight of the prior that other instances have no requests, relative to one fresh report. It
/// dominates once all reports are seconds old, as the requests they counted have ended.
const IDLE_PRIOR_WEIGHT: f64 = 0.05;
/// Weight of a new sample in moving averages, which span about the last ten.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Service time assumed until one is measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 500.0;
/// Longest retry delay of a refused request, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;
/// Shortest retry delay of a refused request, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
/// Costs that differ by no more count as equal, so that instances with the same stale reports don't
/// all choose the same upstream.
const COST_TOLERANCE: f64 = 0.08;
/// Occupancy of an upstream up to which batch items are sent there.
const MAX_BATCH_OCCUPANCY: f64 = 0.75;

/// This instance's estimate of one upstream's load.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    /// Requests of this instance in flight there.
    pub own: u32,
    /// Batch items among them.
    pub own_batch: u32,
    /// Tokens that they take, as far as they are stated.
    pub own_tokens: u64,
    /// Outlier detection state.
    pub health: UpstreamHealth,
    /// How long work takes there at the moment, as reported.
    pub speed: SpeedEstimate,
    /// When any request heard from it.
    pub signs: UpstreamSigns,
    others: f64,
    reported_ms: Option<u64>,
    service_ms: Option<f64>,
}

impl LoadEstimate {
    /// Forgets everything but the requests in flight, as the upstream has started again.
    pub fn restart(&mut self) {
        *self = Self {
            own: self.own,
            own_batch: self.own_batch,
            own_tokens: self.own_tokens,
            ..Self::default()
        };
    }

    /// Records the total of running and waiting requests that the upstream reported.
    pub fn record_report(&mut self, total: u32, now_ms: u64) {
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_ms = Some(now_ms);
    }

    /// Records the duration of a whole response of typical size at the upstream's usual speed.
    pub fn record_service_time(&mut self, took_ms: f64) {
        self.service_ms = Some(moving_average(self.service_ms, took_ms, SAMPLE_WEIGHT));
    }

    /// Average service time in milliseconds; `None` until one is measured.
    pub fn service_ms(&self) -> Option<f64> {
        self.service_ms
    }

    /// Weight of the last report; 1 when it is fresh.
    fn report_weight(&self, now_ms: u64) -> f64 {
        self.reported_ms.map_or(0.0, |reported_ms| {
            (-(now_ms.saturating_sub(reported_ms) as f64) / REPORT_DECAY_MS).exp()
        })
    }

    /// Estimated requests of other instances: the last report, blended with the mean of the group
    /// as it ages.
    fn others(&self, mean: f64, now_ms: u64) -> f64 {
        let weight = self.report_weight(now_ms);
        self.others * weight + mean * (1.0 - weight)
    }
}

/// Mean number of other instances' requests per upstream, weighted by the age of the reports.
fn mean_others(candidates: &[PlacementCandidate<'_>], now_ms: u64) -> f64 {
    let estimates = || candidates.iter().map(|candidate| candidate.estimate);
    let weights: f64 = estimates()
        .map(|estimate| estimate.report_weight(now_ms))
        .sum();
    let sum: f64 = estimates()
        .map(|estimate| estimate.others * estimate.report_weight(now_ms))
        .sum();
    sum / (weights + IDLE_PRIOR_WEIGHT)
}

/// An upstream that a request may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate<'a> {
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether it is in the data centre of this instance.
    pub is_local: bool,
    /// Its estimated load.
    pub estimate: &'a LoadEstimate,
}

/// Outcome of a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementDecision {
    /// Send the request to a candidate.
    Send {
        /// Index of the candidate.
        index: usize,
        /// Its estimated load in requests.
        load: f64,
    },
    /// Refuse the request, as it would not be served in time.
    Refuse {
        /// Delay after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// There is no candidate.
    NoUpstream,
}

struct CandidateCost {
    index: usize,
    load: f64,
    wait_ms: f64,
    cost: f64,
}

/// Chooses the candidate with the lowest cost. Ejected candidates are skipped while at least half
/// of the candidates are available.
pub fn place(
    candidates: &[PlacementCandidate<'_>],
    demand: PlacementDemand,
    now_ms: u64,
    rng: DecisionRng<'_>,
) -> PlacementDecision {
    let rows = candidate_costs(candidates, now_ms);
    let Some(lowest) = rows.iter().map(|row| row.cost).min_by(f64::total_cmp) else {
        return PlacementDecision::NoUpstream;
    };
    let mut equal: Vec<&CandidateCost> = rows
        .iter()
        .filter(|row| row.cost <= lowest + COST_TOLERANCE)
        .collect();
    if equal.iter().any(|row| candidates[row.index].is_local) {
        equal.retain(|row| candidates[row.index].is_local);
    }
    let chosen = equal[rng.random_range(0..equal.len())];
    let slots = f64::from(candidates[chosen.index].slots.max(1));
    let allowed = match demand {
        PlacementDemand::Online { objective_ms } => chosen.wait_ms <= objective_ms as f64,
        PlacementDemand::Batch => chosen.load + 1.0 <= (slots * MAX_BATCH_OCCUPANCY).max(1.0),
    };
    match allowed {
        true => PlacementDecision::Send {
            index: chosen.index,
            load: chosen.load,
        },
        false => refuse(chosen.wait_ms, rng),
    }
}

/// Refuses a request. Retries are spread randomly around the time at which a slot becomes free.
fn refuse(wait_ms: f64, rng: DecisionRng<'_>) -> PlacementDecision {
    let spread = rng.random_range(0.5..1.5);
    let delay_ms = (wait_ms * spread).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    PlacementDecision::Refuse {
        retry_after_ms: delay_ms as u64,
    }
}

fn candidate_costs(candidates: &[PlacementCandidate<'_>], now_ms: u64) -> Vec<CandidateCost> {
    let healths: Vec<_> = candidates.iter().map(|c| c.estimate.health).collect();
    let available = ejection::available(&healths, now_ms);
    let mean = mean_others(candidates, now_ms);
    let group_ms = group_service_ms(candidates);
    let rows = candidates.iter().enumerate().zip(available);
    let rows = rows.filter(|(_, available)| *available);
    rows.map(|((index, candidate), _)| candidate_cost(index, candidate, mean, group_ms, now_ms))
        .collect()
}

fn group_service_ms(candidates: &[PlacementCandidate<'_>]) -> f64 {
    let known: Vec<f64> = candidates
        .iter()
        .filter_map(|c| c.estimate.service_ms)
        .collect();
    match known.is_empty() {
        true => DEFAULT_SERVICE_MS,
        false => known.iter().sum::<f64>() / known.len() as f64,
    }
}

fn candidate_cost(
    index: usize,
    candidate: &PlacementCandidate<'_>,
    mean: f64,
    group_ms: f64,
    now_ms: u64,
) -> CandidateCost {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.estimate.own) + candidate.estimate.others(mean, now_ms);
    let service_ms = candidate.estimate.service_ms.unwrap_or(group_ms);
    let service_ms = service_ms * candidate.estimate.speed.factor(now_ms);
    let slowness = service_ms / group_ms.max(1.0);
    let waiting = (load + 1.0 - slots).max(0.0);
    CandidateCost {
        index,
        load,
        wait_ms: waiting / slots * service_ms,
        cost: (load + 1.0) / slots * slowness,
    }
}
