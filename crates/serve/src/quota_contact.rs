//! Keeps the limits of teams where a cut separates the two members that count their requests: the members ping
//! each other, and limit teams to the part of the instances that they reach while the other one is silent, or
//! while others may count in their place.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::quota_reach::{ContactStep, PartnerContact};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::TeamId;
use amaranth_wire::placement_message::PlacementMessage;
use amaranth_wire::quota_message::QuotaMessage;
use rand::seq::IteratorRandom;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::placement_service::PlacementService;
use crate::quota_service::{QuotaService, counting_task};

/// Interval at which contact is checked while requests of teams with limits are counted here.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// The same while none are.
const IDLE_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which the other counting members are looked up, in milliseconds: a change of the list of
/// members takes as long to be known.
const PARTNERS_PERIOD_MS: u64 = 1_000;
/// Time for which an instance that answered counts as reached, in milliseconds: several pings.
const ANSWER_LIFETIME_MS: u64 = 600;
/// Time for the instances to answer before teams are limited, in milliseconds: several round trips between data
/// centres.
const PROBE_TIME_MS: u64 = 40;
/// Most instances that are pinged for their part of the usage. That part is then known to about 3 %.
const MAX_PROBED: usize = 256;

/// Another member that counts requests of some of the teams that are counted here.
#[derive(Debug, Default)]
struct CountingPartner {
    contact: PartnerContact,
    teams: Vec<TeamId>,
    /// Whether teams are limited because of its silence.
    is_limiting: bool,
}

/// The other counting members, and the instances that have answered.
#[derive(Debug, Default)]
pub(crate) struct CounterContacts {
    partners: HashMap<SocketAddr, CountingPartner>,
    looked_up_ms: Option<u64>,
    probed: HashSet<SocketAddr>,
    /// When the instances were first pinged since contact was lost.
    probed_ms: Option<u64>,
    /// Whether the other members may count without this one, so that an answer of one is no proof of contact.
    may_be_replaced: bool,
    answered_ms: HashMap<SocketAddr, u64>,
}

impl CounterContacts {
    /// Records an answer; returns the teams with whose other counting member there is contact again.
    pub(crate) fn record_answer(&mut self, from: SocketAddr, now_ms: u64) -> Vec<TeamId> {
        self.answered_ms.insert(from, now_ms);
        let Some(partner) = self.partners.get_mut(&from) else {
            return Vec::new();
        };
        partner.contact.record_answer();
        if self.may_be_replaced {
            return Vec::new();
        }
        if std::mem::take(&mut partner.is_limiting) {
            log::info!("event=quota_contact partner={from} lost=false");
        }
        partner.teams.clone()
    }

    /// Sets which teams are counted with which other member. Returns the teams that had another one before.
    fn set_partners(&mut self, partners: HashMap<SocketAddr, Vec<TeamId>>) -> Vec<TeamId> {
        let mut before = std::mem::take(&mut self.partners);
        for (address, teams) in partners {
            let known = before.remove(&address).unwrap_or_default();
            self.partners
                .insert(address, CountingPartner { teams, ..known });
        }
        let left = before.into_values().filter(|partner| partner.is_limiting);
        left.flat_map(|partner| partner.teams).collect()
    }

    fn is_lost(&self, partner: &CountingPartner, now_ms: u64) -> bool {
        self.may_be_replaced || partner.contact.is_lost(now_ms)
    }

    /// Chooses the instances that are pinged while another counting member is silent.
    fn probed(&mut self, own: SocketAddr, members: &[SocketAddr]) -> Vec<SocketAddr> {
        self.probed.retain(|address| members.contains(address));
        if self.probed.len() < MAX_PROBED.min(members.len()) {
            self.probed = members
                .iter()
                .copied()
                .sample(&mut rand::rng(), MAX_PROBED)
                .into_iter()
                .collect();
        }
        self.probed.insert(own);
        self.probed.iter().copied().collect()
    }

    /// Whether an instance is reached; `None` if it wasn't pinged.
    fn is_reached(&self, own: SocketAddr, address: SocketAddr, now_ms: u64) -> Option<bool> {
        let answered_ms = self.answered_ms.get(&address);
        let is_fresh = answered_ms.is_some_and(|at_ms| now_ms < at_ms + ANSWER_LIFETIME_MS);
        let is_probed = self.probed.contains(&address);
        is_probed.then_some(address == own || is_fresh)
    }
}

impl QuotaService {
    /// Keeps contact with the other counting members until the token is cancelled. `may_be_replaced` tells whether
    /// the other members may count without this one.
    pub async fn keep_contact(
        self: Arc<Self>,
        placement: Arc<PlacementService>,
        may_be_replaced: impl Fn() -> bool,
        stop: CancellationToken,
    ) {
        let keep_contact = async {
            loop {
                let period = match self.look_up_partners(&placement) {
                    true => CHECK_PERIOD,
                    false => IDLE_PERIOD,
                };
                self.contacts.lock().may_be_replaced = may_be_replaced();
                for address in self.next_pings(&placement) {
                    let ping = PlacementMessage::Quota(QuotaMessage::Ping);
                    placement.send(&ping, address).await;
                }
                self.limit_teams(&placement);
                sleep(period).await;
            }
        };
        stop.run_until_cancelled(keep_contact).await;
    }

    /// Looks up the other counting members if it is time to. Returns whether there are any.
    fn look_up_partners(&self, placement: &PlacementService) -> bool {
        let now_ms = steady_ms();
        let mut contacts = self.contacts.lock();
        let is_due = |at_ms| now_ms >= at_ms + PARTNERS_PERIOD_MS;
        if !contacts.looked_up_ms.is_none_or(is_due) {
            return !contacts.partners.is_empty();
        }
        contacts.looked_up_ms = Some(now_ms);
        let own = placement.member().address;
        let mut partners: HashMap<SocketAddr, Vec<TeamId>> = HashMap::new();
        for team in self.counter.lock().active_teams(now_ms) {
            let counting = placement.preferred_members(&counting_task(&team));
            let is_own = |address: &SocketAddr| *address == own;
            let addresses: Vec<_> = counting.iter().map(|member| member.address).collect();
            let partner = addresses.iter().find(|address| !is_own(address));
            if let Some(partner) = partner.filter(|_| addresses.iter().any(is_own)) {
                partners.entry(*partner).or_default().push(team);
            }
        }
        for team in contacts.set_partners(partners) {
            self.counter.lock().record_contact(&team, now_ms);
        }
        !contacts.partners.is_empty()
    }

    /// The members that are pinged now.
    fn next_pings(&self, placement: &PlacementService) -> Vec<SocketAddr> {
        let now_ms = steady_ms();
        let mut contacts = self.contacts.lock();
        let mut pinged = Vec::new();
        let mut probes = contacts.may_be_replaced && !contacts.partners.is_empty();
        for (address, partner) in &mut contacts.partners {
            let is_busy = partner.teams.iter().any(|team| self.is_busy(team, now_ms));
            match partner.contact.next_step(is_busy, now_ms) {
                ContactStep::Wait => {}
                ContactStep::Ping => pinged.push(*address),
                ContactStep::Probe => {
                    pinged.push(*address);
                    probes = true;
                }
            }
        }
        if probes {
            contacts.probed_ms.get_or_insert(now_ms);
            let own = placement.member().address;
            let members = placement.members();
            let members: Vec<_> = members.iter().map(|member| member.address).collect();
            pinged.extend(contacts.probed(own, &members));
            pinged.retain(|address| *address != own);
            pinged.sort();
            pinged.dedup();
        }
        pinged
    }

    /// Limits the teams whose other counting member is silent to the instances that answer.
    fn limit_teams(&self, placement: &PlacementService) {
        let now_ms = steady_ms();
        let own = placement.member().address;
        let mut contacts = self.contacts.lock();
        let is_fresh = |at_ms: &mut u64| now_ms < *at_ms + ANSWER_LIFETIME_MS;
        contacts.answered_ms.retain(|_, at_ms| is_fresh(at_ms));
        let mut partners = contacts.partners.values();
        if !partners.any(|partner| contacts.is_lost(partner, now_ms)) {
            contacts.probed_ms = None;
        }
        let have_answered = |at_ms| now_ms >= at_ms + PROBE_TIME_MS;
        if !contacts.probed_ms.is_some_and(have_answered) {
            return;
        }
        let mut limited = Vec::new();
        for (address, partner) in &contacts.partners {
            if !contacts.is_lost(partner, now_ms) {
                continue;
            }
            let mut counter = self.counter.lock();
            for team in &partner.teams {
                let is_reached = |address: &SocketAddr| contacts.is_reached(own, *address, now_ms);
                let part = counter.limit_to_reached(team, is_reached, now_ms);
                if let Some(part) = part.filter(|_| !partner.is_limiting) {
                    log::info!("event=quota_limited team={team} partner={address} part={part:.2}");
                }
            }
            limited.push(*address);
        }
        for address in limited {
            if let Some(partner) = contacts.partners.get_mut(&address) {
                partner.is_limiting = true;
            }
        }
    }
}
