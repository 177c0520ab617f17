//! A reader that stopped reading stalls nothing, and what is lost is counted.

use std::io::{self, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use amaranth_net::log_queue::LogQueue;

/// Lines of one run, well over what the queue holds.
const LINES: usize = 20_000;

/// A reader that reads nothing until it is told to, then passes on what comes.
struct StoppedReader {
    go: Receiver<()>,
    started: bool,
    out: Sender<Vec<u8>>,
}

impl Write for StoppedReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.started {
            self.go.recv().map_err(io::Error::other)?;
            self.started = true;
        }
        self.out.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stopped_reader_stalls_nothing_and_dropped_lines_are_told() {
    let (go, wait) = channel();
    let (out, written) = channel();
    let reader = StoppedReader {
        go: wait,
        started: false,
        out,
    };
    let mut queue = LogQueue::new(reader);
    let dropped = queue.dropped();
    for line in 0..LINES {
        queue
            .write_all(format!("event=test line={line}\n").as_bytes())
            .unwrap();
    }
    let lost = dropped.load(Ordering::Relaxed) as usize;
    assert!(lost > LINES / 2, "{lost} lines dropped");
    go.send(()).unwrap();
    let mut text = String::new();
    let begun = Instant::now();
    // The total is told after each gap; the last one counts every line.
    let told = format!("event=log_lines_dropped total={lost}\n");
    while !text.contains(&told) && begun.elapsed() < Duration::from_secs(30) {
        let piece = written.recv_timeout(Duration::from_secs(30)).unwrap();
        text.push_str(&String::from_utf8(piece).unwrap());
    }
    let kept = text.matches("event=test").count();
    assert!(kept <= LINES - lost, "{kept} kept, {lost} dropped");
    assert!(text.contains(&told), "the count is told");
}
