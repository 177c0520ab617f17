//! Log line and metrics of one request.

use amaranth_kernel::attempt_plan::AttemptCount;
use amaranth_net::telemetry::quote;
use amaranth_wire::id::{ConfigRevision, PromptPartId, RequestId};
use tokio::time::Instant;

use crate::attempt::join_parts;
use crate::upstream_pool::UpstreamPermit;

/// Collects what is logged and measured when a request ends. Dropping it means that the connection to
/// the caller is closed, or that the request's task panics.
#[derive(Debug)]
pub struct RequestTrace {
    id: RequestId,
    route: String,
    revision: ConfigRevision,
    started: Instant,
    upstream: String,
    load: f64,
    kept_tokens: Option<u32>,
    speed_percent: Option<u32>,
    first_event_ms: Option<u64>,
    parts: String,
    ended: bool,
}

impl RequestTrace {
    /// Starts the trace of a request that was just received.
    pub fn new(id: RequestId, route: &str, revision: ConfigRevision) -> Self {
        Self {
            id,
            route: route.to_owned(),
            revision,
            started: Instant::now(),
            upstream: String::from("none"),
            load: 0.0,
            kept_tokens: None,
            speed_percent: None,
            first_event_ms: None,
            parts: String::new(),
            ended: false,
        }
    }

    /// Sets the shared parts of the request's prompt.
    pub fn with_parts(mut self, parts: &[PromptPartId]) -> Self {
        self.parts = join_parts(parts);
        self
    }

    /// Time at which the request was received.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Records the upstream that answers, and what was expected of it when it was chosen.
    pub fn answered(&mut self, permit: &UpstreamPermit) {
        self.upstream = permit.upstream.to_string();
        self.load = permit.load;
        self.kept_tokens = permit.expected.map(|expected| expected.kept_tokens);
        self.speed_percent = Some(permit.speed_percent);
    }

    /// Records the time of the first event; later calls have no effect.
    pub fn first_event(&mut self) {
        if self.first_event_ms.is_none() {
            let elapsed = self.started.elapsed();
            self.first_event_ms = Some(elapsed.as_millis() as u64);
            metrics::histogram!("first_event_seconds").record(elapsed.as_secs_f64());
        }
    }

    /// Records that the stream is resumed at another upstream, after this event.
    pub fn resumed(&mut self, upstream: &str, after: Option<u64>) {
        log::info!(
            "event=stream_resumed request={} upstream={upstream} after={after:?}",
            self.id
        );
        self.upstream = upstream.to_owned();
    }

    /// Whether the caller has the head of the answer, so that a failure can't be told with a status.
    pub fn has_begun(&self) -> bool {
        self.first_event_ms.is_some()
    }

    /// Writes the log line and the metrics; later calls have no effect.
    pub fn end(&mut self, outcome: &'static str, why: &str, count: AttemptCount) {
        if self.ended {
            return;
        }
        self.ended = true;
        let elapsed = self.started.elapsed();
        metrics::counter!("requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("request_seconds").record(elapsed.as_secs_f64());
        log::info!(
            "event=request_ended request={} route={} revision={} upstream={} load={:.1} kept_tokens={} speed={} outcome={outcome} why={} failed_attempts={} refused_attempts={} unreachable={} first_event_ms={} ms={} parts={}",
            self.id,
            self.route,
            self.revision,
            self.upstream,
            self.load,
            figure(self.kept_tokens),
            figure(self.speed_percent),
            quote(why),
            count.may_have_run,
            count.not_run,
            count.unreachable,
            self.first_event_ms.map_or(-1, |ms| ms as i64),
            elapsed.as_millis(),
            self.parts,
        );
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let outcome = match std::thread::panicking() {
            true => "panicked",
            false => "caller_left",
        };
        self.end(outcome, "", AttemptCount::default());
    }
}

/// A figure in a log line; -1 if it is unknown.
fn figure(value: Option<u32>) -> i64 {
    value.map_or(-1, i64::from)
}
