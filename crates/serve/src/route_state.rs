//! The configuration in force. It never goes back within a process.

use std::fmt;
use std::sync::{Arc, RwLock};

use amaranth_kernel::route_table::{RouteRule, RouteTable};
use amaranth_wire::id::ConfigRevision;
use tokio_util::sync::CancellationToken;

/// Where a configuration was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteSource {
    /// On the log.
    Log,
    /// At another instance, as the log was away.
    Peer,
}

impl fmt::Display for RouteSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Log => "log",
            Self::Peer => "peer",
        })
    }
}

/// The newest configuration that this process has seen.
#[derive(Debug, Default)]
pub struct RouteState {
    table: RwLock<Option<(Arc<RouteTable>, RouteSource)>>,
    /// Cancelled when the first table is in force.
    first_applied: CancellationToken,
}

impl RouteState {
    /// No configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The table in force.
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read().expect("not poisoned");
        table.as_ref().map(|(table, _)| table.clone())
    }

    /// Waits for the first table.
    pub async fn wait_first_table(&self) {
        self.first_applied.cancelled().await;
    }

    /// Where the table in force was read.
    pub fn source(&self) -> Option<RouteSource> {
        let table = self.table.read().expect("not poisoned");
        table.as_ref().map(|(_, source)| *source)
    }

    /// The revision in force.
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.current().map(|table| table.revision)
    }

    /// Puts a table in force unless a newer one is. Returns whether it did.
    pub fn apply_if_newer(&self, table: RouteTable, source: RouteSource) -> bool {
        let mut current = self.table.write().expect("not poisoned");
        let before = current.as_ref().map(|(table, _)| table.revision);
        if before.is_some_and(|known| known >= table.revision) {
            return false;
        }
        log::info!(
            "event=configuration_in_force revision={} before={} routes={} source={source}",
            table.revision,
            before.map_or_else(|| "none".to_owned(), |revision| revision.to_string()),
            table.len(),
        );
        *current = Some((Arc::new(table), source));
        self.first_applied.cancel();
        true
    }

    /// The route of a host and path.
    pub fn find(&self, host: &str, path: &str) -> RouteLookup {
        match self.current() {
            None => RouteLookup::NotLoaded,
            Some(table) => match table.find(host, path) {
                Some(route) => RouteLookup::Found(route.clone()),
                None => RouteLookup::NotFound,
            },
        }
    }
}

/// What is known of a route.
#[derive(Debug, Clone)]
pub enum RouteLookup {
    /// This process has no configuration yet.
    NotLoaded,
    /// The configuration in force has none.
    NotFound,
    /// The route.
    Found(Arc<RouteRule>),
}
