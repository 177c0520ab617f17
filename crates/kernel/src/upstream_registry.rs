//! Registry of upstreams, built from announcements that may arrive late, twice or out of order.

use std::collections::HashMap;
use std::net::SocketAddr;

use amaranth_wire::id::{DataCentreId, UpstreamGroupId, UpstreamId};

/// An upstream's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Its group.
    pub group: UpstreamGroupId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// When it started, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Incremented with each announcement since its start.
    pub sequence: u64,
}

impl UpstreamNotice {
    fn version(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}

/// Effect of an announcement or a removal on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that affects routing.
    None,
    /// A new upstream, or a restart or new address of a known one.
    Joined,
    /// It accepts no new requests from now on.
    Leaving,
    /// It was removed.
    Gone,
}

/// The last announcement of each known upstream.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    notices: HashMap<UpstreamId, UpstreamNotice>,
    newest_versions: HashMap<UpstreamId, (u64, u64)>,
    /// Starts of upstreams, in milliseconds of Unix time, that said in an answer that they leave.
    left_starts: HashMap<UpstreamId, u64>,
}

/// Removed upstreams whose last version is kept, so that a late announcement does not add them
/// again.
const MAX_DEPARTED_VERSIONS: usize = 4_096;

impl UpstreamRegistry {
    /// A registry without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an announcement, unless a newer one of the upstream is known. An upstream that said in
    /// an answer that it leaves stays leaving until it starts again.
    pub fn announce(&mut self, upstream: UpstreamId, mut notice: UpstreamNotice) -> RegistryChange {
        let version = notice.version();
        if self
            .newest_versions
            .get(&upstream)
            .is_some_and(|&known| version < known)
        {
            return RegistryChange::None;
        }
        self.newest_versions.insert(upstream.clone(), version);
        match self.left_starts.get(&upstream) {
            Some(&left) if notice.started_ms <= left => notice.leaving = true,
            Some(_) => {
                self.left_starts.remove(&upstream);
            }
            None => {}
        }
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

    /// Records that an upstream, started at this time, said in an answer that it leaves. Has no effect
    /// if it has started again since.
    pub fn record_leaving(&mut self, upstream: &UpstreamId, started_ms: u64) -> RegistryChange {
        let newest = self.newest_versions.get(upstream);
        if newest.is_none_or(|&(newest_start, _)| started_ms != newest_start) {
            return RegistryChange::None;
        }
        self.left_starts.insert(upstream.clone(), started_ms);
        match self.notices.get_mut(upstream) {
            Some(notice) if !notice.leaving => {
                notice.leaving = true;
                RegistryChange::Leaving
            }
            _ => RegistryChange::None,
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: &UpstreamId) -> RegistryChange {
        if self.newest_versions.len() > self.notices.len() + MAX_DEPARTED_VERSIONS {
            let notices = &self.notices;
            self.newest_versions
                .retain(|known, _| notices.contains_key(known));
            self.left_starts
                .retain(|known, _| notices.contains_key(known));
        }
        match self.notices.remove(upstream) {
            Some(_) => RegistryChange::Gone,
            None => RegistryChange::None,
        }
    }

    /// Removes and returns every upstream that is not in `present`.
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

    /// The last announcement of an upstream.
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
