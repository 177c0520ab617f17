//! The plain service stand-in. It runs every call, without deduplication, and counts the runs of
//! each key. At-most-once execution is checked against these counts.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::body::read_all;
use amaranth_net::clock::unix_ms;
use amaranth_net::route::{RouteRequest, handler};
use amaranth_wire::engine::{EngineLoad, LOAD_PATH, SERVICE_CALLS_PATH, ServiceCalls};
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use amaranth_wire::id::UpstreamId;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{any, get};

use crate::engine_faults::{EngineFaults, is_sampled};
use crate::engine_text::REJECTED_PROMPT_MARKER;
use crate::fault_injector::{BODY_LIMITS, FaultInjector, broken_connection, common_routes};
use crate::load_history::LoadHistory;

/// Header with the key that identifies a call.
pub const KEY_HEADER: &str = "idempotency-key";

/// Configuration of a service stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceProfile {
    /// Name on the platform's list and in answers.
    pub name: UpstreamId,
    /// Duration of a call.
    pub time: Duration,
    /// Most calls that run concurrently.
    pub slots: usize,
    /// Delay of load reports.
    pub report_lag: Duration,
}

impl Default for ServiceProfile {
    fn default() -> Self {
        Self {
            name: "service".parse().expect("a valid name"),
            time: Duration::from_millis(20),
            slots: 16,
            report_lag: Duration::from_millis(500),
        }
    }
}

/// Answer of a service, with enough of the call to check that the answer belongs to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// [`body_hash`] of the call's body.
    pub body_hash: String,
    /// Idempotency key of the call.
    pub key: Option<String>,
    /// Number of runs of this key, including this one; 0 without a key.
    pub run: u64,
    /// Name of the service that answers.
    pub service: UpstreamId,
}

/// 64-bit FNV-1a hash of a body, in hexadecimal.
pub fn body_hash(body: &[u8]) -> String {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = body.iter().fold(0xcbf2_9ce4_8422_2325, step);
    format!("{hash:016x}")
}

/// State of a service stand-in.
pub struct ServiceState {
    profile: ServiceProfile,
    /// Injected faults.
    pub injector: Arc<FaultInjector>,
    slots: Semaphore,
    calls: Mutex<CallRecords>,
    history: Mutex<LoadHistory>,
}

#[derive(Debug, Default)]
struct CallRecords {
    waiting: u32,
    total: u64,
    by_key: HashMap<String, ServiceCalls>,
}

/// Totals over all calls that a service ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTotals {
    /// Number of runs.
    pub runs: u64,
    /// Keys that ran more than once.
    pub repeated: Vec<String>,
}

impl ServiceState {
    /// Creates an idle service.
    pub fn new(profile: ServiceProfile) -> Self {
        Self {
            injector: Arc::default(),
            slots: Semaphore::new(profile.slots),
            calls: Mutex::default(),
            history: Mutex::new(LoadHistory::new(profile.report_lag)),
            profile,
        }
    }

    /// The runs and the first answer of one key.
    pub fn calls_for_key(&self, key: &str) -> ServiceCalls {
        let calls = self.calls.lock().expect("not poisoned");
        let row = calls.by_key.get(key).cloned();
        row.unwrap_or(ServiceCalls {
            runs: 0,
            answer: None,
        })
    }

    /// Runs a call to its end, even if the caller has disconnected.
    async fn run(self: Arc<Self>, mut answer: ServiceAnswer, faults: EngineFaults) -> CallOutcome {
        self.calls.lock().expect("not poisoned").waiting += 1;
        let slot = self.slots.acquire().await;
        let number = self.record_start(&mut answer);
        sleep(self.profile.time.mul_f64(faults.slow_factor)).await;
        drop(slot);
        let text = serde_json::to_string(&answer).expect("answers always encode");
        self.store_answer(&answer, &text);
        match is_sampled(number, faults.lost_reply_percent) {
            true => CallOutcome::Lost,
            false => CallOutcome::Answer(text),
        }
    }

    /// Counts the start of a run and returns its number.
    fn record_start(&self, answer: &mut ServiceAnswer) -> u64 {
        let mut calls = self.calls.lock().expect("not poisoned");
        calls.waiting -= 1;
        let number = calls.total;
        calls.total += 1;
        if let Some(key) = &answer.key {
            let row = calls.by_key.entry(key.clone()).or_insert(ServiceCalls {
                runs: 0,
                answer: None,
            });
            row.runs += 1;
            answer.run = row.runs;
        }
        number
    }

    fn store_answer(&self, answer: &ServiceAnswer, text: &str) {
        let mut calls = self.calls.lock().expect("not poisoned");
        let row = answer
            .key
            .as_ref()
            .and_then(|key| calls.by_key.get_mut(key));
        if let Some(row) = row {
            row.answer.get_or_insert_with(|| text.to_owned());
        }
    }

    fn load(&self) -> EngineLoad {
        let slots = self.profile.slots as u32;
        let now_ms = unix_ms();
        let load = EngineLoad {
            time_ms: now_ms,
            active: slots - self.slots.available_permits() as u32,
            waiting: self.calls.lock().expect("not poisoned").waiting,
            slots,
            step_us: self.profile.time.as_micros() as u64,
            leaving: false,
        };
        let mut history = self.history.lock().expect("not poisoned");
        history.record(load);
        history.lagged(now_ms)
    }
}

#[derive(Debug, PartialEq, Eq)]
enum CallOutcome {
    Answer(String),
    Lost,
}

/// Builds the router of a service stand-in.
pub fn router(state: &Arc<ServiceState>) -> Router {
    Router::new()
        .route(
            format!("{SERVICE_CALLS_PATH}/{{key}}"),
            get(handler(state, calls)),
        )
        .route(SERVICE_CALLS_PATH, get(handler(state, totals)))
        .route(LOAD_PATH, get(handler(state, load)))
        .route("/readyz", get(handler(state, ready)))
        .route("/", any(handler(state, call)))
        .route("/{*path}", any(handler(state, call)))
        .merge(common_routes(&state.injector))
}

async fn call(state: Arc<ServiceState>, request: RouteRequest) -> answer::Result<Response> {
    let mut waiter = state.injector.gate.waiter(request.peer());
    let faults = state.injector.admit(&request).await?;
    let mut answer = ServiceAnswer {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        body_hash: String::new(),
        key: request.header(KEY_HEADER).map(str::to_owned),
        run: 0,
        service: state.profile.name.clone(),
    };
    let body = read_all(request.into_body(), BODY_LIMITS).await?;
    let marker = REJECTED_PROMPT_MARKER.as_bytes();
    if body.windows(marker.len()).any(|window| window == marker) {
        let error = CallError::new(ErrorKind::UpstreamRejected, "this call can't be done");
        return Err(error.with_ran(RanState::No));
    }
    answer.body_hash = body_hash(&body);
    let outcome = tokio::spawn(state.clone().run(answer, faults)).await;
    waiter.wait().await;
    match outcome {
        Ok(CallOutcome::Answer(text)) => Ok(answer::bytes(200, answer::JSON, text)),
        Ok(CallOutcome::Lost) => Ok(broken_connection()),
        Err(e) => Err(CallError::new(ErrorKind::Internal, e.to_string())),
    }
}

/// Exempt from injected faults, since tests check results against these counts.
async fn calls(state: Arc<ServiceState>, request: RouteRequest) -> answer::Result<Response> {
    Ok(answer::json(200, &state.calls_for_key(request.param(0))))
}

async fn totals(state: Arc<ServiceState>, _: RouteRequest) -> answer::Result<Response> {
    let calls = state.calls.lock().expect("not poisoned");
    let repeated = calls.by_key.iter().filter(|(_, row)| row.runs > 1);
    let totals = ServiceTotals {
        runs: calls.total,
        repeated: repeated.map(|(key, _)| key.clone()).collect(),
    };
    Ok(answer::json(200, &totals))
}

async fn load(state: Arc<ServiceState>, request: RouteRequest) -> answer::Result<Response> {
    state.injector.admit(&request).await?;
    Ok(answer::json(200, &state.load()))
}

async fn ready(state: Arc<ServiceState>, request: RouteRequest) -> answer::Result<Response> {
    state.injector.admit(&request).await?;
    Ok(answer::bytes(200, answer::TEXT, "ready\n"))
}
