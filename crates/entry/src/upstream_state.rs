//! Load, health and limits of one upstream as seen by this instance, and its in-flight count.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use amaranth_kernel::concurrency_limit::ConcurrencyLimit;
use amaranth_kernel::ejection::UpstreamHealth;
use amaranth_kernel::rollout::UpstreamSample;
use amaranth_kernel::upstream_load::{LoadTracker, LoadView};
use amaranth_net::client::HttpClient;
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_settings::upstream::UpstreamSettings;
use amaranth_wire::engine::EngineLoad;
use amaranth_wire::id::UpstreamId;
use tokio::sync::Notify;

/// Longest wait for a connection to an upstream.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// One upstream with an address.
pub struct UpstreamState {
    /// Name in the settings.
    pub upstream: UpstreamId,
    /// Address for calls.
    pub address: SocketAddr,
    /// Client with its own connection pool, so that abandoning a silent pool affects no other
    /// upstream.
    pub client: HttpClient,
    /// Relative speed from the settings.
    pub speed: f64,
    tracked: Mutex<TrackedState>,
    batch_items: AtomicU32,
    room_notify: Arc<Notify>,
}

struct TrackedState {
    load: LoadTracker,
    limit: ConcurrencyLimit,
    health: UpstreamHealth,
    listed_leaving: bool,
    dither: f64,
    sample: UpstreamSample,
}

/// State of one upstream that routing uses.
#[derive(Debug, Clone)]
pub struct UpstreamSnapshot {
    /// Load, own and reported.
    pub load: LoadView,
    /// Health for outlier ejection.
    pub health: UpstreamHealth,
    /// Whether it is leaving by the platform's list or its own reports.
    pub leaving: bool,
    /// Whether this instance's share of the concurrency limit has room.
    pub has_room: bool,
    /// Whether it has room for a request whose prompt prefix is likely cached there.
    pub has_affinity_room: bool,
}

impl UpstreamState {
    /// Creates the state, `None` without an address. `room_notify` is notified when a request
    /// there ends or a load report arrives.
    pub fn new(settings: UpstreamSettings, slots: u32, room_notify: Arc<Notify>) -> Option<Self> {
        Some(Self {
            address: settings.address?,
            upstream: settings.upstream,
            client: HttpClient::new(CONNECT_LIMIT),
            speed: settings.speed,
            tracked: Mutex::new(TrackedState {
                load: LoadTracker::new(slots),
                limit: ConcurrencyLimit::new(slots),
                health: UpstreamHealth::new(),
                listed_leaving: false,
                dither: rand::random(),
                sample: UpstreamSample::default(),
            }),
            batch_items: AtomicU32::new(0),
            room_notify,
        })
    }

    fn tracked(&self) -> MutexGuard<'_, TrackedState> {
        self.tracked.lock().expect("not poisoned")
    }

    /// Takes a snapshot; `instances` is the number of instances that share the upstream.
    pub fn snapshot(&self, now_ms: u64, instances: u32) -> UpstreamSnapshot {
        let tracked = self.tracked();
        let load = tracked.load.view(now_ms, instances);
        UpstreamSnapshot {
            has_room: tracked.limit.has_room(&load, instances, tracked.dither),
            has_affinity_room: tracked
                .limit
                .has_affinity_room(&load, instances, tracked.dither),
            load,
            health: tracked.health,
            leaving: tracked.listed_leaving || tracked.load.is_leaving(),
        }
    }

    /// Number of this instance's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.tracked().load.own()
    }

    /// Totals of this instance's ended requests there.
    pub fn sample(&self) -> UpstreamSample {
        self.tracked().sample
    }

    /// Whether this instance runs batch items there.
    pub fn has_batch_items(&self) -> bool {
        self.batch_items.load(Ordering::Relaxed) > 0
    }

    /// Applies a load report. `gap_us` is the objective for the time between tokens.
    pub fn apply_report(&self, report: &EngineLoad, gap_us: u64) {
        let mut tracked = self.tracked();
        if tracked.load.apply_report(report, unix_ms()) {
            tracked.limit.adapt(report.slots, report.step_us, gap_us);
            tracked.dither = rand::random();
        }
        drop(tracked);
        self.room_notify.notify_one();
    }

    /// Sets whether the platform lists it as leaving.
    pub fn set_listed_leaving(&self, leaving: bool) {
        self.tracked().listed_leaving = leaving;
    }

    /// Records a successful answer in its health.
    pub fn record_success(&self) {
        self.tracked().health.record_success();
    }

    /// Records a failure that the upstream caused.
    pub fn record_failure(&self) {
        self.tracked().health.record_failure(unix_ms());
    }
}

/// Counts one batch item at an upstream until dropped.
pub struct BatchItemGuard(Arc<UpstreamState>);

impl BatchItemGuard {
    /// Increments the batch item count.
    pub fn new(state: Arc<UpstreamState>) -> Self {
        state.batch_items.fetch_add(1, Ordering::Relaxed);
        Self(state)
    }
}

impl Drop for BatchItemGuard {
    fn drop(&mut self) {
        self.0.batch_items.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts one in-flight request at an upstream until dropped.
pub struct InFlightGuard {
    state: Arc<UpstreamState>,
    started_ms: u64,
    failed: AtomicBool,
}

impl InFlightGuard {
    /// Records the start of a request.
    pub fn new(state: Arc<UpstreamState>) -> Self {
        let now_ms = unix_ms();
        let mut tracked = state.tracked();
        tracked.load.record_start(now_ms);
        tracked.health.record_attempt(now_ms);
        drop(tracked);
        Self {
            state,
            started_ms: steady_ms(),
            failed: AtomicBool::new(false),
        }
    }

    /// The upstream that the request was sent to.
    pub fn upstream(&self) -> &UpstreamState {
        &self.state
    }

    /// Records an error that counts against the upstream's version in a rollout, but not against
    /// its health.
    pub fn record_error(&self) {
        self.failed.store(true, Ordering::Relaxed);
    }

    /// Records a failure of the upstream.
    pub fn record_failure(&self) {
        self.record_error();
        self.state.record_failure();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut tracked = self.state.tracked();
        tracked.load.record_end(unix_ms());
        tracked.sample = tracked.sample.plus(UpstreamSample {
            requests: 1,
            errors: u64::from(*self.failed.get_mut()),
            total_ms: steady_ms().saturating_sub(self.started_ms),
        });
        drop(tracked);
        self.state.room_notify.notify_one();
    }
}
