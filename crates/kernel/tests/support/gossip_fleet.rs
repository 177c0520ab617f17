//! Many gossip tables stepped under virtual time, with a network given as a function.

#![allow(dead_code)]

use std::collections::BTreeMap;

use amaranth_kernel::membership::{BEAT_PERIOD_MS, GossipTable, MemberLiveness};
use amaranth_wire::gossip::{GossipMessage, MemberRow};
use amaranth_wire::id::{ConfigRevision, DataCentreId, InstanceId, LogOffset};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Seed of every draw in these tests.
const SEED: u64 = 7;

pub struct FleetMember {
    pub table: GossipTable,
    pub data_centre: DataCentreId,
    pub folded: LogOffset,
    /// Whether the process runs; a paused one neither sends nor answers.
    pub running: bool,
    pub sent_bytes: u64,
    pub sent_messages: u64,
}

/// A fleet whose members all appear on the platform's list.
pub struct GossipFleet {
    pub now_ms: u64,
    pub members: BTreeMap<InstanceId, FleetMember>,
    rng: StdRng,
}

pub fn name_of(index: usize) -> InstanceId {
    format!("instance-{index}").parse().expect("a valid name")
}

impl GossipFleet {
    pub fn new(data_centres: usize, per_data_centre: usize) -> Self {
        let mut fleet = Self {
            now_ms: 1_000_000,
            members: BTreeMap::new(),
            rng: StdRng::seed_from_u64(SEED),
        };
        for index in 0..data_centres * per_data_centre {
            fleet.start(index, index % data_centres);
        }
        fleet.publish_list();
        fleet
    }

    /// Starts a member, in place of an earlier run of it.
    pub fn start(&mut self, index: usize, centre: usize) {
        let data_centre: DataCentreId = format!("dc-{centre}").parse().expect("a valid name");
        let own = MemberRow {
            instance: name_of(index),
            started_ms: self.now_ms,
            beat: 0,
            leaving: false,
            folded: LogOffset(0),
            revision: ConfigRevision(0),
            age_ms: 0,
        };
        let member = FleetMember {
            table: GossipTable::new(own, data_centre.clone()),
            data_centre,
            folded: LogOffset(0),
            running: true,
            sent_bytes: 0,
            sent_messages: 0,
        };
        self.members.insert(name_of(index), member);
    }

    /// Shows every member of the fleet to every other.
    pub fn publish_list(&mut self) {
        let listed = self
            .members
            .iter()
            .map(|(n, m)| (n.clone(), m.data_centre.clone()));
        let listed: Vec<_> = listed.collect();
        for member in self.members.values_mut() {
            member.table.set_candidates(listed.iter().cloned());
        }
    }

    /// One period: every running member beats, then calls its targets. A message passes if the
    /// network says so for its sender and receiver; answers pass the same way back.
    pub fn step(&mut self, network: impl Fn(&InstanceId, &InstanceId) -> bool) {
        self.now_ms += BEAT_PERIOD_MS;
        let names: Vec<_> = self.members.keys().cloned().collect();
        for name in &names {
            self.beat(name);
        }
        for name in &names {
            if !self.members[name].running {
                continue;
            }
            let targets = self.members[name].table.targets(self.now_ms, &mut self.rng);
            let targets = targets.local.into_iter().chain(targets.remote);
            for target in targets.collect::<Vec<_>>() {
                self.exchange(name, &target, &network);
            }
        }
    }

    fn beat(&mut self, name: &InstanceId) {
        let now_ms = self.now_ms;
        let member = self.members.get_mut(name).expect("a member");
        if member.running {
            member
                .table
                .beat(now_ms, member.folded, ConfigRevision(0), false);
            member.table.refresh_digest(now_ms, now_ms);
        }
    }

    fn exchange(
        &mut self,
        from: &InstanceId,
        to: &InstanceId,
        network: &impl Fn(&InstanceId, &InstanceId) -> bool,
    ) {
        let message = self.send(from, to);
        let reached = self.members.get(to).is_some_and(|m| m.running) && network(from, to);
        if !reached {
            return;
        }
        self.deliver(to, &message);
        let answer = self.send(to, from);
        if network(to, from) {
            self.deliver(from, &answer);
        }
    }

    fn send(&mut self, from: &InstanceId, to: &InstanceId) -> GossipMessage {
        let to_centre = self.members.get(to).map(|m| m.data_centre.clone());
        let sender = self.members.get_mut(from).expect("a member");
        let to_centre = to_centre.unwrap_or_else(|| sender.data_centre.clone());
        let message = sender.table.message(&to_centre, self.now_ms, &mut self.rng);
        sender.sent_messages += 1;
        sender.sent_bytes += rmp_serde::to_vec(&message).expect("it encodes").len() as u64;
        message
    }

    fn deliver(&mut self, to: &InstanceId, message: &GossipMessage) {
        let now_ms = self.now_ms;
        let member = self.members.get_mut(to).expect("a member");
        member.table.receive(message, now_ms);
    }

    /// How one member sees another.
    pub fn sees(&self, from: usize, to: usize) -> MemberLiveness {
        let table = &self.members[&name_of(from)].table;
        table.liveness(&name_of(to), self.now_ms)
    }

    /// Pairs of running members of one data centre that do not see each other as live.
    pub fn blind_pairs(&self) -> usize {
        let running: Vec<_> = self.members.iter().filter(|(_, m)| m.running).collect();
        let pairs = running
            .iter()
            .flat_map(|a| running.iter().map(move |b| (a, b)));
        let blind = pairs.filter(|((_, a), (name, b))| {
            a.data_centre == b.data_centre
                && a.table.liveness(name, self.now_ms) != MemberLiveness::Live
        });
        blind.count()
    }
}
