//! Gossip with other instances: heartbeats of members and digests of data centres.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use amaranth_kernel::membership::{GossipTable, GossipTargets, HEARTBEAT_PERIOD_MS};
use amaranth_net::answer;
use amaranth_net::body::{BodyLimits, read_all};
use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_net::route::RouteRequest;
use amaranth_net::telemetry::quote;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::gossip::{GOSSIP_PATH, GossipMessage, MemberRow};
use amaranth_wire::id::{ConfigRevision, DataCentreId, InstanceId, LogOffset};
use tokio::time::sleep;
use volo_http::response::Response;

use crate::config::EntryConfig;
use crate::context::{InstanceContext, Result};

/// Timeout for connecting to a peer, and for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Limits on the size and the read time of a received message.
const MESSAGE_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(2),
};

/// Membership learned by gossip, and the HTTP client for exchanges.
pub struct MemberGossip {
    table: Mutex<GossipTable>,
    client: HttpClient,
}

impl MemberGossip {
    /// Creates a table that holds only this instance.
    pub fn new(config: &EntryConfig) -> Self {
        let own = MemberRow {
            instance: config.instance.clone(),
            started_ms: unix_ms(),
            beat: 0,
            leaving: false,
            folded: LogOffset(0),
            revision: ConfigRevision(0),
            age_ms: 0,
        };
        Self {
            table: Mutex::new(GossipTable::new(own, config.data_centre.clone())),
            client: HttpClient::new(EXCHANGE_TIMEOUT),
        }
    }

    /// Locks the gossip table. Panics if the lock is poisoned.
    pub fn table(&self) -> MutexGuard<'_, GossipTable> {
        self.table.lock().expect("not poisoned")
    }

    /// Highest fold offset reported by any instance.
    pub fn highest_offset(&self) -> LogOffset {
        self.table().highest_offset()
    }

    /// Whether other instances are listed but none was heard from recently.
    pub fn is_alone(&self) -> bool {
        self.table().is_isolated(steady_ms())
    }

    /// Instances of this data centre that are not presumed gone, including this one.
    pub fn live(&self) -> Vec<InstanceId> {
        self.table().live(steady_ms())
    }

    /// Whether an instance of any data centre is presumed gone.
    pub fn is_presumed_gone(&self, instance: &InstanceId) -> bool {
        self.table().is_gone(instance, steady_ms())
    }
}

/// Starts a gossip round every heartbeat period until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    while !context.stop.is_cancelled() {
        for (name, address, data_centre) in start_round(&context) {
            let context = context.clone();
            tokio::spawn(async move { exchange(&context, &name, address, &data_centre).await });
        }
        tokio::select! {
            () = sleep(Duration::from_millis(HEARTBEAT_PERIOD_MS)) => {}
            () = context.stop.cancelled() => {}
        }
    }
}

/// Merges a message from another instance and answers with this instance's own.
///
/// Fails with `InvalidRequest` if the message does not decode.
pub async fn handle(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let body = read_all(request.into_body(), MESSAGE_LIMITS).await?;
    let message: GossipMessage = rmp_serde::from_slice(&body)
        .map_err(|e| CallError::new(ErrorKind::InvalidRequest, e.to_string()))?;
    let now_ms = steady_ms();
    let mut table = context.gossip.table();
    table.receive(&message, now_ms);
    let reply = table.message(&message.data_centre, now_ms, &mut rand::rng());
    let body = rmp_serde::to_vec(&reply).expect("messages always encode");
    metrics::counter!("amaranth_gossip_bytes_total").increment(body.len() as u64);
    Ok(answer::bytes(200, answer::MESSAGE_PACK, body))
}

type GossipTarget = (InstanceId, SocketAddr, DataCentreId);

/// Advances this instance's heartbeat and chooses the targets of the round.
fn start_round(context: &InstanceContext) -> Vec<GossipTarget> {
    let listed = context.members.all();
    let now_ms = steady_ms();
    let mut table = context.gossip.table();
    let candidates = listed.iter();
    table.set_candidates(candidates.map(|row| (row.instance.clone(), row.data_centre.clone())));
    let revision = context.state.revision();
    table.advance_heartbeat(
        now_ms,
        context.state.folded(),
        revision,
        context.is_leaving(),
    );
    table.refresh_digest(now_ms, unix_ms());
    let GossipTargets { local, remote } = table.targets(now_ms, &mut rand::rng());
    let names = local.into_iter().chain(remote);
    names
        .filter_map(|name| {
            let row = listed.iter().find(|row| row.instance == name)?;
            Some((name, row.address.parse().ok()?, row.data_centre.clone()))
        })
        .collect()
}

/// Sends a message to one instance and merges its reply.
async fn exchange(
    context: &InstanceContext,
    name: &InstanceId,
    address: SocketAddr,
    data_centre: &DataCentreId,
) {
    let message = {
        let table = context.gossip.table();
        table.message(data_centre, steady_ms(), &mut rand::rng())
    };
    let body = rmp_serde::to_vec(&message).expect("messages always encode");
    metrics::counter!("amaranth_gossip_bytes_total").increment(body.len() as u64);
    let call = HttpCall::post(address, GOSSIP_PATH).with_body(body);
    let limits = CallLimits::new(EXCHANGE_TIMEOUT);
    match context.gossip.client.fetch_message(call, limits).await {
        Ok(reply) => context.gossip.table().receive(&reply, steady_ms()),
        Err(e) => {
            let error = quote(&e.to_string());
            log::debug!("event=gossip_exchange_failed instance={name} error={error}");
        }
    }
}
