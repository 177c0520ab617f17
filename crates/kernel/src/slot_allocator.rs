//! Allocates upstream slots for all instances on one coordinating instance.
//!
//! Many instances choose among the same upstreams within the delay of a load report, arrivals step
//! to 1.9 times the mean, and batch items run for seconds. Instances that choose independently
//! overload some upstreams while others have free slots; an allocator that knows of every request
//! avoids that.
//!
//! The state is soft: instances repeat their counts, and those of a silent instance expire. When
//! the allocator is unreachable, instances choose independently.

use std::cmp::Ordering;
use std::collections::HashMap;

use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::{
    ExpectedStart, InFlightCounts, PlacementDemand, PlacementReply, PlacementRequest, PromptShape,
};
use rand::RngExt;

use crate::moving_average::moving_average;
use crate::prompt_cache::{CacheRoom, PromptParts, expected_tokens};
use crate::prompt_model::{PromptCost, PromptForecast, PromptModel};
use crate::routing::DecisionRng;
use crate::slot_counts::{PendingGrant, SlotCounts};
use crate::upstream_speed::{REPORT_EXPIRY_MS, SpeedEstimate};

/// Lifetime of a grant that no counts confirm, in milliseconds: several times the interval between
/// messages.
const GRANT_EXPIRY_MS: u64 = 250;
/// Weight of a new service time in the moving average. Instances repeat theirs several times a
/// second.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Service time assumed until one is measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 500.0;
/// Lower bound of an upstream's relative service time, ten times as fast as the mean: shorter ones come
/// from few samples.
const MIN_RELATIVE_TIME: f64 = 0.1;
/// Interval at which old estimates of speeds are looked for, in milliseconds.
const SPEED_SWEEP_MS: u64 = 1_000;
/// Share of an engine's memory that expected tokens may take together: with outputs that differ from the
/// stated ones by a factor of up to 4, requests took 7 % more than the memory without the rest.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// Time without a figure after which the estimate of an upstream's speed is dropped, in milliseconds:
/// what it learned of how long figures last is worth no more than the default by then.
const SPEED_EXPIRY_MS: u64 = 30 * REPORT_EXPIRY_MS;
/// Share of all slots up to which batch items are admitted, counting online requests too.
const MAX_BATCH_OCCUPANCY: f64 = 0.92;
/// Retry delay of a batch item that found no free slot, in milliseconds.
const BATCH_RETRY_MS: u64 = 120;
/// Longest retry delay of a refused online request, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;
/// Shortest retry delay of a refused online request, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 50.0;

/// An upstream that a request may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamSlots {
    /// Its name.
    pub upstream: UpstreamId,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether it is in the data centre of the requesting instance.
    pub is_local: bool,
    /// When it started, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Tokens that running requests and kept parts of prompts may take there; `None` if it isn't an
    /// engine.
    pub cache_tokens: Option<u64>,
}

/// Load of one upstream, from the counts of all instances and the unconfirmed grants.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotLoad {
    slots: u64,
    online: u64,
    batch: u64,
    /// Expected service time at the speed of the moment.
    service_ms: f64,
    /// The factor of that speed.
    pub(crate) speed_factor: f64,
    /// Usual service time, relative to the mean of the group.
    pub(crate) relative_time: f64,
    /// Tokens of the requests there.
    tokens: u64,
}

/// Memory that a request takes at an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct RequestSize {
    /// Tokens that it is expected to take; 0 if they are unknown.
    expected_tokens: u64,
    /// Tokens that it takes at most.
    most_tokens: u64,
}

impl RequestSize {
    fn new(prompt: &PromptShape) -> Self {
        Self {
            expected_tokens: expected_tokens(prompt),
            most_tokens: prompt.total_tokens(),
        }
    }

    /// Whether the upstream accepts it while nothing else runs there.
    fn fits_alone(self, row: &UpstreamSlots) -> bool {
        row.cache_tokens.is_none_or(|room| self.most_tokens <= room)
    }
}

impl SlotLoad {
    fn total(self) -> u64 {
        self.online + self.batch
    }

    fn occupancy(self) -> f64 {
        self.total() as f64 / self.slots.max(1) as f64
    }

    /// Expected wait of one more request for a free slot, in milliseconds.
    pub(crate) fn wait_ms(self) -> f64 {
        let waiting = (self.total() + 1).saturating_sub(self.slots);
        waiting as f64 * self.service_ms / self.slots.max(1) as f64
    }

    /// Online requests if one more preempts a batch item, weighted by the speed of the moment.
    fn preemption_cost(self) -> f64 {
        (self.online + 1) as f64 * self.speed_factor
    }

    /// Room that the requests leave for parts of prompts; none is known of upstreams without a limit.
    pub(crate) fn cache_room(self, row: &UpstreamSlots, parts: usize) -> CacheRoom {
        CacheRoom {
            tokens: row.cache_tokens.unwrap_or(0).saturating_sub(self.tokens),
            parts,
        }
    }

    /// Whether the memory has room for a request of this many tokens. One of unknown size always fits.
    fn has_memory(self, row: &UpstreamSlots, size: RequestSize) -> bool {
        let taken = self.tokens.saturating_add(size.expected_tokens) as f64;
        let has_room = |room| taken <= room as f64 * MAX_MEMORY_SHARE;
        let is_alone = self.tokens == 0 || size.expected_tokens == 0;
        size.fits_alone(row) && (is_alone || row.cache_tokens.is_none_or(has_room))
    }

    /// Occupancy with one more request, weighted by the service time.
    fn cost(self) -> f64 {
        (self.total() + 1) as f64 / self.slots.max(1) as f64 * self.service_ms
    }
}

/// Tells an instance to preempt one of its batch items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreemptionOrder {
    /// Member name of the instance.
    pub member: String,
    /// Upstream that the item runs on.
    pub upstream: UpstreamId,
}

/// Grants upstream slots to requests of all instances.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    counts: SlotCounts,
    service_ms: HashMap<UpstreamId, f64>,
    speeds: HashMap<UpstreamId, SpeedEstimate>,
    speeds_swept_ms: u64,
    prompts: PromptModel,
}

impl SlotAllocator {
    /// An allocator without counts or grants.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces an instance's in-flight counts, unless `sequence` is older than the last one, and
    /// drops the grants that they cover.
    pub fn record_counts(
        &mut self,
        member: String,
        sequence: u64,
        counts: InFlightCounts,
        now_ms: u64,
    ) {
        if self.counts.has_newer(&member, sequence) {
            return;
        }
        for count in counts.rows.iter().filter(|count| count.service_ms > 0) {
            let sample = f64::from(count.service_ms);
            let known = self.service_ms.get(&count.upstream).copied();
            let average = moving_average(known, sample, SAMPLE_WEIGHT);
            self.service_ms.insert(count.upstream.clone(), average);
        }
        self.record_speeds(&counts, now_ms);
        self.record_first_events(&counts, now_ms);
        self.counts.replace(member, sequence, counts, now_ms);
    }

    /// Records the speeds that an instance was told. The newest of an upstream counts, whoever sent it.
    fn record_speeds(&mut self, counts: &InFlightCounts, now_ms: u64) {
        for count in &counts.rows {
            let Some(speed) = count.speed else {
                continue;
            };
            let estimate = self.speeds.entry(count.upstream.clone()).or_default();
            estimate.record(
                speed.percent,
                now_ms.saturating_sub(u64::from(speed.age_ms)),
            );
        }
    }

    fn record_first_events(&mut self, counts: &InFlightCounts, now_ms: u64) {
        let prompts = counts.prompts.iter();
        for sample in prompts.flat_map(|prompts| &prompts.first_events) {
            let start_ms = now_ms.saturating_sub(u64::from(sample.first_event_us / 1_000));
            let speed = self.speeds.get(&sample.upstream);
            let factor = speed.map_or(1.0, |speed| speed.mean_factor(start_ms, now_ms));
            self.prompts.record_sample(sample, factor);
        }
    }

    /// Grants a slot or refuses the request. When every slot is taken, an online request gets an
    /// upstream on which a batch item is preempted, if there is one.
    pub fn allocate(
        &mut self,
        upstreams: &[UpstreamSlots],
        request: &PlacementRequest,
        now_ms: u64,
        rng: DecisionRng<'_>,
    ) -> (PlacementReply, Option<PreemptionOrder>) {
        self.expire(now_ms);
        let loads = self.loads(upstreams, now_ms);
        let prompt = request.work.as_ref().map(|work| &work.prompt);
        let prompt = prompt.filter(|prompt| **prompt != PromptShape::default());
        let forecast = prompt.map(|prompt| {
            let parts = PromptParts::new(prompt);
            self.prompts.forecast(upstreams, &loads, parts, now_ms)
        });
        let (choice, order) = match request.demand {
            PlacementDemand::Batch => (choose_for_batch(&loads), None),
            PlacementDemand::Online { objective_ms } => {
                let costs = forecast.as_ref().filter(|forecast| forecast.rate.is_some());
                let costs = costs.map_or(&[][..], |forecast| &forecast.costs);
                let size = prompt.map(RequestSize::new).unwrap_or_default();
                self.choose_for_online(upstreams, &loads, costs, size, objective_ms, rng)
            }
        };
        let reply = match choice {
            SlotChoice::At(index) => {
                let expected = forecast.map(|forecast: PromptForecast| {
                    let prompts = &mut self.prompts;
                    prompts.record_grant(upstreams, &loads, index, &forecast, now_ms)
                });
                self.grant(&upstreams[index], loads[index], request, expected, now_ms)
            }
            SlotChoice::Refused { retry_after_ms } => PlacementReply::Refused { retry_after_ms },
            SlotChoice::NoUpstream => PlacementReply::NoUpstream,
        };
        (reply, order)
    }

    fn expire(&mut self, now_ms: u64) {
        self.counts.expire(now_ms);
        if now_ms >= self.speeds_swept_ms + SPEED_SWEEP_MS {
            self.speeds_swept_ms = now_ms;
            self.speeds
                .retain(|_, speed| !speed.is_older_than(SPEED_EXPIRY_MS, now_ms));
        }
    }

    /// The loads of the upstreams, in their order.
    fn loads(&self, upstreams: &[UpstreamSlots], now_ms: u64) -> Vec<SlotLoad> {
        let known = upstreams
            .iter()
            .filter_map(|row| self.service_ms.get(&row.upstream));
        let (sum, count) = known.fold((0.0, 0), |(sum, count), ms| (sum + ms, count + 1));
        let mean_ms = match count {
            0 => DEFAULT_SERVICE_MS,
            _ => sum / f64::from(count),
        };
        let load = |row: &UpstreamSlots| {
            let total = self.counts.total(&row.upstream);
            let usual_ms = self.service_ms.get(&row.upstream).copied();
            let usual_ms = usual_ms.unwrap_or(mean_ms);
            let speed = self.speeds.get(&row.upstream);
            let speed_factor = speed.map_or(1.0, |speed| speed.factor(now_ms));
            SlotLoad {
                slots: row.slots.into(),
                online: total.online,
                batch: total.batch,
                service_ms: usual_ms * speed_factor,
                speed_factor,
                relative_time: (usual_ms / mean_ms).max(MIN_RELATIVE_TIME),
                tokens: total.tokens,
            }
        };
        upstreams.iter().map(load).collect()
    }

    fn grant(
        &mut self,
        row: &UpstreamSlots,
        load: SlotLoad,
        request: &PlacementRequest,
        expected: Option<ExpectedStart>,
        now_ms: u64,
    ) -> PlacementReply {
        let work = request.work.as_ref();
        self.counts.add_grant(PendingGrant {
            member: request.member.clone(),
            request_number: request.number,
            upstream: row.upstream.clone(),
            batch: request.demand == PlacementDemand::Batch,
            tokens: work.map_or(0, |work| expected_tokens(&work.prompt)),
            until_ms: now_ms + GRANT_EXPIRY_MS,
        });
        PlacementReply::Granted {
            upstream: row.upstream.clone(),
            load: load.total() as f64,
            expected,
        }
    }

    fn choose_for_online(
        &mut self,
        upstreams: &[UpstreamSlots],
        loads: &[SlotLoad],
        costs: &[PromptCost],
        size: RequestSize,
        objective_ms: u64,
        rng: DecisionRng<'_>,
    ) -> (SlotChoice, Option<PreemptionOrder>) {
        let order = |a: &usize, b: &usize| {
            let by_prompt = costs.get(*a).zip(costs.get(*b));
            let by_prompt = by_prompt.map_or(Ordering::Equal, |(a, b)| compare_prompts(a, b));
            by_prompt.then_with(|| {
                compare_for_online((&upstreams[*a], loads[*a]), (&upstreams[*b], loads[*b]))
            })
        };
        let fitting = 0..loads.len();
        let fitting = fitting.filter(|index| loads[*index].has_memory(&upstreams[*index], size));
        let fitting: Vec<usize> = fitting.collect();
        let Some(mut best) = fitting.iter().copied().min_by(order) else {
            return (refuse_for_memory(upstreams, loads, size, rng), None);
        };
        let is_free = |index: &usize| loads[*index].total() < loads[*index].slots;
        let free = fitting.iter().copied().filter(is_free).min_by(order);
        if let Some(free) = free.filter(|_| loads[best].wait_ms() > objective_ms as f64) {
            best = free;
        }
        if is_free(&best) || free.is_some() {
            return (SlotChoice::At(best), None);
        }
        let preemptible = fitting.into_iter().filter(|index| loads[*index].batch > 0);
        let cost = |index: &usize| loads[*index].preemption_cost();
        if let Some(index) = preemptible.min_by(|a, b| cost(a).total_cmp(&cost(b))) {
            return (
                SlotChoice::At(index),
                self.counts.preempt_batch_item(&upstreams[index].upstream),
            );
        }
        let wait_ms = loads[best].wait_ms();
        match wait_ms <= objective_ms as f64 {
            true => (SlotChoice::At(best), None),
            false => (refuse(wait_ms, objective_ms, rng), None),
        }
    }
}

enum SlotChoice {
    At(usize),
    Refused { retry_after_ms: u64 },
    NoUpstream,
}

/// Chooses the least occupied upstream, up to `MAX_BATCH_OCCUPANCY`.
fn choose_for_batch(loads: &[SlotLoad]) -> SlotChoice {
    let slots: u64 = loads.iter().map(|load| load.slots).sum();
    let taken: u64 = loads.iter().map(|load| load.total()).sum();
    let occupancy = |index: &usize| loads[*index].occupancy();
    let least = (0..loads.len()).min_by(|a, b| occupancy(a).total_cmp(&occupancy(b)));
    let Some(least) = least else {
        return SlotChoice::NoUpstream;
    };
    let has_capacity = (taken + 1) as f64 <= (slots as f64 * MAX_BATCH_OCCUPANCY).max(1.0);
    match has_capacity && loads[least].total() < loads[least].slots {
        true => SlotChoice::At(least),
        false => SlotChoice::Refused {
            retry_after_ms: BATCH_RETRY_MS,
        },
    }
}

/// Orders by the time to the first event, then by the work that the request takes.
fn compare_prompts(a: &PromptCost, b: &PromptCost) -> Ordering {
    let by_first_event = a.first_event_step().total_cmp(&b.first_event_step());
    by_first_event.then(a.work_ms.total_cmp(&b.work_ms))
}

/// Orders by shortest wait, then lowest cost, then upstreams in the same data centre.
fn compare_for_online(a: (&UpstreamSlots, SlotLoad), b: (&UpstreamSlots, SlotLoad)) -> Ordering {
    let by_wait = a.1.wait_ms().total_cmp(&b.1.wait_ms());
    let by_cost = by_wait.then(a.1.cost().total_cmp(&b.1.cost()));
    by_cost.then(b.0.is_local.cmp(&a.0.is_local))
}

/// Refuses a request for which no upstream has memory: for long if none ever has, and else for about the
/// time in which a request ends.
fn refuse_for_memory(
    upstreams: &[UpstreamSlots],
    loads: &[SlotLoad],
    size: RequestSize,
    rng: DecisionRng<'_>,
) -> SlotChoice {
    if upstreams.is_empty() {
        return SlotChoice::NoUpstream;
    }
    let delay_ms = match upstreams.iter().any(|row| size.fits_alone(row)) {
        true => loads[0].service_ms * rng.random_range(0.5..1.5),
        false => MAX_RETRY_AFTER_MS,
    };
    SlotChoice::Refused {
        retry_after_ms: delay_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64,
    }
}

/// Refuses a request. Retries are spread randomly over the time until enough slots are free.
fn refuse(wait_ms: f64, objective_ms: u64, rng: DecisionRng<'_>) -> SlotChoice {
    let excess_ms = (wait_ms - objective_ms as f64 / 2.0).max(MIN_RETRY_AFTER_MS);
    let delay_ms = excess_ms * rng.random_range(0.7..1.7);
    SlotChoice::Refused {
        retry_after_ms: delay_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64,
    }
}
