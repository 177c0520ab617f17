//! The places at upstreams as the instance sees them that hands them out.
//!
//! The load this answers: many instances that place at the same upstreams within the time that a
//! load report takes to come round, arrivals that step to 1.9 times the mean, and batch items that
//! run for seconds. Instances placing by themselves fill some upstreams past their slots while
//! others have room; one that is told of every request places each where room is.
//!
//! Its state is soft: instances repeat their counts, and one that falls silent is forgotten. When
//! it can't be reached, instances place by themselves.

use std::cmp::Ordering;
use std::collections::HashMap;

use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::{
    InFlightCounts, PlacementDemand, PlacementReply, PlacementRequest,
};
use rand::RngExt;

use crate::moving_average::moving_average;
use crate::routing::DecisionRng;

/// Time after which a silent instance's counts are dropped, in milliseconds: several repeats.
const SILENT_MS: u64 = 1_500;
/// Time after which a granted place that no counts confirm is taken for lost, in milliseconds:
/// several messages.
const GRANT_MS: u64 = 250;
/// Weight of an instance's newest measurement: instances repeat theirs several times a second.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Time of a usual request before one was measured, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 500.0;
/// Share of all places that batch items may fill together with online requests.
const BATCH_FILL: f64 = 0.92;
/// Pause of a batch item that found no place, in milliseconds.
const BATCH_PAUSE_MS: u64 = 120;
/// Longest pause that a refused caller is told, in milliseconds.
const MAX_PAUSE_MS: f64 = 5_000.0;
/// Shortest pause that a refused caller is told, in milliseconds.
const MIN_PAUSE_MS: f64 = 50.0;

/// An upstream that a place may be at.
#[derive(Debug, Clone, PartialEq)]
pub struct DeskUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it runs in the data centre of the instance that asks.
    pub near: bool,
}

#[derive(Debug)]
struct MemberCounts {
    sequence: u64,
    heard_ms: u64,
    counts: InFlightCounts,
}

#[derive(Debug)]
struct Grant {
    member: String,
    question: u64,
    upstream: UpstreamId,
    batch: bool,
    until_ms: u64,
}

/// Load of one upstream.
#[derive(Debug, Clone, Copy)]
struct DeskLoad {
    slots: u32,
    online: u32,
    batch: u32,
    service_ms: f64,
}

impl DeskLoad {
    fn total(self) -> u32 {
        self.online + self.batch
    }

    fn occupancy(self) -> f64 {
        f64::from(self.total()) / f64::from(self.slots.max(1))
    }

    /// Time until a place falls free for one more request, in milliseconds.
    fn wait_ms(self) -> f64 {
        let waiting = (self.total() + 1).saturating_sub(self.slots);
        f64::from(waiting) * self.service_ms / f64::from(self.slots.max(1))
    }

    /// Share of its places that one more request takes, weighted by how long it takes there.
    fn cost(self) -> f64 {
        f64::from(self.total() + 1) / f64::from(self.slots.max(1)) * self.service_ms
    }
}

/// What an instance should do about its batch items.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GiveWayOrder {
    /// The instance's member name.
    pub member: String,
    /// Where one of its items gives way.
    pub upstream: UpstreamId,
}

/// Hands out places.
#[derive(Debug, Default)]
pub struct PlaceDesk {
    members: HashMap<String, MemberCounts>,
    grants: Vec<Grant>,
    service_ms: HashMap<UpstreamId, f64>,
}

impl PlaceDesk {
    /// A desk that knows of no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what an instance has in flight.
    pub fn note_counts(
        &mut self,
        member: String,
        sequence: u64,
        counts: InFlightCounts,
        now_ms: u64,
    ) {
        let known = self.members.get(&member).map_or(0, |known| known.sequence);
        if sequence < known {
            return;
        }
        for count in counts.rows.iter().filter(|count| count.service_ms > 0) {
            let sample = f64::from(count.service_ms);
            let known = self.service_ms.get(&count.upstream).copied();
            let average = moving_average(known, sample, SAMPLE_WEIGHT);
            self.service_ms.insert(count.upstream.clone(), average);
        }
        self.grants
            .retain(|grant| grant.member != member || !counts.covers(grant.question));
        let counts = MemberCounts {
            sequence,
            heard_ms: now_ms,
            counts,
        };
        self.members.insert(member, counts);
    }

    /// Answers a question. An online request that finds every place taken gets one at which a
    /// batch item gives way, if there is any.
    pub fn ask(
        &mut self,
        upstreams: &[DeskUpstream],
        question: &PlacementRequest,
        now_ms: u64,
        rng: DecisionRng<'_>,
    ) -> (PlacementReply, Option<GiveWayOrder>) {
        self.expire(now_ms);
        let loads = self.loads(upstreams);
        let (placed, order) = match question.demand {
            PlacementDemand::Batch => (place_batch(&loads), None),
            PlacementDemand::Online { objective_ms } => {
                self.place_online(upstreams, &loads, objective_ms, rng)
            }
        };
        let reply = match placed {
            Placed::At(index) => self.grant(&upstreams[index], loads[index], question, now_ms),
            Placed::Refused { retry_after_ms } => PlacementReply::Refused { retry_after_ms },
            Placed::NoUpstream => PlacementReply::NoUpstream,
        };
        (reply, order)
    }

    fn expire(&mut self, now_ms: u64) {
        self.grants.retain(|grant| grant.until_ms > now_ms);
        self.members
            .retain(|_, member| member.heard_ms + SILENT_MS > now_ms);
    }

    /// The loads of the upstreams, in their order.
    fn loads(&self, upstreams: &[DeskUpstream]) -> Vec<DeskLoad> {
        let known = upstreams
            .iter()
            .filter_map(|row| self.service_ms.get(&row.upstream));
        let (sum, count) = known.fold((0.0, 0), |(sum, count), ms| (sum + ms, count + 1));
        let mean_ms = match count {
            0 => DEFAULT_SERVICE_MS,
            _ => sum / f64::from(count),
        };
        let mut counted: HashMap<&UpstreamId, (u32, u32)> = HashMap::new();
        for count in self.members.values().flat_map(|member| &member.counts.rows) {
            let (online, batch) = counted.entry(&count.upstream).or_default();
            *online += count.online;
            *batch += count.batch;
        }
        for grant in &self.grants {
            let (online, batch) = counted.entry(&grant.upstream).or_default();
            *online += u32::from(!grant.batch);
            *batch += u32::from(grant.batch);
        }
        let load = |row: &DeskUpstream| {
            let (online, batch) = counted.get(&row.upstream).copied().unwrap_or_default();
            DeskLoad {
                slots: row.slots,
                online,
                batch,
                service_ms: self
                    .service_ms
                    .get(&row.upstream)
                    .copied()
                    .unwrap_or(mean_ms),
            }
        };
        upstreams.iter().map(load).collect()
    }

    fn grant(
        &mut self,
        row: &DeskUpstream,
        load: DeskLoad,
        question: &PlacementRequest,
        now_ms: u64,
    ) -> PlacementReply {
        self.grants.push(Grant {
            member: question.member.clone(),
            question: question.number,
            upstream: row.upstream.clone(),
            batch: question.demand == PlacementDemand::Batch,
            until_ms: now_ms + GRANT_MS,
        });
        PlacementReply::Granted {
            upstream: row.upstream.clone(),
            load: f64::from(load.total()),
        }
    }

    fn place_online(
        &mut self,
        upstreams: &[DeskUpstream],
        loads: &[DeskLoad],
        objective_ms: u64,
        rng: DecisionRng<'_>,
    ) -> (Placed, Option<GiveWayOrder>) {
        let order = |a: &usize, b: &usize| {
            online_order((&upstreams[*a], loads[*a]), (&upstreams[*b], loads[*b]))
        };
        let Some(best) = (0..loads.len()).min_by(order) else {
            return (Placed::NoUpstream, None);
        };
        if loads[best].total() < loads[best].slots {
            return (Placed::At(best), None);
        }
        let with_batch = (0..loads.len()).filter(|index| loads[*index].batch > 0);
        if let Some(index) = with_batch.min_by_key(|index| loads[*index].online) {
            return (Placed::At(index), self.give_way(&upstreams[index].upstream));
        }
        let wait_ms = loads[best].wait_ms();
        match wait_ms <= objective_ms as f64 {
            true => (Placed::At(best), None),
            false => (refuse(wait_ms, objective_ms, rng), None),
        }
    }

    /// Names the instance with the most batch items at an upstream. One of them is counted as
    /// gone at once, so that the next request takes another item's place.
    fn give_way(&mut self, upstream: &UpstreamId) -> Option<GiveWayOrder> {
        let holders = self.members.iter_mut().filter_map(|(member, counts)| {
            let mut counts = counts.counts.rows.iter_mut();
            let count = counts.find(|count| count.upstream == *upstream && count.batch > 0)?;
            Some((member, count))
        });
        let (member, count) = holders.max_by_key(|(_, count)| count.batch)?;
        count.batch -= 1;
        Some(GiveWayOrder {
            member: member.clone(),
            upstream: upstream.clone(),
        })
    }
}

enum Placed {
    At(usize),
    Refused { retry_after_ms: u64 },
    NoUpstream,
}

/// The least loaded upstream, while online requests keep some room.
fn place_batch(loads: &[DeskLoad]) -> Placed {
    let slots: u32 = loads.iter().map(|load| load.slots).sum();
    let taken: u32 = loads.iter().map(|load| load.total()).sum();
    let occupancy = |index: &usize| loads[*index].occupancy();
    let least = (0..loads.len()).min_by(|a, b| occupancy(a).total_cmp(&occupancy(b)));
    let Some(least) = least else {
        return Placed::NoUpstream;
    };
    let room = f64::from(taken + 1) <= (f64::from(slots) * BATCH_FILL).max(1.0);
    match room && loads[least].total() < loads[least].slots {
        true => Placed::At(least),
        false => Placed::Refused {
            retry_after_ms: BATCH_PAUSE_MS,
        },
    }
}

/// Shortest wait first; then the most room for the speed; then the same data centre.
fn online_order(a: (&DeskUpstream, DeskLoad), b: (&DeskUpstream, DeskLoad)) -> Ordering {
    let by_wait = a.1.wait_ms().total_cmp(&b.1.wait_ms());
    let by_room = by_wait.then(a.1.cost().total_cmp(&b.1.cost()));
    by_room.then(b.0.near.cmp(&a.0.near))
}

/// Callers come back spread over the time in which enough places fall free.
fn refuse(wait_ms: f64, objective_ms: u64, rng: DecisionRng<'_>) -> Placed {
    let over = (wait_ms - objective_ms as f64 / 2.0).max(MIN_PAUSE_MS);
    let pause = over * rng.random_range(0.7..1.7);
    Placed::Refused {
        retry_after_ms: pause.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS) as u64,
    }
}
