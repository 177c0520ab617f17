//! Exchanges heartbeats and digests with the other instances.

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

/// Longest wait for the answer of one exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(800);
/// Largest message that is taken.
const MESSAGE_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(2),
};

/// What this instance knows of the others.
pub struct MemberGossip {
    table: Mutex<GossipTable>,
    client: HttpClient,
}

impl MemberGossip {
    /// Knows only its own instance.
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
            client: HttpClient::new(EXCHANGE_LIMIT),
        }
    }

    /// The table, locked.
    pub fn table(&self) -> MutexGuard<'_, GossipTable> {
        self.table.lock().expect("not poisoned")
    }

    /// The highest offset that any instance was heard to fold next.
    pub fn highest_offset(&self) -> LogOffset {
        self.table().highest_offset()
    }

    /// Whether no other instance was heard for long though some are listed.
    pub fn is_alone(&self) -> bool {
        self.table().is_isolated(steady_ms())
    }

    /// Instances of the own data centre that are not gone, this one included.
    pub fn live(&self) -> Vec<InstanceId> {
        self.table().live(steady_ms())
    }

    /// Whether an instance of any data centre is believed gone.
    pub fn is_lost(&self, instance: &InstanceId) -> bool {
        self.table().is_gone(instance, steady_ms())
    }
}

/// Exchanges until the instance ends.
pub async fn run(context: Arc<InstanceContext>) {
    while !context.stop.is_cancelled() {
        for (name, address, data_centre) in beat(&context) {
            let context = context.clone();
            tokio::spawn(async move { exchange(&context, &name, address, &data_centre).await });
        }
        tokio::select! {
            () = sleep(Duration::from_millis(HEARTBEAT_PERIOD_MS)) => {}
            () = context.stop.cancelled() => {}
        }
    }
}

/// Handles the exchange that another instance began.
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

/// Makes a heartbeat and chooses whom to tell.
fn beat(context: &InstanceContext) -> Vec<GossipTarget> {
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
    let limits = CallLimits::new(EXCHANGE_LIMIT);
    match context.gossip.client.fetch_message(call, limits).await {
        Ok(reply) => context.gossip.table().receive(&reply, steady_ms()),
        Err(e) => {
            let error = quote(&e.to_string());
            log::debug!("event=gossip_failed instance={name} error={error}");
        }
    }
}
