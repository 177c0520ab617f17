//! A small deployment on loopback addresses: store, runners, instances and callers.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::front::{Front, cannot_run};
use crate::http::{self, Message};
use crate::record::Record;
use crate::runner::{Pace, Runner};
use crate::store::{Store, base64, text_field};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// An item of a batch job.
pub struct Item {
    /// Its id.
    pub id: String,
    /// The shared part of its prompt.
    pub shared: String,
}

/// A result as a caller reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Id of the item.
    pub id: String,
    /// `succeeded` or `errored`.
    pub state: String,
    /// Its text, with escaped line feeds.
    pub text: String,
}

/// The deployment.
pub struct Scene {
    /// What happened.
    pub record: Arc<Record>,
    /// The store.
    pub store: Arc<Store>,
    /// Runners, in the order in which they were added.
    pub runners: Vec<Arc<Runner>>,
    /// Instances.
    pub fronts: Vec<Front>,
    folder: PathBuf,
}

impl Scene {
    /// Starts a store; runners and instances are added.
    pub fn new(record: Arc<Record>) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            record,
            store: Store::start(),
            runners: Vec::new(),
            fronts: Vec::new(),
            folder,
        }
    }

    /// Adds runners of a service and announces them.
    pub fn add_runners(&mut self, service: &str, count: usize, pace: Pace) {
        for _ in 0..count {
            let id = format!("i-{service}-{}", self.runners.len());
            let runner = Runner::start(&id, pace, self.record.clone());
            self.announce(service, &runner, "ready", pace.slots, 1);
            self.runners.push(runner);
        }
    }

    /// Writes a runner's entry.
    pub fn announce(&self, service: &str, runner: &Runner, state: &str, slots: u64, seq: u64) {
        let (id, address) = (&runner.id, runner.address);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"seq\":{seq},\"born\":1700000000000}}"
        );
        self.store.put("keyed.servers", id, &entry);
    }

    /// Writes a configuration with one batch route and one of whole answers.
    pub fn configure(&self, version: u64, service: &str, fetch_service: &str) {
        self.configure_tenants(version, service, fetch_service, "");
    }

    /// Writes a configuration with tenants, if any are given.
    pub fn configure_tenants(
        &self,
        version: u64,
        service: &str,
        fetch_service: &str,
        tenants: &str,
    ) {
        let services = ["llm", "llm-new", "app", "app-new"].map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":8,\"kvCacheTokens\":147261}}}}")
        });
        let text = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"lots\",\"host\":\"{HOST}\",\"pathPrefix\":\"/pule252/\",\"kind\":\"batch\",\"timeoutMs\":15000,\"targetLatencyMs\":400,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":3,\"sticky\":true,\"completionTargetMs\":18000,\"retentionS\":60}},{{\"name\":\"fetch\",\"host\":\"{HOST}\",\"pathPrefix\":\"/fetch/\",\"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":100,\"priority\":1,\"service\":\"{fetch_service}\",\"maxAttempts\":2}}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}{tenants}}}",
            services.join(",")
        );
        self.store.put("keyed.op", "config", &text);
        self.record.write(&format!("configuration {version} is acknowledged: lots run at {service}, fetches at {fetch_service}"));
    }

    /// Starts more instances and waits until they are ready.
    pub fn start_fronts(&mut self, count: usize) {
        let first = self.fronts.len();
        for index in first..first + count {
            self.fronts
                .push(Front::start(index, self.store.address, &self.folder));
        }
        self.fronts.iter().for_each(Front::wait_ready);
        // The instances have joined the group and know each other.
        thread::sleep(Duration::from_secs(3));
    }

    /// Sends a request to an instance.
    pub fn call(
        &self,
        front: usize,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Message> {
        let headers = [&[("host", HOST)], headers].concat();
        let answer = http::call(
            self.fronts[front].callers,
            method,
            target,
            &headers,
            body,
            Duration::from_secs(6),
        );
        answer.ok()
    }

    /// Submits a batch job until it is accepted.
    pub fn submit(&self, front: usize, job: &str, items: &[Item]) {
        let rows: Vec<_> = items
            .iter()
            .map(|item| {
                let Item { id, shared } = item;
                format!("{{\"id\":\"{id}\",\"path\":\"/pule252/3/{id}\",\"headers\":{{\"X-Model\":\"m\",\"X-Token-Usage\":\"450,60\",\"X-Prompt-Prefix\":\"{shared}:200,{id}:250\"}},\"body\":\"{}\",\"tokens\":510}}", base64(id.as_bytes()))
            })
            .collect();
        let body = format!("{{\"items\":[{}]}}", rows.join(","));
        let headers = [
            ("x-request-id", job),
            ("content-type", "application/json"),
            ("x-deadline-ms", "4000"),
        ];
        for attempt in 0..5 {
            let front = (front + attempt) % self.fronts.len();
            let answer = self.call(
                front,
                "POST",
                &format!("/pule252/{job}"),
                &headers,
                body.as_bytes(),
            );
            let status = answer.map_or(0, |answer| answer.status());
            self.record.write(&format!(
                "job {job} with {} items sent to front-{front}: answered {status}",
                items.len()
            ));
            if status == 202 {
                return;
            }
        }
        cannot_run("a job is not accepted");
    }

    /// Reads all results of a job; `None` if an instance doesn't answer with 200.
    pub fn results(&self, front: usize, job: &str) -> Option<Vec<Outcome>> {
        let mut outcomes = Vec::new();
        loop {
            let target = format!("/-/lots/{job}?after={}", outcomes.len());
            let answer = self.call(front, "GET", &target, &[], b"")?;
            if answer.status() != 200 {
                self.record.write(&format!(
                    "read of job {job} at front-{front}: answered {}",
                    answer.status()
                ));
                return None;
            }
            let text = answer.text();
            let page: Vec<_> = text
                .split("{\"id\":")
                .skip(1)
                .map(|row| format!("{{\"id\":{row}"))
                .collect();
            if page.is_empty() {
                return Some(outcomes);
            }
            outcomes.extend(page.iter().map(|row| Outcome {
                id: text_field(row, "id"),
                state: text_field(row, "state"),
                text: text_field(row, "text"),
            }));
        }
    }

    /// Records what the log of the instances says about a text.
    pub fn record_logs(&self, texts: &[&str]) {
        for index in 0..self.fronts.len() {
            let log = std::fs::read_to_string(self.folder.join(format!("front-{index}.log")))
                .unwrap_or_default();
            let lines = log
                .lines()
                .filter(|line| texts.iter().any(|text| line.contains(text)));
            lines
                .take(60)
                .for_each(|line| self.record.write(&format!("log of front-{index}: {line}")));
        }
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.fronts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Polls a condition for some time. Returns whether it held.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = std::time::Instant::now() + limit;
    while std::time::Instant::now() < end {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}
