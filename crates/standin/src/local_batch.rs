//! Batch jobs of a checked run: submits, resubmits and cancels jobs and verifies every result.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpCall, HttpError};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::engine_text::REJECTED_PROMPT_MARKER;
use crate::local_fleet::LocalFleet;
use crate::local_promises::{Promise, PromiseRecorder};
use crate::token_text::complete_answer;

/// Tokens requested by each item.
const TOKENS: u32 = 24;
/// One item in this many has a prompt that engines always reject.
const REJECTED_ITEM_INTERVAL: usize = 97;
/// Timeouts of a call.
const CALL_TIMEOUTS: CallLimits = CallLimits::new(Duration::from_secs(30));
/// Interval between status polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which the running items of a cancelled job must end.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of a job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobSummary {
    /// Job id.
    pub job: String,
    /// Number of items.
    pub items: usize,
    /// Final status, as an instance reports it.
    pub status: String,
    /// Time from acceptance to the end, in seconds.
    pub seconds: f64,
    /// Items per second; 0 for a cancelled job.
    pub items_per_second: f64,
}

/// Parameters of a job.
#[derive(Debug, Clone)]
pub struct BatchJob {
    /// Prefix of the prompts and item ids, also the idempotency key. Unique to the job.
    pub prefix: String,
    /// Number of items.
    pub items: usize,
    /// Tier that the job is submitted to.
    pub tier: String,
    /// Model that the items request.
    pub model: String,
}

/// Submits jobs to a fleet and checks them.
#[derive(Clone)]
pub struct BatchRunner {
    /// The fleet that runs the jobs.
    pub fleet: Arc<LocalFleet>,
    /// Records the checks.
    pub recorder: Arc<PromiseRecorder>,
    /// Time at which unfinished jobs are given up.
    pub deadline: Instant,
}

impl BatchJob {
    fn prompt(&self, index: usize) -> String {
        let prefix = &self.prefix;
        match index % REJECTED_ITEM_INTERVAL {
            1 => format!("{prefix} {index} {REJECTED_PROMPT_MARKER}"),
            _ => format!("{prefix} {index}"),
        }
    }

    fn to_jsonl(&self) -> String {
        let line = |index| {
            let body = json!({
                "model": self.model,
                "messages": [{"role": "user", "content": self.prompt(index)}],
                "max_tokens": TOKENS,
            });
            let line = json!({
                "custom_id": format!("{}-{index}", self.prefix),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": body,
            });
            format!("{line}\n")
        };
        (0..self.items).map(line).collect()
    }

    fn is_rejected(&self, index: usize) -> bool {
        self.prompt(index).ends_with(REJECTED_PROMPT_MARKER)
    }
}

impl BatchRunner {
    /// Submits a job twice, waits for its end, and compares its results with the expected ones and
    /// between two reads, each through a randomly picked instance.
    pub async fn run(&self, job: &BatchJob) -> Option<JobSummary> {
        let id = self.submit(job).await?;
        let start = Instant::now();
        let again = self.submit(job).await;
        self.recorder.check(
            Promise::ResendDeduplicated,
            again.as_ref() == Some(&id),
            || format!("{id} became {again:?}"),
        );
        let ended = self.wait_until_ended(&id).await;
        let seconds = start.elapsed().as_secs_f64();
        let status = ended["status"].as_str().unwrap_or("unknown").to_owned();
        let counts = &ended["request_counts"];
        let is_complete = status == "completed" && counts["total"] == job.items;
        self.recorder
            .check(Promise::BatchResultsExact, is_complete, || {
                format!("{id} ended as {ended}")
            });
        let first = self.read_results(&id).await;
        self.check_results(job, &id, &first);
        let second = self.read_results(&id).await;
        self.recorder
            .check(Promise::ResultsConsistent, first == second, || {
                let (one, other) = (first.lines().count(), second.lines().count());
                format!("{id} reads differently at another instance: {one} and {other} lines")
            });
        Some(JobSummary {
            job: id,
            items: job.items,
            status,
            seconds,
            items_per_second: job.items as f64 / seconds.max(1e-9),
        })
    }

    /// Submits a job, cancels it while it runs, and checks that its items stop.
    pub async fn run_cancelled(&self, job: &BatchJob) -> Option<JobSummary> {
        let id = self.submit(job).await?;
        let start = Instant::now();
        while self.open_items(job) == 0 && Instant::now() < self.deadline {
            sleep(POLL_INTERVAL).await;
        }
        let path = format!("/v1/batches/{id}/cancel");
        let cancelled = self.send(HttpCall::post(self.address(), path)).await;
        let (status, view) = cancelled.unwrap_or((0, Value::Null));
        self.recorder
            .check(Promise::CancelStops, status == 200, || {
                format!("the cancel of {id} was answered {status} {view}")
            });
        let accepted = Instant::now();
        while self.open_items(job) > 0 && accepted.elapsed() < CANCEL_TIMEOUT {
            sleep(POLL_INTERVAL).await;
        }
        let open = self.open_items(job);
        let before = self.fetch_job(&id).await;
        sleep(POLL_INTERVAL * 5).await;
        let after = self.fetch_job(&id).await;
        let is_unchanged = before["request_counts"] == after["request_counts"];
        let is_cancelled = after["status"] == "cancelled";
        self.recorder.check(
            Promise::CancelStops,
            open == 0 && is_unchanged && is_cancelled,
            || format!("{id}: {open} items run after its cancel, first {before}, then {after}"),
        );
        Some(JobSummary {
            job: id,
            items: job.items,
            status: after["status"].as_str().unwrap_or("unknown").to_owned(),
            seconds: start.elapsed().as_secs_f64(),
            items_per_second: 0.0,
        })
    }

    /// Number of the job's items that wait or run on engines.
    fn open_items(&self, job: &BatchJob) -> usize {
        let engines = self.fleet.engines.iter();
        let prefix = format!("{} ", job.prefix);
        engines.map(|(_, state)| state.open_streams(&prefix)).sum()
    }

    fn address(&self) -> SocketAddr {
        self.fleet.pick_instance().address
    }

    async fn send(&self, call: HttpCall) -> Result<(u16, Value), HttpError> {
        let (status, body) = self.fleet.client.fetch(call, CALL_TIMEOUTS).await?;
        Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    /// Submits a job, retrying until it is accepted, and returns its id.
    async fn submit(&self, job: &BatchJob) -> Option<String> {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("content-type", "application/jsonl"),
            ("idempotency-key", job.prefix.as_str()),
            ("amaranth-tier", job.tier.as_str()),
        ] {
            let value = HeaderValue::from_str(value).ok()?;
            headers.insert(HeaderName::from_static(name), value);
        }
        let mut last = String::new();
        while Instant::now() < self.deadline {
            let call = HttpCall::post(self.address(), "/v1/batches")
                .with_headers(headers.clone())
                .with_body(job.to_jsonl());
            match self.send(call).await {
                Ok((200, view)) => return view["id"].as_str().map(str::to_owned),
                Ok((status, error)) => last = format!("{status} {error}"),
                Err(e) => last = e.to_string(),
            }
            sleep(POLL_INTERVAL).await;
        }
        self.recorder.check(Promise::BatchResultsExact, false, || {
            format!("{} was never accepted: {last}", job.prefix)
        });
        None
    }

    async fn fetch_job(&self, id: &str) -> Value {
        let call = HttpCall::get(self.address(), format!("/v1/batches/{id}"));
        match self.send(call).await {
            Ok((200, view)) => view,
            Ok((status, error)) => json!({"status": status, "error": error}),
            Err(e) => json!({"error": e.to_string()}),
        }
    }

    async fn wait_until_ended(&self, id: &str) -> Value {
        loop {
            let view = self.fetch_job(id).await;
            let has_ended = view["status"] == "completed" || view["status"] == "cancelled";
            if has_ended || Instant::now() >= self.deadline {
                return view;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn read_results(&self, id: &str) -> String {
        let call = HttpCall::get(self.address(), format!("/v1/batches/{id}/results"));
        match self.fleet.client.fetch(call, CALL_TIMEOUTS).await {
            Ok((_, body)) => String::from_utf8_lossy(&body).into_owned(),
            Err(e) => e.to_string(),
        }
    }

    fn check_results(&self, job: &BatchJob, id: &str, results: &str) {
        let mut by_id: HashMap<String, Vec<Value>> = HashMap::new();
        for line in results.lines() {
            let line: Value = serde_json::from_str(line).unwrap_or(Value::Null);
            let custom_id = line["custom_id"].as_str().unwrap_or("").to_owned();
            by_id.entry(custom_id).or_default().push(line);
        }
        for index in 0..job.items {
            let custom_id = format!("{}-{index}", job.prefix);
            let lines = by_id.remove(&custom_id).unwrap_or_default();
            let is_right = lines.len() == 1 && is_right(job, index, &lines[0]);
            self.recorder
                .check(Promise::BatchResultsExact, is_right, || {
                    format!("{id} {custom_id} has the results {lines:?}")
                });
        }
        self.recorder
            .check(Promise::BatchResultsExact, by_id.is_empty(), || {
                format!("{id} has results of no item: {:?}", by_id.keys())
            });
    }
}

fn is_right(job: &BatchJob, index: usize, line: &Value) -> bool {
    let response = &line["response"];
    if job.is_rejected(index) {
        return response["status_code"].as_u64().is_some_and(|s| s >= 400)
            || !line["error"].is_null();
    }
    let text = &response["body"]["choices"][0]["message"]["content"];
    response["status_code"] == 200 && *text == complete_answer(&job.prompt(index), TOKENS)
}
