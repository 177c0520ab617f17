//! One call of an upstream for a batch item, within the batch places of this instance.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_net::answer::JSON;
use amaranth_net::client::{CallLimits, HttpCall, HttpClient, HttpError};
use amaranth_net::telemetry::quote;
use amaranth_wire::engine::{STREAM_ID_HEADER, STREAMS_PATH};
use amaranth_wire::id::{TierId, UpstreamId};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue};

use crate::context::InstanceContext;
use crate::upstream_state::BatchItemGuard;

/// Longest wait for the answer to one item.
const ITEM_LIMIT: Duration = Duration::from_secs(60);
/// Longest wait for the answer to a cancel.
const CANCEL_LIMIT: CallLimits = CallLimits::new(Duration::from_secs(1));
/// First status that is a fault of the upstream and not of the item.
const FIRST_FAULT_STATUS: u16 = 500;
/// Statuses with which an upstream refuses without running anything.
const REFUSED: [u16; 2] = [429, 503];

static STREAM_COUNTER: AtomicU64 = AtomicU64::new(0);

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// With an answer that is the item's result.
    Answered(u16, Vec<u8>),
    /// It was cancelled for online work; this was not an attempt.
    Preempted,
    /// It was not started, since it may not be any more.
    Unwanted,
    /// It did not run, for no fault of the item's; this was not an attempt.
    NotRun,
    /// It may have run, and there is no answer.
    Failed,
}

/// Ends the stream at the engine when dropped before its answer was there.
struct RunningStream<'a> {
    client: &'a HttpClient,
    address: SocketAddr,
    name: String,
    done: bool,
}

impl Drop for RunningStream<'_> {
    fn drop(&mut self) {
        if self.done {
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

/// Runs an item at an upstream of its tier as soon as there is a place, if it may start then.
/// Upstreams that fail are added to those to avoid.
pub async fn call(
    context: &InstanceContext,
    tier: &TierId,
    body: &[u8],
    avoid: &mut Vec<UpstreamId>,
    may_start: impl Fn() -> bool,
) -> CallEnd {
    let Some(tier) = context.config.fleet.tier(tier) else {
        return CallEnd::Failed;
    };
    let group = &tier.upstreams;
    let lease = context.slots.take(group, avoid).await;
    // The wait for a place may have been longer than the lease on the job's shard.
    if !may_start() {
        return CallEnd::Unwanted;
    }
    let mut states = context.upstreams.group(group).iter();
    let Some(state) = states.find(|state| state.upstream == *lease.upstream()) else {
        return CallEnd::NotRun;
    };
    let mut stream = RunningStream {
        client: &state.client,
        address: state.address,
        name: stream_name(context),
        done: false,
    };
    let _mark = BatchItemGuard::new(state.clone());
    let call = HttpCall::post(state.address, "/v1/chat/completions")
        .with_headers(headers(&stream.name))
        .with_body(body.to_vec());
    let answer = tokio::select! {
        answer = state.client.fetch(call, CallLimits::new(ITEM_LIMIT)) => answer,
        () = lease.preempt.cancelled() => {
            metrics::counter!("amaranth_batch_preempted_total").increment(1);
            return CallEnd::Preempted;
        }
    };
    stream.done = answer.is_ok();
    let broken = answer.is_err();
    let end = judge(answer);
    if broken || end == CallEnd::Failed {
        state.record_failure();
        avoid.push(lease.upstream().clone());
    }
    end
}

fn judge(answer: Result<(u16, bytes::Bytes), HttpError>) -> CallEnd {
    match answer {
        Ok((status, _)) if REFUSED.contains(&status) => CallEnd::NotRun,
        Ok((status, _)) if status >= FIRST_FAULT_STATUS => CallEnd::Failed,
        Ok((status, body)) => CallEnd::Answered(status, body.to_vec()),
        Err(e) if e.is_unsent() => CallEnd::NotRun,
        Err(e) => {
            log::debug!("event=item_call_failed error={}", quote(&e.to_string()));
            CallEnd::Failed
        }
    }
}

fn stream_name(context: &InstanceContext) -> String {
    let count = STREAM_COUNTER.fetch_add(1, Ordering::Relaxed);
    format!("batch-{}-{count}", context.config.writer)
}

fn headers(stream: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(JSON));
    let stream = HeaderValue::from_str(stream).expect("a plain name");
    headers.insert(STREAM_ID_HEADER, stream);
    headers
}
