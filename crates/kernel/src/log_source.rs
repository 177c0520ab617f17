//! Choice of where an instance reads the log from. Only a few instances read the log directly; the
//! others read it from these relays, which limits the load on the log.

use amaranth_wire::id::{DataCentreId, InstanceId};

use crate::hashing::rendezvous_order;

/// Number of instances per data centre that read the log directly and relay it to the others.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Where an instance reads the log from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogSource {
    /// Directly from the log.
    Log,
    /// From an instance of the same data centre that reads the log directly.
    Relay(InstanceId),
}

/// Chooses the log source of instance `own`. The relays are the first of the `live` instances by
/// rendezvous hashing. Relays in `failed` are skipped; if none is left, the instance reads the log
/// directly.
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
    let preferred = rendezvous_order(own.as_str().as_bytes(), usable, |r| r.as_str());
    match preferred.first() {
        Some(relay) => LogSource::Relay((**relay).clone()),
        None => LogSource::Log,
    }
}
