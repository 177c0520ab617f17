//! The complete settings of a fleet. All processes read the same file; each is told separately
//! which instance it is.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;

use amaranth_wire::id::{DataCentreId, InstanceId, TierId};
use amaranth_wire::unit::{ByteSize, EventRate, TimeSpan};

use crate::operator::OperatorSettings;
use crate::reader::{Result, Section, SettingsError, read};
use crate::team::TeamSettings;
use crate::tier::TierSettings;
use crate::upstream::{UpstreamGroup, UpstreamKind};

/// Settings of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the log and the instance list; port 0 if a stand-in is started for them.
    pub address: SocketAddr,
    /// Maximum rate of log appends from the whole fleet.
    pub append_rate: EventRate,
    /// Retention time of log records.
    pub retention: TimeSpan,
}

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: InstanceId,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// Address on which the instance listens.
    pub listen: SocketAddr,
    /// Relative capacity; an instance with weight 0 owns no batch work.
    pub weight: u32,
}

/// Sharing of upstreams between batch and online work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchSettings {
    /// Name of the policy that decides how many slots batch work gets.
    pub policy: String,
    /// Maximum duration of a step with batch work while online work runs, in thousandths of the
    /// step's duration without batch work.
    pub slowdown: u32,
}

/// Limits on request bodies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodySettings {
    /// Maximum size of the body of an online request.
    pub online: ByteSize,
    /// Maximum size of the body of a batch.
    pub batch: ByteSize,
    /// Maximum size of one line of a batch.
    pub item: ByteSize,
    /// Maximum time to receive a body.
    pub time: TimeSpan,
}

/// Settings of a whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet.
    pub fleet: String,
    /// Data centres of the fleet.
    pub data_centres: Vec<DataCentreId>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// The instances.
    pub instances: Vec<InstanceSettings>,
    /// The upstream groups.
    pub upstreams: Vec<UpstreamGroup>,
    /// The tiers.
    pub tiers: Vec<TierSettings>,
    /// The teams. If there are none, callers need no key.
    pub teams: Vec<TeamSettings>,
    /// The operators. If there are none, operator calls need no key.
    pub operators: Vec<OperatorSettings>,
    /// Limits on request bodies.
    pub bodies: BodySettings,
    /// Sharing of upstreams between batch and online work.
    pub batch: BatchSettings,
    /// Name of the routing policy for online requests.
    pub routing: String,
}

impl FleetSettings {
    /// Reads the settings file at this path.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(e) => Err(vec![SettingsError {
                file,
                line: 0,
                column: 0,
                message: e.to_string(),
            }]),
        }
    }

    /// Parses settings from text; `file` is the name used in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        read(file, text, Self::decode)
    }

    /// Returns the instance with this name.
    pub fn instance(&self, name: &InstanceId) -> Option<&InstanceSettings> {
        self.instances.iter().find(|i| i.name == *name)
    }

    /// Returns the tier with this name.
    pub fn tier(&self, name: &TierId) -> Option<&TierSettings> {
        self.tiers.iter().find(|tier| tier.name == *name)
    }

    /// Returns the upstream group with this name.
    pub fn group(&self, name: &str) -> Option<&UpstreamGroup> {
        self.upstreams.iter().find(|group| group.name == name)
    }

    fn decode(section: &Section<'_, '_>) -> Option<Self> {
        let fleet = section.text("fleet");
        let data_centres = section.texts("data_centres");
        let platform = section.require_section("platform", decode_platform);
        let instances = section.sections("instances", decode_instance);
        let upstreams = section.sections("upstreams", UpstreamGroup::decode);
        let tiers = section.sections("tiers", TierSettings::decode);
        let teams = section.sections("teams", TeamSettings::decode);
        let operators = section.sections("operators", OperatorSettings::decode);
        let bodies = section.section("bodies", decode_bodies);
        let batch = section.section("batch", decode_batch);
        let routing = section.text_or("routing", "prefix_affinity".to_owned());
        let settings = Self {
            fleet: fleet?,
            data_centres: data_centres?,
            platform: platform?,
            instances: instances?,
            upstreams: upstreams?,
            tiers: tiers?,
            teams: teams?,
            operators: operators?,
            bodies: bodies.unwrap_or_else(default_bodies),
            batch: batch.unwrap_or_else(default_batch),
            routing: routing?,
        };
        settings.check(section);
        Some(settings)
    }

    fn check(&self, section: &Section<'_, '_>) {
        report_duplicate_names(section, "data_centres", self.data_centres.iter());
        report_duplicate_names(section, "instances", self.instances.iter().map(|i| &i.name));
        report_duplicate_names(section, "upstreams", self.upstreams.iter().map(|g| &g.name));
        report_duplicate_names(section, "tiers", self.tiers.iter().map(|t| &t.name));
        report_duplicate_names(section, "teams", self.teams.iter().map(|t| &t.name));
        report_duplicate_names(section, "operators", self.operators.iter().map(|o| &o.name));
        self.check_data_centres(section);
        section.report_empty("data_centres", &self.data_centres);
        section.report_empty("instances", &self.instances);
        section.report_empty("tiers", &self.tiers);
        self.check_addresses(section);
        self.check_tiers(section);
        self.check_keys(section);
    }

    fn check_tiers(&self, section: &Section<'_, '_>) {
        for tier in &self.tiers {
            let name = &tier.name;
            let message = match self.group(&tier.upstreams) {
                None => {
                    let group = &tier.upstreams;
                    format!("tier {name} refers to the unknown upstream group {group:?}")
                }
                Some(group) if tier.batch && group.kind == UpstreamKind::Service => {
                    format!("tier {name} takes batches but its upstreams are a service")
                }
                Some(_) => continue,
            };
            section.report_at("tiers", message);
        }
    }

    /// Reports fixed addresses that are assigned to two processes.
    fn check_addresses(&self, section: &Section<'_, '_>) {
        let listeners = self.instances.iter().filter(|i| i.listen.port() != 0);
        let listeners = listeners.map(|i| (i.listen, &i.name));
        for (address, first, second) in find_duplicates(listeners) {
            let message = format!("instances {first} and {second} both listen on {address}");
            section.report_at("instances", message);
        }
        let addresses = self.upstreams.iter().flat_map(named_addresses);
        for (address, first, second) in find_duplicates(addresses.filter(|(a, _)| a.port() != 0)) {
            let message = format!("upstreams {first} and {second} both have the address {address}");
            section.report_at("upstreams", message);
        }
    }

    fn check_keys(&self, section: &Section<'_, '_>) {
        let keys = self.teams.iter().map(|team| (team.key_sha256, &team.name));
        for (_, first, second) in find_duplicates(keys) {
            let message = format!("teams {first} and {second} have the same key");
            section.report_at("teams", message);
        }
    }

    fn check_data_centres(&self, section: &Section<'_, '_>) {
        let known: HashSet<_> = self.data_centres.iter().collect();
        for instance in &self.instances {
            if !known.contains(&instance.data_centre) {
                let (name, location) = (&instance.name, &instance.data_centre);
                let message = format!("instance {name} is in the unknown data centre {location}");
                section.report_at("instances", message);
            }
        }
        for group in &self.upstreams {
            for location in group
                .data_centres
                .iter()
                .filter(|location| !known.contains(location))
            {
                let message = format!(
                    "group {} is in the unknown data centre {location}",
                    group.name
                );
                section.report_at("upstreams", message);
            }
        }
    }
}

/// Returns the addresses of a group, each with the name of its upstream.
fn named_addresses(group: &UpstreamGroup) -> impl Iterator<Item = (SocketAddr, String)> + '_ {
    let addresses = group.addresses.iter().enumerate();
    addresses.map(|(index, address)| (*address, format!("{}-{}", group.name, index + 1)))
}

/// Finds keys with several owners. Returns each duplicate with the first and the later owner.
fn find_duplicates<K: Eq + std::hash::Hash, T: Clone>(
    pairs: impl Iterator<Item = (K, T)>,
) -> Vec<(K, T, T)> {
    let mut owners = HashMap::new();
    let mut found = Vec::new();
    for (key, owner) in pairs {
        match owners.get(&key) {
            None => _ = owners.insert(key, owner),
            Some(first) => found.push((key, T::clone(first), owner)),
        }
    }
    found
}

fn report_duplicate_names<T: std::fmt::Display + Eq + std::hash::Hash>(
    section: &Section<'_, '_>,
    key: &'static str,
    names: impl Iterator<Item = T>,
) {
    let mut seen = HashSet::new();
    for name in names {
        let message = format!("duplicate entry {name} in {key:?}");
        if !seen.insert(name) {
            section.report_at(key, message);
        }
    }
}

fn decode_platform(section: &Section<'_, '_>) -> Option<PlatformSettings> {
    let address = section.text("address");
    let append_rate = section.text_or("append_rate", EventRate::per_second(300));
    let retention = section.text_or("retention", TimeSpan::from_millis(86_400_000));
    let platform = PlatformSettings {
        address: address?,
        append_rate: append_rate?,
        retention: retention?,
    };
    section.report_zero("append_rate", &platform.append_rate);
    section.report_zero("retention", &platform.retention);
    Some(platform)
}

fn decode_instance(section: &Section<'_, '_>) -> Option<InstanceSettings> {
    let name = section.text("name");
    let data_centre = section.text("data_centre");
    let listen = section.text_or("listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    let weight = section.number_or("weight", 1);
    Some(InstanceSettings {
        name: name?,
        data_centre: data_centre?,
        listen: listen?,
        weight: weight?,
    })
}

fn default_batch() -> BatchSettings {
    BatchSettings {
        policy: "preempt".to_owned(),
        slowdown: 1_200,
    }
}

fn decode_batch(section: &Section<'_, '_>) -> Option<BatchSettings> {
    let default = default_batch();
    let policy = section.text_or("policy", default.policy);
    let slowdown = section.number_or("slowdown", default.slowdown);
    Some(BatchSettings {
        policy: policy?,
        slowdown: slowdown?,
    })
}

fn default_bodies() -> BodySettings {
    BodySettings {
        online: ByteSize::from_bytes(4 << 20),
        batch: ByteSize::from_bytes(1 << 30),
        item: ByteSize::from_bytes(256 << 10),
        time: TimeSpan::from_millis(10_000),
    }
}

fn decode_bodies(section: &Section<'_, '_>) -> Option<BodySettings> {
    let default = default_bodies();
    let online = section.text_or("online", default.online);
    let batch = section.text_or("batch", default.batch);
    let item = section.text_or("item", default.item);
    let time = section.text_or("time", default.time);
    let bodies = BodySettings {
        online: online?,
        batch: batch?,
        item: item?,
        time: time?,
    };
    section.report_zero("online", &bodies.online);
    section.report_zero("batch", &bodies.batch);
    section.report_zero("item", &bodies.item);
    section.report_zero("time", &bodies.time);
    if bodies.batch != ByteSize::default() && bodies.item > bodies.batch {
        section.report_at("item", "\"item\" must not be larger than \"batch\"");
    }
    Some(bodies)
}
