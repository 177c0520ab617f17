//! A small deployment: the store, runners and instances of the system, and a record of what happens.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

pub const HOST: &str = "ficu95.example";
/// Time between two announcements of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The record of a run, with seconds since its start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Waits until this many seconds after the start.
    pub fn wait_until(&self, second: f64) {
        let left = (second - self.seconds()).max(0.0);
        thread::sleep(Duration::from_secs_f64(left));
    }

    pub fn say(&self, line: &str) {
        let line = format!("{:8.3} {line}", self.seconds());
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
        if std::env::var_os("VERBOSE").is_some() {
            eprintln!("{line}");
        }
    }
}

/// Processes that the case has started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn note_start(child: &Child) {
    RUNNING.lock().unwrap().push(child.id());
}

/// Starts a process that kills another one if this one ends without having done so.
fn start_guard(child: &Child) -> Child {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    command.args(["guard", &child.id().to_string()]);
    let guard = command.stdin(Stdio::piped()).spawn();
    let guard = guard.expect("the guard starts");
    note_start(&guard);
    guard
}

/// Runs a guard: its standard input ends with the process that started it.
pub fn run_guard(process: &str) {
    let _ = std::io::stdin().lines().count();
    let _ = Command::new("kill").args(["-KILL", process]).status();
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    RUNNING.lock().unwrap().retain(|id| *id != child.id());
}

/// Ends all processes of the case that still run.
pub fn end_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// What a runner did, with seconds since the start.
#[derive(Debug, Clone)]
pub struct RunnerEvent {
    pub at: f64,
    /// `arrival`, `run`, `refused` or `end`.
    pub kind: String,
    pub id: String,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    child: Mutex<Child>,
    alive: Arc<AtomicBool>,
    pub events: Arc<Mutex<Vec<RunnerEvent>>>,
    born: u64,
    sequence: AtomicU64,
    is_draining: AtomicBool,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis() as u64
}

/// Milliseconds to the first event of a run, and between its events.
#[derive(Clone, Copy)]
pub struct Pace {
    pub first_ms: u64,
    pub pause_ms: u64,
}

impl Runner {
    pub fn start(
        record: &Arc<Record>,
        service: &str,
        id: &str,
        slots: usize,
        pace: Pace,
    ) -> Arc<Self> {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .args(["runner", id, &slots.to_string()])
            .args([pace.first_ms.to_string(), pace.pause_ms.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the runner starts");
        note_start(&child);
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let first = lines
            .next()
            .and_then(Result::ok)
            .expect("the runner listens");
        let address = first
            .trim_start_matches("listen ")
            .parse()
            .expect("an address");
        let events = Arc::new(Mutex::new(Vec::new()));
        let (seen, record, name) = (events.clone(), record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.say(&format!("runner {name}: {line}"));
                let mut words = line.split(' ').map(str::to_owned);
                let (kind, id) = (
                    words.next().unwrap_or_default(),
                    words.next().unwrap_or_default(),
                );
                seen.lock().unwrap().push(RunnerEvent {
                    at: record.seconds(),
                    kind,
                    id,
                });
            }
        });
        Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            slots,
            child: Mutex::new(child),
            alive: Arc::new(AtomicBool::new(true)),
            events,
            born: unix_ms(),
            sequence: AtomicU64::new(1),
            is_draining: AtomicBool::new(false),
        })
    }

    /// Announces the runner until it ends; three heartbeats later the store drops its entry.
    pub fn announce(self: &Arc<Self>, store: &Arc<Store>) {
        let (runner, store) = (self.clone(), store.clone());
        runner.write_entry(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !runner.alive.load(Ordering::SeqCst) {
                    break;
                }
                runner.write_entry(&store);
            }
            thread::sleep(HEARTBEAT * 2);
            store.put("keyed.servers", &runner.id, "");
        });
    }

    fn write_entry(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        store.put(
            "keyed.servers",
            &self.id,
            &self.entry("\"version\":\"v1\",", state, sequence),
        );
    }

    fn entry(&self, version: &str, state: &str, sequence: u64) -> String {
        let Self {
            service,
            address,
            slots,
            born,
            ..
        } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",{version}\
             \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":{born},\"seq\":{sequence}}}"
        )
    }

    /// Announces that the runner drains. It goes on serving until it is ended.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::SeqCst);
        if let Some(input) = &mut self.child.lock().unwrap().stdin {
            let _ = writeln!(input, "leave");
        }
        self.write_entry(store);
    }

    /// Another writer puts an entry under the runner's id that has no `version` and says `ready`.
    pub fn write_odd_entry(&self, store: &Store) -> String {
        let entry = self.entry("", "ready", self.sequence.load(Ordering::SeqCst));
        store.put("keyed.servers", &self.id, &entry);
        entry
    }

    /// Kills the process.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        end(&mut self.child.lock().unwrap());
    }

    pub fn events(&self) -> Vec<RunnerEvent> {
        self.events.lock().unwrap().clone()
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.crash();
    }
}

/// An instance of the system.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    child: Mutex<Option<(Child, Child)>>,
}

impl Instance {
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let mut command = Command::new("target/release/amaranth-front");
        command
            .env_clear()
            .env("AMARANTHFORD_NODE_FILE", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let errors = log.try_clone().expect("a second handle");
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the instance starts");
        note_start(&child);
        let guard = start_guard(&child);
        *self.child.lock().unwrap() = Some((child, guard));
    }

    pub fn kill(&self) {
        if let Some((mut child, mut guard)) = self.child.lock().unwrap().take() {
            end(&mut guard);
            end(&mut child);
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.ready,
            "GET",
            "/-/ready",
            &[("Host", "x")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Lines of its log with this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A loopback address of this run, so that runs beside each other don't take each other's ports.
fn own_address() -> [u8; 4] {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    [127, 1 + high % 250, middle, low.max(1)]
}

/// Takes this many ports that are free for TCP and UDP.
fn free_ports(count: usize) -> Vec<u16> {
    let mut held = Vec::new();
    while held.len() < count {
        let listener =
            TcpListener::bind(SocketAddr::from((own_address(), 0))).expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        if let Ok(socket) = UdpSocket::bind(SocketAddr::from((own_address(), port))) {
            held.push((listener, socket, port));
        }
    }
    held.into_iter().map(|(_, _, port)| port).collect()
}

/// Starts one instance for each address at which it reaches the store, and waits until all are ready.
pub fn start_instances(folder: &Path, stores: &[SocketAddr]) -> Vec<Arc<Instance>> {
    let template = fs::read_to_string("platform/settings.jsonc.template").expect("the template");
    let ip = IpAddr::from(own_address());
    let ports = free_ports(4 * stores.len());
    let ports: Vec<_> = ports.chunks(4).collect();
    let seeds: Vec<_> = ports
        .iter()
        .take(3)
        .map(|ports| format!("\"{ip}:{}\"", ports[2]))
        .collect();
    let rows = stores
        .iter()
        .zip(&ports)
        .enumerate()
        .map(|(index, (store, ports))| {
            let name = format!("front-zone-a-{}", index + 1);
            let (front, ready, control, peers) = (ports[0], ports[1], ports[2], ports[3]);
            let fields = [
                ("node|json", format!("\"{name}\"")),
                ("zone|json", "\"zone-a\"".to_owned()),
                ("listen.front|json", format!("\"{ip}:{front}\"")),
                ("listen.ready|json", format!("\"{ip}:{ready}\"")),
                ("listen.control|json", format!("\"{ip}:{control}\"")),
                ("ip", ip.to_string()),
                ("internalPorts.0", peers.to_string()),
                ("limits.cpuShare|json", "0.5".to_owned()),
                ("bounds.graceS|json", "8".to_owned()),
                ("bounds.statusS|json", "120".to_owned()),
                ("platform.address|json", format!("\"{store}\"")),
                ("platform.parts|json", "8".to_owned()),
                ("platform.appendMs|json", "4.0".to_owned()),
                ("platform.recordBytes|json", "262144".to_owned()),
                ("platform.callBytes|json", "2097152".to_owned()),
            ];
            let (before, rest) = template
                .split_once("{{#seeds}}")
                .expect("seeds in the template");
            let (_, after) = rest
                .split_once("{{/seeds}}")
                .expect("seeds in the template");
            let mut text = format!("{before}{}{after}", seeds.join(","));
            for (field, value) in fields {
                text = text.replace(&format!("{{{{{field}}}}}"), &value);
            }
            assert!(
                !text.contains("{{"),
                "the template has a field that isn't filled in: {text}"
            );
            let settings = folder.join(format!("{name}.jsonc"));
            fs::write(&settings, text).expect("the settings can be written");
            let log = folder.join(format!("{name}.log"));
            let address = |port| SocketAddr::from((ip, port));
            Arc::new(Instance {
                name,
                front: address(front),
                ready: address(ready),
                log,
                settings,
                child: Mutex::new(None),
            })
        });
    let instances: Vec<_> = rows.collect();
    instances.iter().for_each(|instance| instance.start());
    instances
}

/// Waits until all instances are ready; false if they aren't in time.
pub fn wait_ready(instances: &[Arc<Instance>], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while !instances.iter().all(|instance| instance.is_ready()) {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
    true
}

/// A route of the configuration: its path prefix, service and further fields.
pub fn route(name: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"priority\":0,\"service\":\"{service}\",{more}}}"
    )
}

pub fn batch_route(name: &str, service: &str) -> String {
    batch_route_due(name, service, 18_000)
}

/// A batch route whose results are due after this time.
pub fn batch_route_due(name: &str, service: &str, due_ms: u64) -> String {
    let more = format!(
        "\"timeoutMs\":15000,\"targetLatencyMs\":500,\"maxAttempts\":3,\"sticky\":true,\
         \"completionTargetMs\":{due_ms},\"retentionS\":60"
    );
    route(name, "batch", service, &more)
}

/// Writes a configuration, as the operator does.
pub fn configure(
    record: &Record,
    store: &Store,
    version: u64,
    routes: &[String],
    services: &[&str],
) {
    let services: Vec<_> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":200,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    let (routes, services) = (routes.join(","), services.join(","));
    let limits = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
    let entry = format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\"limits\":{limits}}}"
    );
    store.put("keyed.op", "config", &entry);
    record.say(&format!(
        "operator: configuration {version} acknowledged: {routes}"
    ));
}
