//! What an instance is started with. Immutable once built.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::id::{DataCentreId, InstanceId, WriterId};

/// Everything that an instance is told at its start.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Its name.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Identity of this run of the process.
    pub writer: WriterId,
    /// The settings of the whole fleet.
    pub fleet: Arc<FleetSettings>,
}

impl EntryConfig {
    /// The configuration of one instance of the fleet; `None` if the fleet has no such instance.
    pub fn new(fleet: Arc<FleetSettings>, instance: &InstanceId) -> Option<Self> {
        let settings = fleet.instance(instance)?;
        Some(Self {
            instance: instance.clone(),
            data_centre: settings.data_centre.clone(),
            listen: settings.listen,
            writer: WriterId(rand::random()),
            fleet: fleet.clone(),
        })
    }
}
