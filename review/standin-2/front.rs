//! Starts the program of the deploy file, each instance as a process of its own.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::http;

/// Program of an instance, by the deploy file.
const PROGRAM: &str = "target/release/amaranth-front";

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

    /// Starts the process. Its settings are what the template gives for a small machine.
    fn spawn(index: usize, store: SocketAddr, folder: &Path) -> Self {
        let (callers, probes, control) = (free_address(), free_address(), free_address());
        let peers = UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let text = format!(
            r#"{{
  "instance": "front-{index}", "data_centre": "zone-1",
  "callers": "{callers}", "probes": "{probes}", "peers": "{peers}", "control": "{control}", "seeds": [],
  "cores": 0.5, "memory_mb": 290, "max_fds": 8200, "grace_s": 8, "batch_retention_s": 120,
  "quota": {{}}, "kept_prompts": true,
  "log": {{ "address": "{store}", "partitions": 8, "append_ms": 4.0, "entry_bytes": 262144, "append_bytes": 2097152 }}
}}"#
        );
        let settings = folder.join(format!("front-{index}.jsonc"));
        fs::write(&settings, text).unwrap();
        let log = fs::File::create(folder.join(format!("front-{index}.log"))).unwrap();
        let mut command = Command::new(PROGRAM);
        command
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
        let child = child.unwrap_or_else(|e| cannot_run(&format!("{PROGRAM}: {e}")));
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
