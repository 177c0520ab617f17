//! Places requests at upstreams. For each group of upstreams one instance allocates the slots. It
//! is asked over UDP, and a second one if it doesn't reply in time. If neither replies, this
//! instance chooses an upstream by its own estimates.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_kernel::outlier_reports::{OutlierReports, ReportingMember};
use amaranth_kernel::slot_allocator::{PreemptionOrder, SlotAllocator, UpstreamSlots};
use amaranth_net::clock::steady_ms;
use amaranth_net::state_lock::{StateMutex, StateRwLock};
use amaranth_wire::id::{UpstreamGroupId, UpstreamId};
use amaranth_wire::placement_message::{
    PlacementDemand, PlacementMessage, PlacementReply, PlacementRequest, RequestWork,
};
use amaranth_wire::quarantine_message::QuarantineMessage;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::member_name::{FormerLists, MemberName, MemberRuns, largest};
use crate::peer_refresh;
use crate::quota_service::QuotaService;
use crate::route_state::RouteState;
use crate::share_accounts::{GroupShares, SharedDemand, reply_outcome, step_outcome};
use crate::start_wait::START_WAIT_LIMIT;
use crate::upstream_pool::{PoolStep, UpstreamPool};
use open_request::{HeldReply, OpenRequest, PendingRequests};

mod open_request;

mod count_reports;
mod datagrams;

/// Limit on waiting for a reply: several round trips between data centres, and a small part of the
/// objective for a first event.
const REPLY_TIMEOUT: Duration = Duration::from_millis(12);
/// Time for which an allocator that didn't reply isn't asked: a killed process is restarted, or
/// replaced in the list of members, within a few of these periods.
const SILENT_BACKOFF: Duration = Duration::from_millis(700);
/// Number of instances that receive the counts of a group: the one that allocates its slots, and
/// the one that takes over from it.
const ALLOCATORS: usize = 2;
/// Delay in which changes of the counts are coalesced into one message, and pause after a failed
/// receive.
const COUNTS_DELAY: Duration = Duration::from_millis(8);
/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Result of binding the UDP socket.
pub type Result<T> = io::Result<T>;

fn preferred(members: &[MemberName], task: &str) -> Vec<MemberName> {
    let eligible = largest(members);
    let order = rendezvous_order(task.as_bytes(), eligible, |member| member.instance.as_str());
    order.into_iter().take(ALLOCATORS).cloned().collect()
}

/// Places requests at upstreams, and allocates slots of the groups that fall to this instance.
pub struct PlacementService {
    /// The known upstreams and their estimated load.
    pub pool: Arc<UpstreamPool>,
    member: MemberName,
    socket: UdpSocket,
    members: StateRwLock<MemberRuns>,
    former_lists: StateMutex<FormerLists>,
    /// Tells the limits of groups.
    routes: OnceLock<Arc<RouteState>>,
    allocator: StateMutex<SlotAllocator>,
    /// Work of the teams whose requests are allocated here, and of those that this instance places itself.
    shares: GroupShares,
    own_shares: GroupShares,
    reports: StateMutex<OutlierReports>,
    pending: StateMutex<PendingRequests>,
    silent_allocators: StateMutex<HashMap<SocketAddr, Instant>>,
    number: AtomicU64,
    sequence: AtomicU64,
    inboxes: MessageInboxes,
    opened: Instant,
    /// Cancelled when the list of members has been read.
    members_read: CancellationToken,
    /// Answers messages about the limits of teams; `None` if this instance counts nothing.
    quota: Option<Arc<QuotaService>>,
}

/// Where messages go that other parts of the instance handle.
#[derive(Debug, Clone)]
pub struct MessageInboxes {
    /// Messages about quarantined prompts.
    pub quarantine: mpsc::Sender<ReceivedNotice>,
    /// Messages about state that instances copy from each other.
    pub peers: mpsc::Sender<peer_refresh::ReceivedMessage>,
}

/// A message about quarantined prompts, with its sender's address.
pub type ReceivedNotice = (QuarantineMessage, SocketAddr);

impl PlacementService {
    /// Binds the UDP socket at the member's address; port 0 takes any free port.
    pub async fn open(
        pool: Arc<UpstreamPool>,
        mut member: MemberName,
        inboxes: MessageInboxes,
    ) -> Result<Self> {
        let socket = UdpSocket::bind(member.address).await?;
        member.address = socket.local_addr()?;
        let number = AtomicU64::new(member.first_number());
        Ok(Self {
            pool,
            members: StateRwLock::new(MemberRuns::new(member.clone())),
            former_lists: StateMutex::default(),
            member,
            socket,
            routes: OnceLock::new(),
            allocator: StateMutex::default(),
            shares: GroupShares::default(),
            own_shares: GroupShares::default(),
            reports: StateMutex::default(),
            pending: StateMutex::default(),
            silent_allocators: StateMutex::default(),
            number,
            sequence: AtomicU64::new(0),
            inboxes,
            opened: Instant::now(),
            members_read: CancellationToken::new(),
            quota: None,
        })
    }

    /// Sets the service that answers messages about the limits of teams.
    pub fn with_quota(mut self, quota: Arc<QuotaService>) -> Self {
        self.quota = Some(quota);
        self
    }

    /// This process as a member, with the port that was bound.
    pub fn member(&self) -> &MemberName {
        &self.member
    }

    /// Sets the routes whose configuration tells the limits of groups.
    pub fn set_routes(&self, routes: Arc<RouteState>) {
        self.routes.get_or_init(|| routes);
    }

    /// Returns the members known to this instance.
    pub fn members(&self) -> Vec<MemberName> {
        self.members.read().current().to_vec()
    }

    /// Replaces the list of members.
    pub fn set_members(&self, listed: Vec<MemberName>) {
        let mut members = self.members.write();
        let before = members.apply_list(listed, &self.member);
        log::info!(
            "event=members_changed count={} former_runs={}",
            members.current().len(),
            members.former_count()
        );
        drop(members);
        if self.knows_members() {
            self.former_lists.lock().push(before);
        }
        self.members_read.cancel();
    }

    /// Whether the list of members has been read. Before, it holds this instance only.
    pub fn knows_members(&self) -> bool {
        self.members_read.is_cancelled()
    }

    /// Waits for the list of members, at most until the limit after the start. Returns whether it has been
    /// read.
    pub async fn wait_members(&self) -> bool {
        let read = timeout_at(
            self.opened + START_WAIT_LIMIT,
            self.members_read.cancelled(),
        );
        read.await.is_ok()
    }

    /// Places a request at an upstream of the group that isn't excluded.
    pub async fn acquire(
        &self,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        work: Option<&RequestWork>,
        excluded: &[UpstreamId],
    ) -> PoolStep {
        let excluded = self.pool.with_ejected(group, excluded);
        let held = self.request_permit(group, demand, work, &excluded).await;
        let reply = held.as_ref().map(|held| held.reply.clone());
        let mut step = match reply.is_some() {
            // The request stays open until the permit counts it here.
            true => self.apply_reply(reply, group, demand, &excluded),
            false => self.place_alone(group, demand, work, &excluded),
        };
        if let (PoolStep::Send(permit), Some(work)) = (&mut step, work) {
            permit.hold_prompt(&work.prompt);
        }
        step
    }

    /// Places a request by this instance's own accounts and estimates.
    fn place_alone(
        &self,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        work: Option<&RequestWork>,
        excluded: &[UpstreamId],
    ) -> PoolStep {
        let now_ms = steady_ms();
        let demand = match self.own_shares.decide(group, demand, work, now_ms) {
            SharedDemand::Place(demand) => demand,
            SharedDemand::Refuse { retry_after_ms } => return PoolStep::Refuse { retry_after_ms },
        };
        let step = self.apply_reply(None, group, demand, excluded);
        let outcome = step_outcome(&step);
        self.own_shares.record(group, demand, work, outcome, now_ms);
        step
    }

    fn apply_reply(
        &self,
        reply: Option<PlacementReply>,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        excluded: &[UpstreamId],
    ) -> PoolStep {
        match reply {
            Some(PlacementReply::Granted {
                upstream,
                load,
                expected,
            }) => {
                let batch = demand == PlacementDemand::Batch;
                let is_excluded = excluded.contains(&upstream);
                let permit = (!is_excluded)
                    .then(|| self.pool.issue_permit(group, &upstream, load, batch))
                    .flatten();
                match permit {
                    Some(mut permit) => {
                        permit.expect(expected);
                        PoolStep::Send(permit)
                    }
                    None => {
                        log::info!(
                            "event=grant_ignored group={group} upstream={upstream} excluded={is_excluded}"
                        );
                        self.pool.choose(group, demand, excluded)
                    }
                }
            }
            Some(PlacementReply::Refused { retry_after_ms }) => PoolStep::Refuse { retry_after_ms },
            Some(PlacementReply::NoUpstream) | None => self.pool.choose(group, demand, excluded),
        }
    }

    /// Returns the members that share a task of the whole fleet, in order of preference. Only the
    /// largest machines are eligible: the others have little processor time to spare.
    pub fn preferred_members(&self, task: &str) -> Vec<MemberName> {
        preferred(self.members.read().current(), task)
    }

    /// Returns the members that shared a task by the lists of shortly before, and are still there.
    pub fn formerly_preferred(&self, task: &str) -> Vec<MemberName> {
        let former_lists = self.former_lists.lock().recent();
        let former = former_lists.iter().flat_map(|list| preferred(list, task));
        let members = self.members.read();
        former
            .filter(|member| members.current().contains(member))
            .collect()
    }

    /// Asks the allocators of a group in turn; `None` if none replies.
    async fn request_permit(
        &self,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        work: Option<&RequestWork>,
        excluded: &[UpstreamId],
    ) -> Option<HeldReply<'_>> {
        for allocator in self.preferred_members(group.as_str()) {
            if self.is_silent(allocator.address) {
                continue;
            }
            let number = self.number.fetch_add(1, Ordering::Relaxed);
            let (sender, receiver) = oneshot::channel();
            let open = OpenRequest::new(&self.pending, number, allocator.address, sender);
            let request = PlacementRequest {
                member: self.member.to_string(),
                number,
                demand,
                work: work.cloned(),
            };
            if let Some(reply) = self
                .request_permit_from(&allocator, group, request, receiver, excluded)
                .await
            {
                return Some(HeldReply { reply, _open: open });
            }
        }
        None
    }

    async fn request_permit_from(
        &self,
        allocator: &MemberName,
        group: &UpstreamGroupId,
        request: PlacementRequest,
        receiver: oneshot::Receiver<PlacementReply>,
        excluded: &[UpstreamId],
    ) -> Option<PlacementReply> {
        if *allocator == self.member {
            let (reply, preemption) = self.allocate(&self.member, group, &request, excluded);
            self.send_preemption(preemption).await;
            return Some(reply);
        }
        let message = PlacementMessage::Request {
            request,
            group: group.clone(),
            excluded: excluded.to_vec(),
        };
        self.send(&message, allocator.address).await;
        if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, receiver).await {
            return Some(reply);
        }
        let (name, ms) = (&allocator.instance, REPLY_TIMEOUT.as_millis());
        log::info!("event=allocator_silent group={group} allocator={name} ms={ms}");
        metrics::counter!("desk_silent_total").increment(1);
        let until = Instant::now() + SILENT_BACKOFF;
        let mut silent = self.silent_allocators.lock();
        silent.insert(allocator.address, until);
        None
    }

    fn is_silent(&self, address: SocketAddr) -> bool {
        let mut silent = self.silent_allocators.lock();
        let now = Instant::now();
        silent.retain(|_, until| *until > now);
        silent.contains_key(&address)
    }

    fn allocate(
        &self,
        requester: &MemberName,
        group: &UpstreamGroupId,
        request: &PlacementRequest,
        excluded: &[UpstreamId],
    ) -> (PlacementReply, Option<PreemptionOrder>) {
        let now_ms = steady_ms();
        let serving = self.pool.serving(group, &[]);
        let data_centre = &requester.data_centre;
        let reporter = ReportingMember {
            instance: &requester.instance,
            data_centre,
        };
        // What leaves isn't suspected, and doesn't count against the reporter.
        let is_serving = |out: &&UpstreamId| serving.iter().any(|(upstream, _)| upstream == *out);
        let avoided: Vec<_> = excluded.iter().filter(is_serving).cloned().collect();
        let suspects = self.suspects_for(reporter, group, &avoided, serving.len(), now_ms);
        let allowed = serving
            .into_iter()
            .filter(|(upstream, _)| !excluded.contains(upstream));
        let routes = self.routes.get().and_then(|routes| routes.current());
        let limits = routes.map(|table| table.group_limits(group));
        let cache_tokens = limits.and_then(|limits| limits.cache_tokens);
        let upstreams = allowed.map(|(upstream, notice)| UpstreamSlots {
            upstream,
            slots: notice.slots,
            is_local: notice.data_centre == *data_centre,
            started_ms: notice.started_ms,
            cache_tokens,
        });
        let (suspected, trusted): (Vec<_>, Vec<_>) =
            upstreams.partition(|row| suspects.contains(&row.upstream));
        let work = request.work.as_ref();
        let demand = match self.shares.decide(group, request.demand, work, now_ms) {
            SharedDemand::Place(demand) => demand,
            SharedDemand::Refuse { retry_after_ms } => {
                return (PlacementReply::Refused { retry_after_ms }, None);
            }
        };
        let request = PlacementRequest {
            demand,
            ..request.clone()
        };
        let mut allocator = self.allocator.lock();
        let mut answer = allocator.allocate(&trusted, &request, now_ms, &mut rand::rng());
        let mut upstreams = trusted;
        if !matches!(answer.0, PlacementReply::Granted { .. }) && !suspected.is_empty() {
            // A suspected upstream is better than none.
            upstreams.extend(suspected);
            answer = allocator.allocate(&upstreams, &request, now_ms, &mut rand::rng());
        }
        let outcome = reply_outcome(&answer.0, &upstreams);
        self.shares.record(group, demand, work, outcome, now_ms);
        answer
    }

    /// Records what the requesting member excludes, and returns the upstreams that several members
    /// report and that it shouldn't be sent to.
    fn suspects_for(
        &self,
        reporter: ReportingMember<'_>,
        group: &UpstreamGroupId,
        excluded: &[UpstreamId],
        group_len: usize,
        now_ms: u64,
    ) -> Vec<UpstreamId> {
        let data_centre = reporter.data_centre;
        let mut reports = self.reports.lock();
        reports.record(reporter, excluded, group_len, now_ms);
        let suspects = reports.suspects(data_centre, now_ms);
        if reports.suspects_changed(data_centre, &suspects) {
            let names = suspects.iter().map(UpstreamId::as_str);
            let names = names.collect::<Vec<_>>().join(",");
            log::info!(
                "event=suspects_changed group={group} data_centre={data_centre} upstreams={names:?}"
            );
        }
        suspects
    }

    async fn send_preemption(&self, preemption: Option<PreemptionOrder>) {
        let Some(PreemptionOrder { member, upstream }) = preemption else {
            return;
        };
        match member.parse::<MemberName>() {
            Ok(member) if member == self.member => self.pool.preempt(&upstream),
            Ok(member) => {
                self.send(&PlacementMessage::Preempt { upstream }, member.address)
                    .await
            }
            Err(e) => log::warn!("event=preemption_not_sent error={:?}", e.to_string()),
        }
    }

    /// Sends a datagram to another member.
    pub async fn send(&self, message: &PlacementMessage, address: SocketAddr) {
        if let Err(e) = self.socket.send_to(&message.encode(), address).await {
            log::debug!(
                "event=datagram_not_sent address={address} error={:?}",
                e.to_string()
            );
        }
    }
}
