//! Admission control for online requests: sends them to an upstream with room, else queues them.

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

type AdmissionResult = std::result::Result<InFlightGuard, QueueRefusal>;

/// The admission queues of all tiers, each under its own lock.
pub struct AdmissionQueues {
    tiers: HashMap<TierId, TierQueue>,
}

struct TierQueue {
    group: String,
    queue_state: Mutex<QueueState>,
}

/// The queue of one tier and the callers that wait in it.
struct QueueState {
    queue: AdmissionQueue,
    waiting: HashMap<QueueTicket, WaitingCaller>,
}

struct WaitingCaller {
    prefix: Option<u64>,
    result: oneshot::Sender<AdmissionResult>,
}

impl AdmissionQueues {
    /// Creates an empty queue for each tier.
    pub fn new(fleet: &FleetSettings) -> Self {
        let tier_queue = |tier: &TierSettings| {
            let queue_state = QueueState {
                queue: AdmissionQueue::new(tier.queue_limit as usize),
                waiting: HashMap::new(),
            };
            let tier_queue = TierQueue {
                group: tier.upstreams.clone(),
                queue_state: Mutex::new(queue_state),
            };
            (tier.name.clone(), tier_queue)
        };
        Self {
            tiers: fleet.tiers.iter().map(tier_queue).collect(),
        }
    }

    /// Number of requests in a tier's queue.
    pub fn waiting(&self, tier: &TierId) -> usize {
        self.tiers
            .get(tier)
            .map_or(0, |tier_queue| tier_queue.queue_state().queue.len())
    }

    /// Records how long an answered request took from its first attempt.
    pub fn record_service_time(&self, tier: &TierId, took_ms: u64) {
        if let Some(tier_queue) = self.tiers.get(tier) {
            tier_queue.queue_state().queue.record_service_time(took_ms);
        }
    }

    /// Mean time from the first attempt to the answer, `None` without samples.
    pub fn mean_service_time(&self, tier: &TierId) -> Option<Duration> {
        let service_ms = self.tiers.get(tier)?.queue_state().queue.mean_service_ms();
        service_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Dispatches queued requests until no upstream has room.
    fn dispatch_waiting(&self, upstreams: &UpstreamTable) {
        for tier_queue in self.tiers.values() {
            while tier_queue
                .queue_state()
                .dispatch_next(&tier_queue.group, upstreams)
            {}
        }
    }
}

impl TierQueue {
    fn queue_state(&self) -> MutexGuard<'_, QueueState> {
        self.queue_state.lock().expect("not poisoned")
    }
}

impl QueueState {
    /// Sends or refuses the next request. False if the queue is empty or no upstream has room.
    fn dispatch_next(&mut self, group: &str, upstreams: &UpstreamTable) -> bool {
        let Some(head) = self.queue.peek() else {
            return false;
        };
        let prefix = self.waiting.get(&head).and_then(|caller| caller.prefix);
        let PickResult::Picked(guard) = pick_with_room(group, upstreams, prefix) else {
            return false;
        };
        match self.queue.dequeue(steady_ms()) {
            None => return false,
            Some(DequeueOutcome::Send(ticket)) => self.notify(ticket, Ok(guard)),
            Some(DequeueOutcome::Refuse(ticket, refusal)) => self.notify(ticket, Err(refusal)),
        }
        true
    }

    fn notify(&mut self, ticket: QueueTicket, result: AdmissionResult) {
        if let Some(caller) = self.waiting.remove(&ticket) {
            // If the caller has disconnected, the guard is dropped with the message.
            let _ = caller.result.send(result);
        }
    }
}

fn pick_with_room(group: &str, upstreams: &UpstreamTable, prefix: Option<u64>) -> PickResult {
    let rules = PickRules {
        prefix,
        with_room: true,
        ..PickRules::default()
    };
    upstreams.pick_by(group, rules)
}

/// Removes a request from its queue on drop, such as when its caller disconnects.
struct QueueGuard<'a> {
    tier_queue: &'a TierQueue,
    ticket: QueueTicket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut queue_state = self.tier_queue.queue_state();
        if queue_state.waiting.remove(&self.ticket).is_some() {
            queue_state.queue.remove(self.ticket);
        }
    }
}

/// Dispatches queued requests whenever room may have become free, until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    loop {
        tokio::select! {
            () = context.upstreams.wait_for_room() => {}
            () = context.stop.cancelled() => return,
        }
        context.admission.dispatch_waiting(&context.upstreams);
    }
}

/// Waits for room at an upstream. A refused request was not run.
pub async fn admit(context: &InstanceContext, request: &OnlineRequest) -> Result<InFlightGuard> {
    let tier = &request.tier;
    let tier_queue = context.admission.tiers.get(&tier.name);
    let tier_queue =
        tier_queue.ok_or_else(|| CallError::new(ErrorKind::UnknownTarget, "no such tier"))?;
    let (queue_guard, result) = match admit_or_enqueue(context, request, tier_queue)? {
        AdmissionStart::Admitted(guard) => return Ok(guard),
        AdmissionStart::Queued(queue_guard, result) => (queue_guard, result),
    };
    let remaining = request.deadline_ms.saturating_sub(steady_ms());
    let remaining = Duration::from_millis(remaining);
    let reply = tokio::time::timeout(remaining, result).await;
    drop(queue_guard);
    match reply {
        Ok(Ok(Ok(guard))) => Ok(guard),
        Ok(Ok(Err(refusal))) => Err(refusal_error(refusal)),
        Ok(Err(_)) => Err(CallError::new(ErrorKind::Internal, "the queue ended")),
        Err(_) => {
            let refusal = tier_queue
                .queue_state()
                .queue
                .refusal(ErrorKind::DeadlineExceeded);
            Err(refusal_error(refusal))
        }
    }
}

/// Sets the queue limit of a tier from the current configuration.
fn apply_queue_limit(context: &InstanceContext, tier: &TierSettings, queue: &mut AdmissionQueue) {
    let name = format!("tier.{}.queue_limit", tier.name);
    let set = context.state.config().number(&name);
    queue.set_limit(set.unwrap_or(u64::from(tier.queue_limit)) as usize);
}

/// Sets the queue share of a team from the current configuration.
fn apply_queue_share(context: &InstanceContext, team: &TeamId, queue: &mut AdmissionQueue) {
    let set = context
        .state
        .config()
        .number(&format!("team.{team}.queue_share"));
    queue.set_share(team, set.unwrap_or(1) as u32);
}

enum AdmissionStart<'a> {
    Admitted(InFlightGuard),
    Queued(QueueGuard<'a>, oneshot::Receiver<AdmissionResult>),
}

fn admit_or_enqueue<'a>(
    context: &InstanceContext,
    request: &OnlineRequest,
    tier_queue: &'a TierQueue,
) -> Result<AdmissionStart<'a>> {
    let now_ms = steady_ms();
    let mut queue_state = tier_queue.queue_state();
    if queue_state.queue.is_empty() {
        if !queue_state
            .queue
            .can_meet_deadline(request.deadline_ms, now_ms)
        {
            let refusal = queue_state.queue.refusal(ErrorKind::DeadlineExceeded);
            return Err(refusal_error(refusal));
        }
        match pick_with_room(&tier_queue.group, &context.upstreams, request.prefix) {
            PickResult::Picked(guard) => return Ok(AdmissionStart::Admitted(guard)),
            PickResult::Full => {}
            PickResult::Unavailable => {
                let message = format!("no upstream of {} is available", tier_queue.group);
                return Err(CallError::new(ErrorKind::NoUpstream, message));
            }
        }
    }
    apply_queue_limit(context, &request.tier, &mut queue_state.queue);
    let outcome = queue_state
        .queue
        .enqueue(&request.team, request.deadline_ms, now_ms);
    apply_queue_share(context, &request.team, &mut queue_state.queue);
    let ticket = match outcome {
        EnqueueOutcome::Refuse(refusal) => return Err(refusal_error(refusal)),
        EnqueueOutcome::Wait(ticket) => ticket,
        EnqueueOutcome::Displace { waiting, displaced } => {
            let refusal = queue_state.queue.refusal(ErrorKind::Overloaded);
            queue_state.notify(displaced, Err(refusal));
            waiting
        }
    };
    let (result, receiver) = oneshot::channel();
    let caller = WaitingCaller {
        prefix: request.prefix,
        result,
    };
    queue_state.waiting.insert(ticket, caller);
    drop(queue_state);
    Ok(AdmissionStart::Queued(
        QueueGuard { tier_queue, ticket },
        receiver,
    ))
}

fn refusal_error(refusal: QueueRefusal) -> CallError {
    let message = match refusal.kind {
        ErrorKind::DeadlineExceeded => "the deadline can't be met",
        _ => "the tier's queue is full",
    };
    CallError::new(refusal.kind, message).with_retry_after_ms(refusal.retry_after_ms)
}
