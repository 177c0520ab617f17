//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines of a record file.
pub struct Record {
    started: Instant,
    lines: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn new(path: &str) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            lines: Mutex::new(File::create(path).unwrap()),
        })
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line.
    pub fn write(&self, line: &str) {
        let mut lines = self.lines.lock().unwrap();
        writeln!(lines, "{:8.3} {line}", self.elapsed().as_secs_f64()).unwrap();
    }
}
