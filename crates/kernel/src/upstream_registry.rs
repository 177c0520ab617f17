//! The upstreams as they announce themselves, folded from announcements that may come late, twice
//! or out of order.

use std::collections::HashMap;
use std::net::SocketAddr;

use amaranth_wire::id::{DataCentreId, UpstreamGroupId, UpstreamId};

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Its group.
    pub group: UpstreamGroupId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// When it started, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Grows with each announcement since its start.
    pub sequence: u64,
}

impl UpstreamNotice {
    fn age_key(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that matters for routing.
    None,
    /// A new upstream, or a new start or address of a known one.
    Joined,
    /// It takes no new work from now on.
    Leaving,
    /// It is gone.
    Gone,
}

/// The upstreams that are known.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    notices: HashMap<UpstreamId, UpstreamNotice>,
    newest: HashMap<UpstreamId, (u64, u64)>,
}

/// Departed upstreams whose last announcement is remembered, so that a late one does not bring
/// them back.
const REMEMBERED_DEPARTED: usize = 4_096;

impl UpstreamRegistry {
    /// A registry without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an announcement. One that is older than what is known changes nothing.
    pub fn announce(&mut self, upstream: UpstreamId, notice: UpstreamNotice) -> RegistryChange {
        let age_key = notice.age_key();
        if self
            .newest
            .get(&upstream)
            .is_some_and(|&known| age_key < known)
        {
            return RegistryChange::None;
        }
        self.newest.insert(upstream.clone(), age_key);
        let change = match self.notices.get(&upstream) {
            Some(known) if known.address != notice.address => RegistryChange::Joined,
            Some(known) if known.started_ms != notice.started_ms => RegistryChange::Joined,
            Some(known) if notice.leaving && !known.leaving => RegistryChange::Leaving,
            Some(_) => RegistryChange::None,
            None => RegistryChange::Joined,
        };
        self.notices.insert(upstream, notice);
        change
    }

    /// Takes an upstream out.
    pub fn remove(&mut self, upstream: &UpstreamId) -> RegistryChange {
        if self.newest.len() > self.notices.len() + REMEMBERED_DEPARTED {
            let notices = &self.notices;
            self.newest.retain(|known, _| notices.contains_key(known));
        }
        match self.notices.remove(upstream) {
            Some(_) => RegistryChange::Gone,
            None => RegistryChange::None,
        }
    }

    /// Takes out every upstream that is not among these; returns those taken out.
    pub fn retain(&mut self, present: &[UpstreamId]) -> Vec<UpstreamId> {
        let known = self.notices.keys();
        let gone: Vec<_> = known
            .filter(|known| !present.contains(known))
            .cloned()
            .collect();
        for upstream in &gone {
            self.notices.remove(upstream);
        }
        gone
    }

    /// An upstream's announcement.
    pub fn get(&self, upstream: &UpstreamId) -> Option<&UpstreamNotice> {
        self.notices.get(upstream)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamNotice)> {
        self.notices.iter()
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}
