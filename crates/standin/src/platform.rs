//! The platform stand-in: an append-only log, lists with a delay, and a weight store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_net::body::{BodyLimits, read_all, read_json};
use amaranth_net::clock::unix_ms;
use amaranth_net::route::handler;
use amaranth_net::{answer, telemetry};
use amaranth_wire::engine::{ListedUpstream, WEIGHTS_PATH};
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::LogOffset;
use amaranth_wire::platform::{
    AppendReply, LIST_PATH, LOG_APPEND_PATH, LOG_READ_PATH, ListedInstance, ReadReply,
    UPSTREAM_LIST_PATH,
};
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::engine_faults::is_sampled;
use crate::fault_injector::broken_connection;
use crate::lagging_list::LaggingList;
use crate::log_store::{AppendOutcome, LogLimits, LogStore};
use crate::platform_faults::PlatformFaults;
use crate::weight_store::{WeightLimits, WeightStore};

/// Path for reading and replacing the active faults.
pub const FAULTS_PATH: &str = "/faults";
/// Upper bound on the wait of a long-poll read, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;
/// Byte limit on the entries in one read reply.
const MAX_READ_BYTES: usize = 4 << 20;
/// Time without a report after which an instance leaves the list, in milliseconds.
const LIST_EXPIRY_MS: u64 = 10_000;
const BODY_LIMITS: BodyLimits = BodyLimits {
    bytes: 2 << 20,
    time: Duration::from_secs(10),
};

/// Configuration of a platform stand-in.
#[derive(Debug, Clone, Copy)]
pub struct PlatformProfile {
    /// Rate, retention and entry size of the log.
    pub log: LogLimits,
    /// Delay until the lists show a change, in milliseconds.
    pub list_lag_ms: u64,
    /// Size and bandwidth of the weight store.
    pub weights: WeightLimits,
}

/// State of a platform stand-in.
pub struct PlatformState {
    log: Mutex<LogStore>,
    appended: Notify,
    instances: Mutex<LaggingList<ListedInstance>>,
    upstreams: Mutex<LaggingList<ListedUpstream>>,
    weights: Arc<WeightStore>,
    faults: Mutex<PlatformFaults>,
    append_count: Mutex<u64>,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    wait_ms: u64,
}

impl PlatformState {
    /// Creates a platform with an empty log and empty lists.
    pub fn new(profile: PlatformProfile) -> Self {
        let lag_ms = profile.list_lag_ms;
        Self {
            log: Mutex::new(LogStore::new(profile.log)),
            appended: Notify::new(),
            instances: Mutex::new(LaggingList::new(lag_ms, Some(LIST_EXPIRY_MS))),
            upstreams: Mutex::new(LaggingList::new(lag_ms, None)),
            weights: Arc::new(WeightStore::new(profile.weights)),
            faults: Mutex::new(PlatformFaults::default()),
            append_count: Mutex::new(0),
        }
    }

    fn faults(&self) -> PlatformFaults {
        self.faults.lock().expect("not poisoned").clone()
    }

    async fn append(&self, body: Body) -> answer::Result<Response> {
        let faults = self.apply_log_faults(true).await?;
        let bytes = read_all(body, BODY_LIMITS).await?.to_vec();
        let outcome = self
            .log
            .lock()
            .expect("not poisoned")
            .append(bytes, unix_ms());
        let offset = match outcome {
            AppendOutcome::Appended(offset) => offset,
            AppendOutcome::RateLimited => {
                return Err(CallError::new(ErrorKind::Overloaded, "append rate reached"));
            }
            AppendOutcome::TooLarge => {
                return Err(CallError::new(ErrorKind::BodyTooLarge, "entry too large"));
            }
        };
        self.appended.notify_waiters();
        let count = self.count_append();
        if is_sampled(count, faults.silent_percent) {
            std::future::pending::<()>().await;
        }
        if is_sampled(count, faults.lost_reply_percent) {
            return Ok(broken_connection());
        }
        Ok(answer::json(200, &AppendReply { offset }))
    }

    fn count_append(&self) -> u64 {
        let mut append_count = self.append_count.lock().expect("not poisoned");
        *append_count += 1;
        *append_count
    }

    async fn read(&self, query: ReadQuery) -> answer::Result<Response> {
        self.apply_log_faults(false).await?;
        let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let reply = self.read_available(&query);
            if !reply.entries.is_empty() || reply.oldest.0 > query.from {
                return Ok(answer::message_pack(&reply));
            }
            if timeout_at(deadline, appended).await.is_err() {
                return Ok(answer::message_pack(&reply));
            }
            self.apply_log_faults(false).await?;
        }
    }

    fn read_available(&self, query: &ReadQuery) -> ReadReply {
        let now_ms = unix_ms();
        let mut log = self.log.lock().expect("not poisoned");
        let entries = log.read(LogOffset(query.from), query.max, MAX_READ_BYTES, now_ms);
        ReadReply {
            oldest: log.oldest(),
            head: log.head(),
            now_ms,
            entries,
        }
    }

    async fn apply_log_faults(&self, append: bool) -> answer::Result<PlatformFaults> {
        let faults = self.faults();
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage || (append && faults.appends_down) {
            return Err(CallError::new(ErrorKind::LogUnavailable, "outage"));
        }
        Ok(faults)
    }

    async fn report_instance(&self, body: Body) -> answer::Result<Response> {
        let row: ListedInstance = read_json(body, BODY_LIMITS).await?;
        if !self.faults().list_frozen {
            let name = row.instance.to_string();
            let mut instances = self.instances.lock().expect("not poisoned");
            instances.report(&name, row, unix_ms());
        }
        Ok(answer::empty(204))
    }

    fn instances(&self) -> Response {
        let now_ms = unix_ms();
        let frozen = self.faults().list_frozen;
        let mut instances = self.instances.lock().expect("not poisoned");
        if !frozen {
            instances.expire(now_ms);
        }
        answer::json(200, &instances.visible(now_ms))
    }

    async fn report_upstream(&self, body: Body) -> answer::Result<Response> {
        let row: ListedUpstream = read_json(body, BODY_LIMITS).await?;
        if !self.faults().list_frozen {
            let name = row.upstream.to_string();
            let mut upstreams = self.upstreams.lock().expect("not poisoned");
            upstreams.report(&name, row, unix_ms());
        }
        Ok(answer::empty(204))
    }

    fn upstreams(&self) -> Response {
        let mut upstreams = self.upstreams.lock().expect("not poisoned");
        answer::json(200, &upstreams.visible(unix_ms()))
    }

    fn weights(&self, version: &str) -> answer::Result<Response> {
        let faults = self.faults();
        if faults.weights_down {
            return Err(CallError::new(ErrorKind::NotReady, "outage"));
        }
        if faults
            .weights_missing
            .iter()
            .any(|missing| missing == version)
        {
            return Err(CallError::new(ErrorKind::NotFound, "no such version"));
        }
        Ok(self.weights.answer())
    }

    async fn set_faults(&self, body: Body) -> answer::Result<Response> {
        let faults: PlatformFaults = read_json(body, BODY_LIMITS).await?;
        log::info!("event=faults_set faults={:?}", format!("{faults:?}"));
        if let Some(retention_ms) = faults.retention_ms {
            let mut log = self.log.lock().expect("not poisoned");
            log.set_retention_ms(retention_ms);
        }
        *self.faults.lock().expect("not poisoned") = faults;
        Ok(answer::empty(204))
    }
}

/// Builds the router of a platform stand-in.
pub fn router(state: Arc<PlatformState>) -> Router {
    let instances = handler(&state, |state, _| async move { Ok(state.instances()) });
    let report_instance = handler(&state, |state, request| async move {
        state.report_instance(request.into_body()).await
    });
    let upstreams = handler(&state, |state, _| async move { Ok(state.upstreams()) });
    let report_upstream = handler(&state, |state, request| async move {
        state.report_upstream(request.into_body()).await
    });
    let weights = handler(&state, |state, request| async move {
        state.weights(request.param(1))
    });
    let live = handler(&state, |_, _| async {
        Ok(answer::bytes(200, answer::TEXT, "live\n"))
    });
    let show_metrics = handler(&state, |_, _| async {
        let text = telemetry::render_metrics();
        Ok(answer::bytes(200, answer::TEXT, text))
    });
    let faults = handler(&state, |state, _| async move {
        Ok(answer::json(200, &state.faults()))
    });
    let set_faults = handler(&state, |state, request| async move {
        state.set_faults(request.into_body()).await
    });
    let append = handler(&state, |state, request| async move {
        state.append(request.into_body()).await
    });
    let read = handler(&state, |state, request| async move {
        state.read(request.query()?).await
    });
    Router::new()
        .route(LOG_APPEND_PATH, post(append))
        .route(LOG_READ_PATH, get(read))
        .route(LIST_PATH, get(instances).post(report_instance))
        .route(UPSTREAM_LIST_PATH, get(upstreams).post(report_upstream))
        .route(
            format!("{WEIGHTS_PATH}/{{model}}/{{version}}"),
            get(weights),
        )
        .route("/livez", get(live.clone()))
        .route("/readyz", get(live))
        .route("/metrics", get(show_metrics))
        .route(FAULTS_PATH, get(faults).post(set_faults))
}
