//! Cluster membership and failure detection: gossiped heartbeats within a data centre, digests
//! between data centres.
//!
//! Each instance sends a fixed number of messages of bounded size per period, so its traffic does
//! not grow with the fleet. The platform's list only supplies candidates: an instance counts as
//! gone when its heartbeat has not advanced for [`GONE_MS`], and as live again with the next one.

use std::collections::BTreeMap;

use amaranth_wire::gossip::{
    DataCentreDigest, GossipMessage, MAX_DIGEST_ROWS, MAX_GONE_NAMES, MAX_MEMBER_ROWS, MemberRow,
};
use amaranth_wire::id::{ConfigRevision, DataCentreId, InstanceId, LogOffset};
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use crate::hashing::rendezvous_order;
use crate::routing::DecisionRng;

/// Heartbeat period, in milliseconds.
pub const HEARTBEAT_PERIOD_MS: u64 = 1_000;
/// Heartbeat age from which an instance is suspect, in milliseconds.
pub const SUSPECT_MS: u64 = 10_000;
/// Heartbeat age from which an instance counts as gone, in milliseconds.
pub const GONE_MS: u64 = 20_000;
/// Heartbeat age from which an unlisted instance is removed from the table, in milliseconds.
pub const FORGET_MS: u64 = 600_000;
/// A reporter makes a digest once per this many heartbeats.
const HEARTBEATS_PER_DIGEST: u64 = 2;
/// Other data centres to which a reporter sends each digest.
const REMOTE_FANOUT: usize = 2;
/// One in this many local messages goes to an instance that seems gone, so that membership
/// recovers after any network partition.
const PROBE_GONE_ONE_IN: u32 = 8;

/// Failure detector state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberLiveness {
    /// The heartbeat is younger than [`SUSPECT_MS`].
    Live,
    /// The heartbeat is older than that, but younger than [`GONE_MS`].
    Suspect,
    /// The heartbeat is older still, or none was received.
    Gone,
}

/// Instances to exchange gossip with in one period.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipTargets {
    /// An instance of this data centre; `None` if no other is known.
    pub local: Option<InstanceId>,
    /// Instances of other data centres; empty unless this instance is the reporter.
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

/// One instance's view of the other instances. Times are on the local steady clock, except those
/// inside rows and digests.
#[derive(Debug, Clone)]
pub struct GossipTable {
    own: MemberRow,
    data_centre: DataCentreId,
    members: BTreeMap<InstanceId, KnownMember>,
    digests: BTreeMap<DataCentreId, KnownDigest>,
    candidates: BTreeMap<InstanceId, DataCentreId>,
    highest_folded: LogOffset,
    first_heartbeat_ms: Option<u64>,
    last_received_ms: Option<u64>,
}

impl GossipTable {
    /// A table that holds only the local instance.
    pub fn new(own: MemberRow, data_centre: DataCentreId) -> Self {
        Self {
            own,
            data_centre,
            members: BTreeMap::new(),
            digests: BTreeMap::new(),
            candidates: BTreeMap::new(),
            highest_folded: LogOffset(0),
            first_heartbeat_ms: None,
            last_received_ms: None,
        }
    }

    /// Replaces the candidates by the platform's list.
    pub fn set_candidates(&mut self, listed: impl IntoIterator<Item = (InstanceId, DataCentreId)>) {
        let own = &self.own.instance;
        self.candidates = listed.into_iter().filter(|(name, _)| name != own).collect();
    }

    /// Advances the local heartbeat and removes members that have expired. Offset and revision
    /// never decrease.
    pub fn advance_heartbeat(
        &mut self,
        now_ms: u64,
        folded: LogOffset,
        revision: ConfigRevision,
        leaving: bool,
    ) {
        self.own.beat += 1;
        self.first_heartbeat_ms.get_or_insert(now_ms);
        self.own.folded = self.own.folded.max(folded);
        self.own.revision = self.own.revision.max(revision);
        self.own.leaving = leaving;
        self.highest_folded = self.highest_folded.max(self.own.folded);
        let candidates = &self.candidates;
        self.members.retain(|name, known| {
            candidates.contains_key(name) || now_ms < known.advanced_ms + FORGET_MS
        });
    }

    /// Chooses the gossip targets for this period.
    pub fn targets(&self, now_ms: u64, rng: DecisionRng<'_>) -> GossipTargets {
        GossipTargets {
            local: self.local_target(now_ms, rng),
            remote: self.remote_targets(now_ms, rng),
        }
    }

    /// Builds a message for an instance of the given data centre. Member rows go only to instances
    /// of this data centre.
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

    /// Merges the rows and digests of a received message.
    pub fn receive(&mut self, message: &GossipMessage, now_ms: u64) {
        self.last_received_ms = Some(now_ms);
        if message.data_centre == self.data_centre {
            message
                .members
                .iter()
                .for_each(|row| self.merge_row(row, now_ms));
        }
        message
            .digests
            .iter()
            .for_each(|digest| self.merge_digest(digest, now_ms));
    }

    /// Rebuilds the digest of this data centre if it is due and this instance is the reporter.
    pub fn refresh_digest(&mut self, now_ms: u64, unix_ms: u64) {
        if !self.own.beat.is_multiple_of(HEARTBEATS_PER_DIGEST) || !self.is_reporter(now_ms) {
            return;
        }
        let live = self.live_rows(now_ms);
        let digest = DataCentreDigest {
            data_centre: self.data_centre.clone(),
            made_ms: unix_ms,
            live: live.len() as u32,
            folded: self.highest_folded,
            lowest_revision: live
                .iter()
                .map(|row| row.revision)
                .min()
                .unwrap_or_default(),
            gone: self.gone_names(now_ms),
        };
        self.merge_digest(&digest, now_ms);
    }

    /// Failure detector state of an instance of this data centre.
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

    /// Whether a listed instance, in any data centre, counts as gone. One that was never heard of
    /// gets the full timeout from the first local heartbeat, so that a newly started instance does
    /// not take every other for gone.
    pub fn is_gone(&self, instance: &InstanceId, now_ms: u64) -> bool {
        let reported = self.digests.values();
        let mut reported = reported.filter(|known| known.digest.data_centre != self.data_centre);
        if reported.any(|known| known.digest.gone.contains(instance)) {
            return true;
        }
        if self.candidates.get(instance) != Some(&self.data_centre) {
            return false;
        }
        let heard = self.members.get(instance).map(|known| known.advanced_ms);
        let since = heard.or(self.first_heartbeat_ms).unwrap_or(now_ms);
        now_ms >= since + GONE_MS
    }

    /// Whether no message has arrived for [`GONE_MS`] although other instances are listed.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        let since = self
            .last_received_ms
            .or(self.first_heartbeat_ms)
            .unwrap_or(now_ms);
        !self.candidates.is_empty() && now_ms >= since + GONE_MS
    }

    /// Estimated age of the last heartbeat of an instance of this data centre, in milliseconds;
    /// `u64::MAX` if none was received.
    pub fn age_ms(&self, instance: &InstanceId, now_ms: u64) -> u64 {
        if *instance == self.own.instance {
            return 0;
        }
        let known = self.members.get(instance);
        known.map_or(u64::MAX, |known| now_ms.saturating_sub(known.advanced_ms))
    }

    /// Instances of this data centre that are not gone, the local one included.
    pub fn live(&self, now_ms: u64) -> Vec<InstanceId> {
        let rows = self.live_rows(now_ms);
        rows.into_iter().map(|row| row.instance.clone()).collect()
    }

    /// The highest log offset that any instance has reported as the next one to apply. It never
    /// decreases, although a restarted instance starts lower.
    pub fn highest_offset(&self) -> LogOffset {
        self.highest_folded
    }

    /// The latest digest of each data centre, with the milliseconds since it was received.
    pub fn digests(&self, now_ms: u64) -> impl Iterator<Item = (&DataCentreDigest, u64)> {
        let known = self.digests.values();
        known.map(move |known| (&known.digest, now_ms.saturating_sub(known.advanced_ms)))
    }

    /// Whether this instance is the reporter of its data centre: the first live one in rendezvous
    /// order. Two reporters at once are harmless, as the newer digest wins everywhere.
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

    fn merge_row(&mut self, row: &MemberRow, now_ms: u64) {
        let known = self.members.get(&row.instance);
        let supersedes = known.is_none_or(|known| row.is_newer(&known.row));
        if row.instance == self.own.instance || !supersedes {
            return;
        }
        self.highest_folded = self.highest_folded.max(row.folded);
        let known = KnownMember {
            row: row.clone(),
            advanced_ms: now_ms.saturating_sub(row.age_ms),
        };
        self.members.insert(row.instance.clone(), known);
    }

    fn merge_digest(&mut self, digest: &DataCentreDigest, now_ms: u64) {
        let known = self.digests.get(&digest.data_centre);
        if known.is_some_and(|known| known.digest.made_ms >= digest.made_ms) {
            return;
        }
        self.highest_folded = self.highest_folded.max(digest.folded);
        let digest = digest.clone();
        let known = KnownDigest {
            digest,
            advanced_ms: now_ms,
        };
        self.digests.insert(known.digest.data_centre.clone(), known);
    }

    /// Usually a live instance; one time in [`PROBE_GONE_ONE_IN`] one that seems gone or is only
    /// listed.
    fn local_target(&self, now_ms: u64, rng: DecisionRng<'_>) -> Option<InstanceId> {
        let seems_live = |name: &InstanceId| self.liveness(name, now_ms) != MemberLiveness::Gone;
        let (live, gone): (Vec<_>, Vec<_>) = self.local_names().into_iter().partition(seems_live);
        let probe_gone = live.is_empty() || rng.random_ratio(1, PROBE_GONE_ONE_IN);
        let pool = if probe_gone && !gone.is_empty() {
            &gone
        } else {
            &live
        };
        pool.choose(rng).cloned()
    }

    /// Every other instance of this data centre that is listed or has sent a heartbeat.
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
        if !self.own.beat.is_multiple_of(HEARTBEATS_PER_DIGEST) || !self.is_reporter(now_ms) {
            return Vec::new();
        }
        let mut data_centres: Vec<_> = self.candidates.values().collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres.retain(|at| **at != self.data_centre);
        let chosen: Vec<_> = data_centres.into_iter().sample(rng, REMOTE_FANOUT);
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
        let (reachable, other): (Vec<_>, Vec<_>) = there
            .map(|(name, _)| name)
            .partition(|name| !gone.contains(name));
        let pool = if reachable.is_empty() {
            other
        } else {
            reachable
        };
        pool.choose(rng).map(|name| (*name).clone())
    }

    /// The local row and a random sample of the others that are not gone.
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
