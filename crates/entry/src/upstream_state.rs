//! What this instance knows of one upstream, and the count of its requests there.

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

/// One upstream.
pub struct UpstreamState {
    /// Its name.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Calls of it. A connection that goes silent costs only this upstream's pool.
    pub client: HttpClient,
    /// Its relative speed by the settings.
    pub speed: f64,
    book: Mutex<UpstreamBook>,
    batch_items: AtomicU32,
    room: Arc<Notify>,
}

struct UpstreamBook {
    load: LoadTracker,
    limit: ConcurrencyLimit,
    health: UpstreamHealth,
    listed_leaving: bool,
    dither: f64,
    sample: UpstreamSample,
}

/// What a choice between upstreams needs to know of one.
#[derive(Debug, Clone)]
pub struct UpstreamSnapshot {
    /// Its load.
    pub load: LoadView,
    /// Its health.
    pub health: UpstreamHealth,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether this instance's share of its limit has room.
    pub has_room: bool,
    /// Whether it has room for a request that gains from the upstream's cache.
    pub has_affinity_room: bool,
}

impl UpstreamState {
    /// An upstream with an address. `room` is told when a request there ends.
    pub fn new(settings: UpstreamSettings, slots: u32, room: Arc<Notify>) -> Option<Self> {
        Some(Self {
            address: settings.address?,
            upstream: settings.upstream,
            client: HttpClient::new(CONNECT_LIMIT),
            speed: settings.speed,
            book: Mutex::new(UpstreamBook {
                load: LoadTracker::new(slots),
                limit: ConcurrencyLimit::new(slots),
                health: UpstreamHealth::new(),
                listed_leaving: false,
                dither: rand::random(),
                sample: UpstreamSample::default(),
            }),
            batch_items: AtomicU32::new(0),
            room,
        })
    }

    fn book(&self) -> MutexGuard<'_, UpstreamBook> {
        self.book.lock().expect("not poisoned")
    }

    /// What is known of it, with so many instances beside each other.
    pub fn snapshot(&self, now_ms: u64, instances: u32) -> UpstreamSnapshot {
        let book = self.book();
        let load = book.load.view(now_ms, instances);
        UpstreamSnapshot {
            has_room: book.limit.has_room(&load, instances, book.dither),
            has_affinity_room: book.limit.has_affinity_room(&load, instances, book.dither),
            load,
            health: book.health,
            leaving: book.listed_leaving || book.load.is_leaving(),
        }
    }

    /// Requests of this instance there.
    pub fn in_flight(&self) -> u32 {
        self.book().load.own()
    }

    /// What the requests of this instance there came to.
    pub fn sample(&self) -> UpstreamSample {
        self.book().sample
    }

    /// Whether this instance has batch items there.
    pub fn runs_batch(&self) -> bool {
        self.batch_items.load(Ordering::Relaxed) > 0
    }

    /// Takes a load report. `gap_us` is the objective for the time between tokens.
    pub fn take_report(&self, report: &EngineLoad, gap_us: u64) {
        let mut book = self.book();
        if book.load.apply_report(report, unix_ms()) {
            book.limit.adapt(report.slots, report.step_us, gap_us);
            book.dither = rand::random();
        }
        drop(book);
        self.room.notify_one();
    }

    /// Notes whether the platform lists it as leaving.
    pub fn set_listed_leaving(&self, leaving: bool) {
        self.book().listed_leaving = leaving;
    }

    /// Notes an answer that shows that it does well.
    pub fn note_success(&self) {
        self.book().health.record_success();
    }

    /// Notes a failure that is its fault.
    pub fn note_failure(&self) {
        self.book().health.record_failure(unix_ms());
    }
}

/// Counts one batch item at an upstream for as long as it lives.
pub struct BatchMark(Arc<UpstreamState>);

impl BatchMark {
    /// Counts an item from now on.
    pub fn new(state: Arc<UpstreamState>) -> Self {
        state.batch_items.fetch_add(1, Ordering::Relaxed);
        Self(state)
    }
}

impl Drop for BatchMark {
    fn drop(&mut self) {
        self.0.batch_items.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts one request at an upstream for as long as it lives.
pub struct InFlightGuard {
    state: Arc<UpstreamState>,
    started_ms: u64,
    failed: AtomicBool,
}

impl InFlightGuard {
    /// Counts a request from now on.
    pub fn new(state: Arc<UpstreamState>) -> Self {
        let now_ms = unix_ms();
        let mut book = state.book();
        book.load.record_start(now_ms);
        book.health.record_attempt(now_ms);
        drop(book);
        Self {
            state,
            started_ms: steady_ms(),
            failed: AtomicBool::new(false),
        }
    }

    /// Where the request is.
    pub fn upstream(&self) -> &UpstreamState {
        &self.state
    }

    /// Notes an answer that counts against the upstream's version, though not its health.
    pub fn note_error(&self) {
        self.failed.store(true, Ordering::Relaxed);
    }

    /// Notes that the upstream failed the request.
    pub fn note_failure(&self) {
        self.note_error();
        self.state.note_failure();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut book = self.state.book();
        book.load.record_end(unix_ms());
        book.sample = book.sample.plus(UpstreamSample {
            requests: 1,
            errors: u64::from(*self.failed.get_mut()),
            total_ms: steady_ms().saturating_sub(self.started_ms),
        });
        drop(book);
        self.state.room.notify_one();
    }
}
