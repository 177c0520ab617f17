//! The platform stand-in: an append-only log and a lagging list of instances.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::body::{BodyLimits, read_all, read_json};
use amaranth_net::clock::unix_ms;
use amaranth_net::route::handler;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{InstanceId, LogOffset};
use amaranth_wire::platform::{
    AppendReply, LIST_PATH, LOG_APPEND_PATH, LOG_READ_PATH, ListedInstance, ReadReply,
};
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::log_store::{AppendOutcome, LogLimits, LogStore};
use crate::platform_faults::PlatformFaults;

/// Path that reads and replaces the faults in force.
pub const FAULTS_PATH: &str = "/faults";
/// Longest wait of one read for new entries, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;
/// Most bytes in one read's answer.
const READ_BYTES: usize = 4 << 20;
/// An instance that did not report for so long leaves the list, in milliseconds.
const LIST_EXPIRY_MS: u64 = 10_000;
const LIMITS: BodyLimits = BodyLimits {
    bytes: 2 << 20,
    time: Duration::from_secs(10),
};

struct ListRow {
    instance: ListedInstance,
    changed_ms: u64,
    seen_ms: u64,
}

/// State of the stand-in.
pub struct PlatformState {
    log: Mutex<LogStore>,
    appended: Notify,
    list: Mutex<BTreeMap<InstanceId, ListRow>>,
    list_lag_ms: u64,
    faults: Mutex<PlatformFaults>,
    appends: Mutex<u64>,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    wait_ms: u64,
}

impl PlatformState {
    /// An empty platform whose list shows changes so many milliseconds late.
    pub fn new(limits: LogLimits, list_lag_ms: u64) -> Self {
        Self {
            log: Mutex::new(LogStore::new(limits)),
            appended: Notify::new(),
            list: Mutex::new(BTreeMap::new()),
            list_lag_ms,
            faults: Mutex::new(PlatformFaults::default()),
            appends: Mutex::new(0),
        }
    }

    fn faults(&self) -> PlatformFaults {
        self.faults.lock().expect("not poisoned").clone()
    }

    async fn append(&self, body: Body) -> answer::Result<Response> {
        let faults = self.check_outage(true).await?;
        let bytes = read_all(body, LIMITS).await?.to_vec();
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
        if count % 100 < u64::from(faults.silent_percent) {
            std::future::pending::<()>().await;
        }
        if count % 100 < u64::from(faults.lost_reply_percent) {
            return Err(CallError::new(ErrorKind::Internal, "reply lost"));
        }
        Ok(answer::json(200, &AppendReply { offset }))
    }

    fn count_append(&self) -> u64 {
        let mut appends = self.appends.lock().expect("not poisoned");
        *appends += 1;
        *appends
    }

    async fn read(&self, query: ReadQuery) -> answer::Result<Response> {
        self.check_outage(false).await?;
        let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let reply = self.read_now(&query);
            if !reply.entries.is_empty() || reply.oldest.0 > query.from {
                return Ok(answer::message_pack(&reply));
            }
            if timeout_at(deadline, appended).await.is_err() {
                return Ok(answer::message_pack(&reply));
            }
            self.check_outage(false).await?;
        }
    }

    fn read_now(&self, query: &ReadQuery) -> ReadReply {
        let now_ms = unix_ms();
        let mut log = self.log.lock().expect("not poisoned");
        let entries = log.read(LogOffset(query.from), query.max, READ_BYTES, now_ms);
        ReadReply {
            oldest: log.oldest(),
            head: log.head(),
            now_ms,
            entries,
        }
    }

    async fn check_outage(&self, append: bool) -> answer::Result<PlatformFaults> {
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
        let instance: ListedInstance = read_json(body, LIMITS).await?;
        if self.faults().list_frozen {
            return Ok(answer::empty(204));
        }
        let now_ms = unix_ms();
        let mut list = self.list.lock().expect("not poisoned");
        let row = list.entry(instance.instance.clone()).or_insert(ListRow {
            instance: instance.clone(),
            changed_ms: now_ms,
            seen_ms: now_ms,
        });
        if row.instance != instance {
            row.changed_ms = now_ms;
        }
        row.instance = instance;
        row.seen_ms = now_ms;
        Ok(answer::empty(204))
    }

    fn list(&self) -> Response {
        let now_ms = unix_ms();
        let mut list = self.list.lock().expect("not poisoned");
        if !self.faults().list_frozen {
            list.retain(|_, row| now_ms < row.seen_ms + LIST_EXPIRY_MS);
        }
        let visible = list
            .values()
            .filter(|row| now_ms >= row.changed_ms + self.list_lag_ms);
        let rows: Vec<_> = visible.map(|row| row.instance.clone()).collect();
        answer::json(200, &rows)
    }

    async fn set_faults(&self, body: Body) -> answer::Result<Response> {
        let faults: PlatformFaults = read_json(body, LIMITS).await?;
        log::info!("event=faults_set faults={:?}", format!("{faults:?}"));
        if let Some(retention_ms) = faults.retention_ms {
            let mut log = self.log.lock().expect("not poisoned");
            log.set_retention_ms(retention_ms);
        }
        *self.faults.lock().expect("not poisoned") = faults;
        Ok(answer::empty(204))
    }
}

/// The stand-in's paths.
pub fn router(state: Arc<PlatformState>) -> Router {
    let list = handler(&state, |state, _| async move { Ok(state.list()) });
    let report = handler(&state, |state, request| async move {
        state.report_instance(request.into_body()).await
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
        .route(LIST_PATH, get(list).post(report))
        .route(FAULTS_PATH, get(faults).post(set_faults))
}
