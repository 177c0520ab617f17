//! A machine that runs the program of the deploy file. As the platform does, it kills a process whose
//! memory exceeds the machine's, and starts a process that has ended again.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::template;

const DEPLOY_FILE: &str = "deploy/system.toml";
const SETTINGS_VARIABLE: &str = "AMARANTHFORD_NODE_FILE";
const MEMORY_CHECK_PERIOD: Duration = Duration::from_millis(20);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// What the deploy file says of the role of the machines.
struct DeployedRole {
    command: Vec<String>,
    template: String,
}

fn read_role() -> Result<DeployedRole, String> {
    let text = fs::read_to_string(DEPLOY_FILE).map_err(|e| format!("{DEPLOY_FILE}: {e}"))?;
    let field = |name: &str| {
        let rows = text.lines().filter_map(|line| line.split_once('='));
        let row = rows
            .filter(|(key, _)| key.trim() == name)
            .map(|(_, value)| value.trim().trim_matches('"').to_owned());
        row.last()
            .ok_or_else(|| format!("{DEPLOY_FILE} has no {name}"))
    };
    Ok(DeployedRole {
        command: field("run")?
            .split_whitespace()
            .map(str::to_owned)
            .collect(),
        template: field("template")?,
    })
}

pub struct Machine {
    pub name: String,
    pub callers: SocketAddr,
    pub probes: SocketAddr,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    memory_mb: u64,
    record: Record,
    process: Mutex<Option<Child>>,
    is_stopped: AtomicBool,
    /// Ends of the process that the script didn't cause.
    pub ends: Mutex<Vec<String>>,
    pub peak_kb: Mutex<u64>,
}

/// Ports of the machines, below those that systems give to outgoing connections: a process that starts
/// again needs the same ones.
const PORTS: std::ops::Range<u32> = 12_000..30_000;

/// A loopback address whose port is free for TCP and UDP.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        // Cases that run side by side begin at different ports.
        let number = std::process::id()
            .wrapping_mul(37)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// The fields that the platform fills into the template.
fn settings_fields(
    name: &str,
    machine: &[SocketAddr; 4],
    store: SocketAddr,
    memory_mb: u64,
) -> Json {
    let [callers, probes, peers, control] = machine;
    let (ip, port) = (peers.ip(), peers.port());
    let text = format!(
        r#"{{"node":"{name}","role":"instance","machineClass":"front","serves":["front","control"],"ip":"{ip}",
"zone":"zone-a","region":"region-a","zones":{{"zone-a":"region-a"}},
"listen":{{"front":"{callers}","ready":"{probes}","control":"{control}"}},"internalPorts":[{port},{port}],
"seeds":[],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":0.5,"cores":1,"memoryMb":{memory_mb},"maxFds":8200,"linkMbps":1000,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","recover","batch","stream","engine","platform"],
"faultTolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseDelayS":2,"stableWindowMs":3000,"ackMs":4000,"catchUpS":5.2,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxSkewMs":5000,"recoveryS":12,"passMs":120,
"retryAfterS":0,"finishS":18,"statusS":120,"cancelMs":3000,"settleMs":1000,"quotaOvershoot":0.1}},
"platform":{{"address":"{store}","form":"log","writesPerS":800,"readsPerS":2000,"parts":8,"appendMs":4,
"partitionMbS":20,"readMbS":80,"recordBytes":262144,"callBytes":2097152,"retentionS":300,"partitionMb":200,"minTtlMs":1000}}}}"#
    );
    Json::parse(&text).expect("the fields are JSON")
}

impl Machine {
    pub fn start(
        name: &str,
        folder: &Path,
        store: SocketAddr,
        memory_mb: u64,
        record: &Record,
    ) -> Result<Arc<Self>, String> {
        let role = read_role()?;
        let template =
            fs::read_to_string(&role.template).map_err(|e| format!("{}: {e}", role.template))?;
        let [callers, probes, peers, control] = [
            free_address(),
            free_address(),
            free_address(),
            free_address(),
        ];
        let fields = settings_fields(name, &[callers, probes, peers, control], store, memory_mb);
        let settings = folder.join(format!("{name}.settings"));
        fs::write(&settings, template::render(&template, &fields)?).map_err(|e| e.to_string())?;
        let machine = Arc::new(Self {
            name: name.to_owned(),
            callers,
            probes,
            command: role.command,
            settings,
            log: folder.join(format!("{name}.log")),
            memory_mb,
            record: record.clone(),
            process: Mutex::default(),
            is_stopped: AtomicBool::new(false),
            ends: Mutex::default(),
            peak_kb: Mutex::default(),
        });
        machine
            .spawn()
            .map_err(|e| format!("{:?}: {e}", machine.command))?;
        let watched = machine.clone();
        thread::spawn(move || watched.watch());
        Ok(machine)
    }

    fn spawn(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .note(format!("start machine={} pid={}", self.name, process.id()));
        *self.process.lock().unwrap() = Some(process);
        Ok(())
    }

    fn watch(&self) {
        while !self.is_stopped.load(Ordering::SeqCst) {
            thread::sleep(MEMORY_CHECK_PERIOD);
            let Some(end) = self.find_end() else { continue };
            if self.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            self.record.note(format!("end machine={} {end}", self.name));
            self.ends.lock().unwrap().push(end);
            thread::sleep(RESTART_DELAY);
            if !self.is_stopped.load(Ordering::SeqCst) {
                self.spawn().expect("the program starts again");
            }
        }
    }

    /// Why the process has ended, if it has; kills it if its memory exceeds the machine's.
    fn find_end(&self) -> Option<String> {
        let mut process = self.process.lock().unwrap();
        let process = process.as_mut()?;
        if let Ok(Some(status)) = process.try_wait() {
            return Some(format!(
                "ended by itself code={:?} signal={:?}",
                status.code(),
                status.signal()
            ));
        }
        let kb = resident_kb(process.id()).ok()?;
        let mut peak = self.peak_kb.lock().unwrap();
        *peak = (*peak).max(kb);
        if kb * 1_024 <= self.memory_mb * 1_000_000 {
            return None;
        }
        let _ = process.kill();
        let _ = process.wait();
        Some(format!(
            "killed by the platform: {kb} KiB in use, the machine has {} MB",
            self.memory_mb
        ))
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.probes,
            "GET",
            "/-/ready",
            &[("host", "probe")],
            b"",
            Duration::from_millis(1_000),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Ends the process for good.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn resident_kb(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kb| kb.parse().ok());
    kb.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
