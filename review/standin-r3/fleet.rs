//! Processes of the system under test, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;

/// The program of `deploy/system.toml`, seen from the root of the repository.
const PROGRAM: &str = "target/release/amaranth-front";

/// One instance with its addresses, which stay the same when it is started again.
pub struct Front {
    pub name: String,
    pub callers: SocketAddr,
    pub probes: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Settings of an instance as the template has them for a small deployment.
pub struct FrontSettings<'a> {
    pub name: &'a str,
    pub store: SocketAddr,
    pub seeds: &'a [SocketAddr],
    /// Memory of its machine.
    pub memory_mb: u64,
}

fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address")
}

impl Front {
    pub fn new(folder: &Path, settings: &FrontSettings) -> Self {
        let name = settings.name.to_owned();
        let (callers, probes, control) = (free_tcp(), free_tcp(), free_tcp());
        let seeds: Vec<_> = settings.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            r#"{{
  "instance": "{name}", "data_centre": "sul-poa",
  "callers": "{callers}", "probes": "{probes}", "peers": "{}", "control": "{control}",
  "seeds": [{}],
  "cores": 0.5, "memory_mb": {}, "max_fds": 8200,
  "grace_s": 8, "batch_retention_s": 120,
  "quota": {{ "overshoot": 0.1 }},
  "kept_prompts": true,
  "log": {{ "address": "{}", "partitions": 8, "append_ms": 4.0, "entry_bytes": 262144, "append_bytes": 2097152 }}
}}
"#,
            free_udp(),
            seeds.join(", "),
            settings.memory_mb,
            settings.store
        );
        let path = folder.join(format!("{name}.settings"));
        fs::write(&path, text).expect("settings written");
        let log = folder.join(format!("{name}.log"));
        let _ = fs::remove_file(&log);
        Self { name, callers, probes, settings: path, log, child: None }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("AMARANTHFORD_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program is built");
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let probed = http::call(self.probes, "GET", "/-/ready", &[("Host", "probe")], b"", limit);
        probed.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the instance is ready. Returns whether it became so.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(10));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        // A stopped process is killed as well.
        self.kill();
    }
}
