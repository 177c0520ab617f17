//! Starts the program of the deploy file, each instance as a process of its own.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::template::{Field, number, render, table, text};

/// The system's deploy file.
const DEPLOY_FILE: &str = "deploy/system.toml";

/// The child gets a signal when its parent ends, however it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, signal: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// An instance.
pub struct Front {
    child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    probes: SocketAddr,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// The first value of a key in the deploy file, which has a single role.
fn deploy_value(deploy: &str, key: &str) -> Option<String> {
    deploy.lines().find_map(|line| {
        let (name, value) = line.split_once('=')?;
        (name.trim() == key).then(|| value.trim().trim_matches('"').to_owned())
    })
}

/// The settings of a process as the platform gives them, with the figures of `solarmapa-sul`.
fn fields(index: usize, store: SocketAddr, addresses: [SocketAddr; 4]) -> Field {
    let [callers, probes, control, peers] = addresses;
    let bounds = [
        ("seedLagS", 3.0),
        ("reuseDelayS", 2.0),
        ("stableWindowMs", 3_000.0),
        ("ackMs", 4_000.0),
        ("catchUpS", 4.6),
        ("drainMs", 2_000.0),
        ("graceS", 8.0),
        ("lossSlackMs", 200.0),
        ("configApplyMs", 2_000.0),
        ("rollbackSlackMs", 250.0),
        ("maxSkewMs", 5_000.0),
        ("recoveryS", 12.0),
        ("passMs", 120.0),
        ("retryAfterS", 0.0),
        ("finishS", 18.0),
        ("statusS", 120.0),
        ("cancelMs", 3_000.0),
        ("settleMs", 1_000.0),
        ("quotaOvershoot", 0.1),
    ];
    let contracts = [
        "base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "platform",
    ];
    table([
        ("node", text(format!("front-{index}"))),
        ("role", text("instance")),
        ("machineClass", text("front")),
        ("serves", Field::List(vec![text("front"), text("control")])),
        ("ip", text(peers.ip())),
        ("zone", text("zone-1")),
        ("region", text("region-1")),
        ("zones", table([("zone-1", text("region-1"))])),
        (
            "listen",
            table([
                ("front", text(callers)),
                ("ready", text(probes)),
                ("control", text(control)),
            ]),
        ),
        (
            "internalPorts",
            Field::List(vec![number(peers.port()), number(peers.port())]),
        ),
        ("seeds", Field::List(Vec::new())),
        ("bootstrap", Field::Flag(true)),
        ("countsAsLoss", Field::Flag(false)),
        (
            "limits",
            table([
                ("cpuShare", number("0.5")),
                ("cores", number(1)),
                ("memoryMb", number(290)),
                ("maxFds", number(8_200)),
                ("linkMbps", number("1000.0")),
                ("diskMb", number(0)),
            ]),
        ),
        ("dataDir", Field::Empty),
        ("discovery", text("platform")),
        ("entry", text("vip")),
        ("heartbeatMs", number(1_200)),
        ("contracts", Field::List(contracts.map(text).to_vec())),
        (
            "faultTolerance",
            table([
                ("machines", number(1)),
                ("zones", number(0)),
                ("regions", number(0)),
            ]),
        ),
        (
            "bounds",
            Field::Table(
                bounds
                    .map(|(name, bound)| (name.to_owned(), number(bound)))
                    .to_vec(),
            ),
        ),
        (
            "platform",
            table([
                ("address", text(store)),
                ("form", text("log")),
                ("writesPerS", number(800)),
                ("readsPerS", number(2_000)),
                ("parts", number(8)),
                ("appendMs", number("4.0")),
                ("partitionMbS", number("20.0")),
                ("readMbS", number("80.0")),
                ("recordBytes", number(262_144)),
                ("callBytes", number(2_097_152)),
                ("retentionS", number(300)),
                ("partitionMb", number(200)),
                ("minTtlMs", number(1_000)),
            ]),
        ),
    ])
}

impl Front {
    /// Starts an instance, with other ports if one of them was taken meanwhile.
    pub fn start(index: usize, store: SocketAddr, folder: &Path) -> Self {
        for _ in 0..5 {
            let mut front = Self::spawn(index, store, folder);
            thread::sleep(Duration::from_millis(200));
            if matches!(front.child.try_wait(), Ok(None)) {
                return front;
            }
        }
        cannot_run("an instance ends right after its start");
    }

    /// Starts the process by the deploy file, with the settings that its template gives for a small machine.
    fn spawn(index: usize, store: SocketAddr, folder: &Path) -> Self {
        let (callers, probes, control) = (free_address(), free_address(), free_address());
        let peers = UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let deploy = fs::read_to_string(DEPLOY_FILE);
        let deploy = deploy.unwrap_or_else(|e| cannot_run(&format!("{DEPLOY_FILE}: {e}")));
        let fields = fields(index, store, [callers, probes, control, peers]);
        let settings = folder.join(format!("front-{index}.settings"));
        let template = match deploy_value(&deploy, "template") {
            Some(path) => fs::read_to_string(path).unwrap_or_else(|e| cannot_run(&e.to_string())),
            None => "{{.|json}}".to_owned(),
        };
        fs::write(&settings, render(&template, &fields)).unwrap();
        let log = fs::File::create(folder.join(format!("front-{index}.log"))).unwrap();
        let run = deploy_value(&deploy, "run").unwrap_or_else(|| cannot_run("no command to run"));
        let run = render(&run, &fields);
        let mut words = run.split_whitespace();
        let mut command = Command::new(words.next().unwrap_or(""));
        command
            .args(words)
            .env("AMARANTHFORD_NODE_FILE", &settings)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log));
        // SAFETY: prctl may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("{run}: {e}")));
        Self {
            child,
            callers,
            probes,
        }
    }

    /// Waits until the instance is ready.
    pub fn wait_ready(&self) {
        for _ in 0..200 {
            let answer = http::call(
                self.probes,
                "GET",
                "/-/ready",
                &[("host", "probe")],
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("an instance is not ready after 10 s");
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends the script: the case couldn't run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    panic!("{why}");
}
