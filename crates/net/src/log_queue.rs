//! Non-blocking log writer: lines pass through a bounded queue to a dedicated thread. Lines are
//! dropped and counted while the queue is full.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// Capacity in lines: under 1 MB at about 300 bytes each.
const QUEUE_CAPACITY: usize = 2_048;

/// Sending end of the queue.
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes to `out`.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (lines, queued) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::spawn(move || run_writer(out, queued, &counted));
        Self { lines, dropped }
    }

    /// Returns the counter of dropped lines.
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

/// Writes queued lines until the queue is closed or a write fails. After a gap, adds a line with
/// the total number of dropped lines.
fn run_writer(mut out: impl Write, queued: Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut reported = 0;
    while let Ok(line) = queued.recv() {
        let mut batch = line;
        while let Ok(line) = queued.try_recv() {
            batch.extend_from_slice(&line);
        }
        let count = dropped.load(Ordering::Relaxed);
        if count > reported {
            batch.extend_from_slice(
                format!("level=warn event=log_lines_dropped total={count}\n").as_bytes(),
            );
            reported = count;
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // The reader is gone, and there is no other output for the lines.
            return;
        }
    }
}
