//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self { started: Instant::now(), file }
    }

    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms {text}\n", self.ms());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
