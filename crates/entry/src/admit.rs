//! Admits online requests to an upstream, at once where there is room, else in their turn.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use amaranth_kernel::admission_queue::{
    AdmissionQueue, DequeueOutcome, EnqueueOutcome, QueueRefusal, QueueTicket,
};
use amaranth_net::clock::steady_ms;
use amaranth_settings::fleet::FleetSettings;
use amaranth_settings::tier::TierSettings;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{TeamId, TierId};
use tokio::sync::oneshot;

use crate::accept::OnlineRequest;
use crate::context::{InstanceContext, Result};
use crate::upstream_table::{InFlightGuard, PickResult, PickRules, UpstreamTable};

type Verdict = std::result::Result<InFlightGuard, QueueRefusal>;

/// The queues of all tiers, each under its own lock.
pub struct AdmissionDesk {
    tiers: HashMap<TierId, TierDesk>,
}

struct TierDesk {
    group: String,
    line: Mutex<TierLine>,
}

/// The queue of one tier, and who waits in it.
struct TierLine {
    queue: AdmissionQueue,
    waiting: HashMap<QueueTicket, WaitingCaller>,
}

struct WaitingCaller {
    prefix: Option<u64>,
    verdict: oneshot::Sender<Verdict>,
}

impl AdmissionDesk {
    /// Empty queues for all tiers.
    pub fn new(fleet: &FleetSettings) -> Self {
        let desk = |tier: &TierSettings| {
            let line = TierLine {
                queue: AdmissionQueue::new(tier.queue_limit as usize),
                waiting: HashMap::new(),
            };
            let desk = TierDesk {
                group: tier.upstreams.clone(),
                line: Mutex::new(line),
            };
            (tier.name.clone(), desk)
        };
        Self {
            tiers: fleet.tiers.iter().map(desk).collect(),
        }
    }

    /// Requests that wait in a tier's queue.
    pub fn waiting(&self, tier: &TierId) -> usize {
        self.tiers
            .get(tier)
            .map_or(0, |desk| desk.line().queue.len())
    }

    /// Notes how long an answered request took from its first attempt.
    pub fn note_service(&self, tier: &TierId, took_ms: u64) {
        if let Some(desk) = self.tiers.get(tier) {
            desk.line().queue.record_service_time(took_ms);
        }
    }

    /// How long an answer of a tier usually takes from its first attempt.
    pub fn usual_service(&self, tier: &TierId) -> Option<Duration> {
        let service_ms = self.tiers.get(tier)?.line().queue.mean_service_ms();
        service_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Sends waiting requests for as long as there is room.
    fn pump(&self, upstreams: &UpstreamTable) {
        for desk in self.tiers.values() {
            while desk.line().send_next(&desk.group, upstreams) {}
        }
    }
}

impl TierDesk {
    fn line(&self) -> MutexGuard<'_, TierLine> {
        self.line.lock().expect("not poisoned")
    }
}

impl TierLine {
    /// Sends or refuses the request whose turn it is. False if nothing can be done now.
    fn send_next(&mut self, group: &str, upstreams: &UpstreamTable) -> bool {
        let Some(head) = self.queue.peek() else {
            return false;
        };
        let prefix = self.waiting.get(&head).and_then(|caller| caller.prefix);
        let PickResult::Picked(guard) = pick(group, upstreams, prefix) else {
            return false;
        };
        match self.queue.dequeue(steady_ms()) {
            None => return false,
            Some(DequeueOutcome::Send(ticket)) => self.tell(ticket, Ok(guard)),
            Some(DequeueOutcome::Refuse(ticket, refusal)) => self.tell(ticket, Err(refusal)),
        }
        true
    }

    fn tell(&mut self, ticket: QueueTicket, verdict: Verdict) {
        if let Some(caller) = self.waiting.remove(&ticket) {
            // A caller that has gone drops the guard with its end of the channel.
            let _ = caller.verdict.send(verdict);
        }
    }
}

fn pick(group: &str, upstreams: &UpstreamTable, prefix: Option<u64>) -> PickResult {
    let rules = PickRules {
        prefix,
        with_room: true,
        ..PickRules::default()
    };
    upstreams.pick_by(group, rules)
}

/// Takes a request out of its queue when its caller goes.
struct QueuePlace<'a> {
    desk: &'a TierDesk,
    ticket: QueueTicket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut line = self.desk.line();
        if line.waiting.remove(&self.ticket).is_some() {
            line.queue.remove(self.ticket);
        }
    }
}

/// Sends waiting requests whenever there is room, until the instance ends.
pub async fn run(context: Arc<InstanceContext>) {
    loop {
        tokio::select! {
            () = context.upstreams.room_changed() => {}
            () = context.stop.cancelled() => return,
        }
        context.admission.pump(&context.upstreams);
    }
}

/// Waits for room at an upstream. A refused request was not run.
pub async fn admit(context: &InstanceContext, request: &OnlineRequest) -> Result<InFlightGuard> {
    let tier = &request.tier;
    let desk = context.admission.tiers.get(&tier.name);
    let desk = desk.ok_or_else(|| CallError::new(ErrorKind::UnknownTarget, "no such tier"))?;
    let (place, verdict) = match arrive(context, request, desk)? {
        Arrival::Sent(guard) => return Ok(guard),
        Arrival::Waits(place, verdict) => (place, verdict),
    };
    let left = request.deadline_ms.saturating_sub(steady_ms());
    let left = Duration::from_millis(left);
    let told = tokio::time::timeout(left, verdict).await;
    drop(place);
    match told {
        Ok(Ok(Ok(guard))) => Ok(guard),
        Ok(Ok(Err(refusal))) => Err(refused(refusal)),
        Ok(Err(_)) => Err(CallError::new(ErrorKind::Internal, "the queue ended")),
        Err(_) => {
            let refusal = desk.line().queue.refusal(ErrorKind::DeadlineExceeded);
            Err(refused(refusal))
        }
    }
}

/// Sets the length of a tier's queue by the configuration in force.
fn apply_limit(context: &InstanceContext, tier: &TierSettings, queue: &mut AdmissionQueue) {
    let name = format!("tier.{}.queue_limit", tier.name);
    let set = context.state.config().number(&name);
    queue.set_limit(set.unwrap_or(u64::from(tier.queue_limit)) as usize);
}

/// Sets the share of a waiting team by the configuration in force.
fn apply_share(context: &InstanceContext, team: &TeamId, queue: &mut AdmissionQueue) {
    let set = context
        .state
        .config()
        .number(&format!("team.{team}.queue_share"));
    queue.set_share(team, set.unwrap_or(1) as u32);
}

enum Arrival<'a> {
    Sent(InFlightGuard),
    Waits(QueuePlace<'a>, oneshot::Receiver<Verdict>),
}

fn arrive<'a>(
    context: &InstanceContext,
    request: &OnlineRequest,
    desk: &'a TierDesk,
) -> Result<Arrival<'a>> {
    let now_ms = steady_ms();
    let mut line = desk.line();
    if line.queue.is_empty() {
        if !line.queue.can_meet_deadline(request.deadline_ms, now_ms) {
            let refusal = line.queue.refusal(ErrorKind::DeadlineExceeded);
            return Err(refused(refusal));
        }
        match pick(&desk.group, &context.upstreams, request.prefix) {
            PickResult::Picked(guard) => return Ok(Arrival::Sent(guard)),
            PickResult::Full => {}
            PickResult::Unavailable => {
                let message = format!("no upstream of {} is available", desk.group);
                return Err(CallError::new(ErrorKind::NoUpstream, message));
            }
        }
    }
    apply_limit(context, &request.tier, &mut line.queue);
    let step = line
        .queue
        .enqueue(&request.team, request.deadline_ms, now_ms);
    apply_share(context, &request.team, &mut line.queue);
    let ticket = match step {
        EnqueueOutcome::Refuse(refusal) => return Err(refused(refusal)),
        EnqueueOutcome::Wait(ticket) => ticket,
        EnqueueOutcome::Displace { waiting, displaced } => {
            let refusal = line.queue.refusal(ErrorKind::Overloaded);
            line.tell(displaced, Err(refusal));
            waiting
        }
    };
    let (verdict, receiver) = oneshot::channel();
    let caller = WaitingCaller {
        prefix: request.prefix,
        verdict,
    };
    line.waiting.insert(ticket, caller);
    drop(line);
    Ok(Arrival::Waits(QueuePlace { desk, ticket }, receiver))
}

fn refused(refusal: QueueRefusal) -> CallError {
    let message = match refusal.kind {
        ErrorKind::DeadlineExceeded => "the deadline can't be met",
        _ => "the tier's queue is full",
    };
    CallError::new(refusal.kind, message).with_retry_after_ms(refusal.retry_after_ms)
}
