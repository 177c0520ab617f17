//! Results of keyed requests, replicated in the memory of two instances: the first in the
//! request's rendezvous order, and the next one of another data centre.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_kernel::result_store::{ClaimOutcome, ResultState, ResultStore, StoredResult};
use amaranth_net::answer;
use amaranth_net::body::{BodyLimits, read_all};
use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_net::clock::steady_ms;
use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{InstanceId, RequestId};
use amaranth_wire::message::{RESULT_STORE_PATH, ResultStoreCall, ResultStoreReply};
use amaranth_wire::platform::{ListedInstance, ListedState};
use amaranth_wire::record::StoredAnswer;
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};

/// Number of instances that store a result.
const REPLICA_COUNT: usize = 2;
/// Number of instances that a look-up asks: one more than store it, so that an instance that left
/// or joined since does not hide the result.
const LOOKUP_COUNT: usize = 3;
/// Timeout for a call to a replica.
const REPLICA_CALL_LIMIT: Duration = Duration::from_millis(500);
/// Limits on a message from a peer.
const MESSAGE_LIMITS: BodyLimits = BodyLimits {
    bytes: 8 << 20,
    time: Duration::from_secs(2),
};

/// The results that this instance stores, and the client for calls to other replicas.
pub struct ReplicatedResults {
    store: Mutex<ResultStore>,
    client: HttpClient,
}

/// The result of claiming a request.
pub enum ClaimResult {
    /// This instance may run it.
    Run,
    /// An instance is already running it.
    Running,
    /// It has already been answered.
    Done(StoredAnswer),
    /// The key was used for another request.
    Conflict,
}

impl Default for ReplicatedResults {
    fn default() -> Self {
        Self::new()
    }
}

impl ReplicatedResults {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            store: Mutex::new(ResultStore::new()),
            client: HttpClient::new(REPLICA_CALL_LIMIT),
        }
    }

    /// Every stored answer, with its request's digest and its remaining retention in
    /// milliseconds.
    fn answers(&self) -> Vec<(RequestId, String, StoredAnswer, u64)> {
        let now_ms = steady_ms();
        let store = self.store();
        let answers = store.entries().filter_map(|(id, entry)| {
            let ResultState::Done(answer) = &entry.state else {
                return None;
            };
            let for_ms = entry.until_ms.saturating_sub(now_ms);
            Some((id.clone(), entry.digest.clone(), answer.clone(), for_ms))
        });
        answers.collect()
    }

    fn store(&self) -> MutexGuard<'_, ResultStore> {
        self.store.lock().expect("not poisoned")
    }
}

/// Handles a result store call of a peer.
pub async fn serve(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let invalid = |e: String| CallError::new(ErrorKind::InvalidRequest, e);
    let id = request.param(0).parse::<RequestId>();
    let id = id.map_err(|e| invalid(e.to_string()))?;
    let body = read_all(request.into_body(), MESSAGE_LIMITS).await?;
    let call = rmp_serde::from_slice(&body).map_err(|e| invalid(e.to_string()))?;
    Ok(answer::message_pack(&handle(&context, &id, call)))
}

fn handle(context: &InstanceContext, id: &RequestId, call: ResultStoreCall) -> ResultStoreReply {
    let now_ms = steady_ms();
    let mut store = context.results.store();
    match call {
        ResultStoreCall::Claim {
            digest,
            claimer,
            for_ms,
        } => {
            let live = context.members.live();
            let gossip = context.gossip.table();
            let is_dead = |by: &InstanceId| !live.contains(by) || gossip.is_gone(by, now_ms);
            match store.claim(id, &digest, &claimer, is_dead, now_ms + for_ms, now_ms) {
                ClaimOutcome::Claimed => ResultStoreReply::Taken,
                ClaimOutcome::Running(by) => ResultStoreReply::Running(by),
                ClaimOutcome::Done(answer) => ResultStoreReply::Done(answer),
                ClaimOutcome::Conflict => ResultStoreReply::Conflict,
                ClaimOutcome::Full => ResultStoreReply::Full,
            }
        }
        ResultStoreCall::Keep {
            digest,
            answer,
            for_ms,
        } => {
            let entry = StoredResult {
                digest,
                state: ResultState::Done(answer),
                until_ms: now_ms + for_ms,
            };
            match store.store_answer(id, entry, now_ms) {
                true => ResultStoreReply::Taken,
                false => ResultStoreReply::Full,
            }
        }
        ResultStoreCall::Release { claimer } => {
            store.release(id, &claimer);
            ResultStoreReply::Taken
        }
        ResultStoreCall::Show => match store.get(id, now_ms).map(|entry| entry.state.clone()) {
            None => ResultStoreReply::Nothing,
            Some(ResultState::Running(by)) => ResultStoreReply::Running(by),
            Some(ResultState::Done(answer)) => ResultStoreReply::Done(answer),
        },
    }
}

/// The live instances in rendezvous order for a request, except that the second is the first one
/// of another data centre.
fn replica_order(context: &InstanceContext, id: &RequestId) -> Vec<ListedInstance> {
    let mut live = context.members.all();
    let gossip = context.gossip.table();
    let now_ms = steady_ms();
    live.retain(|row| row.state == ListedState::Live && !gossip.is_gone(&row.instance, now_ms));
    drop(gossip);
    let order = rendezvous_order(id.as_str().as_bytes(), &live, |row| row.instance.as_str());
    let mut order: Vec<_> = order.into_iter().cloned().collect();
    let other_data_centre = order
        .iter()
        .position(|row| row.data_centre != order[0].data_centre);
    if let Some(index) = other_data_centre {
        order[1..=index].rotate_right(1);
    }
    order
}

/// Sends a call to one replica, or handles it locally. `None` if there is no valid reply.
async fn call_replica(
    context: &InstanceContext,
    replica: &ListedInstance,
    id: &RequestId,
    call: ResultStoreCall,
) -> Option<ResultStoreReply> {
    if replica.instance == context.config.instance {
        return Some(handle(context, id, call));
    }
    let address: SocketAddr = replica.address.parse().ok()?;
    let body = rmp_serde::to_vec_named(&call).expect("messages always encode");
    let call = HttpCall::post(address, format!("{RESULT_STORE_PATH}/{id}")).with_body(body);
    let limits = CallLimits::new(REPLICA_CALL_LIMIT);
    let reply = context.results.client.fetch_message(call, limits).await;
    reply.ok()
}

/// Claims a request at its replicas, one after the other. A replica that is full or does not
/// reply does not stop the request from running.
pub async fn claim(
    context: &InstanceContext,
    id: &RequestId,
    digest: &str,
    for_ms: u64,
) -> ClaimResult {
    for replica in replica_order(context, id).iter().take(REPLICA_COUNT) {
        let call = ResultStoreCall::Claim {
            digest: digest.to_owned(),
            claimer: context.config.instance.clone(),
            for_ms,
        };
        match call_replica(context, replica, id, call).await {
            Some(ResultStoreReply::Running(_)) => return ClaimResult::Running,
            Some(ResultStoreReply::Done(answer)) => return ClaimResult::Done(answer),
            Some(ResultStoreReply::Conflict) => return ClaimResult::Conflict,
            Some(ResultStoreReply::Taken | ResultStoreReply::Full | ResultStoreReply::Nothing)
            | None => {}
        }
    }
    ClaimResult::Run
}

/// Stores an answer at its replicas, falling back to the next instances in order. Returns the
/// number of copies.
pub async fn replicate(
    context: &InstanceContext,
    id: &RequestId,
    digest: &str,
    stored: &StoredAnswer,
    for_ms: u64,
) -> usize {
    let mut copies = 0;
    let mut order = replica_order(context, id).into_iter();
    while copies < REPLICA_COUNT {
        let next: Vec<_> = order.by_ref().take(REPLICA_COUNT - copies).collect();
        if next.is_empty() {
            break;
        }
        let calls = next.iter().map(|replica| {
            let call = ResultStoreCall::Keep {
                digest: digest.to_owned(),
                answer: stored.clone(),
                for_ms,
            };
            call_replica(context, replica, id, call)
        });
        let replies = futures_util::future::join_all(calls).await;
        let taken = replies.iter().flatten();
        copies += taken
            .filter(|reply| **reply == ResultStoreReply::Taken)
            .count();
    }
    copies
}

/// Releases this instance's claims on a request.
pub async fn release(context: &InstanceContext, id: &RequestId) {
    for replica in replica_order(context, id).iter().take(REPLICA_COUNT) {
        let claimer = context.config.instance.clone();
        call_replica(context, replica, id, ResultStoreCall::Release { claimer }).await;
    }
}

/// Looks up the stored answer to a request.
pub async fn look_up(context: &InstanceContext, id: &RequestId) -> Option<StoredAnswer> {
    for replica in replica_order(context, id).iter().take(LOOKUP_COUNT) {
        if let Some(ResultStoreReply::Done(answer)) =
            call_replica(context, replica, id, ResultStoreCall::Show).await
        {
            return Some(answer);
        }
    }
    None
}

/// Copies the results that this instance stores to the instances that are their replicas without
/// it. Returns how many were stored nowhere else.
pub async fn transfer_all(context: &InstanceContext) -> usize {
    let mut left = 0;
    for (id, digest, stored, for_ms) in context.results.answers() {
        left += usize::from(replicate(context, &id, &digest, &stored, for_ms).await == 0);
    }
    left
}
