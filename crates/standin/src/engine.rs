//! State and step loop of the model engine stand-in.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use amaranth_net::answer;
use amaranth_net::client::HttpClient;
use amaranth_net::clock::unix_ms;
use amaranth_wire::engine::{EngineLoad, EngineRole, EngineStatus, ListedUpstream, ShardFence};
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use amaranth_wire::id::{LeaseEpoch, ModelId, ShardId, UpstreamId};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::engine_batch::{BatchAdmission, BatchSpeed, StreamBatch};
use crate::engine_orders::OrderTracker;
use crate::engine_stream::{StreamEnd, StreamState};
use crate::engine_text::{AnswerWriter, CompletionRequest, REJECTED_PROMPT_MARKER};
use crate::fault_injector::FaultInjector;
use crate::load_history::LoadHistory;
use crate::prefix_cache::CacheLimits;

/// Longest wait of the step loop for new streams while none runs.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Largest lag behind the step schedule that is caught up; any further lag is skipped.
const MAX_STEP_LAG: Duration = Duration::from_millis(5);
/// Most named streams whose starts are counted.
const MAX_COUNTED_STREAMS: usize = 1 << 18;

/// Configuration of an engine stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Name on the platform's list and in metrics.
    pub name: UpstreamId,
    /// Name of the model that is loaded at the start.
    pub model: ModelId,
    /// Version of that model.
    pub version: String,
    /// Step times, batch size and relative speed.
    pub speed: BatchSpeed,
    /// Size of the prefix cache and delay and loss of its events.
    pub cache: CacheLimits,
    /// Delay of load reports.
    pub report_lag: Duration,
    /// How long a named stream without a reader is kept.
    pub stream_retention: Duration,
    /// Time to export or import the cache of one KiB of text.
    pub transfer_per_kib: Duration,
    /// Time that an order takes besides downloading weights.
    pub order_time: Duration,
    /// Address of the weight store. Without one, a load takes only `order_time`.
    pub weights: Option<SocketAddr>,
    /// Whether orders with a stale fencing token are rejected.
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
            stream_retention: Duration::from_secs(10),
            transfer_per_kib: Duration::from_millis(1),
            order_time: Duration::from_millis(200),
            weights: None,
            checks_fencing: true,
        }
    }
}

/// Counters of an engine since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Accepted requests.
    pub requests: u64,
    /// Rejected requests.
    pub refused: u64,
    /// Generated tokens.
    pub tokens: u64,
    /// Streams cancelled by a caller.
    pub cancels: u64,
    /// Resumed reads of a stream.
    pub resumes: u64,
    /// Exported streams.
    pub exports: u64,
    /// Imported streams.
    pub imports: u64,
    /// Orders that succeeded.
    pub orders: u64,
    /// Starts of each named stream, without imports.
    pub started: HashMap<String, u64>,
}

/// Start of a named stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StreamStart {
    /// Name that the caller gave the stream; it begins with the caller's own name.
    pub stream: String,
    /// Prompt of its request.
    pub prompt: String,
    /// Time of the start, in Unix milliseconds.
    pub started_ms: u64,
}

/// Mutable state of the engine, behind one lock.
#[derive(Debug)]
pub struct EngineCore {
    pub(crate) batch: StreamBatch,
    pub(crate) named: HashMap<String, Arc<StreamState>>,
    pub(crate) status: EngineStatus,
    pub(crate) orders: OrderTracker,
    pub(crate) admission: BatchAdmission,
    pub(crate) counts: EngineCounts,
    /// Starts of named streams in their order, without imports.
    pub(crate) starts: Vec<StreamStart>,
    /// Newest epoch of each shard under which an item came.
    shard_fences: HashMap<ShardId, LeaseEpoch>,
    history: LoadHistory,
    next_request: u64,
}

/// State of an engine stand-in.
pub struct EngineState {
    /// The configuration that the engine was started with.
    pub profile: EngineProfile,
    /// Injected faults.
    pub injector: Arc<FaultInjector>,
    pub(crate) client: HttpClient,
    pub(crate) stop: CancellationToken,
    core: Mutex<EngineCore>,
    changed: Notify,
}

impl EngineState {
    /// Creates an idle engine that serves the configured model.
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
            orders: OrderTracker::new(profile.checks_fencing),
            admission: BatchAdmission::Open,
            counts: EngineCounts::default(),
            starts: Vec::new(),
            shard_fences: HashMap::new(),
            history: LoadHistory::new(profile.report_lag),
            next_request: 0,
        };
        Self {
            profile,
            injector: Arc::default(),
            client: HttpClient::new(Duration::from_secs(1)),
            stop,
            core: Mutex::new(core),
            changed: Notify::new(),
        }
    }

    /// Locks the mutable state.
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
            self.injector.gate.wait_unfrozen().await;
            let Some(step) = self.begin_step() else {
                active.set(0.0);
                let _ = timeout(IDLE_WAIT, self.changed.notified()).await;
                due = tokio::time::Instant::now();
                continue;
            };
            let now = tokio::time::Instant::now();
            due = due.max(now.checked_sub(MAX_STEP_LAG).unwrap_or(now)) + step;
            sleep_until(due).await;
            let (running, produced) = self.finish_step();
            active.set(running as f64);
            tokens.absolute(produced);
        }
    }

    fn begin_step(&self) -> Option<Duration> {
        let slow_factor = self.injector.faults().slow_factor;
        let mut core = self.core();
        core.expire_streams(self.profile.stream_retention);
        let admission = core.admission;
        let step = core.batch.begin_step(admission, slow_factor);
        core.record_load();
        step
    }

    fn finish_step(&self) -> (usize, u64) {
        let mut core = self.core();
        let prefill_only = core.status.role == EngineRole::Prefill;
        core.batch.finish_step(prefill_only, unix_ms());
        (core.batch.running(), core.batch.produced())
    }

    /// Refuses an item that was sent under an older lease of its shard than another one.
    pub(crate) fn check_fence(&self, fence: ShardFence) -> answer::Result<()> {
        if !self.profile.checks_fencing {
            return Ok(());
        }
        let mut core = self.core();
        let newest = core.shard_fences.entry(fence.shard).or_insert(fence.epoch);
        if fence.epoch < *newest {
            core.counts.refused += 1;
            let message = "a newer owner of the shard has sent items";
            return Err(CallError::new(ErrorKind::NotReady, message));
        }
        *newest = fence.epoch;
        Ok(())
    }

    /// Validates and queues a request as a new stream, optionally named.
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

    /// Requests received since the start, accepted or rejected.
    pub fn request_count(&self) -> u64 {
        let core = self.core();
        core.counts.requests + core.counts.refused
    }

    /// Sets whether the engine is leaving, as a `SetLeaving` order does.
    pub fn set_leaving(&self, leaving: bool) {
        self.core().status.leaving = leaving;
    }

    /// Number of waiting and running streams whose prompt has the given prefix.
    pub fn open_streams(&self, prefix: &str) -> usize {
        self.core().batch.open_streams(prefix)
    }

    /// The engine's entry for the platform's list.
    pub fn list_entry(&self) -> ListedUpstream {
        ListedUpstream {
            upstream: self.profile.name.clone(),
            leaving: self.core().status.leaving,
        }
    }

    /// The load report, delayed by `report_lag`.
    pub(crate) fn load(&self) -> EngineLoad {
        let mut core = self.core();
        core.record_load();
        core.history.lagged(unix_ms())
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
        let writer = self.validate_request(&request)?;
        if let Some(name) = &name {
            if self.named.contains_key(name) {
                let message = format!("stream {name} exists");
                return Err(CallError::new(ErrorKind::InProgress, message));
            }
            self.record_start(name, &request.prompt);
        }
        let stream = Arc::new(StreamState::new(name, request, writer));
        self.add_stream(&stream);
        Ok(stream)
    }

    /// Checks that the engine can serve a request now and creates its answer writer.
    pub(crate) fn validate_request(
        &mut self,
        request: &CompletionRequest,
    ) -> answer::Result<AnswerWriter> {
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
        if request.prompt.contains(REJECTED_PROMPT_MARKER) {
            let message = "this prompt can't be answered";
            let error = CallError::new(ErrorKind::UpstreamRejected, message);
            return Err(error.with_ran(RanState::No));
        }
        self.next_request += 1;
        let id = format!("cmpl-{}", self.next_request);
        Ok(AnswerWriter::new(request, id, &self.status.version))
    }

    /// Queues a stream and registers its name, if it has one.
    pub(crate) fn add_stream(&mut self, stream: &Arc<StreamState>) {
        if let Some(name) = &stream.name {
            self.named.insert(name.clone(), stream.clone());
        }
        self.batch.push(stream.clone());
    }

    fn record_start(&mut self, name: &str, prompt: &str) {
        if self.starts.len() < MAX_COUNTED_STREAMS {
            self.starts.push(StreamStart {
                stream: name.to_owned(),
                prompt: prompt.to_owned(),
                started_ms: unix_ms(),
            });
        }
        let started = &mut self.counts.started;
        if let Some(count) = started.get_mut(name) {
            *count += 1;
        } else if started.len() < MAX_COUNTED_STREAMS {
            started.insert(name.to_owned(), 1);
        }
    }

    /// Cancels and removes named streams that had no reader for `stream_retention`.
    fn expire_streams(&mut self, stream_retention: Duration) {
        let Some(time) = Instant::now().checked_sub(stream_retention) else {
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

    fn record_load(&mut self) {
        let load = EngineLoad {
            time_ms: unix_ms(),
            active: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            slots: self.batch.slots() as u32,
            step_us: self.batch.last_step().as_micros() as u64,
            leaving: self.status.leaving,
        };
        self.history.record(load);
    }
}
