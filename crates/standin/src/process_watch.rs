//! Use of processor and memory by another process, read from `/proc`.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::time::sleep;

/// Length of one tick of processor time in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;
/// Time between two looks at the memory.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// What a process used.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ProcessUse {
    /// Resident memory before the first turn, in KiB.
    pub rest_kib: u64,
    /// Most resident memory that was seen, in KiB.
    pub peak_kib: u64,
    /// Processor time over the counted turns, in milliseconds.
    pub processor_ms: u64,
    /// Length of the counted turns, in milliseconds.
    pub time_ms: u64,
    /// Calls that were answered whole in these turns.
    pub calls: u64,
    /// Calls for each second of one core's time.
    pub calls_per_core_second: f64,
}

/// Measures one process over some turns.
#[derive(Debug)]
pub struct ProcessWatch {
    process: u32,
    used: ProcessUse,
    peak_kib: AtomicU64,
    began: Option<(Instant, u64)>,
}

impl ProcessWatch {
    /// Measures the process of this id, which should be at rest now.
    pub fn new(process: u32) -> Self {
        let rest_kib = resident_kib(process).unwrap_or(0);
        Self {
            process,
            used: ProcessUse {
                rest_kib,
                ..ProcessUse::default()
            },
            peak_kib: AtomicU64::new(rest_kib),
            began: None,
        }
    }

    /// Begins a turn.
    pub fn begin(&mut self) {
        let ticks = processor_ticks(self.process).unwrap_or(0);
        self.began = Some((Instant::now(), ticks));
    }

    /// Looks at the memory until it is dropped.
    pub async fn sample(&self) {
        loop {
            let resident = resident_kib(self.process).unwrap_or(0);
            self.peak_kib.fetch_max(resident, Ordering::Relaxed);
            sleep(SAMPLE_PERIOD).await;
        }
    }

    /// Ends a turn in which so many calls were answered.
    pub fn end(&mut self, calls: u64) {
        let Some((start, before)) = self.began.take() else {
            return;
        };
        let ticks = processor_ticks(self.process).unwrap_or(before) - before;
        self.used.processor_ms += ticks * TICK_MS;
        self.used.time_ms += start.elapsed().as_millis() as u64;
        self.used.calls += calls;
    }

    /// What was used in all turns.
    pub fn total(self) -> ProcessUse {
        let seconds = self.used.processor_ms as f64 / 1_000.0;
        ProcessUse {
            peak_kib: self.peak_kib.into_inner(),
            calls_per_core_second: match self.used.processor_ms {
                0 => 0.0,
                _ => self.used.calls as f64 / seconds,
            },
            ..self.used
        }
    }
}

/// User and system time of a process, in ticks.
fn processor_ticks(process: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name in parentheses may hold spaces; after it user time is field 12, system time 13.
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
