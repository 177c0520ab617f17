//! A log reader that stops reading must not block the process; lost lines are counted.

use std::io::{self, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use amaranth_net::log_queue::LogQueue;

/// Lines of one run, well over the capacity of the queue.
const LINES: usize = 20_000;

/// Output that blocks its first write until resumed, then forwards everything.
struct BlockedOutput {
    resume: Receiver<()>,
    started: bool,
    out: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.started {
            self.resume.recv().map_err(io::Error::other)?;
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
fn a_blocked_output_does_not_block_the_writer_and_dropped_lines_are_reported() {
    let (resume, resumed) = channel();
    let (out, written) = channel();
    let output = BlockedOutput {
        resume: resumed,
        started: false,
        out,
    };
    let mut queue = LogQueue::new(output);
    let dropped = queue.dropped();
    for line in 0..LINES {
        queue
            .write_all(format!("event=test line={line}\n").as_bytes())
            .unwrap();
    }
    let lost = dropped.load(Ordering::Relaxed) as usize;
    assert!(lost > LINES / 2, "{lost} lines dropped");
    resume.send(()).unwrap();
    let mut text = String::new();
    let begun = Instant::now();
    // The total is reported after each gap; the last report counts every line.
    let reported = format!("event=log_lines_dropped total={lost}\n");
    while !text.contains(&reported) && begun.elapsed() < Duration::from_secs(30) {
        let piece = written.recv_timeout(Duration::from_secs(30)).unwrap();
        text.push_str(&String::from_utf8(piece).unwrap());
    }
    let kept = text.matches("event=test").count();
    assert!(kept <= LINES - lost, "{kept} kept, {lost} dropped");
    assert!(text.contains(&reported), "the dropped total is reported");
}
