//! Who is there: heartbeats spread by gossip within a data centre, digests between them.
//!
//! Each instance sends a fixed number of messages of bounded size in each period, so its traffic
//! does not grow with the fleet. The platform's list only names candidates: a row goes when its
//! heartbeat has stood still for long, and comes back with the next one.

use std::collections::BTreeMap;

use amaranth_wire::gossip::{
    DataCentreDigest, GossipMessage, MAX_DIGEST_ROWS, MAX_GONE_NAMES, MAX_MEMBER_ROWS, MemberRow,
};
use amaranth_wire::id::{ConfigRevision, DataCentreId, InstanceId, LogOffset};
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use crate::hashing::rendezvous_order;
use crate::routing::DecisionRng;

/// Time between two heartbeats, in milliseconds.
pub const BEAT_PERIOD_MS: u64 = 1_000;
/// Age of a heartbeat from which an instance is suspected, in milliseconds.
pub const SUSPECT_MS: u64 = 10_000;
/// Age of a heartbeat from which an instance counts as gone, in milliseconds.
pub const GONE_MS: u64 = 20_000;
/// Age of a heartbeat from which an unlisted instance is forgotten, in milliseconds.
pub const FORGET_MS: u64 = 600_000;
/// Heartbeats between two digests of the same reporter.
const DIGEST_EVERY: u64 = 2;
/// Other data centres that a reporter calls for each digest.
const REMOTE_FANOUT: usize = 2;
/// One of so many messages goes to an instance that seems gone, so that every cut heals.
const HEAL_ONE_IN: u32 = 8;

/// How alive an instance seems.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberLiveness {
    /// Its heartbeat advanced lately.
    Live,
    /// Its heartbeat has stood still for a while.
    Suspect,
    /// Its heartbeat has stood still for long, or was never seen.
    Gone,
}

/// Whom to call in this period.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipTargets {
    /// An instance of the own data centre.
    pub local: Option<InstanceId>,
    /// Instances of other data centres; only a reporter has any.
    pub remote: Vec<InstanceId>,
}

#[derive(Debug, Clone)]
struct KnownMember {
    row: MemberRow,
    advanced_ms: u64,
}

#[derive(Debug, Clone)]
struct KnownDigest {
    digest: DataCentreDigest,
    advanced_ms: u64,
}

/// What one instance knows of the others. Times are of the own steady clock unless they are
/// part of a row.
#[derive(Debug, Clone)]
pub struct GossipTable {
    own: MemberRow,
    data_centre: DataCentreId,
    members: BTreeMap<InstanceId, KnownMember>,
    digests: BTreeMap<DataCentreId, KnownDigest>,
    candidates: BTreeMap<InstanceId, DataCentreId>,
    highest: LogOffset,
    first_beat_ms: Option<u64>,
    heard_ms: Option<u64>,
}

impl GossipTable {
    /// A table that knows only its own instance.
    pub fn new(own: MemberRow, data_centre: DataCentreId) -> Self {
        Self {
            own,
            data_centre,
            members: BTreeMap::new(),
            digests: BTreeMap::new(),
            candidates: BTreeMap::new(),
            highest: LogOffset(0),
            first_beat_ms: None,
            heard_ms: None,
        }
    }

    /// Takes the platform's list.
    pub fn set_candidates(&mut self, listed: impl IntoIterator<Item = (InstanceId, DataCentreId)>) {
        let own = &self.own.instance;
        self.candidates = listed.into_iter().filter(|(name, _)| name != own).collect();
    }

    /// Makes the next heartbeat. Offset and revision never go back.
    pub fn beat(
        &mut self,
        now_ms: u64,
        folded: LogOffset,
        revision: ConfigRevision,
        leaving: bool,
    ) {
        self.own.beat += 1;
        self.first_beat_ms.get_or_insert(now_ms);
        self.own.folded = self.own.folded.max(folded);
        self.own.revision = self.own.revision.max(revision);
        self.own.leaving = leaving;
        self.highest = self.highest.max(self.own.folded);
        let candidates = &self.candidates;
        self.members.retain(|name, known| {
            candidates.contains_key(name) || now_ms < known.advanced_ms + FORGET_MS
        });
    }

    /// Chooses whom to call now.
    pub fn targets(&self, now_ms: u64, rng: DecisionRng<'_>) -> GossipTargets {
        GossipTargets {
            local: self.local_target(now_ms, rng),
            remote: self.remote_targets(now_ms, rng),
        }
    }

    /// A message to an instance of the given data centre.
    pub fn message(&self, to: &DataCentreId, now_ms: u64, rng: DecisionRng<'_>) -> GossipMessage {
        let local = *to == self.data_centre;
        let limit = if local { MAX_DIGEST_ROWS } else { usize::MAX };
        GossipMessage {
            sender: self.own.instance.clone(),
            data_centre: self.data_centre.clone(),
            members: if local {
                self.member_rows(now_ms, rng)
            } else {
                Vec::new()
            },
            digests: self.digest_rows(now_ms, limit, rng),
        }
    }

    /// Takes what another instance knows.
    pub fn receive(&mut self, message: &GossipMessage, now_ms: u64) {
        self.heard_ms = Some(now_ms);
        if message.data_centre == self.data_centre {
            message
                .members
                .iter()
                .for_each(|row| self.take_row(row, now_ms));
        }
        message
            .digests
            .iter()
            .for_each(|digest| self.take_digest(digest, now_ms));
    }

    /// Makes the digest of the own data centre if this instance reports for it.
    pub fn refresh_digest(&mut self, now_ms: u64, unix_ms: u64) {
        if !self.own.beat.is_multiple_of(DIGEST_EVERY) || !self.is_reporter(now_ms) {
            return;
        }
        let live = self.live_rows(now_ms);
        let digest = DataCentreDigest {
            data_centre: self.data_centre.clone(),
            made_ms: unix_ms,
            live: live.len() as u32,
            folded: self.highest,
            lowest_revision: live
                .iter()
                .map(|row| row.revision)
                .min()
                .unwrap_or_default(),
            gone: self.gone_names(now_ms),
        };
        self.take_digest(&digest, now_ms);
    }

    /// How alive an instance of the own data centre seems.
    pub fn liveness(&self, instance: &InstanceId, now_ms: u64) -> MemberLiveness {
        if *instance == self.own.instance {
            return MemberLiveness::Live;
        }
        match self.members.get(instance) {
            Some(known) if now_ms < known.advanced_ms + SUSPECT_MS => MemberLiveness::Live,
            Some(known) if now_ms < known.advanced_ms + GONE_MS => MemberLiveness::Suspect,
            _ => MemberLiveness::Gone,
        }
    }

    /// Whether a listed instance, in any data centre, is believed gone. One that was never heard
    /// of gets as long as one that fell silent, so that a fresh start believes nobody gone.
    pub fn is_lost(&self, instance: &InstanceId, now_ms: u64) -> bool {
        let reported = self.digests.values();
        let mut reported = reported.filter(|known| known.digest.data_centre != self.data_centre);
        if reported.any(|known| known.digest.gone.contains(instance)) {
            return true;
        }
        if self.candidates.get(instance) != Some(&self.data_centre) {
            return false;
        }
        let heard = self.members.get(instance).map(|known| known.advanced_ms);
        let since = heard.or(self.first_beat_ms).unwrap_or(now_ms);
        now_ms >= since + GONE_MS
    }

    /// Whether no other instance was heard for long though some are listed.
    pub fn is_alone(&self, now_ms: u64) -> bool {
        let since = self.heard_ms.or(self.first_beat_ms).unwrap_or(now_ms);
        !self.candidates.is_empty() && now_ms >= since + GONE_MS
    }

    /// Time since the last heartbeat of an instance of the own data centre was made, as far as
    /// is known, in milliseconds.
    pub fn age_ms(&self, instance: &InstanceId, now_ms: u64) -> u64 {
        if *instance == self.own.instance {
            return 0;
        }
        let known = self.members.get(instance);
        known.map_or(u64::MAX, |known| now_ms.saturating_sub(known.advanced_ms))
    }

    /// Names of the instances of the own data centre that are not gone, this one included.
    pub fn live(&self, now_ms: u64) -> Vec<InstanceId> {
        let rows = self.live_rows(now_ms);
        rows.into_iter().map(|row| row.instance.clone()).collect()
    }

    /// The highest offset that any instance was ever heard to fold next. A restarted instance
    /// begins lower; this never goes back.
    pub fn highest_offset(&self) -> LogOffset {
        self.highest
    }

    /// The digests of all data centres, with the time since each advanced, in milliseconds.
    pub fn digests(&self, now_ms: u64) -> impl Iterator<Item = (&DataCentreDigest, u64)> {
        let known = self.digests.values();
        known.map(move |known| (&known.digest, now_ms.saturating_sub(known.advanced_ms)))
    }

    /// Whether this instance reports for its data centre. Two that both believe so are harmless:
    /// the newer digest wins everywhere.
    pub fn is_reporter(&self, now_ms: u64) -> bool {
        let live = self.live(now_ms);
        let key = self.data_centre.as_str().as_bytes();
        let order = rendezvous_order(key, &live, |instance| instance.as_str());
        order.first() == Some(&&self.own.instance)
    }

    fn live_rows(&self, now_ms: u64) -> Vec<&MemberRow> {
        let others = self.members.values();
        let live = others.filter(|known| now_ms < known.advanced_ms + GONE_MS);
        std::iter::once(&self.own)
            .chain(live.map(|known| &known.row))
            .collect()
    }

    fn take_row(&mut self, row: &MemberRow, now_ms: u64) {
        let known = self.members.get(&row.instance);
        let is_news = known.is_none_or(|known| row.is_newer(&known.row));
        if row.instance == self.own.instance || !is_news {
            return;
        }
        self.highest = self.highest.max(row.folded);
        let known = KnownMember {
            row: row.clone(),
            advanced_ms: now_ms.saturating_sub(row.age_ms),
        };
        self.members.insert(row.instance.clone(), known);
    }

    fn take_digest(&mut self, digest: &DataCentreDigest, now_ms: u64) {
        let known = self.digests.get(&digest.data_centre);
        if known.is_some_and(|known| known.digest.made_ms >= digest.made_ms) {
            return;
        }
        self.highest = self.highest.max(digest.folded);
        let digest = digest.clone();
        let known = KnownDigest {
            digest,
            advanced_ms: now_ms,
        };
        self.digests.insert(known.digest.data_centre.clone(), known);
    }

    /// Mostly a live instance; now and then one that seems gone, or is only listed.
    fn local_target(&self, now_ms: u64, rng: DecisionRng<'_>) -> Option<InstanceId> {
        let here = |name: &InstanceId| self.liveness(name, now_ms) != MemberLiveness::Gone;
        let (live, gone): (Vec<_>, Vec<_>) = self.local_names().into_iter().partition(here);
        let heal = live.is_empty() || rng.random_ratio(1, HEAL_ONE_IN);
        let pool = if heal && !gone.is_empty() {
            &gone
        } else {
            &live
        };
        pool.choose(rng).cloned()
    }

    /// Every other instance of the own data centre that is listed or was heard of.
    fn local_names(&self) -> Vec<InstanceId> {
        let listed = self.candidates.iter();
        let listed = listed.filter(|(_, at)| **at == self.data_centre);
        let mut names: Vec<_> = listed.map(|(name, _)| name.clone()).collect();
        names.extend(self.members.keys().cloned());
        names.sort_unstable();
        names.dedup();
        names
    }

    fn remote_targets(&self, now_ms: u64, rng: DecisionRng<'_>) -> Vec<InstanceId> {
        if !self.own.beat.is_multiple_of(DIGEST_EVERY) || !self.is_reporter(now_ms) {
            return Vec::new();
        }
        let mut centres: Vec<_> = self.candidates.values().collect();
        centres.sort_unstable();
        centres.dedup();
        centres.retain(|at| **at != self.data_centre);
        let chosen: Vec<_> = centres.into_iter().sample(rng, REMOTE_FANOUT);
        let chosen = chosen.into_iter();
        chosen
            .filter_map(|at| self.remote_target(at, rng))
            .collect()
    }

    fn remote_target(&self, at: &DataCentreId, rng: DecisionRng<'_>) -> Option<InstanceId> {
        let gone = self
            .digests
            .get(at)
            .map(|known| known.digest.gone.as_slice());
        let gone = gone.unwrap_or_default();
        let there = self.candidates.iter().filter(|(_, c)| *c == at);
        let (likely, other): (Vec<_>, Vec<_>) = there
            .map(|(name, _)| name)
            .partition(|name| !gone.contains(name));
        let pool = if likely.is_empty() { other } else { likely };
        pool.choose(rng).map(|name| (*name).clone())
    }

    /// The own row and a sample of the others that are not gone.
    fn member_rows(&self, now_ms: u64, rng: DecisionRng<'_>) -> Vec<MemberRow> {
        let known = self.members.values();
        let known = known.filter(|known| now_ms < known.advanced_ms + GONE_MS);
        let aged = known.map(|known| MemberRow {
            age_ms: now_ms.saturating_sub(known.advanced_ms),
            ..known.row.clone()
        });
        let mut rows: Vec<_> = aged.sample(rng, MAX_MEMBER_ROWS - 1);
        rows.push(self.own.clone());
        rows
    }

    fn digest_rows(
        &self,
        now_ms: u64,
        limit: usize,
        rng: DecisionRng<'_>,
    ) -> Vec<DataCentreDigest> {
        let fresh = self.digests.values();
        let fresh = fresh.filter(|known| now_ms < known.advanced_ms + FORGET_MS);
        let mut rows: Vec<_> = fresh.map(|known| known.digest.clone()).collect();
        if rows.len() > limit {
            rows.shuffle(rng);
            rows.truncate(limit);
        }
        rows
    }

    fn gone_names(&self, now_ms: u64) -> Vec<InstanceId> {
        let names = self.local_names().into_iter();
        let gone = names.filter(|name| self.liveness(name, now_ms) == MemberLiveness::Gone);
        gone.take(MAX_GONE_NAMES).collect()
    }
}
