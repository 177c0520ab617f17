//! A simulated fleet of gossip tables on virtual time; a function decides which messages arrive.

#![allow(dead_code)]

use std::collections::BTreeMap;

use amaranth_kernel::membership::{GossipTable, HEARTBEAT_PERIOD_MS, MemberLiveness};
use amaranth_wire::gossip::{GossipMessage, MemberRow};
use amaranth_wire::id::{ConfigRevision, DataCentreId, InstanceId, LogOffset};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Seed of the random number generator.
const SEED: u64 = 7;

pub struct FleetMember {
    pub table: GossipTable,
    pub data_centre: DataCentreId,
    pub folded: LogOffset,
    /// False while the process is paused: it then neither sends nor answers.
    pub running: bool,
    pub sent_bytes: u64,
    pub sent_messages: u64,
}

/// A fleet in which the platform's list contains every member.
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

    /// Starts a member with an empty table; replaces an earlier run of the same index.
    pub fn start(&mut self, index: usize, data_centre_index: usize) {
        let data_centre: DataCentreId = format!("dc-{data_centre_index}")
            .parse()
            .expect("a valid name");
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

    /// Passes the list of all members to every member.
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

    /// Simulates one period: every running member advances its heartbeat, then exchanges messages
    /// with its targets. `network` tells whether a message from sender to receiver arrives; it is
    /// asked again for the reply.
    pub fn step(&mut self, network: impl Fn(&InstanceId, &InstanceId) -> bool) {
        self.now_ms += HEARTBEAT_PERIOD_MS;
        let names: Vec<_> = self.members.keys().cloned().collect();
        for name in &names {
            self.advance_heartbeat(name);
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

    fn advance_heartbeat(&mut self, name: &InstanceId) {
        let now_ms = self.now_ms;
        let member = self.members.get_mut(name).expect("a member");
        if member.running {
            member
                .table
                .advance_heartbeat(now_ms, member.folded, ConfigRevision(0), false);
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
        let is_delivered = self.members.get(to).is_some_and(|m| m.running) && network(from, to);
        if !is_delivered {
            return;
        }
        self.deliver(to, &message);
        let reply = self.send(to, from);
        if network(to, from) {
            self.deliver(from, &reply);
        }
    }

    fn send(&mut self, from: &InstanceId, to: &InstanceId) -> GossipMessage {
        let to_data_centre = self.members.get(to).map(|m| m.data_centre.clone());
        let sender = self.members.get_mut(from).expect("a member");
        let to_data_centre = to_data_centre.unwrap_or_else(|| sender.data_centre.clone());
        let message = sender
            .table
            .message(&to_data_centre, self.now_ms, &mut self.rng);
        sender.sent_messages += 1;
        sender.sent_bytes += rmp_serde::to_vec(&message).expect("it encodes").len() as u64;
        message
    }

    fn deliver(&mut self, to: &InstanceId, message: &GossipMessage) {
        let now_ms = self.now_ms;
        let member = self.members.get_mut(to).expect("a member");
        member.table.receive(message, now_ms);
    }

    /// The state of one member in another member's failure detector.
    pub fn liveness_of(&self, from: usize, to: usize) -> MemberLiveness {
        let table = &self.members[&name_of(from)].table;
        table.liveness(&name_of(to), self.now_ms)
    }

    /// Ordered pairs of running members in one data centre where the first does not see the second
    /// as live.
    pub fn not_live_pairs(&self) -> usize {
        let running: Vec<_> = self.members.iter().filter(|(_, m)| m.running).collect();
        let pairs = running
            .iter()
            .flat_map(|a| running.iter().map(move |b| (a, b)));
        let not_live = pairs.filter(|((_, a), (name, b))| {
            a.data_centre == b.data_centre
                && a.table.liveness(name, self.now_ms) != MemberLiveness::Live
        });
        not_live.count()
    }
}
