//! Batch jobs of a checked run: sent, sent again, cancelled, and every result compared.

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
use crate::local_promises::{Promise, PromiseBook};
use crate::token_text::whole_answer;

/// Tokens of each item's answer.
const TOKENS: u32 = 24;
/// One item in so many can never be done.
const IMPOSSIBLE_EVERY: usize = 97;
/// Longest wait for one call.
const CALL_LIMITS: CallLimits = CallLimits::new(Duration::from_secs(30));
/// Time between two looks at a job.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// Time within which a cancelled job's running items must have ended.
const CANCEL_LIMIT: Duration = Duration::from_secs(10);

/// What became of one job.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobSummary {
    /// Its id.
    pub job: String,
    /// Its items.
    pub items: usize,
    /// How it ended, as the instance says.
    pub status: String,
    /// From its acceptance to its end, in seconds.
    pub seconds: f64,
    /// Items a second.
    pub items_per_second: f64,
}

/// One job to run.
#[derive(Debug, Clone)]
pub struct BatchJob {
    /// Start of its prompts and ids; different for each job.
    pub prefix: String,
    /// Its items.
    pub items: usize,
    /// The tier that runs it.
    pub tier: String,
    /// The model that its items ask for.
    pub model: String,
}

/// Runs jobs on a fleet.
#[derive(Clone)]
pub struct BatchRunner {
    /// Where.
    pub fleet: Arc<LocalFleet>,
    /// What is found.
    pub book: Arc<PromiseBook>,
    /// When to give up.
    pub deadline: Instant,
}

impl BatchJob {
    fn prompt(&self, index: usize) -> String {
        let prefix = &self.prefix;
        match index % IMPOSSIBLE_EVERY {
            1 => format!("{prefix} {index} {REJECTED_PROMPT_MARKER}"),
            _ => format!("{prefix} {index}"),
        }
    }

    fn lines(&self) -> String {
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

    fn is_impossible(&self, index: usize) -> bool {
        self.prompt(index).ends_with(REJECTED_PROMPT_MARKER)
    }
}

impl BatchRunner {
    /// Sends a job, sends it again elsewhere, waits for its end and compares every result as two
    /// instances give it.
    pub async fn run(&self, job: &BatchJob) -> Option<JobSummary> {
        let id = self.submit(job).await?;
        let start = Instant::now();
        let again = self.submit(job).await;
        self.book.check(
            Promise::ResendRecognised,
            again.as_ref() == Some(&id),
            || format!("{id} became {again:?}"),
        );
        let ended = self.wait_end(&id).await;
        let seconds = start.elapsed().as_secs_f64();
        let status = ended["status"].as_str().unwrap_or("unknown").to_owned();
        let counts = &ended["request_counts"];
        let is_whole = status == "completed" && counts["total"] == job.items;
        self.book.check(Promise::BatchOnce, is_whole, || {
            format!("{id} ended as {ended}")
        });
        let first = self.read_results(&id).await;
        self.check_results(job, &id, &first);
        let second = self.read_results(&id).await;
        self.book
            .check(Promise::ResultsReadable, first == second, || {
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

    /// Sends a job, cancels it while it runs and checks that it stops.
    pub async fn run_cancelled(&self, job: &BatchJob) -> Option<JobSummary> {
        let id = self.submit(job).await?;
        let start = Instant::now();
        while self.open_items(job) == 0 && Instant::now() < self.deadline {
            sleep(LOOK_PERIOD).await;
        }
        let path = format!("/v1/batches/{id}/cancel");
        let cancelled = self.call(HttpCall::post(self.address(), path)).await;
        let (status, view) = cancelled.unwrap_or((0, Value::Null));
        self.book.check(Promise::CancelStops, status == 200, || {
            format!("the cancel of {id} was answered {status} {view}")
        });
        let accepted = Instant::now();
        while self.open_items(job) > 0 && accepted.elapsed() < CANCEL_LIMIT {
            sleep(LOOK_PERIOD).await;
        }
        let open = self.open_items(job);
        let before = self.view(&id).await;
        sleep(LOOK_PERIOD * 5).await;
        let after = self.view(&id).await;
        let is_still = before["request_counts"] == after["request_counts"];
        let is_cancelled = after["status"] == "cancelled";
        self.book.check(
            Promise::CancelStops,
            open == 0 && is_still && is_cancelled,
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

    /// Items of a job that engines have taken in and not ended.
    fn open_items(&self, job: &BatchJob) -> usize {
        let engines = self.fleet.engines.iter();
        let prefix = format!("{} ", job.prefix);
        engines.map(|(_, state)| state.open_streams(&prefix)).sum()
    }

    fn address(&self) -> SocketAddr {
        self.fleet.pick().address
    }

    async fn call(&self, call: HttpCall) -> Result<(u16, Value), HttpError> {
        let (status, body) = self.fleet.client.fetch(call, CALL_LIMITS).await?;
        Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    /// Sends a job until it is accepted and returns its id.
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
                .with_body(job.lines());
            match self.call(call).await {
                Ok((200, view)) => return view["id"].as_str().map(str::to_owned),
                Ok((status, error)) => last = format!("{status} {error}"),
                Err(e) => last = e.to_string(),
            }
            sleep(LOOK_PERIOD).await;
        }
        self.book.check(Promise::BatchOnce, false, || {
            format!("{} was never accepted: {last}", job.prefix)
        });
        None
    }

    async fn view(&self, id: &str) -> Value {
        let call = HttpCall::get(self.address(), format!("/v1/batches/{id}"));
        match self.call(call).await {
            Ok((200, view)) => view,
            Ok((status, error)) => json!({"status": status, "error": error}),
            Err(e) => json!({"error": e.to_string()}),
        }
    }

    async fn wait_end(&self, id: &str) -> Value {
        loop {
            let view = self.view(id).await;
            let has_ended = view["status"] == "completed" || view["status"] == "cancelled";
            if has_ended || Instant::now() >= self.deadline {
                return view;
            }
            sleep(LOOK_PERIOD).await;
        }
    }

    async fn read_results(&self, id: &str) -> String {
        let call = HttpCall::get(self.address(), format!("/v1/batches/{id}/results"));
        match self.fleet.client.fetch(call, CALL_LIMITS).await {
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
            self.book.check(Promise::BatchOnce, is_right, || {
                format!("{id} {custom_id} has the results {lines:?}")
            });
        }
        self.book.check(Promise::BatchOnce, by_id.is_empty(), || {
            format!("{id} has results of no item: {:?}", by_id.keys())
        });
    }
}

fn is_right(job: &BatchJob, index: usize, line: &Value) -> bool {
    let response = &line["response"];
    if job.is_impossible(index) {
        return response["status_code"].as_u64().is_some_and(|s| s >= 400)
            || !line["error"].is_null();
    }
    let text = &response["body"]["choices"][0]["message"]["content"];
    response["status_code"] == 200 && *text == whole_answer(&job.prompt(index), TOKENS)
}
