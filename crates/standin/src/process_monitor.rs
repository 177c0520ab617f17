//! CPU time and resident memory of another process, read from `/proc`.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::time::sleep;

/// Length of a clock tick in `/proc`, in milliseconds (100 Hz).
const TICK_MS: u64 = 10;
/// Interval between memory samples.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// CPU and memory use of a process.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ProcessUse {
    /// Resident memory before the load, in KiB.
    pub rest_kib: u64,
    /// Largest sampled resident memory, in KiB.
    pub peak_kib: u64,
    /// CPU time in the measured turns, in milliseconds.
    pub processor_ms: u64,
    /// Wall time of the measured turns, in milliseconds.
    pub time_ms: u64,
    /// Complete calls in the measured turns.
    pub calls: u64,
    /// Complete calls per second of CPU time.
    pub calls_per_core_second: f64,
}

/// Measures a process over one or more turns of load.
#[derive(Debug)]
pub struct ProcessMonitor {
    process: u32,
    usage: ProcessUse,
    peak_kib: AtomicU64,
    started: Option<(Instant, u64)>,
}

impl ProcessMonitor {
    /// Starts to measure the process with this id, which should be idle now.
    pub fn new(process: u32) -> Self {
        let rest_kib = resident_kib(process).unwrap_or(0);
        Self {
            process,
            usage: ProcessUse {
                rest_kib,
                ..ProcessUse::default()
            },
            peak_kib: AtomicU64::new(rest_kib),
            started: None,
        }
    }

    /// Starts the measurement of a turn.
    pub fn start_turn(&mut self) {
        let ticks = cpu_ticks(self.process).unwrap_or(0);
        self.started = Some((Instant::now(), ticks));
    }

    /// Samples the resident memory until the future is dropped.
    pub async fn sample(&self) {
        loop {
            let resident = resident_kib(self.process).unwrap_or(0);
            self.peak_kib.fetch_max(resident, Ordering::Relaxed);
            sleep(SAMPLE_PERIOD).await;
        }
    }

    /// Ends the measurement of a turn with `calls` complete calls.
    pub fn end_turn(&mut self, calls: u64) {
        let Some((start, before)) = self.started.take() else {
            return;
        };
        let ticks = cpu_ticks(self.process).unwrap_or(before) - before;
        self.usage.processor_ms += ticks * TICK_MS;
        self.usage.time_ms += start.elapsed().as_millis() as u64;
        self.usage.calls += calls;
    }

    /// Totals of all measured turns.
    pub fn total(self) -> ProcessUse {
        let seconds = self.usage.processor_ms as f64 / 1_000.0;
        ProcessUse {
            peak_kib: self.peak_kib.into_inner(),
            calls_per_core_second: match self.usage.processor_ms {
                0 => 0.0,
                _ => self.usage.calls as f64 / seconds,
            },
            ..self.usage
        }
    }
}

/// User and system CPU time of a process, in clock ticks.
fn cpu_ticks(process: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name in parentheses may contain spaces. After it, field 12 is user time, 13 system time.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn resident_kib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
