//! The known upstreams, the load that this instance estimates for each, and connections to them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_kernel::ejection::{self, UpstreamHealth};
use amaranth_kernel::placement::{LoadEstimate, PlacementCandidate, PlacementDecision, place};
use amaranth_kernel::upstream_registry::{RegistryChange, UpstreamNotice, UpstreamRegistry};
use amaranth_kernel::upstream_speed::SpeedEstimate;
use amaranth_net::clock::steady_ms;
use amaranth_net::state_lock::{StateMutex, StateRwLock};
use amaranth_wire::id::{DataCentreId, UpstreamGroupId, UpstreamId};
use amaranth_wire::placement_message::{
    FirstEventSample, InFlightCount, InFlightCounts, LeavingUpstream, PlacementDemand,
    PromptReport, SpeedReport,
};

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connection_pool::{ConnectionKey, ConnectionPool};

mod signs;
mod upstream_permit;

pub use signs::SharedSilence;
pub use upstream_permit::UpstreamPermit;

/// Time for which the allocators are told of an upstream that leaves, as datagrams may be lost.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(3);
/// Leaving upstreams that a placement request excludes at most, so that it fits into a datagram.
const MAX_LEAVING_EXCLUDED: usize = 32;

/// The upstreams of all groups, with the requests that this instance has in flight at them.
pub struct UpstreamPool {
    /// Connections to the upstreams.
    pub connection_pool: Arc<ConnectionPool>,
    data_centre: DataCentreId,
    registry: StateRwLock<UpstreamRegistry>,
    estimates: StateMutex<HashMap<UpstreamId, LoadEstimate>>,
    batch_runs: StateMutex<Vec<BatchRun>>,
    /// Upstreams that said in an answer to this instance that they leave, until the allocators have
    /// been told.
    recently_left: StateMutex<Vec<LeftUpstream>>,
    /// Times to first events that the allocators have not been told.
    first_events: StateMutex<Vec<FirstEventSample>>,
    next_run: AtomicU64,
    changed: Notify,
    /// Cancelled when the first upstream is announced.
    first_announced: CancellationToken,
}

/// An upstream that said that it leaves.
struct LeftUpstream {
    group: UpstreamGroupId,
    report: LeavingUpstream,
    said: Instant,
}

/// A batch item in flight.
struct BatchRun {
    number: u64,
    upstream: UpstreamId,
    preempted: CancellationToken,
}

/// Outcome of placing a request.
pub enum PoolStep {
    /// Send it to this upstream.
    Send(UpstreamPermit),
    /// Refuse it: no upstream has room.
    Refuse {
        /// Time until there should be room, in milliseconds.
        retry_after_ms: u64,
    },
    /// The group has no eligible upstream.
    NoUpstream,
}

impl UpstreamPool {
    /// Sets the connections to the upstreams.
    pub fn with_connections(self, connections: ConnectionPool) -> Self {
        Self {
            connection_pool: Arc::new(connections),
            ..self
        }
    }

    /// Creates an empty pool for an instance in this data centre.
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            connection_pool: Arc::new(ConnectionPool::new()),
            data_centre,
            registry: StateRwLock::new(UpstreamRegistry::new()),
            estimates: StateMutex::new(HashMap::new()),
            batch_runs: StateMutex::default(),
            recently_left: StateMutex::default(),
            first_events: StateMutex::default(),
            next_run: AtomicU64::new(0),
            changed: Notify::new(),
            first_announced: CancellationToken::new(),
        }
    }

    /// Waits until a request starts or ends at any upstream. Supports a single waiter.
    pub async fn wait_change(&self) {
        self.changed.notified().await;
    }

    /// Waits until the first upstream is announced.
    pub async fn wait_first_upstream(&self) {
        self.first_announced.cancelled().await;
    }

    /// Returns the groups that have an upstream, in no particular order.
    pub fn groups(&self) -> Vec<UpstreamGroupId> {
        let registry = self.registry.read();
        let groups: HashSet<_> = registry
            .iter()
            .map(|(_, notice)| notice.group.clone())
            .collect();
        groups.into_iter().collect()
    }

    /// Returns what this instance has in flight at each upstream, and how fast the upstreams are.
    /// Idle upstreams are left out unless one was reported lately to be slower or faster than usual.
    /// Times to first events are returned once.
    pub fn counts(&self) -> InFlightCounts {
        let now_ms = steady_ms();
        let estimates = self.estimates.lock();
        let told = estimates
            .iter()
            .filter(|(_, estimate)| estimate.own > 0 || estimate.speed.is_unusual(now_ms));
        let told: Vec<_> = told.collect();
        let row = |(upstream, estimate): &(&UpstreamId, &LoadEstimate)| InFlightCount {
            upstream: (*upstream).clone(),
            online: estimate.own - estimate.own_batch,
            batch: estimate.own_batch,
            service_ms: estimate.service_ms().unwrap_or(0.0) as u32,
            speed: speed_report(&estimate.speed, now_ms),
        };
        let prompts = PromptReport {
            tokens: told
                .iter()
                .map(|(_, estimate)| estimate.own_tokens)
                .collect(),
            first_events: std::mem::take(&mut *self.first_events.lock()),
        };
        let says_anything =
            !prompts.first_events.is_empty() || prompts.tokens.iter().any(|tokens| *tokens > 0);
        InFlightCounts {
            rows: told.iter().map(row).collect(),
            prompts: says_anything.then_some(prompts),
            ..InFlightCounts::default()
        }
    }

    /// Preempts the newest batch item at an upstream, as it loses the least progress.
    pub fn preempt(&self, upstream: &UpstreamId) {
        let runs = self.batch_runs.lock();
        let mut newest = runs.iter().rev();
        let run = newest.find(|run| run.upstream == *upstream && !run.preempted.is_cancelled());
        if let Some(run) = run {
            log::debug!("event=item_preempted upstream={upstream}");
            metrics::counter!("items_gave_way_total").increment(1);
            run.preempted.cancel();
        }
    }

    /// Returns the upstreams of a group that accept new work, without the excluded ones, by id.
    pub fn serving(
        &self,
        group: &UpstreamGroupId,
        excluded: &[UpstreamId],
    ) -> Vec<(UpstreamId, UpstreamNotice)> {
        let registry = self.registry.read();
        let serving = registry.iter().filter(|(upstream, notice)| {
            notice.group == *group && !notice.leaving && !excluded.contains(upstream)
        });
        let serving = serving.map(|(upstream, notice)| (upstream.clone(), notice.clone()));
        let mut serving: Vec<_> = serving.collect();
        serving.sort_by(|(a, _), (b, _)| a.cmp(b));
        serving
    }

    /// Adds the group's upstreams that are leaving to the excluded ones, and those that are ejected
    /// for recent failures, unless none would be left.
    pub fn with_ejected(
        &self,
        group: &UpstreamGroupId,
        excluded: &[UpstreamId],
    ) -> Vec<UpstreamId> {
        let serving = self.serving(group, excluded);
        let estimates = self.estimates.lock();
        let health = |upstream| {
            estimates
                .get(upstream)
                .map_or_else(UpstreamHealth::new, |estimate| estimate.health)
        };
        let healths: Vec<_> = serving
            .iter()
            .map(|(upstream, _)| health(upstream))
            .collect();
        let available = ejection::available(&healths, steady_ms());
        let rows = serving.into_iter().zip(available);
        let out = rows.filter_map(|((upstream, _), available)| (!available).then_some(upstream));
        let leaving = self.leaving(group).into_iter();
        excluded.iter().cloned().chain(out).chain(leaving).collect()
    }

    /// Returns some of the group's upstreams that are leaving: the allocator may not know of them.
    fn leaving(&self, group: &UpstreamGroupId) -> Vec<UpstreamId> {
        let registry = self.registry.read();
        let leaving = registry
            .iter()
            .filter(|(_, notice)| notice.group == *group && notice.leaving);
        let leaving = leaving.map(|(upstream, _)| upstream.clone());
        leaving.take(MAX_LEAVING_EXCLUDED).collect()
    }

    /// Returns the address of an upstream; `None` if it is unknown.
    pub fn address(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let registry = self.registry.read();
        registry.get(upstream).map(|notice| notice.address)
    }

    /// Counts a request as in flight at an upstream; `None` if the upstream is unknown, leaving, or of
    /// another group.
    pub fn issue_permit(
        self: &Arc<Self>,
        group: &UpstreamGroupId,
        upstream: &UpstreamId,
        load: f64,
        batch: bool,
    ) -> Option<UpstreamPermit> {
        let registry = self.registry.read();
        let notice = registry
            .get(upstream)
            .filter(|notice| !notice.leaving && notice.group == *group)?;
        let key = ConnectionKey {
            address: notice.address,
            owner: upstream.to_string(),
        };
        let started_ms = notice.started_ms;
        let has_free_slot = load < f64::from(notice.slots);
        drop(registry);
        let mut estimates = self.estimates.lock();
        let estimate = estimates.entry(upstream.clone()).or_default();
        estimate.own += 1;
        estimate.own_batch += u32::from(batch);
        let now_ms = steady_ms();
        estimate.health.record_attempt(now_ms);
        estimate.signs.record_request(now_ms);
        let speed_percent = (estimate.speed.factor(now_ms) * 100.0).round() as u32;
        drop(estimates);
        self.changed.notify_one();
        Some(UpstreamPermit {
            upstream: upstream.clone(),
            key,
            started_ms,
            load,
            has_free_slot,
            acquired_at: Instant::now(),
            speed_percent,
            expected: None,
            tokens: 0,
            batch: batch.then(|| self.register_batch_run(upstream)),
            pool: self.clone(),
        })
    }

    fn register_batch_run(&self, upstream: &UpstreamId) -> (u64, CancellationToken) {
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        let preempted = CancellationToken::new();
        self.batch_runs.lock().push(BatchRun {
            number,
            upstream: upstream.clone(),
            preempted: preempted.clone(),
        });
        (number, preempted)
    }

    /// Applies an announcement of an upstream.
    pub fn announce(&self, upstream: UpstreamId, notice: UpstreamNotice) {
        self.first_announced.cancel();
        let seq = notice.sequence;
        let group = notice.group.clone();
        let mut registry = self.registry.write();
        let change = registry.announce(upstream.clone(), notice);
        drop(registry);
        if change != RegistryChange::None {
            log::info!(
                "event=upstream_changed upstream={upstream} group={group} sequence={seq} change={change:?}"
            );
        }
        if change == RegistryChange::Joined {
            self.forget_upstream(&upstream);
        }
    }

    /// Applies the announcements that no newer one overrules any more.
    pub fn settle(&self) {
        let mut registry = self.registry.write();
        let settled = registry.settle(steady_ms());
        drop(registry);
        for (upstream, change) in settled {
            log::warn!("event=upstream_version_undone upstream={upstream} change={change:?}");
            if change == RegistryChange::Joined {
                self.forget_upstream(&upstream);
            }
        }
    }

    /// Records that an upstream leaves, as it said in an answer to this or another instance. Returns
    /// its group if that was new.
    pub fn record_leaving(&self, leaving: &LeavingUpstream) -> Option<UpstreamGroupId> {
        let LeavingUpstream {
            upstream,
            started_ms,
        } = leaving;
        let mut registry = self.registry.write();
        let change = registry.record_leaving(upstream, *started_ms);
        let notice = registry.get(upstream);
        let group = notice.map(|notice| notice.group.clone());
        drop(registry);
        if change != RegistryChange::Leaving {
            return None;
        }
        log::info!("event=upstream_changed upstream={upstream} change={change:?} source=answer");
        self.connection_pool.forget(upstream.as_str());
        group
    }

    /// Returns the upstreams that told this instance lately that they leave, by group.
    pub fn recently_left(&self) -> Vec<(UpstreamGroupId, LeavingUpstream)> {
        let mut left = self.recently_left.lock();
        left.retain(|left| left.said.elapsed() < LEAVING_REPORT_TIME);
        left.iter()
            .map(|left| (left.group.clone(), left.report.clone()))
            .collect()
    }

    /// Whether this start of an upstream accepts requests.
    fn accepts(&self, upstream: &UpstreamId, started_ms: u64) -> bool {
        let registry = self.registry.read();
        let notice = registry.get(upstream);
        notice.is_some_and(|notice| !notice.leaving && notice.started_ms == started_ms)
    }

    /// Removes an upstream and drops idle connections to it.
    pub fn remove(&self, upstream: &UpstreamId) {
        let change = self.registry.write().remove(upstream);
        if change == RegistryChange::Gone {
            log::info!("event=upstream_changed upstream={upstream} change=Gone");
            self.forget_upstream(upstream);
        }
    }

    /// Removes every upstream that is not in `present`.
    pub fn retain(&self, present: &[UpstreamId]) {
        let gone = self.registry.write().retain(present);
        for upstream in gone {
            log::info!("event=upstream_changed upstream={upstream} change=Gone source=newest");
            self.forget_upstream(&upstream);
        }
    }

    /// Number of known upstreams, including those that are leaving.
    pub fn len(&self) -> usize {
        self.registry.read().len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records a failure of an upstream that is still waited for.
    pub fn record_failure(&self, upstream: &UpstreamId) {
        let mut estimates = self.estimates.lock();
        if let Some(estimate) = estimates.get_mut(upstream) {
            estimate.health.record_failure(steady_ms());
        }
    }

    fn forget_upstream(&self, upstream: &UpstreamId) {
        self.connection_pool.forget(upstream.as_str());
        let mut estimates = self.estimates.lock();
        if let Some(estimate) = estimates.get_mut(upstream) {
            // Requests in flight stay counted until they end.
            estimate.restart();
            if estimate.own == 0 {
                estimates.remove(upstream);
            }
        }
    }

    /// Places a request by this instance's own estimates, without asking an allocator.
    pub fn choose(
        self: &Arc<Self>,
        group: &UpstreamGroupId,
        demand: PlacementDemand,
        excluded: &[UpstreamId],
    ) -> PoolStep {
        let serving = self.serving(group, excluded);
        let estimates = self.estimates.lock();
        let idle = LoadEstimate::default();
        let candidates = serving.iter().map(|(upstream, notice)| PlacementCandidate {
            slots: notice.slots,
            is_local: notice.data_centre == self.data_centre,
            estimate: estimates.get(upstream).unwrap_or(&idle),
        });
        let candidates: Vec<_> = candidates.collect();
        let step = place(&candidates, demand, steady_ms(), &mut rand::rng());
        drop(estimates);
        match step {
            PlacementDecision::Refuse { retry_after_ms } => PoolStep::Refuse { retry_after_ms },
            PlacementDecision::NoUpstream => PoolStep::NoUpstream,
            PlacementDecision::Send { index, load } => {
                let batch = demand == PlacementDemand::Batch;
                match self.issue_permit(group, &serving[index].0, load, batch) {
                    Some(permit) => PoolStep::Send(permit),
                    None => PoolStep::NoUpstream,
                }
            }
        }
    }
}

/// The last reported speed of an upstream, if it is recent.
fn speed_report(speed: &SpeedEstimate, now_ms: u64) -> Option<SpeedReport> {
    let recent = speed.recent(now_ms)?;
    Some(SpeedReport {
        percent: recent.percent,
        age_ms: now_ms.saturating_sub(recent.reported_ms) as u32,
    })
}
