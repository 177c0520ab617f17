//! A writer that never blocks: lines go through a bounded queue to a thread of their own. Lines
//! that find the queue full are dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// Lines that wait for the reader: at about 300 bytes each, under 1 MB.
const QUEUE_LINES: usize = 2_048;

/// The writing end.
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// A queue whose thread writes to `out`.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (lines, queued) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::spawn(move || write_all(out, queued, &counted));
        Self { lines, dropped }
    }

    /// Lines that were dropped so far.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        self.dropped.clone()
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what is queued; tells after a gap how many lines were dropped.
fn write_all(mut out: impl Write, queued: Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut told = 0;
    while let Ok(line) = queued.recv() {
        let mut batch = line;
        while let Ok(line) = queued.try_recv() {
            batch.extend_from_slice(&line);
        }
        let count = dropped.load(Ordering::Relaxed);
        if count > told {
            batch.extend_from_slice(
                format!("level=warn event=log_lines_dropped total={count}\n").as_bytes(),
            );
            told = count;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; the lines have nowhere else to go.
            return;
        }
    }
}
