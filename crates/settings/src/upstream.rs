//! Settings of upstreams.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use amaranth_wire::id::{DataCentreId, ModelId, UpstreamId};

use crate::reader::Section;

/// Type of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine with continuous batching.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// The string is not one of the values that a setting accepts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownValueError {
    /// List of the accepted values.
    pub expected: &'static str,
}

impl fmt::Display for UnknownValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.expected)
    }
}

impl std::error::Error for UnknownValueError {}

/// Result of parsing a value from a fixed set.
pub type Result<T> = std::result::Result<T, UnknownValueError>;

impl FromStr for UpstreamKind {
    type Err = UnknownValueError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err(UnknownValueError {
                expected: "\"engine\" or \"service\"",
            }),
        }
    }
}

impl fmt::Display for UpstreamKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Engine => "engine",
            Self::Service => "service",
        })
    }
}

/// A group of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamGroup {
    /// Name of the group; its upstreams are named `NAME-1`, `NAME-2` and so on.
    pub name: String,
    /// Type of the upstreams.
    pub kind: UpstreamKind,
    /// Model that engines serve; `None` for services without one.
    pub model: Option<ModelId>,
    /// Number of upstreams.
    pub count: usize,
    /// Addresses of the upstreams, in order; empty if stand-ins are started for them.
    pub addresses: Vec<SocketAddr>,
    /// Relative speeds, assigned to the upstreams in rotation.
    pub speeds: Vec<f64>,
    /// Maximum number of requests that one upstream serves at once.
    pub slots: u32,
    /// Whether the upstreams reject orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Data centres, assigned to the upstreams in rotation.
    pub data_centres: Vec<DataCentreId>,
}

/// Settings of one upstream, derived from its group.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamSettings {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Address; `None` if a stand-in is started for it.
    pub address: Option<SocketAddr>,
    /// Relative speed; 1.0 if the group sets none.
    pub speed: f64,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentreId,
}

impl UpstreamGroup {
    pub(crate) fn decode(section: &Section<'_, '_>) -> Option<Self> {
        let name = section.text::<UpstreamId>("name");
        let kind = section.text("kind");
        let model = section.text_or("model", String::new());
        let count = section.number("count");
        let addresses = section.texts("addresses");
        let speeds = section.numbers("speeds");
        let slots = section.number_or("slots", 16);
        let checks_fencing = section.flag_or("checks_fencing", true);
        let data_centres = section.texts("data_centres");
        let group = Self {
            name: name?.to_string(),
            kind: kind?,
            model: parse_model(section, &model?),
            count: count?,
            addresses: addresses?,
            speeds: speeds?,
            slots: slots?,
            checks_fencing: checks_fencing?,
            data_centres: data_centres?,
        };
        group.check(section);
        Some(group)
    }

    fn check(&self, section: &Section<'_, '_>) {
        if self.count == 0 {
            section.report_at("count", "\"count\" must be at least 1");
        }
        if self.slots == 0 {
            section.report_at("slots", "\"slots\" must be at least 1");
        }
        if self.kind == UpstreamKind::Engine && self.model.is_none() {
            section.report("an engine group needs a \"model\"");
        }
        if !self.addresses.is_empty() && self.addresses.len() != self.count {
            let (given, count) = (self.addresses.len(), self.count);
            let message = format!("\"addresses\" has {given} entries, \"count\" is {count}");
            section.report_at("addresses", message);
        }
        if self.speeds.iter().any(|&speed| speed <= 0.0) {
            section.report_at("speeds", "\"speeds\" must be above 0");
        }
        section.report_empty("data_centres", &self.data_centres);
    }

    /// Returns the settings of every upstream of the group.
    pub fn upstreams(&self) -> Vec<UpstreamSettings> {
        (0..self.count).map(|index| self.upstream(index)).collect()
    }

    fn upstream(&self, index: usize) -> UpstreamSettings {
        let name = format!("{}-{}", self.name, index + 1);
        let data_centres = &self.data_centres;
        UpstreamSettings {
            upstream: name.parse().expect("group names are identifiers"),
            address: self.addresses.get(index).copied(),
            speed: match self.speeds.len() {
                0 => 1.0,
                len => self.speeds[index % len],
            },
            data_centre: data_centres[index % data_centres.len()].clone(),
        }
    }
}

fn parse_model(section: &Section<'_, '_>, text: &str) -> Option<ModelId> {
    if text.is_empty() {
        return None;
    }
    match text.parse() {
        Ok(model) => Some(model),
        Err(e) => {
            section.report_at("model", format!("\"model\": {e}"));
            None
        }
    }
}
