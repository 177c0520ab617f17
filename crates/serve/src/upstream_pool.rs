//! The upstreams, their load as this instance sees it, and their connections.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

use amaranth_kernel::ejection::{self, UpstreamHealth};
use amaranth_kernel::placement::{LoadEstimate, PlacementCandidate, PlacementDecision, place};
use amaranth_kernel::upstream_registry::{RegistryChange, UpstreamNotice, UpstreamRegistry};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{DataCentreId, UpstreamGroupId, UpstreamId};
use amaranth_wire::placement_message::{InFlightCount, PlacementDemand};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::call::LoadReport;
use crate::connection_pool::{ConnectionKey, ConnectionPool};

/// The upstreams of all groups.
pub struct UpstreamPool {
    /// Connections to them.
    pub connection_pool: Arc<ConnectionPool>,
    data_centre: DataCentreId,
    registry: RwLock<UpstreamRegistry>,
    tracks: Mutex<HashMap<UpstreamId, LoadEstimate>>,
    batch_runs: Mutex<Vec<BatchRun>>,
    next_run: AtomicU64,
    changed: Notify,
    /// Cancelled when the first upstream is announced.
    first: CancellationToken,
}

/// A batch item that runs.
struct BatchRun {
    number: u64,
    upstream: UpstreamId,
    gives_way: CancellationToken,
}

/// A place at an upstream, held until dropped.
pub struct UpstreamPlace {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where to send.
    pub key: ConnectionKey,
    /// Its estimated load when it was chosen.
    pub load: f64,
    /// Whether a slot should be free at once.
    pub is_free: bool,
    batch: Option<(u64, CancellationToken)>,
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
            connection_pool: Arc::new(ConnectionPool::new()),
            data_centre,
            registry: RwLock::new(UpstreamRegistry::new()),
            tracks: Mutex::new(HashMap::new()),
            batch_runs: Mutex::default(),
            next_run: AtomicU64::new(0),
            changed: Notify::new(),
            first: CancellationToken::new(),
        }
    }

    /// Waits until a request is sent or ends.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits for the first upstream.
    pub async fn first(&self) {
        self.first.cancelled().await;
    }

    /// The groups of which there are upstreams.
    pub fn groups(&self) -> Vec<UpstreamGroupId> {
        let registry = self.registry.read().expect("not poisoned");
        let groups: HashSet<_> = registry
            .iter()
            .map(|(_, notice)| notice.group.clone())
            .collect();
        groups.into_iter().collect()
    }

    /// What this instance has in flight.
    pub fn counts(&self) -> Vec<InFlightCount> {
        let tracks = self.tracks.lock().expect("not poisoned");
        let busy = tracks.iter().filter(|(_, track)| track.own > 0);
        let counts = busy.map(|(upstream, track)| InFlightCount {
            upstream: upstream.clone(),
            online: track.own - track.own_batch,
            batch: track.own_batch,
            service_ms: track.service_ms().unwrap_or(0.0) as u32,
        });
        counts.collect()
    }

    /// Lets the newest batch item at an upstream give way: it has the least to lose.
    pub fn give_way(&self, upstream: &UpstreamId) {
        let runs = self.batch_runs.lock().expect("not poisoned");
        let mut newest = runs.iter().rev();
        let run = newest.find(|run| run.upstream == *upstream && !run.gives_way.is_cancelled());
        if let Some(run) = run {
            log::debug!("event=item_gives_way upstream={upstream}");
            metrics::counter!("items_gave_way_total").increment(1);
            run.gives_way.cancel();
        }
    }

    /// The upstreams of a group that may get new work and are not among the excluded.
    pub fn serving(
        &self,
        group: &UpstreamGroupId,
        excluded: &[UpstreamId],
    ) -> Vec<(UpstreamId, UpstreamNotice)> {
        let registry = self.registry.read().expect("not poisoned");
        let serving = registry.iter().filter(|(upstream, notice)| {
            notice.group == *group && !notice.leaving && !excluded.contains(upstream)
        });
        let serving = serving.map(|(upstream, notice)| (upstream.clone(), notice.clone()));
        let mut serving: Vec<_> = serving.collect();
        serving.sort_by(|(a, _), (b, _)| a.cmp(b));
        serving
    }

    /// The excluded upstreams and those of the group that failed lately, unless none would be
    /// left.
    pub fn with_unavailable(
        &self,
        group: &UpstreamGroupId,
        excluded: &[UpstreamId],
    ) -> Vec<UpstreamId> {
        let serving = self.serving(group, excluded);
        let tracks = self.tracks.lock().expect("not poisoned");
        let health = |upstream| {
            tracks
                .get(upstream)
                .map_or_else(UpstreamHealth::new, |track| track.health)
        };
        let healths: Vec<_> = serving
            .iter()
            .map(|(upstream, _)| health(upstream))
            .collect();
        let available = ejection::available(&healths, steady_ms());
        let rows = serving.into_iter().zip(available);
        let out = rows.filter_map(|((upstream, _), available)| (!available).then_some(upstream));
        excluded.iter().cloned().chain(out).collect()
    }

    /// Takes a place at an upstream, unless it is not known or leaving.
    pub fn take(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        load: f64,
        batch: bool,
    ) -> Option<UpstreamPlace> {
        let registry = self.registry.read().expect("not poisoned");
        let notice = registry.get(upstream).filter(|notice| !notice.leaving)?;
        let key = ConnectionKey {
            address: notice.address,
            owner: upstream.to_string(),
        };
        let is_free = load < f64::from(notice.slots);
        drop(registry);
        let mut tracks = self.tracks.lock().expect("not poisoned");
        let track = tracks.entry(upstream.clone()).or_default();
        track.own += 1;
        track.own_batch += u32::from(batch);
        track.health.record_attempt(steady_ms());
        drop(tracks);
        self.changed.notify_one();
        Some(UpstreamPlace {
            upstream: upstream.clone(),
            key,
            load,
            is_free,
            batch: batch.then(|| self.note_batch_run(upstream)),
            pool: self.clone(),
        })
    }

    fn note_batch_run(&self, upstream: &UpstreamId) -> (u64, CancellationToken) {
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        let gives_way = CancellationToken::new();
        self.batch_runs
            .lock()
            .expect("not poisoned")
            .push(BatchRun {
                number,
                upstream: upstream.clone(),
                gives_way: gives_way.clone(),
            });
        (number, gives_way)
    }

    /// Takes in an announcement.
    pub fn announce(&self, upstream: UpstreamId, notice: UpstreamNotice) {
        self.first.cancel();
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
        self.connection_pool.forget(upstream.as_str());
        let mut tracks = self.tracks.lock().expect("not poisoned");
        if let Some(track) = tracks.get_mut(upstream) {
            // Requests in flight still count until they end.
            let (own, own_batch) = (track.own, track.own_batch);
            *track = LoadEstimate::default();
            (track.own, track.own_batch) = (own, own_batch);
            if own == 0 {
                tracks.remove(upstream);
            }
        }
    }

    /// Chooses by what this instance knows itself.
    pub fn choose(
        self: &Arc<Self>,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        excluded: &[UpstreamId],
    ) -> PoolStep {
        let serving = self.serving(group, excluded);
        let tracks = self.tracks.lock().expect("not poisoned");
        let idle = LoadEstimate::default();
        let candidates = serving.iter().map(|(upstream, notice)| PlacementCandidate {
            slots: notice.slots,
            is_local: notice.data_centre == self.data_centre,
            estimate: tracks.get(upstream).unwrap_or(&idle),
        });
        let candidates: Vec<_> = candidates.collect();
        let step = place(&candidates, demand, steady_ms(), &mut rand::rng());
        drop(tracks);
        match step {
            PlacementDecision::Refuse { retry_after_ms } => PoolStep::Refuse { retry_after_ms },
            PlacementDecision::NoUpstream => PoolStep::NoUpstream,
            PlacementDecision::Send { index, load } => {
                let batch = demand == PlacementDemand::Batch;
                match self.take(&serving[index].0, load, batch) {
                    Some(place) => PoolStep::Send(place),
                    None => PoolStep::NoUpstream,
                }
            }
        }
    }
}

impl UpstreamPlace {
    /// Cancelled when a batch item must give way to online requests.
    pub fn gives_way(&self) -> CancellationToken {
        let token = self.batch.as_ref().map(|(_, token)| token.clone());
        token.unwrap_or_default()
    }

    /// Notes the load that the upstream reported.
    pub fn note_load(&self, report: LoadReport) {
        let total = report.running + report.waiting;
        self.update(|track| track.record_report(total, steady_ms()));
    }

    /// Notes an answer, and how long it took if it says something of the upstream's speed.
    pub fn note_success(&self, took_ms: Option<f64>) {
        self.update(|track| {
            track.health.record_success();
            if let Some(took_ms) = took_ms {
                track.record_service_time(took_ms);
            }
        });
    }

    /// Notes a failure by the upstream's fault.
    pub fn note_failure(&self) {
        self.update(|track| track.health.record_failure(steady_ms()));
    }

    fn update(&self, change: impl FnOnce(&mut LoadEstimate)) {
        let mut tracks = self.pool.tracks.lock().expect("not poisoned");
        if let Some(track) = tracks.get_mut(&self.upstream) {
            change(track);
        }
    }
}

impl Drop for UpstreamPlace {
    fn drop(&mut self) {
        let run = self.batch.take();
        self.update(|track| {
            track.own -= 1;
            track.own_batch -= u32::from(run.is_some());
        });
        if let Some((number, _)) = run {
            let mut runs = self.pool.batch_runs.lock().expect("not poisoned");
            runs.retain(|run| run.number != number);
        }
        self.pool.changed.notify_one();
    }
}
