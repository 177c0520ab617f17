//! Where an opaque request goes, or when it is refused, by what one instance knows itself: the
//! way while nobody who knows more answers.
//!
//! The load this answers: arrivals that step between 0.4 and 1.9 times the mean within a second,
//! many instances that place independently on reports of the upstreams that are up to a few
//! seconds old, and upstreams that queue in order of arrival. An upstream's queue serves as the
//! common queue of all instances, so a request is sent while the wait there still leaves it its
//! objective, and refused at once when it does not.

use amaranth_wire::placement_message::PlacementDemand;
use rand::RngExt;

use crate::ejection::{self, UpstreamHealth};
use crate::moving_average::moving_average;
use crate::routing::DecisionRng;

/// Time in which a report of other instances' requests loses two thirds of its weight, in
/// milliseconds: about the length of a short stream.
const REPORT_FADE_MS: f64 = 1_000.0;
/// Weight of the assumption that there are no other requests, against one fresh report: it takes
/// over when all reports are seconds old, since what they counted has ended.
const IDLE_WEIGHT: f64 = 0.05;
/// Weight of the newest sample in moving averages: the mean of about the last ten.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Service time that is assumed before one was measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 500.0;
/// Longest pause that a refused caller is told, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;
/// Shortest pause that a refused caller is told, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
/// Costs that differ by less are taken for equal, so that instances with the same stale view do
/// not all choose the same upstream.
const EQUAL_COST: f64 = 0.08;
/// Share of an upstream's places that batch items may bring it to.
const BATCH_SHARE: f64 = 0.75;

/// What this instance knows of one upstream's load.
#[derive(Debug, Clone, Default)]
pub struct LoadTrack {
    /// Requests that this instance has in flight there.
    pub own: u32,
    /// Batch items among them.
    pub own_batch: u32,
    /// Whether it may get requests.
    pub health: UpstreamHealth,
    others: f64,
    reported_ms: Option<u64>,
    service_ms: Option<f64>,
}

impl LoadTrack {
    /// Notes what the upstream said of its running and waiting requests.
    pub fn note_report(&mut self, total: u32, now_ms: u64) {
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_ms = Some(now_ms);
    }

    /// Notes how long a whole answer of usual size took there.
    pub fn note_service(&mut self, took_ms: f64) {
        self.service_ms = Some(moving_average(self.service_ms, took_ms, SAMPLE_WEIGHT));
    }

    /// Time that a usual request takes there, in milliseconds.
    pub fn service_ms(&self) -> Option<f64> {
        self.service_ms
    }

    /// Weight of the last report; 1 when it is fresh.
    fn report_weight(&self, now_ms: u64) -> f64 {
        self.reported_ms.map_or(0.0, |reported_ms| {
            (-(now_ms.saturating_sub(reported_ms) as f64) / REPORT_FADE_MS).exp()
        })
    }

    /// Requests of other instances, by the last report and the mean of the group.
    fn others(&self, mean: f64, now_ms: u64) -> f64 {
        let weight = self.report_weight(now_ms);
        self.others * weight + mean * (1.0 - weight)
    }
}

/// Mean number of other instances' requests at an upstream, by the freshness of the reports.
fn mean_others(candidates: &[PlacementCandidate<'_>], now_ms: u64) -> f64 {
    let tracks = || candidates.iter().map(|candidate| candidate.track);
    let weights: f64 = tracks().map(|track| track.report_weight(now_ms)).sum();
    let sum: f64 = tracks()
        .map(|track| track.others * track.report_weight(now_ms))
        .sum();
    sum / (weights + IDLE_WEIGHT)
}

/// One upstream that a request may go to.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate<'a> {
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it runs in the data centre of this instance.
    pub near: bool,
    /// What is known of its load.
    pub track: &'a LoadTrack,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementStep {
    /// To this candidate.
    Send {
        /// Its index.
        index: usize,
        /// Its estimated load in requests.
        load: f64,
    },
    /// Nowhere: it would not be served in time.
    Refuse {
        /// When there should be room, in milliseconds.
        retry_after_ms: u64,
    },
    /// No upstream is known that may get it.
    NoUpstream,
}

struct CostRow {
    index: usize,
    load: f64,
    wait_ms: f64,
    cost: f64,
}

/// Chooses among the candidates. Those that failed lately are left out while others remain.
pub fn place(
    candidates: &[PlacementCandidate<'_>],
    demand: PlacementDemand,
    now_ms: u64,
    rng: DecisionRng<'_>,
) -> PlacementStep {
    let rows = cost_rows(candidates, now_ms);
    let Some(lowest) = rows.iter().map(|row| row.cost).min_by(f64::total_cmp) else {
        return PlacementStep::NoUpstream;
    };
    let mut equal: Vec<&CostRow> = rows
        .iter()
        .filter(|row| row.cost <= lowest + EQUAL_COST)
        .collect();
    if equal.iter().any(|row| candidates[row.index].near) {
        equal.retain(|row| candidates[row.index].near);
    }
    let chosen = equal[rng.random_range(0..equal.len())];
    let slots = f64::from(candidates[chosen.index].slots.max(1));
    let allowed = match demand {
        PlacementDemand::Online { objective_ms } => chosen.wait_ms <= objective_ms as f64,
        PlacementDemand::Batch => chosen.load + 1.0 <= (slots * BATCH_SHARE).max(1.0),
    };
    match allowed {
        true => PlacementStep::Send {
            index: chosen.index,
            load: chosen.load,
        },
        false => refuse(chosen.wait_ms, rng),
    }
}

/// Callers come back spread over the time in which the room they need falls free.
fn refuse(wait_ms: f64, rng: DecisionRng<'_>) -> PlacementStep {
    let spread = rng.random_range(0.5..1.5);
    let pause = (wait_ms * spread).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    PlacementStep::Refuse {
        retry_after_ms: pause as u64,
    }
}

fn cost_rows(candidates: &[PlacementCandidate<'_>], now_ms: u64) -> Vec<CostRow> {
    let healths: Vec<_> = candidates.iter().map(|c| c.track.health).collect();
    let available = ejection::available(&healths, now_ms);
    let mean = mean_others(candidates, now_ms);
    let group_ms = group_service_ms(candidates);
    let rows = candidates.iter().enumerate().zip(available);
    let rows = rows.filter(|(_, available)| *available);
    rows.map(|((index, candidate), _)| cost_row(index, candidate, mean, group_ms, now_ms))
        .collect()
}

fn group_service_ms(candidates: &[PlacementCandidate<'_>]) -> f64 {
    let known: Vec<f64> = candidates
        .iter()
        .filter_map(|c| c.track.service_ms)
        .collect();
    match known.is_empty() {
        true => DEFAULT_SERVICE_MS,
        false => known.iter().sum::<f64>() / known.len() as f64,
    }
}

fn cost_row(
    index: usize,
    candidate: &PlacementCandidate<'_>,
    mean: f64,
    group_ms: f64,
    now_ms: u64,
) -> CostRow {
    let slots = f64::from(candidate.slots.max(1));
    let load = f64::from(candidate.track.own) + candidate.track.others(mean, now_ms);
    let service_ms = candidate.track.service_ms.unwrap_or(group_ms);
    let slowness = service_ms / group_ms.max(1.0);
    let waiting = (load + 1.0 - slots).max(0.0);
    CostRow {
        index,
        load,
        wait_ms: waiting / slots * service_ms,
        cost: (load + 1.0) / slots * slowness,
    }
}
