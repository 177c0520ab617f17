//! Starts and stops the programs under test and sends them requests.

// Each test file is a crate of its own and uses only a part of this module.
#![allow(dead_code)]

pub mod raw;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpAnswer, HttpCall, HttpClient, HttpError};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Timeout for conditions that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(50);
const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(30));

/// A running program, killed on drop.
pub struct TestProcess {
    child: Child,
    pub address: SocketAddr,
}

impl TestProcess {
    /// Starts a program and waits until it prints its listen address.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("{program}: {e}"));
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("a first line");
        let address = line.trim().strip_prefix("listening ");
        let address = address.and_then(|text| text.parse().ok());
        let address = address.unwrap_or_else(|| panic!("{program} printed {line:?}"));
        Self { child, address }
    }

    /// Sends a signal by name, such as `KILL`, `STOP` or `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the program exits and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child
            .wait()
            .expect("the child can be waited for")
            .code()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Exit code and output of a run of `amaranth-ctl`.
#[derive(Debug)]
pub struct CtlRun {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl CtlRun {
    /// JSON answer to the last statement.
    pub fn answer(&self) -> Value {
        let line = self.stdout.lines().last().unwrap_or("");
        serde_json::from_str(line).unwrap_or_else(|_| panic!("no JSON answer: {self:?}"))
    }

    /// Rows of an answer to `show`, as objects with the columns as keys.
    pub fn rows(&self) -> Vec<Value> {
        let answer = self.answer();
        let columns = answer["result"]["columns"].as_array().expect("columns");
        let rows = answer["result"]["rows"].as_array().expect("rows");
        let by_column = |row: &Value| {
            let cells = columns.iter().zip(row.as_array().expect("cells"));
            let cells = cells.map(|(c, v)| (c.as_str().expect("a name").to_owned(), v.clone()));
            Value::Object(cells.collect())
        };
        rows.iter().map(by_column).collect()
    }
}

/// A platform, engines and entry instances as separate processes on loopback.
pub struct TestFleet {
    pub platform: TestProcess,
    pub engines: Vec<TestProcess>,
    pub entries: BTreeMap<String, TestProcess>,
    pub client: HttpClient,
    settings: PathBuf,
}

impl TestFleet {
    /// Starts a fleet with its instances spread over two data centres.
    pub async fn start(engines: usize, entries: usize) -> Self {
        Self::start_with(engines, entries, &["--step", "5ms"], &[]).await
    }

    /// Starts a fleet with extra options for the engines and the platform.
    pub async fn start_with(
        engines: usize,
        entries: usize,
        engine_args: &[&str],
        platform_args: &[&str],
    ) -> Self {
        Self::start_configured(engines, entries, engine_args, platform_args, |_| {}).await
    }

    /// Starts a fleet with settings modified by `change`.
    pub async fn start_configured(
        engines: usize,
        entries: usize,
        engine_args: &[&str],
        platform_args: &[&str],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let platform = TestProcess::start(env!("CARGO_BIN_EXE_amaranth-platform"), platform_args);
        let start_engine =
            |_| TestProcess::start(env!("CARGO_BIN_EXE_amaranth-engine"), engine_args);
        let engines: Vec<_> = (0..engines).map(start_engine).collect();
        let names: Vec<_> = (1..=entries).map(|n| format!("entry-{n}")).collect();
        let retention = option_value(platform_args, "--retention").unwrap_or("24h");
        let settings = write_settings(&platform, &engines, &names, retention, change);
        let mut fleet = Self {
            platform,
            engines,
            entries: BTreeMap::new(),
            client: HttpClient::new(Duration::from_secs(1)),
            settings,
        };
        for name in &names {
            fleet.start_entry(name);
        }
        for name in &names {
            fleet.wait_ready(name).await;
        }
        fleet.wait_listed(entries).await;
        fleet
    }

    /// Starts an instance, replacing an earlier run of it.
    pub fn start_entry(&mut self, name: &str) {
        let settings = self.settings.to_str().expect("a plain path");
        let args = ["--settings", settings, "--instance", name];
        let entry = TestProcess::start(env!("CARGO_BIN_EXE_amaranth-entry"), &args);
        self.entries.insert(name.to_owned(), entry);
    }

    /// Starts an instance with settings modified for it alone.
    pub fn start_entry_with(&mut self, name: &str, change: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings");
        let mut settings: Value = serde_json::from_str(&text).expect("valid JSON");
        change(&mut settings);
        let path = self.settings.with_extension(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("settings can be written");
        let text = path.to_str().expect("a plain path");
        let args = ["--settings", text, "--instance", name];
        let entry = TestProcess::start(env!("CARGO_BIN_EXE_amaranth-entry"), &args);
        let _ = std::fs::remove_file(path);
        self.entries.insert(name.to_owned(), entry);
    }

    /// Appends raw bytes to the log, as an external tool would, and returns their offset.
    pub async fn publish(&self, bytes: impl Into<Vec<u8>>) -> u64 {
        let call = HttpCall::post(self.platform.address, "/log/append").with_body(bytes.into());
        let reply: Value = self
            .client
            .fetch_json(call, LIMITS)
            .await
            .expect("an answer");
        reply["offset"].as_u64().expect("an offset")
    }

    /// Runs `amaranth-ctl --json` against an instance.
    pub fn ctl(&self, name: &str, args: &[&str]) -> CtlRun {
        let address = self.address(name).to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_amaranth-ctl"))
            .args(["--instance", &address, "--json"])
            .args(args)
            .stdin(Stdio::null())
            .output()
            .expect("amaranth-ctl runs");
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
        CtlRun {
            code: output.status.code(),
            stdout: text(output.stdout),
            stderr: text(output.stderr),
        }
    }

    /// Path of the settings file.
    pub fn settings_path(&self) -> &str {
        self.settings.to_str().expect("a plain path")
    }

    /// Address of an instance.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.entries[name].address
    }

    /// Kills an instance with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        let entry = self.entries.remove(name).expect("the instance runs");
        entry.signal("KILL");
    }

    /// Replaces the platform's injected faults.
    pub async fn platform_faults(&self, faults: Value) {
        let call = HttpCall::post(self.platform.address, "/faults").with_body(faults.to_string());
        let (status, _) = self.client.fetch(call, LIMITS).await.expect("an answer");
        assert_eq!(status, 204);
    }

    /// Sends a `GET` to an instance and returns the status and JSON body.
    pub async fn get(&self, name: &str, path: &str) -> Result<(u16, Value), HttpError> {
        let call = HttpCall::get(self.address(name), path);
        let (status, body) = self.client.fetch(call, LIMITS).await?;
        Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    /// Sends a `GET` to an instance and returns the body as text.
    pub async fn get_text(&self, name: &str, path: &str) -> String {
        let call = HttpCall::get(self.address(name), path);
        let (_, body) = self.client.fetch(call, LIMITS).await.expect("an answer");
        String::from_utf8(body.to_vec()).expect("text")
    }

    /// Sends a call to an instance with any method and headers.
    pub async fn call(
        &self,
        name: &str,
        method: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: impl Into<Vec<u8>>,
    ) -> (u16, Value) {
        let method = method.parse().expect("a method");
        let call = HttpCall::new(method, self.address(name), path)
            .with_headers(header_map(headers))
            .with_body(body.into());
        let (status, body) = self.client.fetch(call, LIMITS).await.expect("an answer");
        let text = || Value::String(String::from_utf8_lossy(&body).into_owned());
        (
            status,
            serde_json::from_slice(&body).unwrap_or_else(|_| text()),
        )
    }

    /// Sends a `POST` to an instance and returns the status and JSON body.
    pub async fn post(
        &self,
        name: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: impl Into<String>,
    ) -> Result<(u16, Value), HttpError> {
        let answer = self.open(name, path, headers, body).await?;
        let status = answer.status();
        let body = answer.read_all().await?;
        Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    /// Sends a `POST` to an instance and returns the answer before its body is read.
    pub async fn open(
        &self,
        name: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: impl Into<String>,
    ) -> Result<HttpAnswer, HttpError> {
        let call = HttpCall::post(self.address(name), path)
            .with_headers(header_map(headers))
            .with_body(body.into());
        self.client.send(call, LIMITS).await
    }

    /// Waits until an instance is ready.
    pub async fn wait_ready(&self, name: &str) {
        let what = format!("{name} is ready");
        wait_until(&what, async || {
            matches!(self.get(name, "/readyz").await, Ok((200, _)))
        })
        .await;
    }

    /// Waits until a job has ended and returns its state as reported by the instance.
    pub async fn wait_job(&self, name: &str, job: &str) -> Value {
        let path = format!("/v1/batches/{job}");
        let mut last = Value::Null;
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Ok((200, view)) = self.get(name, &path).await {
                last = view;
            }
            if last["status"] == "completed" || last["status"] == "cancelled" {
                return last;
            }
            sleep(POLL_PERIOD).await;
        }
        panic!("job {job} did not end: {last}");
    }

    async fn wait_listed(&self, count: usize) {
        wait_until("every instance is listed", async || {
            let call = HttpCall::get(self.platform.address, "/list/instances");
            let listed: Result<Vec<Value>, _> = self.client.fetch_json(call, LIMITS).await;
            listed.is_ok_and(|listed| listed.len() == count)
        })
        .await;
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "still waiting until {what}");
        sleep(POLL_PERIOD).await;
    }
}

fn header_map(headers: &[(&'static str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (header, value) in headers {
        let value = HeaderValue::from_str(value).expect("a plain value");
        map.insert(HeaderName::from_static(header), value);
    }
    map
}

/// Body of a chat completion call.
pub fn chat(prompt: &str, tokens: u32, stream: bool) -> String {
    json!({
        "model": "sketch-llm",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    })
    .to_string()
}

/// Joins the text of a streamed answer and tells whether its end marker was received.
pub fn streamed_text(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut ended = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).expect("a JSON chunk");
        text += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or("");
    }
    (text, ended)
}

/// Body of a batch job whose prompts are `PREFIX 0`, `PREFIX 1` and so on.
pub fn batch_lines(prefix: &str, items: usize, tokens: u32) -> String {
    let line = |index| {
        let body: Value = serde_json::from_str(&chat(&format!("{prefix} {index}"), tokens, false))
            .expect("valid JSON");
        let line = json!({
            "custom_id": format!("{prefix}-{index}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        });
        format!("{line}\n")
    };
    (0..items).map(line).collect()
}

/// Value that follows an option in a list of arguments.
fn option_value<'a>(args: &[&'a str], option: &str) -> Option<&'a str> {
    let position = args.iter().position(|arg| *arg == option)?;
    args.get(position + 1).copied()
}

fn write_settings(
    platform: &TestProcess,
    engines: &[TestProcess],
    names: &[String],
    retention: &str,
    change: impl FnOnce(&mut Value),
) -> PathBuf {
    let addresses: Vec<_> = engines.iter().map(|e| e.address.to_string()).collect();
    let data_centre = |index: usize| {
        if index.is_multiple_of(2) {
            "dc-a"
        } else {
            "dc-b"
        }
    };
    let instances: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| json!({"name": name, "data_centre": data_centre(index)}))
        .collect();
    let mut settings = json!({
        "fleet": "test",
        "data_centres": ["dc-a", "dc-b"],
        "platform": {"address": platform.address.to_string(), "retention": retention},
        "instances": instances,
        "upstreams": [{
            "name": "sketch-llm",
            "kind": "engine",
            "model": "sketch-llm",
            "count": engines.len(),
            "addresses": addresses,
            "data_centres": ["dc-a", "dc-b"],
        }],
        "tiers": [{"name": "shading", "upstreams": "sketch-llm", "batch": true}],
    });
    change(&mut settings);
    let file = format!("settings-{}.jsonc", platform.address.port());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    std::fs::write(&path, settings.to_string()).expect("settings can be written");
    path
}
