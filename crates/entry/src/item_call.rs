//! Sends one batch item to an upstream, within the batch slots of this instance.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_net::answer::JSON;
use amaranth_net::client::{CallLimits, HttpCall, HttpClient, HttpError};
use amaranth_net::telemetry::quote;
use amaranth_wire::engine::{SHARD_FENCE_HEADER, STREAM_ID_HEADER, STREAMS_PATH, ShardFence};
use amaranth_wire::id::{TierId, UpstreamId};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue};
use tokio::time::timeout;

use crate::context::InstanceContext;
use crate::upstream_state::BatchItemGuard;

/// Timeout of the call for one item.
const ITEM_LIMIT: Duration = Duration::from_secs(60);
/// Timeout of a cancel.
const CANCEL_LIMIT: CallLimits = CallLimits::new(Duration::from_secs(1));
/// Statuses from here on are failures of the upstream, not of the item.
const FIRST_FAILURE_STATUS: u16 = 500;
/// Statuses with which an upstream refuses a call without running it.
const REFUSED_STATUSES: [u16; 2] = [429, 503];

static STREAM_COUNTER: AtomicU64 = AtomicU64::new(0);

/// Outcome of a call for an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered with this status and body, which are the item's result.
    Answered(u16, Vec<u8>),
    /// Cancelled to make room for online work; does not count as an attempt.
    Preempted,
    /// Not sent: the lease was lost or the result is no longer needed.
    StartDenied,
    /// Did not run, for a reason unrelated to the item; does not count as an attempt.
    NotRun,
    /// The upstream failed; the item may have run.
    Failed,
}

/// Cancels the stream at the engine if dropped before the answer arrived.
struct RunningStream<'a> {
    client: &'a HttpClient,
    address: SocketAddr,
    name: String,
    finished: bool,
}

impl Drop for RunningStream<'_> {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let path = format!("{STREAMS_PATH}/{}/cancel", self.name);
        let call = HttpCall::post(self.address, path);
        let client = self.client.clone();
        tokio::spawn(async move {
            let _ = client.fetch(call, CANCEL_LIMIT).await;
        });
    }
}

/// An item as it is sent to upstreams.
#[derive(Debug, Clone, Copy)]
pub struct ItemMessage<'a> {
    /// Request body.
    pub body: &'a [u8],
    /// Lease under which it is sent. The owner may be paused after it checked the lease, so engines
    /// check it, too.
    pub fence: ShardFence,
}

/// Waits for a batch slot of the tier, then runs the item there if `may_start` still allows it.
/// Adds an upstream that fails to `avoid`.
pub async fn call(
    context: &InstanceContext,
    tier: &TierId,
    message: ItemMessage<'_>,
    avoid: &mut Vec<UpstreamId>,
    may_start: impl Fn() -> bool,
) -> CallOutcome {
    let Some(tier) = context.config.fleet.tier(tier) else {
        return CallOutcome::Failed;
    };
    let group = &tier.upstreams;
    let lease = context.slots.acquire(group, avoid).await;
    // The lease on the job's shard may have expired during the wait for a slot.
    if !may_start() {
        return CallOutcome::StartDenied;
    }
    let mut states = context.upstreams.group(group).iter();
    let Some(state) = states.find(|state| state.upstream == *lease.upstream()) else {
        return CallOutcome::NotRun;
    };
    let mut stream = RunningStream {
        client: &state.client,
        address: state.address,
        name: stream_name(context),
        finished: false,
    };
    let _mark = BatchItemGuard::new(state.clone());
    let call = HttpCall::post(state.address, "/v1/chat/completions")
        .with_headers(headers(&stream.name, message.fence))
        .with_body(message.body.to_vec());
    let answer = tokio::select! {
        answer = timeout(ITEM_LIMIT, state.client.fetch(call, CallLimits::new(ITEM_LIMIT))) => {
            answer.unwrap_or(Err(HttpError::TimedOut))
        }
        () = lease.preempt.cancelled() => {
            metrics::counter!("amaranth_batch_preempted_total").increment(1);
            return CallOutcome::Preempted;
        }
    };
    stream.finished = answer.is_ok();
    let broken = answer.is_err();
    let outcome = classify_answer(answer);
    if broken || outcome == CallOutcome::Failed {
        state.record_failure();
        avoid.push(lease.upstream().clone());
    }
    outcome
}

fn classify_answer(answer: Result<(u16, bytes::Bytes), HttpError>) -> CallOutcome {
    match answer {
        Ok((status, _)) if REFUSED_STATUSES.contains(&status) => CallOutcome::NotRun,
        Ok((status, _)) if status >= FIRST_FAILURE_STATUS => CallOutcome::Failed,
        Ok((status, body)) => CallOutcome::Answered(status, body.to_vec()),
        Err(e) if e.is_unsent() => CallOutcome::NotRun,
        Err(e) => {
            log::debug!("event=item_call_failed error={}", quote(&e.to_string()));
            CallOutcome::Failed
        }
    }
}

fn stream_name(context: &InstanceContext) -> String {
    let count = STREAM_COUNTER.fetch_add(1, Ordering::Relaxed);
    format!("batch-{}-{count}", context.config.writer)
}

fn headers(stream: &str, fence: ShardFence) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(JSON));
    let stream = HeaderValue::from_str(stream).expect("stream names are valid header values");
    headers.insert(STREAM_ID_HEADER, stream);
    let fence = HeaderValue::from_str(&fence.to_string());
    let fence = fence.expect("digits and a colon are a valid header value");
    headers.insert(SHARD_FENCE_HEADER, fence);
    headers
}
