//! The upstreams, their load as this instance sees it, and their connections.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};

use amaranth_kernel::placement::{
    LoadTrack, PlacementCandidate, PlacementDemand, PlacementStep, place,
};
use amaranth_kernel::upstream_registry::{RegistryChange, UpstreamNotice, UpstreamRegistry};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{DataCentreId, UpstreamGroupId, UpstreamId};

use tokio::sync::Notify;

use crate::call::LoadReport;
use crate::connection_book::{ConnectionBook, ConnectionKey};

/// The upstreams of all groups.
pub struct UpstreamPool {
    /// Connections to them.
    pub book: Arc<ConnectionBook>,
    data_centre: DataCentreId,
    registry: RwLock<UpstreamRegistry>,
    tracks: Mutex<HashMap<UpstreamId, LoadTrack>>,
    online_started: Notify,
}

/// Load of one group by this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupLoad {
    /// Places of its upstreams.
    pub slots: u32,
    /// Online requests of this instance.
    pub online: u32,
}

/// A place at an upstream, held until dropped.
pub struct UpstreamPlace {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where to send.
    pub key: ConnectionKey,
    /// Its estimated load when it was chosen.
    pub load: f64,
    batch: bool,
    pool: Arc<UpstreamPool>,
}

/// Where a request goes.
pub enum PoolStep {
    /// To this upstream.
    Send(UpstreamPlace),
    /// Nowhere for now.
    Refuse {
        /// When there should be room, in milliseconds.
        retry_after_ms: u64,
    },
    /// The group has no upstream that may get it.
    NoUpstream,
}

impl UpstreamPool {
    /// A pool without upstreams, for an instance in this data centre.
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            book: Arc::new(ConnectionBook::new()),
            data_centre,
            registry: RwLock::new(UpstreamRegistry::new()),
            tracks: Mutex::new(HashMap::new()),
            online_started: Notify::new(),
        }
    }

    /// Waits until an online request is sent.
    pub async fn online_started(&self) {
        self.online_started.notified().await;
    }

    /// The load of a group.
    pub fn group_load(&self, group: &UpstreamGroupId) -> GroupLoad {
        let registry = self.registry.read().expect("not poisoned");
        let tracks = self.tracks.lock().expect("not poisoned");
        let mut load = GroupLoad::default();
        let members = registry.iter().filter(|(_, notice)| notice.group == *group);
        for (upstream, notice) in members {
            let track = tracks.get(upstream);
            load.online += track.map_or(0, |track| track.own - track.own_batch);
            if !notice.leaving {
                load.slots += notice.slots;
            }
        }
        load
    }

    /// Takes in an announcement.
    pub fn announce(&self, upstream: UpstreamId, notice: UpstreamNotice) {
        let seq = notice.sequence;
        let group = notice.group.clone();
        let mut registry = self.registry.write().expect("not poisoned");
        let change = registry.announce(upstream.clone(), notice);
        drop(registry);
        if change != RegistryChange::None {
            log::info!(
                "event=upstream_changed upstream={upstream} group={group} sequence={seq} change={change:?}"
            );
        }
        if change == RegistryChange::Joined {
            self.clear(&upstream);
        }
    }

    /// Takes an upstream out.
    pub fn remove(&self, upstream: &UpstreamId) {
        let change = self
            .registry
            .write()
            .expect("not poisoned")
            .remove(upstream);
        if change == RegistryChange::Gone {
            log::info!("event=upstream_changed upstream={upstream} change=Gone");
            self.clear(upstream);
        }
    }

    /// Takes out every upstream that is not among these.
    pub fn retain(&self, present: &[UpstreamId]) {
        let gone = self.registry.write().expect("not poisoned").retain(present);
        for upstream in gone {
            log::info!("event=upstream_changed upstream={upstream} change=Gone source=newest");
            self.clear(&upstream);
        }
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.registry.read().expect("not poisoned").len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn clear(&self, upstream: &UpstreamId) {
        self.book.forget(upstream.as_str());
        let mut tracks = self.tracks.lock().expect("not poisoned");
        if let Some(track) = tracks.get_mut(upstream) {
            // Requests in flight still count until they end.
            let (own, own_batch) = (track.own, track.own_batch);
            *track = LoadTrack::default();
            (track.own, track.own_batch) = (own, own_batch);
            if own == 0 {
                tracks.remove(upstream);
            }
        }
    }

    /// Chooses an upstream of a group that is not among the excluded.
    pub fn choose(
        self: &Arc<Self>,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        excluded: &[UpstreamId],
    ) -> PoolStep {
        let registry = self.registry.read().expect("not poisoned");
        let mut tracks = self.tracks.lock().expect("not poisoned");
        let serving = registry.iter().filter(|(upstream, notice)| {
            notice.group == *group && !notice.leaving && !excluded.contains(upstream)
        });
        let mut serving: Vec<_> = serving.collect();
        serving.sort_by(|(a, _), (b, _)| a.cmp(b));
        let idle = LoadTrack::default();
        let candidates = serving.iter().map(|(upstream, notice)| PlacementCandidate {
            slots: notice.slots,
            near: notice.data_centre == self.data_centre,
            track: tracks.get(*upstream).unwrap_or(&idle),
        });
        let candidates: Vec<_> = candidates.collect();
        let now_ms = steady_ms();
        match place(&candidates, demand, now_ms, &mut rand::rng()) {
            PlacementStep::Refuse { retry_after_ms } => PoolStep::Refuse { retry_after_ms },
            PlacementStep::NoUpstream => PoolStep::NoUpstream,
            PlacementStep::Send { index, load } => {
                let (upstream, notice) = serving[index];
                let batch = demand == PlacementDemand::Batch;
                let track = tracks.entry(upstream.clone()).or_default();
                track.own += 1;
                track.own_batch += u32::from(batch);
                track.health.start(now_ms);
                if !batch {
                    self.online_started.notify_waiters();
                }
                PoolStep::Send(UpstreamPlace {
                    upstream: upstream.clone(),
                    key: ConnectionKey {
                        address: notice.address,
                        owner: upstream.to_string(),
                    },
                    load,
                    batch,
                    pool: self.clone(),
                })
            }
        }
    }
}

impl UpstreamPlace {
    /// Notes the load that the upstream reported.
    pub fn note_load(&self, report: LoadReport) {
        let total = report.running + report.waiting;
        self.update(|track| track.note_report(total, steady_ms()));
    }

    /// Notes an answer, and how long it took if it says something of the upstream's speed.
    pub fn note_success(&self, took_ms: Option<f64>) {
        self.update(|track| {
            track.health.succeed();
            if let Some(took_ms) = took_ms {
                track.note_service(took_ms);
            }
        });
    }

    /// Notes a failure by the upstream's fault.
    pub fn note_failure(&self) {
        self.update(|track| track.health.fail(steady_ms()));
    }

    fn update(&self, change: impl FnOnce(&mut LoadTrack)) {
        let mut tracks = self.pool.tracks.lock().expect("not poisoned");
        if let Some(track) = tracks.get_mut(&self.upstream) {
            change(track);
        }
    }
}

impl Drop for UpstreamPlace {
    fn drop(&mut self) {
        let batch = self.batch;
        self.update(|track| {
            track.own -= 1;
            track.own_batch -= u32::from(batch);
        });
    }
}
