//! From a caller's call to its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_kernel::route_table::{RouteKind, RouteRule, RouteTable};
use amaranth_wire::id::RequestId;
use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderValue, Method, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::answer::{Answer, GiveUp, plain};
use crate::attempt::{ForwardRequest, strip_connection_headers};
use crate::batch::intake::{self, JobIntake, ReceivedJob};
use crate::batch::reading::JobReader;
use crate::call::{CallMarks, CallerCall};
use crate::forward_run::ForwardPath;
use crate::online;
use crate::route_state::{RouteSource, RouteState};
use crate::start_wait::wait_start;

/// Pause that a caller is told while this instance has no configuration, in milliseconds.
const NO_CONFIGURATION_PAUSE_MS: u64 = 500;

/// What answering callers needs.
pub struct Gateway {
    /// Configuration in force.
    pub routes: Arc<RouteState>,
    /// Online requests.
    pub forward: Arc<ForwardPath>,
    /// Takes batch jobs.
    pub intake: JobIntake,
    /// Reads batch jobs.
    pub reader: JobReader,
    started: Instant,
    leaving: AtomicBool,
}

impl Gateway {
    /// A gateway on these parts.
    pub fn new(
        routes: Arc<RouteState>,
        forward: Arc<ForwardPath>,
        intake: JobIntake,
        reader: JobReader,
    ) -> Self {
        Self {
            routes,
            forward,
            intake,
            reader,
            started: Instant::now(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Asks callers to go elsewhere with their next requests.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this instance wants callers. Batch jobs are not waited for while the log is away:
    /// online requests don't need them, and calls for jobs are told to come again.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed)
            && !self.forward.placement.pool.is_empty()
            && match self.routes.source() {
                None => false,
                Some(RouteSource::Log) => self.intake.board.is_loaded(),
                Some(RouteSource::Peer) => true,
            }
    }

    /// Answers a call.
    pub async fn answer(&self, call: Request<Incoming>) -> Answer {
        let (parts, body) = call.into_parts();
        let mut answer = match (self.reader.codec.read_call)(&parts) {
            CallerCall::Forward(marks) => self.forward(parts, body, marks).await,
            CallerCall::ReadJob { job, after, wait } => self.reader.results(job, after, wait).await,
            CallerCall::ReadItem { job, item } => self.reader.item(job, item).await,
            CallerCall::EndJob { job } => match self.reader.check(&job).await {
                None => intake::end(&self.intake.board, &self.intake.committer, job).await,
                Some(answer) => answer,
            },
            CallerCall::Malformed(why) => {
                log::info!("event=call_malformed why={why:?}");
                GiveUp::Malformed(why).answer()
            }
        };
        if self.leaving.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }

    async fn forward(&self, parts: Parts, body: Incoming, marks: CallMarks) -> Answer {
        wait_start(self.started, &self.routes, &self.forward.placement.pool).await;
        let Some(table) = self.routes.current() else {
            log::info!(
                "event=request_ended request={} outcome=refused why=no_configuration",
                marks.request
            );
            return GiveUp::Refused {
                retry_after_ms: NO_CONFIGURATION_PAUSE_MS,
                why: "no configuration".to_owned(),
            }
            .answer();
        };
        let host = parts
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or("");
        let Some(route) = table.find(host, parts.uri.path()) else {
            return online::refuse(marks.request, "none", &table, GiveUp::NoRoute);
        };
        match read_body(&parts, body, &table, route).await {
            Ok(body) => self.route(parts, body, marks, &table, route).await,
            Err(e) => online::refuse(marks.request, &route.name, &table, e),
        }
    }

    async fn route(
        &self,
        parts: Parts,
        body: Bytes,
        marks: CallMarks,
        table: &RouteTable,
        route: &Arc<RouteRule>,
    ) -> Answer {
        let is_batch = matches!(route.kind, RouteKind::Batch { .. });
        if is_batch {
            return match parts.method {
                Method::POST => self.submit(&parts, body, marks.request).await,
                _ => GiveUp::Malformed("jobs are submitted with POST".to_owned()).answer(),
            };
        }
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = ForwardRequest {
            id: marks.request,
            method: parts.method,
            path: path.to_owned(),
            headers: parts.headers,
            body,
        };
        strip_connection_headers(&mut request.headers);
        request.headers.remove(CONTENT_LENGTH);
        online::forward(&self.forward, table, route, request, marks.patience_ms).await
    }

    async fn submit(&self, parts: &Parts, body: Bytes, request: RequestId) -> Answer {
        let list = match (self.reader.codec.read_items)(&body) {
            Ok(list) => list,
            Err(why) => {
                log::info!("event=job_malformed job={request} why={why:?}");
                return GiveUp::Malformed(why).answer();
            }
        };
        let Ok(job) = request.as_str().parse() else {
            return GiveUp::Malformed("the id of a job".to_owned()).answer();
        };
        let host = parts
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or("");
        let received = ReceivedJob {
            job,
            host: host.to_owned(),
            path: parts.uri.path().to_owned(),
            list,
        };
        self.intake.submit(received).await
    }

    /// Answers the balancer's question.
    pub fn readiness(&self) -> Answer {
        match self.is_ready() {
            true => plain(http::StatusCode::OK, "ready"),
            false => plain(http::StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        }
    }
}

async fn read_body(
    parts: &Parts,
    mut body: Incoming,
    table: &RouteTable,
    route: &RouteRule,
) -> Result<Bytes, GiveUp> {
    let most = table.limits.body_bytes;
    let announced = parts.headers.get(CONTENT_LENGTH);
    let announced = announced.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if announced.is_some_and(|length| length > most) {
        return Err(GiveUp::TooLarge);
    }
    let mut whole = BytesMut::new();
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| GiveUp::Malformed(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                whole.extend_from_slice(&data);
            }
            if whole.len() > most {
                return Err(GiveUp::TooLarge);
            }
        }
        Ok(())
    };
    match timeout(Duration::from_millis(route.timeout_ms), read).await {
        Ok(Ok(())) => Ok(whole.freeze()),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(GiveUp::SlowCaller),
    }
}
