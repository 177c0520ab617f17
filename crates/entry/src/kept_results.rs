//! Results of keyed requests, kept in memory by two instances: the first of the request's own
//! order, and the next of another data centre.

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
use amaranth_wire::record::KeptAnswer;
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};

/// Instances that keep a result.
const COPIES: usize = 2;
/// Instances that are asked for a result, so that one that left or joined since does not hide it.
const ASKED: usize = 3;
/// Longest wait for a keeper's answer.
const KEEPER_LIMIT: Duration = Duration::from_millis(500);
/// Largest message that is taken.
const MESSAGE_LIMITS: BodyLimits = BodyLimits {
    bytes: 8 << 20,
    time: Duration::from_secs(2),
};

/// The results that this instance keeps, and its calls of other keepers.
pub struct ResultShelf {
    store: Mutex<ResultStore>,
    client: HttpClient,
}

/// What a claim for a request meets.
pub enum ClaimVerdict {
    /// Run it.
    Run,
    /// An instance runs it.
    Running,
    /// It has this answer.
    Done(KeptAnswer),
    /// The key was used for another request.
    Conflict,
}

impl Default for ResultShelf {
    fn default() -> Self {
        Self::new()
    }
}

impl ResultShelf {
    /// Nothing kept.
    pub fn new() -> Self {
        Self {
            store: Mutex::new(ResultStore::new()),
            client: HttpClient::new(KEEPER_LIMIT),
        }
    }

    /// Every answer that is kept, with its request's digest and how long it stays, in
    /// milliseconds.
    fn answers(&self) -> Vec<(RequestId, String, KeptAnswer, u64)> {
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

/// Handles a call of a peer.
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
            let dead = |by: &InstanceId| !live.contains(by) || gossip.is_gone(by, now_ms);
            match store.claim(id, &digest, &claimer, dead, now_ms + for_ms, now_ms) {
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

/// The live instances in a request's order, one of another data centre than the first second.
fn keepers(context: &InstanceContext, id: &RequestId) -> Vec<ListedInstance> {
    let mut live = context.members.all();
    let gossip = context.gossip.table();
    let now_ms = steady_ms();
    live.retain(|row| row.state == ListedState::Live && !gossip.is_gone(&row.instance, now_ms));
    drop(gossip);
    let order = rendezvous_order(id.as_str().as_bytes(), &live, |row| row.instance.as_str());
    let mut order: Vec<_> = order.into_iter().cloned().collect();
    let elsewhere = order
        .iter()
        .position(|row| row.data_centre != order[0].data_centre);
    if let Some(index) = elsewhere {
        order[1..=index].rotate_right(1);
    }
    order
}

/// Asks one keeper. `None` if it gave no answer.
async fn ask(
    context: &InstanceContext,
    keeper: &ListedInstance,
    id: &RequestId,
    call: ResultStoreCall,
) -> Option<ResultStoreReply> {
    if keeper.instance == context.config.instance {
        return Some(handle(context, id, call));
    }
    let address: SocketAddr = keeper.address.parse().ok()?;
    let body = rmp_serde::to_vec_named(&call).expect("messages always encode");
    let call = HttpCall::post(address, format!("{RESULT_STORE_PATH}/{id}")).with_body(body);
    let limits = CallLimits::new(KEEPER_LIMIT);
    let reply = context.results.client.fetch_message(call, limits).await;
    reply.ok()
}

/// Asks the keepers, one after the other, whether this instance may run a request.
pub async fn claim(
    context: &InstanceContext,
    id: &RequestId,
    digest: &str,
    for_ms: u64,
) -> ClaimVerdict {
    for keeper in keepers(context, id).iter().take(COPIES) {
        let call = ResultStoreCall::Claim {
            digest: digest.to_owned(),
            claimer: context.config.instance.clone(),
            for_ms,
        };
        match ask(context, keeper, id, call).await {
            Some(ResultStoreReply::Running(_)) => return ClaimVerdict::Running,
            Some(ResultStoreReply::Done(answer)) => return ClaimVerdict::Done(answer),
            Some(ResultStoreReply::Conflict) => return ClaimVerdict::Conflict,
            Some(ResultStoreReply::Taken | ResultStoreReply::Full | ResultStoreReply::Nothing)
            | None => {}
        }
    }
    ClaimVerdict::Run
}

/// Has an answer kept and returns by how many instances it is.
pub async fn keep(
    context: &InstanceContext,
    id: &RequestId,
    digest: &str,
    kept: &KeptAnswer,
    for_ms: u64,
) -> usize {
    let mut copies = 0;
    let mut order = keepers(context, id).into_iter();
    while copies < COPIES {
        let next: Vec<_> = order.by_ref().take(COPIES - copies).collect();
        if next.is_empty() {
            break;
        }
        let asked = next.iter().map(|keeper| {
            let call = ResultStoreCall::Keep {
                digest: digest.to_owned(),
                answer: kept.clone(),
                for_ms,
            };
            ask(context, keeper, id, call)
        });
        let replies = futures_util::future::join_all(asked).await;
        let taken = replies.iter().flatten();
        copies += taken
            .filter(|reply| **reply == ResultStoreReply::Taken)
            .count();
    }
    copies
}

/// Drops this instance's claims for a request.
pub async fn release(context: &InstanceContext, id: &RequestId) {
    for keeper in keepers(context, id).iter().take(COPIES) {
        let claimer = context.config.instance.clone();
        ask(context, keeper, id, ResultStoreCall::Release { claimer }).await;
    }
}

/// The answer that is kept for a request.
pub async fn show(context: &InstanceContext, id: &RequestId) -> Option<KeptAnswer> {
    for keeper in keepers(context, id).iter().take(ASKED) {
        if let Some(ResultStoreReply::Done(answer)) =
            ask(context, keeper, id, ResultStoreCall::Show).await
        {
            return Some(answer);
        }
    }
    None
}

/// Gives the results that this instance keeps to those that keep them without it. Returns how
/// many were not taken by any.
pub async fn hand_over(context: &InstanceContext) -> usize {
    let mut left = 0;
    for (id, digest, kept, for_ms) in context.results.answers() {
        left += usize::from(keep(context, &id, &digest, &kept, for_ms).await == 0);
    }
    left
}
