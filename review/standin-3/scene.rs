//! A small deployment: the store, runners of one service and machines, and the clients of batch jobs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, base64};
use crate::machine::Machine;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;

pub const HOST: &str = "inference.example";
const SERVICE: &str = "writer";
/// Time in which machines get ready, at most.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Time for the machines to learn of one another.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time after which a batch job counts as lost if it is not listed, as on the sheets.
pub const FINISH_TIME: Duration = Duration::from_secs(18);
/// `timeoutMs` of the streaming route.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Tokens that fit into the memory of a runner, as on the sheets.
pub const MEMORY_TOKENS: u64 = 147_261;
const MEMORY_MB: u64 = 140;
const READ_PERIOD: Duration = Duration::from_millis(500);

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[
{{"name":"notes","host":"{HOST}","pathPrefix":"/notes/","kind":"streaming","timeoutMs":{},"targetLatencyMs":300,"maxAttempts":2,"priority":0,"service":"{SERVICE}","sticky":true,"resumable":true,"gapTargetMs":300}},
{{"name":"lots","host":"{HOST}","pathPrefix":"/lots/","kind":"batch","timeoutMs":15000,"targetLatencyMs":500,"maxAttempts":3,"priority":2,"service":"{SERVICE}","sticky":true,"completionTargetMs":18000,"retentionS":60}}
],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":200,"engine":{{"slots":8,"kvCacheTokens":{MEMORY_TOKENS}}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        ROUTE_TIMEOUT.as_millis()
    )
}

pub struct Scene {
    pub record: Record,
    pub machines: Vec<Arc<Machine>>,
    folder: PathBuf,
}

impl Scene {
    pub fn start(
        record: &Record,
        machines: usize,
        runners: &[(Arc<Runner>, SocketAddr)],
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let (store, address) = Store::start();
        store.put("keyed.op", "config", &configuration());
        for (runner, address) in runners {
            store.announce(SERVICE, &runner.id, *address, "ready", 1);
        }
        let mut scene = Self {
            record: record.clone(),
            machines: Vec::new(),
            folder,
        };
        for index in 1..=machines {
            let name = format!("front-{index}");
            scene.machines.push(Machine::start(
                &name,
                &scene.folder,
                address,
                MEMORY_MB,
                record,
            )?);
        }
        let until = Instant::now() + READY_LIMIT;
        while !scene.machines.iter().all(|machine| machine.is_ready()) {
            if Instant::now() > until {
                return Err("the machines don't get ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(SETTLE_TIME);
        Ok(scene)
    }

    pub fn machine(&self, index: usize) -> Arc<Machine> {
        self.machines[index % self.machines.len()].clone()
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.stop();
            let ends = machine.ends.lock().unwrap().len();
            let peak_kb = machine.peak_kb.lock().unwrap();
            self.record.note(format!(
                "stop machine={} ends={ends} peak_kib={peak_kb}",
                machine.name
            ));
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A listed result.
#[derive(Debug, Clone)]
pub struct ListedResult {
    pub item: String,
    pub state: String,
    pub text: String,
}

/// A batch job of a client.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    /// Tokens of each prompt.
    pub prompt_tokens: u64,
    pub accepted: Option<Instant>,
    pub results: Vec<(Instant, ListedResult)>,
}

impl Job {
    pub fn new(name: &str, items: usize, prompt_tokens: u64) -> Self {
        Self {
            id: name.to_owned(),
            items: (0..items).map(|item| format!("{name}.{item}")).collect(),
            prompt_tokens,
            accepted: None,
            results: Vec::new(),
        }
    }

    pub fn open_items(&self) -> Vec<String> {
        let listed: HashMap<_, _> = self
            .results
            .iter()
            .map(|(_, result)| (result.item.as_str(), ()))
            .collect();
        let open = self
            .items
            .iter()
            .filter(|item| !listed.contains_key(item.as_str()));
        open.cloned().collect()
    }

    pub fn body(&self) -> String {
        let tokens = self.prompt_tokens;
        let rows = self.items.iter().map(|item| {
            let (prompt, total) = (base64(format!("prompt of {item}").as_bytes()), tokens + 100);
            format!(
                r#"{{"id":"{item}","path":"/lots/{item}","headers":{{"X-Model":"m","X-Token-Usage":"{tokens},100","X-Prompt-Prefix":"{item}:{tokens}"}},"body":"{prompt}","tokens":{total}}}"#
            )
        });
        format!(r#"{{"items":[{}]}}"#, rows.collect::<Vec<_>>().join(","))
    }

    /// Submits the job at one machine after the other until one accepts it.
    pub fn submit(&mut self, scene: &Scene, first: usize, until: Instant) {
        let (body, path) = (self.body(), format!("/lots/{}", self.id));
        let headers = [
            ("host", HOST),
            ("x-request-id", self.id.as_str()),
            ("content-type", "application/json"),
            ("x-deadline-ms", "4000"),
        ];
        for index in first.. {
            let machine = scene.machine(index);
            let answer = http::call(
                machine.callers,
                "POST",
                &path,
                &headers,
                body.as_bytes(),
                Duration::from_millis(5_500),
            );
            let status = answer.map_or_else(|e| e.to_string(), |answer| answer.status.to_string());
            scene.record.note(format!(
                "submit job={} items={} machine={} answer={status}",
                self.id,
                self.items.len(),
                machine.name
            ));
            if status == "202" {
                self.accepted = Some(Instant::now());
                return;
            }
            if Instant::now() > until {
                return;
            }
            thread::sleep(READ_PERIOD);
        }
    }

    /// Reads results that were not read yet.
    pub fn read(&mut self, scene: &Scene, index: usize) {
        let machine = scene.machine(index);
        let path = format!("/-/lots/{}?after={}", self.id, self.results.len());
        let answer = http::call(
            machine.callers,
            "GET",
            &path,
            &[("host", HOST)],
            b"",
            Duration::from_millis(2_500),
        );
        let page = match &answer {
            Ok(answer) if answer.status == 200 && answer.complete => Json::parse(&answer.text()),
            _ => None,
        };
        let Some(page) = page else {
            let status = answer.map_or_else(|e| e.to_string(), |answer| answer.status.to_string());
            return scene.record.note(format!(
                "read job={} machine={} answer={status}",
                self.id, machine.name
            ));
        };
        for row in page.get("results").list() {
            let text = |name: &str| row.get(name).text().to_owned();
            let result = ListedResult {
                item: text("id"),
                state: text("state"),
                text: text("text"),
            };
            scene.record.note(format!(
                "result job={} item={} state={} text_bytes={}",
                self.id,
                result.item,
                result.state,
                result.text.len()
            ));
            self.results.push((Instant::now(), result));
        }
    }
}

/// Submits jobs one after the other, and reads each until it is listed whole or the time is up.
pub fn run_jobs(scene: &Arc<Scene>, jobs: Vec<Job>, period: Duration, until: Instant) -> Vec<Job> {
    let done = Arc::new(Mutex::new(Vec::new()));
    let clients = jobs.into_iter().enumerate().map(|(index, mut job)| {
        let (scene, done) = (scene.clone(), done.clone());
        thread::spawn(move || {
            thread::sleep(period * index as u32);
            job.submit(&scene, index, until);
            let mut reads = index;
            while job.accepted.is_some() && !job.open_items().is_empty() && Instant::now() < until {
                thread::sleep(READ_PERIOD);
                job.read(&scene, reads);
                reads += 1;
            }
            done.lock().unwrap().push(job);
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        let _ = client.join();
    }
    let done = done.lock().unwrap();
    done.clone()
}
