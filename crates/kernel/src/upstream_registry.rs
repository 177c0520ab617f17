//! Registry of upstreams, built from announcements that may arrive late, twice or out of order.

use std::collections::HashMap;
use std::fmt;
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

/// Most slots of a plausible announcement; engines batch far fewer requests.
const MAX_SLOTS: u32 = 4_096;
/// Highest sequence number of a plausible announcement: one each millisecond for 34 years.
const MAX_SEQUENCE: u64 = 1 << 40;
/// Latest start of a plausible announcement, in the year 2248.
const MAX_STARTED_MS: u64 = 1 << 43;

/// Why an announcement can't be one of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImplausibleNotice {
    /// No upstream serves so many requests at once.
    Slots,
    /// No upstream has announced itself so often.
    Sequence,
    /// It would have started in the far future.
    Started,
    /// Nothing can listen at the address.
    Address,
}

impl fmt::Display for ImplausibleNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Slots => "implausible number of slots",
            Self::Sequence => "implausible sequence number",
            Self::Started => "implausible start time",
            Self::Address => "implausible address",
        })
    }
}

impl std::error::Error for ImplausibleNotice {}

/// Result of checking an announcement.
pub type Result<T> = std::result::Result<T, ImplausibleNotice>;

impl UpstreamNotice {
    /// Checks that an upstream may have written the announcement.
    pub fn check(&self) -> Result<()> {
        let ip = self.address.ip();
        let checks = [
            (self.slots <= MAX_SLOTS, ImplausibleNotice::Slots),
            (self.sequence <= MAX_SEQUENCE, ImplausibleNotice::Sequence),
            (
                self.started_ms <= MAX_STARTED_MS,
                ImplausibleNotice::Started,
            ),
            (
                self.address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast(),
                ImplausibleNotice::Address,
            ),
        ];
        let failed = checks.into_iter().find(|(holds, _)| !holds);
        failed.map_or(Ok(()), |(_, why)| Err(why))
    }

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
    overruled: HashMap<UpstreamId, OverruledNotice>,
    /// Starts of upstreams, in milliseconds of Unix time, that said in an answer that they leave.
    left_starts: HashMap<UpstreamId, u64>,
}

/// An announcement that is the last one on the log, though one with a newer version was read before.
#[derive(Debug)]
struct OverruledNotice {
    notice: UpstreamNotice,
    /// When it was first seen to be the last one.
    since_ms: Option<u64>,
}

/// How long a newer version overrules the last announcement on the log, in milliseconds. An upstream
/// that finds a late announcement of its own on the log replaces it well within this; if none does,
/// the newer version was not its own.
const OVERRULED_MS: u64 = 5_000;

/// Removed upstreams whose last version is kept, so that a late announcement does not add them
/// again.
const MAX_DEPARTED_VERSIONS: usize = 4_096;

impl UpstreamRegistry {
    /// A registry without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an announcement. One that is older than the newest is only noted; see
    /// [`settle`](Self::settle). An upstream that said in an answer that it leaves stays leaving until
    /// it starts again.
    pub fn announce(&mut self, upstream: UpstreamId, notice: UpstreamNotice) -> RegistryChange {
        let version = notice.version();
        let newest = self.newest_versions.get(&upstream);
        if newest.is_some_and(|&newest| version < newest) {
            let former = self.overruled.remove(&upstream);
            let since_ms = former.and_then(|former| former.since_ms);
            let overruled = OverruledNotice { notice, since_ms };
            self.overruled.insert(upstream, overruled);
            return RegistryChange::None;
        }
        self.overruled.remove(&upstream);
        self.apply(upstream, notice)
    }

    /// Applies the announcements that are the last ones on the log although newer ones were read
    /// before, once no upstream has replaced them for some time. Called after each read of the log.
    pub fn settle(&mut self, now_ms: u64) -> Vec<(UpstreamId, RegistryChange)> {
        let mut due = Vec::new();
        for (upstream, overruled) in &mut self.overruled {
            let since_ms = *overruled.since_ms.get_or_insert(now_ms);
            if now_ms.saturating_sub(since_ms) >= OVERRULED_MS {
                due.push((upstream.clone(), overruled.notice.clone()));
            }
        }
        let apply = |(upstream, notice): (UpstreamId, UpstreamNotice)| {
            self.overruled.remove(&upstream);
            (upstream.clone(), self.apply(upstream, notice))
        };
        due.into_iter().map(apply).collect()
    }

    fn apply(&mut self, upstream: UpstreamId, mut notice: UpstreamNotice) -> RegistryChange {
        let version = notice.version();
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
        self.overruled.remove(upstream);
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
        self.overruled.retain(|known, _| present.contains(known));
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
