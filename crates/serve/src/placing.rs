//! Finds places at upstreams. For each group of upstreams one instance hands out the places; it
//! is asked by datagram, and a second one where it does not answer in time. Where neither does,
//! this instance places by itself.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_kernel::outlier_reports::{OutlierReports, ReportingMember};
use amaranth_kernel::slot_allocator::{PreemptionOrder, SlotAllocator, UpstreamSlots};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{DataCentreId, UpstreamGroupId, UpstreamId};
use amaranth_wire::placement_message::{
    InFlightCounts, PlacementDemand, PlacementMessage, PlacementReply, PlacementRequest,
};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::member_name::MemberName;
use crate::upstream_pool::{PoolStep, UpstreamPool};

/// Longest wait for an answer: several round trips between data centres, and a small part of a
/// first event's objective.
const ASK_LIMIT: Duration = Duration::from_millis(12);
/// Time for which an instance that did not answer is not asked: a killed process is back, or
/// replaced in the list of members, after a few of them.
const SILENT_TIME: Duration = Duration::from_millis(700);
/// Instances that are told the counts of a group: the one that hands out its places, and the one
/// that takes over from it.
const DESKS: usize = 2;
/// Time in which changes of the counts are gathered into one message.
const GATHER: Duration = Duration::from_millis(8);
/// Time between two messages while requests are in flight.
const REPEAT: Duration = Duration::from_millis(300);
/// Most bytes of a datagram.
const DATAGRAM_BYTES: usize = 16 << 10;

/// Result of opening the socket.
pub type Result<T> = io::Result<T>;

/// Questions whose places are not counted yet, with those that still wait for an answer.
type PendingQuestions = HashMap<u64, Option<oneshot::Sender<PlacementReply>>>;

/// A question, until its place is counted or its caller has gone.
struct OpenQuestion<'a> {
    pending: &'a Mutex<PendingQuestions>,
    number: u64,
}

impl<'a> OpenQuestion<'a> {
    fn new(
        pending: &'a Mutex<PendingQuestions>,
        number: u64,
        sender: oneshot::Sender<PlacementReply>,
    ) -> Self {
        let mut open = pending.lock().expect("not poisoned");
        open.insert(number, Some(sender));
        Self { pending, number }
    }
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        let mut open = self.pending.lock().expect("not poisoned");
        open.remove(&self.number);
    }
}

/// A desk's answer, with the question that is open until its place is counted.
struct Granting<'a> {
    reply: PlacementReply,
    _open: OpenQuestion<'a>,
}

/// Finds places.
pub struct PlaceFinder {
    /// The upstreams.
    pub pool: Arc<UpstreamPool>,
    member: MemberName,
    socket: UdpSocket,
    members: RwLock<Vec<MemberName>>,
    desk: Mutex<SlotAllocator>,
    accusations: Mutex<OutlierReports>,
    pending: Mutex<PendingQuestions>,
    silent_desks: Mutex<HashMap<SocketAddr, Instant>>,
    number: AtomicU64,
    sequence: AtomicU64,
}

impl PlaceFinder {
    /// A finder that takes datagrams at its member's address; port 0 stands for any free one.
    pub async fn open(pool: Arc<UpstreamPool>, mut member: MemberName) -> Result<Self> {
        let socket = UdpSocket::bind(member.address).await?;
        member.address = socket.local_addr()?;
        Ok(Self {
            pool,
            members: RwLock::new(vec![member.clone()]),
            member,
            socket,
            desk: Mutex::default(),
            accusations: Mutex::default(),
            pending: Mutex::default(),
            silent_desks: Mutex::default(),
            number: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
        })
    }

    /// This process as a member.
    pub fn member(&self) -> &MemberName {
        &self.member
    }

    /// The members as they are known here.
    pub fn members(&self) -> Vec<MemberName> {
        self.members.read().expect("not poisoned").clone()
    }

    /// Replaces the list of members.
    pub fn set_members(&self, members: Vec<MemberName>) {
        log::info!("event=members_changed count={}", members.len());
        *self.members.write().expect("not poisoned") = members;
    }

    /// Finds a place at an upstream of a group that is not among the excluded.
    pub async fn find(
        &self,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        excluded: &[UpstreamId],
    ) -> PoolStep {
        let excluded = self.pool.with_unavailable(group, excluded);
        let granting = self.ask(group, demand, &excluded).await;
        let reply = granting.as_ref().map(|granting| granting.reply.clone());
        // The question stays open until the place is counted here.
        self.settle(reply, group, demand, &excluded)
    }

    fn settle(
        &self,
        reply: Option<PlacementReply>,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        excluded: &[UpstreamId],
    ) -> PoolStep {
        match reply {
            Some(PlacementReply::Granted { upstream, load }) => {
                let batch = demand == PlacementDemand::Batch;
                match self.pool.take(&upstream, load, batch) {
                    Some(place) => PoolStep::Send(place),
                    None => self.pool.choose(group, demand, excluded),
                }
            }
            Some(PlacementReply::Refused { retry_after_ms }) => PoolStep::Refuse { retry_after_ms },
            Some(PlacementReply::NoUpstream) | None => self.pool.choose(group, demand, excluded),
        }
    }

    /// The members that hand out a group's places, the first one first. Only the largest machines
    /// do: the others have little processor time to spare.
    fn desks(&self, group: &UpstreamGroupId) -> Vec<MemberName> {
        let members = self.members.read().expect("not poisoned");
        let largest = members.iter().map(|member| member.weight).max();
        let able = members
            .iter()
            .filter(|member| Some(member.weight) == largest);
        let order = rendezvous_order(group.as_str().as_bytes(), able, |member| {
            member.instance.as_str()
        });
        order.into_iter().take(DESKS).cloned().collect()
    }

    /// Asks the desks of a group, one after the other.
    async fn ask(
        &self,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        excluded: &[UpstreamId],
    ) -> Option<Granting<'_>> {
        for desk in self.desks(group) {
            if self.is_silent(desk.address) {
                continue;
            }
            let number = self.number.fetch_add(1, Ordering::Relaxed);
            let (sender, receiver) = oneshot::channel();
            let open = OpenQuestion::new(&self.pending, number, sender);
            let question = PlacementRequest {
                member: self.member.to_string(),
                number,
                demand,
            };
            if let Some(reply) = self
                .ask_desk(&desk, group, question, receiver, excluded)
                .await
            {
                return Some(Granting { reply, _open: open });
            }
        }
        None
    }

    async fn ask_desk(
        &self,
        desk: &MemberName,
        group: &UpstreamGroupId,
        question: PlacementRequest,
        receiver: oneshot::Receiver<PlacementReply>,
        excluded: &[UpstreamId],
    ) -> Option<PlacementReply> {
        if *desk == self.member {
            let (reply, order) = self.answer(&self.member.data_centre, group, &question, excluded);
            self.send_order(order).await;
            return Some(reply);
        }
        let message = PlacementMessage::Ask {
            question,
            group: group.clone(),
            excluded: excluded.to_vec(),
        };
        self.send(&message, desk.address).await;
        if let Ok(Ok(reply)) = timeout(ASK_LIMIT, receiver).await {
            return Some(reply);
        }
        let (name, ms) = (&desk.instance, ASK_LIMIT.as_millis());
        log::info!("event=desk_silent group={group} desk={name} ms={ms}");
        metrics::counter!("desk_silent_total").increment(1);
        let until = Instant::now() + SILENT_TIME;
        let mut silent = self.silent_desks.lock().expect("not poisoned");
        silent.insert(desk.address, until);
        None
    }

    fn is_silent(&self, address: SocketAddr) -> bool {
        let mut silent = self.silent_desks.lock().expect("not poisoned");
        let now = Instant::now();
        silent.retain(|_, until| *until > now);
        silent.contains_key(&address)
    }

    fn answer(
        &self,
        data_centre: &DataCentreId,
        group: &UpstreamGroupId,
        question: &PlacementRequest,
        excluded: &[UpstreamId],
    ) -> (PlacementReply, Option<PreemptionOrder>) {
        let now_ms = steady_ms();
        let serving = self.pool.serving(group, &[]);
        let accuser = ReportingMember {
            member: &question.member,
            data_centre,
        };
        let suspects = self.suspects_for(accuser, group, excluded, serving.len(), now_ms);
        let allowed = serving
            .into_iter()
            .filter(|(upstream, _)| !excluded.contains(upstream));
        let upstreams = allowed.map(|(upstream, notice)| UpstreamSlots {
            upstream,
            slots: notice.slots,
            is_local: notice.data_centre == *data_centre,
        });
        let (suspected, trusted): (Vec<_>, Vec<_>) =
            upstreams.partition(|row| suspects.contains(&row.upstream));
        let mut desk = self.desk.lock().expect("not poisoned");
        let answer = desk.ask(&trusted, question, now_ms, &mut rand::rng());
        if matches!(answer.0, PlacementReply::Granted { .. }) || suspected.is_empty() {
            return answer;
        }
        // A place that may fail is better than none.
        let all = [trusted, suspected].concat();
        desk.ask(&all, question, now_ms, &mut rand::rng())
    }

    /// Upstreams that several instances avoid, and that the one that asks should not be sent to.
    fn suspects_for(
        &self,
        accuser: ReportingMember<'_>,
        group: &UpstreamGroupId,
        excluded: &[UpstreamId],
        group_len: usize,
        now_ms: u64,
    ) -> Vec<UpstreamId> {
        let data_centre = accuser.data_centre;
        let mut accusations = self.accusations.lock().expect("not poisoned");
        accusations.record(accuser, excluded, group_len, now_ms);
        let suspects = accusations.suspects(data_centre, now_ms);
        if accusations.suspects_changed(data_centre, &suspects) {
            let names = suspects.iter().map(UpstreamId::as_str);
            let names = names.collect::<Vec<_>>().join(",");
            log::info!(
                "event=suspects_changed group={group} data_centre={data_centre} upstreams={names:?}"
            );
        }
        suspects
    }

    async fn send_order(&self, order: Option<PreemptionOrder>) {
        let Some(PreemptionOrder { member, upstream }) = order else {
            return;
        };
        match member.parse::<MemberName>() {
            Ok(member) if member == self.member => self.pool.give_way(&upstream),
            Ok(member) => {
                self.send(&PlacementMessage::GiveWay { upstream }, member.address)
                    .await
            }
            Err(e) => log::warn!("event=order_not_sent error={:?}", e.to_string()),
        }
    }

    async fn send(&self, message: &PlacementMessage, address: SocketAddr) {
        if let Err(e) = self.socket.send_to(&message.encode(), address).await {
            log::debug!(
                "event=datagram_not_sent address={address} error={:?}",
                e.to_string()
            );
        }
    }

    /// Takes datagrams until the token is cancelled.
    pub async fn receive(self: Arc<Self>, stop: CancellationToken) {
        let receive = async {
            let mut buffer = vec![0; DATAGRAM_BYTES];
            loop {
                match self.socket.recv_from(&mut buffer).await {
                    Ok((length, from)) => match PlacementMessage::decode(&buffer[..length]) {
                        Ok(message) => self.take_message(message, from).await,
                        Err(e) => log::warn!(
                            "event=datagram_malformed from={from} error={:?}",
                            e.to_string()
                        ),
                    },
                    Err(e) => {
                        log::warn!("event=datagram_not_received error={:?}", e.to_string());
                        sleep(GATHER).await;
                    }
                }
            }
        };
        stop.run_until_cancelled(receive).await;
    }

    async fn take_message(&self, message: PlacementMessage, from: SocketAddr) {
        match message {
            PlacementMessage::Counts {
                member,
                sequence,
                counts,
            } => {
                let mut desk = self.desk.lock().expect("not poisoned");
                desk.record_counts(member, sequence, counts, steady_ms());
            }
            PlacementMessage::Ask {
                question,
                group,
                excluded,
            } => match question.member.parse::<MemberName>() {
                Ok(member) => {
                    let number = question.number;
                    let (reply, order) =
                        self.answer(&member.data_centre, &group, &question, &excluded);
                    self.send(&PlacementMessage::Reply { number, reply }, from)
                        .await;
                    self.send_order(order).await;
                }
                Err(e) => log::warn!(
                    "event=datagram_malformed from={from} error={:?}",
                    e.to_string()
                ),
            },
            PlacementMessage::Reply { number, reply } => {
                let mut pending = self.pending.lock().expect("not poisoned");
                if let Some(asked) = pending.get_mut(&number).and_then(Option::take) {
                    // Who asked may have stopped waiting a moment ago.
                    let _ = asked.send(reply);
                }
            }
            PlacementMessage::GiveWay { upstream } => self.pool.give_way(&upstream),
        }
    }

    /// Tells the desks what is in flight here, until the token is cancelled.
    pub async fn tell(self: Arc<Self>, stop: CancellationToken) {
        let tell = async {
            let mut told_some = false;
            loop {
                match told_some {
                    // Nothing in flight: there is nothing to repeat.
                    false => self.pool.changed().await,
                    true => {
                        let _ = timeout(REPEAT, self.pool.changed()).await;
                    }
                }
                sleep(GATHER).await;
                told_some = self.tell_counts().await;
            }
        };
        stop.run_until_cancelled(tell).await;
    }

    fn counts(&self) -> InFlightCounts {
        let pending = self.pending.lock().expect("not poisoned");
        InFlightCounts {
            rows: self.pool.counts(),
            next_question: self.number.load(Ordering::Relaxed),
            open_questions: pending.keys().copied().collect(),
        }
    }

    /// Sends the counts; returns whether there were any.
    async fn tell_counts(&self) -> bool {
        let mut desks: Vec<MemberName> = Vec::new();
        for group in self.pool.groups() {
            desks.extend(self.desks(&group));
        }
        desks.sort();
        desks.dedup();
        let counts = self.counts();
        let told_some = !counts.rows.is_empty();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let message = PlacementMessage::Counts {
            member: self.member.to_string(),
            sequence,
            counts: counts.clone(),
        };
        for desk in desks {
            match desk == self.member {
                true => {
                    let mut own = self.desk.lock().expect("not poisoned");
                    own.record_counts(
                        self.member.to_string(),
                        sequence,
                        counts.clone(),
                        steady_ms(),
                    );
                }
                false => self.send(&message, desk.address).await,
            }
        }
        told_some
    }
}
