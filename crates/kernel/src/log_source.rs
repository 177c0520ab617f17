//! Where an instance reads the log from, so that few of them read the log itself.

use amaranth_wire::id::{DataCentreId, InstanceId};

use crate::hashing::rendezvous_order;

/// Instances of each data centre that read the log itself.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Where to read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogSource {
    /// The log.
    Log,
    /// An instance of the same data centre that reads the log.
    Relay(InstanceId),
}

/// Chooses the source of an instance. Relays are the first by rendezvous among the live ones;
/// those that just failed this instance are passed over, and with no relay left it reads the log
/// itself.
pub fn choose_source(
    own: &InstanceId,
    data_centre: &DataCentreId,
    live: &[InstanceId],
    failed: &[InstanceId],
) -> LogSource {
    let key = format!("relay/{data_centre}");
    let order = rendezvous_order(key.as_bytes(), live, |instance| instance.as_str());
    let relays: Vec<_> = order.into_iter().take(RELAYS_PER_DATA_CENTRE).collect();
    if relays.contains(&own) {
        return LogSource::Log;
    }
    let usable: Vec<_> = relays.into_iter().filter(|r| !failed.contains(r)).collect();
    let spread = rendezvous_order(own.as_str().as_bytes(), usable, |r| r.as_str());
    match spread.first() {
        Some(relay) => LogSource::Relay((**relay).clone()),
        None => LogSource::Log,
    }
}
