//! The model engine stand-in: its state and its step loop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use amaranth_net::answer;
use amaranth_net::client::HttpClient;
use amaranth_net::clock::unix_ms;
use amaranth_wire::engine::{EngineLoad, EngineRole, EngineStatus, ListedUpstream};
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use amaranth_wire::id::{ModelId, UpstreamId};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::engine_batch::{BatchAdmission, BatchSpeed, StreamBatch};
use crate::engine_orders::OrderBook;
use crate::engine_stream::{StreamEnd, StreamState};
use crate::engine_text::{AnswerWriter, CompletionRequest, IMPOSSIBLE_MARK};
use crate::fault_panel::FaultPanel;
use crate::load_history::LoadHistory;
use crate::prefix_cache::CacheLimits;

/// Longest sleep of the step loop while nothing runs.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// How far the step loop may lag behind its own times before it gives up catching up.
const CATCH_UP: Duration = Duration::from_millis(5);
/// Named streams whose starts are counted.
const COUNTED_STREAMS: usize = 1 << 18;

/// How an engine stand-in behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Its name on the platform's list and in metrics.
    pub name: UpstreamId,
    /// Name of the model that it serves first.
    pub model: ModelId,
    /// Version of that model.
    pub version: String,
    /// Its speed.
    pub speed: BatchSpeed,
    /// Its prefix cache.
    pub cache: CacheLimits,
    /// How late load reports are.
    pub report_lag: Duration,
    /// How long a named stream is kept without a reader.
    pub hold: Duration,
    /// Time to export or import the cache of one KiB of text.
    pub transfer_per_kib: Duration,
    /// Time that an order takes, beside the reading of weights.
    pub order_time: Duration,
    /// Where weights are read; without it loading only takes the order's time.
    pub weights: Option<SocketAddr>,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            name: "engine".parse().expect("a valid name"),
            model: "sketch-llm".parse().expect("a valid name"),
            version: "1".to_owned(),
            speed: BatchSpeed {
                step: Duration::from_millis(10),
                step_growth: 0.02,
                prefill_per_kib: Duration::from_millis(2),
                prefill_chunk: 8 << 10,
                speed: 1.0,
                slots: 16,
            },
            cache: CacheLimits {
                blocks: 4_096,
                event_lag_ms: 200,
                event_loss_percent: 5,
            },
            report_lag: Duration::from_millis(500),
            hold: Duration::from_secs(10),
            transfer_per_kib: Duration::from_millis(1),
            order_time: Duration::from_millis(200),
            weights: None,
            checks_fencing: true,
        }
    }
}

/// What an engine counted since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that were taken in.
    pub requests: u64,
    /// Requests that were refused or answered with an error.
    pub refused: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Streams that were cancelled by a call.
    pub cancels: u64,
    /// Streams that were resumed.
    pub resumes: u64,
    /// Streams that were exported.
    pub exports: u64,
    /// Streams that were imported.
    pub imports: u64,
    /// Orders that were carried out.
    pub orders: u64,
    /// How often each named stream was started, imports not included.
    pub started: HashMap<String, u64>,
}

/// The parts of the state that change together.
#[derive(Debug)]
pub struct EngineCore {
    pub(crate) batch: StreamBatch,
    pub(crate) named: HashMap<String, Arc<StreamState>>,
    pub(crate) status: EngineStatus,
    pub(crate) orders: OrderBook,
    pub(crate) admission: BatchAdmission,
    pub(crate) counts: EngineCounts,
    history: LoadHistory,
    next_request: u64,
}

/// State of the stand-in.
pub struct EngineState {
    /// How it behaves.
    pub profile: EngineProfile,
    /// Its faults.
    pub panel: Arc<FaultPanel>,
    pub(crate) client: HttpClient,
    pub(crate) stop: CancellationToken,
    core: Mutex<EngineCore>,
    changed: Notify,
}

impl EngineState {
    /// An idle engine that serves its first model.
    pub fn new(profile: EngineProfile, stop: CancellationToken) -> Self {
        let status = EngineStatus {
            model: Some(profile.model.clone()),
            version: profile.version.clone(),
            adapters: Vec::new(),
            role: EngineRole::Serve,
            busy: false,
            last_order: None,
            fence: Default::default(),
            leaving: false,
        };
        let core = EngineCore {
            batch: StreamBatch::new(profile.speed, profile.cache),
            named: HashMap::new(),
            status,
            orders: OrderBook::new(profile.checks_fencing),
            admission: BatchAdmission::Open,
            counts: EngineCounts::default(),
            history: LoadHistory::new(profile.report_lag),
            next_request: 0,
        };
        Self {
            profile,
            panel: Arc::default(),
            client: HttpClient::new(Duration::from_secs(1)),
            stop,
            core: Mutex::new(core),
            changed: Notify::new(),
        }
    }

    /// The state, locked.
    pub(crate) fn core(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().expect("not poisoned")
    }

    /// Wakes the step loop.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Runs steps until the engine is stopped.
    pub async fn run(self: Arc<Self>) {
        let stop = self.stop.clone();
        tokio::select! {
            () = self.run_steps() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn run_steps(&self) {
        let name = self.profile.name.to_string();
        let tokens = metrics::counter!("amaranth_engine_tokens_total", "upstream" => name.clone());
        let active = metrics::gauge!("amaranth_engine_active_streams", "upstream" => name);
        let mut due = tokio::time::Instant::now();
        loop {
            self.panel.gate.wait_open().await;
            let Some(step) = self.begin_step() else {
                active.set(0.0);
                let _ = timeout(IDLE_PERIOD, self.changed.notified()).await;
                due = tokio::time::Instant::now();
                continue;
            };
            let now = tokio::time::Instant::now();
            due = due.max(now.checked_sub(CATCH_UP).unwrap_or(now)) + step;
            sleep_until(due).await;
            let (running, produced) = self.finish_step();
            active.set(running as f64);
            tokens.absolute(produced);
        }
    }

    fn begin_step(&self) -> Option<Duration> {
        let slow_factor = self.panel.faults().slow_factor;
        let mut core = self.core();
        core.expire_streams(self.profile.hold);
        let admission = core.admission;
        let step = core.batch.begin_step(admission, slow_factor);
        core.note_load();
        step
    }

    fn finish_step(&self) -> (usize, u64) {
        let mut core = self.core();
        let prefill_only = core.status.role == EngineRole::Prefill;
        core.batch.finish_step(prefill_only, unix_ms());
        (core.batch.running(), core.batch.produced())
    }

    /// Takes in a request as a stream of this name, if any.
    pub(crate) fn start_stream(
        &self,
        request: CompletionRequest,
        name: Option<String>,
    ) -> answer::Result<Arc<StreamState>> {
        let mut core = self.core();
        let started = core.start_stream(request, name);
        match &started {
            Ok(_) => core.counts.requests += 1,
            Err(_) => core.counts.refused += 1,
        }
        drop(core);
        self.wake();
        started
    }

    /// Requests that it was asked since the start, taken in or not.
    pub fn asked(&self) -> u64 {
        let core = self.core();
        core.counts.requests + core.counts.refused
    }

    /// Shows itself as leaving, or not, as after an order.
    pub fn set_leaving(&self, leaving: bool) {
        self.core().status.leaving = leaving;
    }

    /// Streams that wait or run and whose prompt starts so.
    pub fn open_streams(&self, prefix: &str) -> usize {
        self.core().batch.open_streams(prefix)
    }

    /// What it says of itself on the platform's list.
    pub fn row(&self) -> ListedUpstream {
        ListedUpstream {
            upstream: self.profile.name.clone(),
            leaving: self.core().status.leaving,
        }
    }

    /// The load report as it was some time ago.
    pub(crate) fn load(&self) -> EngineLoad {
        let mut core = self.core();
        core.note_load();
        core.history.lagging(unix_ms())
    }
}

impl EngineCore {
    fn start_stream(
        &mut self,
        request: CompletionRequest,
        name: Option<String>,
    ) -> answer::Result<Arc<StreamState>> {
        if self.status.role == EngineRole::Decode {
            let message = "this engine only takes imported streams";
            return Err(CallError::new(ErrorKind::NotReady, message));
        }
        let writer = self.check(&request)?;
        if let Some(name) = &name {
            if self.named.contains_key(name) {
                let message = format!("stream {name} exists");
                return Err(CallError::new(ErrorKind::InProgress, message));
            }
            self.count_start(name);
        }
        let stream = Arc::new(StreamState::new(name, request, writer));
        self.add_stream(&stream);
        Ok(stream)
    }

    /// Checks that this engine can answer a request now.
    pub(crate) fn check(&mut self, request: &CompletionRequest) -> answer::Result<AnswerWriter> {
        if self.status.leaving {
            let message = "this engine is leaving";
            return Err(CallError::new(ErrorKind::NotReady, message));
        }
        let model = self.status.model.as_ref();
        let is_model = model.is_some_and(|model| model.as_str() == request.model);
        if !is_model && !self.status.adapters.contains(&request.model) {
            let message = format!("this engine does not serve {:?}", request.model);
            return Err(CallError::new(ErrorKind::UnknownTarget, message));
        }
        if request.prompt.contains(IMPOSSIBLE_MARK) {
            let message = "this prompt can't be answered";
            let error = CallError::new(ErrorKind::UpstreamRejected, message);
            return Err(error.with_ran(RanState::No));
        }
        self.next_request += 1;
        let id = format!("cmpl-{}", self.next_request);
        Ok(AnswerWriter::new(request, id, &self.status.version))
    }

    /// Queues a stream and keeps it under its name.
    pub(crate) fn add_stream(&mut self, stream: &Arc<StreamState>) {
        if let Some(name) = &stream.name {
            self.named.insert(name.clone(), stream.clone());
        }
        self.batch.push(stream.clone());
    }

    fn count_start(&mut self, name: &str) {
        let started = &mut self.counts.started;
        if let Some(count) = started.get_mut(name) {
            *count += 1;
        } else if started.len() < COUNTED_STREAMS {
            started.insert(name.to_owned(), 1);
        }
    }

    /// Forgets named streams that nobody has read for so long.
    fn expire_streams(&mut self, hold: Duration) {
        let Some(time) = Instant::now().checked_sub(hold) else {
            return;
        };
        self.named.retain(|_, stream| {
            let expired = stream.is_idle_since(time);
            if expired {
                stream.end(StreamEnd::Cancelled);
            }
            !expired
        });
    }

    fn note_load(&mut self) {
        let load = EngineLoad {
            time_ms: unix_ms(),
            active: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            slots: self.batch.slots() as u32,
            step_us: self.batch.last_step().as_micros() as u64,
            leaving: self.status.leaving,
        };
        self.history.note(load);
    }
}
