//! Shared components and lifecycle state of one instance.

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
use crate::operator_peers::PeerContacts;
use crate::request_registry::RequestRegistry;
use crate::service_levels::ServiceLevels;
use crate::shared_state::SharedState;
use crate::slot_coordinator::SlotCoordinator;
use crate::upstream_table::UpstreamTable;

/// Timeout for connecting to an upstream or peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time since the log's head was last read after which an instance that hears from no peer counts
/// as cut off, in milliseconds.
const CUT_OFF_MS: u64 = 10_000;

/// Result of a call on an instance.
pub type Result<T> = std::result::Result<T, CallError>;

/// Components of one instance, shared by its tasks and request handlers.
pub struct InstanceContext {
    /// Settings that the process was started with.
    pub config: EntryConfig,
    /// State folded from the log.
    pub state: Arc<SharedState>,
    /// Batches records and appends them to the log.
    pub committer: LogCommitter,
    /// Client for the log.
    pub log: LogClient,
    /// Reads items and results from the log by offset.
    pub items: ItemReader,
    /// HTTP client for upstreams and peers.
    pub client: HttpClient,
    /// Upstreams by group, with their load and health.
    pub upstreams: UpstreamTable,
    /// Results of keyed requests stored on this instance.
    pub results: ReplicatedResults,
    /// API keys of the teams.
    pub callers: CallerKeys,
    /// Service level counts of online requests by tier, minute and cause.
    pub levels: ServiceLevels,
    /// Counts calls in progress.
    pub calls: CallCounter,
    /// Admission queues of online requests that wait for capacity.
    pub admission: AdmissionQueues,
    /// Allocates batch slots of the upstreams that this instance coordinates.
    pub slot_coordinator: SlotCoordinator,
    /// Batch slots granted to this instance.
    pub slots: Arc<BatchSlots>,
    /// Instances on the platform's list.
    pub members: MemberTable,
    /// When each peer last answered a query.
    pub peer_contacts: PeerContacts,
    /// Reads the log directly or through a relay.
    pub reader: LogReader,
    /// Online requests in progress and recently ended.
    pub requests: RequestRegistry,
    /// Recent log entries served to peers.
    pub relay: LogRelay,
    /// Membership learned by gossip.
    pub gossip: MemberGossip,
    /// Tasks that a planned stop waits for.
    pub work: TaskTracker,
    /// Cancelled when the process stops; ends the periodic tasks.
    pub stop: CancellationToken,
    caught_up: AtomicBool,
    leaving: AtomicBool,
    closed: AtomicBool,
}

impl InstanceContext {
    /// Creates the components of an instance that has not caught up with the log.
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
            peer_contacts: PeerContacts::default(),
            reader: LogReader::default(),
            requests: RequestRegistry::default(),
            relay: LogRelay::default(),
            admission: AdmissionQueues::new(&config.fleet),
            slot_coordinator: SlotCoordinator::new(&config.fleet),
            slots: Arc::new(BatchSlots::new(&config.fleet)),
            gossip: MemberGossip::new(&config),
            client: HttpClient::new(CONNECT_TIMEOUT),
            work: TaskTracker::new(),
            caught_up: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            config,
            state,
            committer,
            log,
            upstreams,
            stop,
        }
    }

    /// Records that the state has caught up with the log. It is never unset.
    pub fn set_caught_up(&self) {
        self.caught_up.store(true, Ordering::Release);
    }

    /// Whether the log was folded to its head once, or state was copied from a peer that had done
    /// so.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Acquire)
    }

    /// Records that a planned stop has begun.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Records that the notice period of a planned stop is over. New work would be cut at its end.
    pub fn set_closed(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Whether a planned stop has begun or an operator drains this instance.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.is_drained()
    }

    /// Whether an active plan drains this instance.
    pub fn is_drained(&self) -> bool {
        let changes = self.state.changes();
        changes.core().plans.drains_instance(&self.config.instance)
    }

    /// Whether the load balancer may send new requests to this instance.
    pub fn is_ready(&self) -> bool {
        self.caught_up.load(Ordering::Acquire) && !self.is_leaving() && !self.is_cut_off()
    }

    /// Whether neither the log nor any other instance was reached recently. The settings and
    /// plans in force elsewhere may have changed since.
    pub fn is_cut_off(&self) -> bool {
        let log_age_ms = self.relay.log_age_ms().unwrap_or(u64::MAX);
        log_age_ms >= CUT_OFF_MS && self.gossip.is_alone()
    }

    /// Names of the instances that are listed as live and not presumed gone, including this one
    /// unless it is leaving.
    pub fn live_instances(&self) -> Vec<InstanceId> {
        let mut live = self.members.live();
        live.retain(|instance| !self.gossip.is_presumed_gone(instance));
        live
    }

    /// Fails with `NotReady` if this instance takes no new work. A leaving instance takes it until the
    /// load balancer has had time to notice.
    pub fn check_takes_work(&self) -> Result<()> {
        if self.closed.load(Ordering::Acquire) {
            let message = "this instance is stopping";
            return Err(CallError::new(ErrorKind::NotReady, message));
        }
        self.check_available()
    }

    /// Fails with `NotReady` before the log was folded and while cut off.
    pub fn check_available(&self) -> Result<()> {
        let message = match (self.caught_up.load(Ordering::Acquire), self.is_cut_off()) {
            (true, false) => return Ok(()),
            (true, true) => "this instance reaches neither the log nor any other instance",
            (false, _) => "this instance has not read the log yet",
        };
        Err(CallError::new(ErrorKind::NotReady, message))
    }

    /// Readiness, fold offset and configuration revision of this instance.
    pub fn report(&self) -> InstanceReport {
        InstanceReport {
            instance: self.config.instance.clone(),
            ready: self.is_ready(),
            folded: self.state.folded(),
            revision: self.state.revision(),
        }
    }
}
