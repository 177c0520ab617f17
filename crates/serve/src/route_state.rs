//! The route table in force. Its revision never decreases within a process.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::route_table::{RouteRule, RouteTable};
use amaranth_net::state_lock::{StateMutex, StateRwLock};
use amaranth_wire::id::ConfigRevision;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Age of the last read up to which a table is taken for the newest one. Reads return once a second, and
/// a change has to be in force within 2 s on some deployments.
const MAX_FRESH_AGE: Duration = Duration::from_millis(2_500);

/// Source of a route table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteSource {
    /// Read from the log.
    Log,
    /// Read from another instance, as the log was unavailable.
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

/// The newest route table that this process has read, with its source.
#[derive(Debug, Default)]
pub struct RouteState {
    table: StateRwLock<Option<(Arc<RouteTable>, RouteSource)>>,
    /// When the last successful read of the configuration was sent.
    read_at: StateMutex<Option<Instant>>,
    /// Cancelled when the first table comes into force.
    first_applied: CancellationToken,
}

impl RouteState {
    /// Creates a state without a table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the table in force; `None` before the first one.
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read();
        table.as_ref().map(|(table, _)| table.clone())
    }

    /// Waits until the first table is in force.
    pub async fn wait_first_table(&self) {
        self.first_applied.cancelled().await;
    }

    /// Returns the source of the table in force.
    pub fn source(&self) -> Option<RouteSource> {
        let table = self.table.read();
        table.as_ref().map(|(_, source)| *source)
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Option<ConfigRevision> {
        self.current().map(|table| table.revision)
    }

    /// Records a successful read of the configuration, by this instance or a peer, that was sent at
    /// `sent`.
    pub fn record_read(&self, sent: Instant) {
        let mut read_at = self.read_at.lock();
        *read_at = (*read_at).max(Some(sent));
    }

    /// Time since the last successful read of the configuration was sent; `None` before the first.
    pub fn read_age(&self) -> Option<Duration> {
        self.read_at.lock().map(|sent| sent.elapsed())
    }

    /// Whether the table in force was the newest one lately. What an older table doesn't know may
    /// exist.
    pub fn is_fresh(&self) -> bool {
        self.read_age().is_some_and(|age| age <= MAX_FRESH_AGE)
    }

    /// Puts a table into force if its revision is newer. Returns whether it was.
    pub fn apply_if_newer(&self, table: RouteTable, source: RouteSource) -> bool {
        let mut current = self.table.write();
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

    /// Looks up the route of a host and path in a table that is not older than a revision. Followers
    /// read the topics over connections of their own, so what was received under a newer revision may
    /// be known here before that revision is.
    pub fn find_since(&self, revision: ConfigRevision, host: &str, path: &str) -> RouteLookup {
        match self.current() {
            None => RouteLookup::NotLoaded,
            Some(table) if table.revision < revision => RouteLookup::Outdated(table.revision),
            Some(table) => match table.find(host, path) {
                Some(route) => RouteLookup::Found(route.clone()),
                None => RouteLookup::NotFound(table.revision),
            },
        }
    }
}

/// Result of looking up a route.
#[derive(Debug, Clone)]
pub enum RouteLookup {
    /// No table is in force yet.
    NotLoaded,
    /// The table in force is older than the required revision; holds its own revision.
    Outdated(ConfigRevision),
    /// The table in force, of this revision, has no such route.
    NotFound(ConfigRevision),
    /// The route that matches.
    Found(Arc<RouteRule>),
}
