//! Start configuration of an instance, immutable once built.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::id::{DataCentreId, InstanceId, WriterId};

/// Start configuration of one instance.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Random id of this run of the process, as a writer to the log.
    pub writer: WriterId,
    /// Settings of the whole fleet.
    pub fleet: Arc<FleetSettings>,
}

impl EntryConfig {
    /// Builds the configuration of one instance; `None` if the fleet has no such instance.
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
