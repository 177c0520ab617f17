//! What the parts of one instance share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_net::client::HttpClient;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::InstanceId;
use amaranth_wire::message::InstanceReport;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admit::AdmissionQueues;
use crate::batch_gate::BatchGates;
use crate::batch_slots::BatchSlots;
use crate::call_counter::CallCounter;
use crate::caller_auth::CallerKeys;
use crate::committer::LogCommitter;
use crate::config::EntryConfig;
use crate::gossip::MemberGossip;
use crate::item_reader::ItemReader;
use crate::kept_results::ReplicatedResults;
use crate::log_client::LogClient;
use crate::log_reader::LogReader;
use crate::log_relay::LogRelay;
use crate::membership::MemberTable;
use crate::operator_peers::PeerSights;
use crate::request_registry::RequestRegistry;
use crate::service_levels::ServiceLevels;
use crate::shared_state::SharedState;
use crate::upstream_table::UpstreamTable;

/// Longest wait for a connection to an upstream or peer.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Time without a sight of the log's head after which an instance without peers is cut off.
const CUT_OFF_MS: u64 = 10_000;

/// Result of a call on an instance.
pub type Result<T> = std::result::Result<T, CallError>;

/// The parts of one instance.
pub struct InstanceContext {
    /// What it was started with.
    pub config: EntryConfig,
    /// State folded from the log.
    pub state: Arc<SharedState>,
    /// Appends to the log.
    pub committer: LogCommitter,
    /// Reads of the log.
    pub log: LogClient,
    /// Items and results by offset.
    pub items: ItemReader,
    /// Calls to upstreams.
    pub client: HttpClient,
    /// The upstreams.
    pub upstreams: UpstreamTable,
    /// Results that this instance keeps.
    pub results: ReplicatedResults,
    /// The callers' keys.
    pub callers: CallerKeys,
    /// Online requests by tier, minute and cause.
    pub levels: ServiceLevels,
    /// Calls in progress.
    pub calls: CallCounter,
    /// Online requests that wait for room.
    pub admission: AdmissionQueues,
    /// Decides on the batch places of some upstreams.
    pub gates: BatchGates,
    /// The batch places of this instance.
    pub slots: Arc<BatchSlots>,
    /// The other instances.
    pub members: MemberTable,
    /// When the other instances were last heard.
    pub sights: PeerSights,
    /// Reads of the log by way of relays.
    pub reader: LogReader,
    /// Online requests, in progress and recent.
    pub requests: RequestRegistry,
    /// Recent entries of the log, for peers that cannot read it.
    pub relay: LogRelay,
    /// What the other instances said of themselves.
    pub gossip: MemberGossip,
    /// Work that a planned stop waits for.
    pub work: TaskTracker,
    /// Cancelled when the process ends.
    pub stop: CancellationToken,
    caught_up: AtomicBool,
    leaving: AtomicBool,
}

impl InstanceContext {
    /// An instance that has not folded anything yet.
    pub fn new(
        config: EntryConfig,
        log: LogClient,
        state: Arc<SharedState>,
        committer: LogCommitter,
        stop: CancellationToken,
    ) -> Self {
        let upstreams = UpstreamTable::new(&config.fleet);
        Self {
            items: ItemReader::new(log.clone()),
            callers: CallerKeys::new(&config.fleet.teams),
            levels: ServiceLevels::new(&config.fleet.tiers),
            calls: CallCounter::default(),
            members: MemberTable::default(),
            results: ReplicatedResults::new(),
            sights: PeerSights::default(),
            reader: LogReader::default(),
            requests: RequestRegistry::default(),
            relay: LogRelay::default(),
            admission: AdmissionQueues::new(&config.fleet),
            gates: BatchGates::new(&config.fleet),
            slots: Arc::new(BatchSlots::new(&config.fleet)),
            gossip: MemberGossip::new(&config),
            client: HttpClient::new(CONNECT_LIMIT),
            work: TaskTracker::new(),
            caught_up: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            config,
            state,
            committer,
            log,
            upstreams,
            stop,
        }
    }

    /// Notes that the log was folded to its head once.
    pub fn set_caught_up(&self) {
        self.caught_up.store(true, Ordering::Release);
    }

    /// Whether the log was folded to its head once, or state was taken from a peer that did.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Acquire)
    }

    /// Notes that a planned stop has begun.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.is_drained()
    }

    /// Whether an operator drains this instance.
    pub fn is_drained(&self) -> bool {
        let changes = self.state.changes();
        changes.core().plans.drains_instance(&self.config.instance)
    }

    /// Whether the balancer may send new work here.
    pub fn is_ready(&self) -> bool {
        self.caught_up.load(Ordering::Acquire) && !self.is_leaving() && !self.is_cut_off()
    }

    /// Whether neither the log nor any other instance was reached for long. What is in force
    /// elsewhere may have changed meanwhile.
    pub fn is_cut_off(&self) -> bool {
        let log_age_ms = self.relay.log_age_ms().unwrap_or(u64::MAX);
        log_age_ms >= CUT_OFF_MS && self.gossip.is_alone()
    }

    /// Names of the instances that are listed as live and not believed gone, this one included
    /// unless it is leaving.
    pub fn live_instances(&self) -> Vec<InstanceId> {
        let mut live = self.members.live();
        live.retain(|instance| !self.gossip.is_lost(instance));
        live
    }

    /// Refuses work before the log was folded and while cut off. A leaving instance still accepts until the
    /// balancer has noticed.
    pub fn check_started(&self) -> Result<()> {
        let message = match (self.caught_up.load(Ordering::Acquire), self.is_cut_off()) {
            (true, false) => return Ok(()),
            (true, true) => "this instance reaches neither the log nor any other instance",
            (false, _) => "this instance has not read the log yet",
        };
        Err(CallError::new(ErrorKind::NotReady, message))
    }

    /// What this instance says of itself.
    pub fn report(&self) -> InstanceReport {
        InstanceReport {
            instance: self.config.instance.clone(),
            ready: self.is_ready(),
            folded: self.state.folded(),
            revision: self.state.revision(),
        }
    }
}
