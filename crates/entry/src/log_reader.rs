//! Reads the log directly or through a relay: two instances of each data centre read the log
//! itself, the others read from one of those two.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::log_source::{LogSource, choose_source};
use amaranth_net::answer;
use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_net::clock::steady_ms;
use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{InstanceId, LogOffset};
use serde::Deserialize;
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};
use crate::log_relay::RelayReply;

/// Path on which a relay is followed: `GET`, `from` in the query, [`RelayReply`].
pub const PEER_FOLLOW_PATH: &str = "/peer/log/follow";
/// How long a relay waits for new entries before it answers without any.
const FOLLOW_WAIT: Duration = Duration::from_secs(2);
/// Timeout of a read from a relay, beyond the time for which the relay waits for entries.
const FOLLOW_SLACK: Duration = Duration::from_secs(1);
/// Age of its last view of the head of the log from which a relay is stale, in milliseconds.
const STALE_MS: u64 = 6_000;
/// How long a relay that failed is not used, in milliseconds.
const FAILED_RELAY_MS: u64 = 30_000;

struct FailedRelay {
    relay: InstanceId,
    until_ms: u64,
}

/// Reads the log, through a relay where there is one.
pub struct LogReader {
    client: HttpClient,
    failed: Mutex<Vec<FailedRelay>>,
}

#[derive(Debug, Deserialize)]
struct FollowQuery {
    from: u64,
}

impl Default for LogReader {
    fn default() -> Self {
        Self {
            client: HttpClient::new(FOLLOW_SLACK),
            failed: Mutex::new(Vec::new()),
        }
    }
}

impl LogReader {
    /// Reads the entries from an offset on, waiting for the first for a limited time.
    pub async fn follow(&self, context: &InstanceContext, from: LogOffset) -> Result<RelayReply> {
        if let LogSource::Relay(relay) = self.source(context) {
            match self.follow_relay(context, &relay, from).await {
                Some(reply) => return Ok(reply),
                None => self.record_relay_failure(relay),
            }
        }
        metrics::counter!("amaranth_log_reads_total", "source" => "log").increment(1);
        let unavailable = |e| CallError::new(ErrorKind::LogUnavailable, format!("{e}"));
        let reply = context.log.follow(from).await.map_err(unavailable)?;
        Ok(RelayReply {
            head_age_ms: Some(0),
            reply,
        })
    }

    fn source(&self, context: &InstanceContext) -> LogSource {
        let now_ms = steady_ms();
        let mut failed = self.failed.lock().expect("not poisoned");
        failed.retain(|relay| now_ms < relay.until_ms);
        let failed: Vec<_> = failed.iter().map(|f| f.relay.clone()).collect();
        let config = &context.config;
        let mut live = context.gossip.live();
        if !live.contains(&config.instance) {
            live.push(config.instance.clone());
        }
        choose_source(&config.instance, &config.data_centre, &live, &failed)
    }

    async fn follow_relay(
        &self,
        context: &InstanceContext,
        relay: &InstanceId,
        from: LogOffset,
    ) -> Option<RelayReply> {
        metrics::counter!("amaranth_log_reads_total", "source" => "relay").increment(1);
        let address = context.members.address(relay)?;
        let call = HttpCall::get(address, format!("{PEER_FOLLOW_PATH}?from={from}"));
        let limits = CallLimits::new(FOLLOW_WAIT + FOLLOW_SLACK);
        self.client.fetch_message(call, limits).await.ok()
    }

    fn record_relay_failure(&self, relay: InstanceId) {
        log::info!("event=relay_failed relay={relay}");
        let until_ms = steady_ms() + FAILED_RELAY_MS;
        let mut failed = self.failed.lock().expect("not poisoned");
        failed.push(FailedRelay { relay, until_ms });
    }
}

/// Handles a follower's read. An error if this instance has not seen the head of the log recently
/// or no longer keeps the requested entry; the follower then reads the log itself.
pub async fn serve(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let query: FollowQuery = request.query()?;
    let from = LogOffset(query.from);
    context.state.wait_folded(from, FOLLOW_WAIT).await;
    let reply = context.relay.read(from);
    let is_fresh = reply.head_age_ms.is_some_and(|age| age < STALE_MS);
    let reaches = !reply.reply.entries.is_empty() || context.state.folded() <= from;
    if !is_fresh || !reaches {
        let message = "this instance cannot relay from there";
        return Err(CallError::new(ErrorKind::NotReady, message));
    }
    Ok(answer::message_pack(&reply))
}
