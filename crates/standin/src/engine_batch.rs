//! Continuous batching: each step prefills some prompt and advances every other running stream by
//! one token. Requests are admitted as they arrive, without priorities.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::engine::prefix_hashes;

use crate::engine_stream::{StreamEnd, StreamState};
use crate::prefix_cache::{CacheLimits, PrefixCache};

/// Speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSpeed {
    /// Time of one step with a single stream.
    pub step: Duration,
    /// Growth of the step for each further stream, as a share of the step.
    pub step_growth: f64,
    /// Time to prefill one KiB of uncached prompt.
    pub prefill_per_kib: Duration,
    /// Most bytes of prompt that one step prefills.
    pub prefill_chunk: usize,
    /// Relative speed; times are divided by it.
    pub speed: f64,
    /// Streams that run at once.
    pub slots: usize,
}

/// Whether waiting streams are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchAdmission {
    /// While there are free slots.
    Open,
    /// Not now: the batch has to run empty.
    Paused,
}

#[derive(Debug)]
struct RunningStream {
    stream: Arc<StreamState>,
    prefixes: Vec<u64>,
    prefill_left: usize,
}

/// The running batch, those who wait for it, and the cache.
#[derive(Debug)]
pub struct StreamBatch {
    speed: BatchSpeed,
    waiting: VecDeque<Arc<StreamState>>,
    running: Vec<RunningStream>,
    cache: PrefixCache,
    last_step: Duration,
    produced: u64,
}

impl StreamBatch {
    /// An empty batch.
    pub fn new(speed: BatchSpeed, cache: CacheLimits) -> Self {
        Self {
            speed,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::new(cache),
            last_step: Duration::ZERO,
            produced: 0,
        }
    }

    /// Adds a stream at the end of the queue.
    pub fn push(&mut self, stream: Arc<StreamState>) {
        self.waiting.push_back(stream);
    }

    /// The cache.
    pub fn cache(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Streams that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Streams that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Streams that may run at once.
    pub fn slots(&self) -> usize {
        self.speed.slots
    }

    /// Streams that wait or run and whose prompt starts so.
    pub fn open_streams(&self, prefix: &str) -> usize {
        let running = self.running.iter().map(|running| &running.stream);
        let open = self.waiting.iter().chain(running);
        let open = open.filter(|stream| stream.progress().end.is_none());
        open.filter(|stream| stream.request.prompt.starts_with(prefix))
            .count()
    }

    /// Duration of the last step.
    pub fn last_step(&self) -> Duration {
        self.last_step
    }

    /// Tokens produced since the start.
    pub fn produced(&self) -> u64 {
        self.produced
    }

    /// Refuses every stream that waits.
    pub fn refuse_waiting(&mut self) {
        for stream in self.waiting.drain(..) {
            stream.end(StreamEnd::Refused);
        }
    }

    /// Drops streams that ended; true if the batch is empty then.
    pub fn sweep(&mut self) -> bool {
        let open = |stream: &StreamState| stream.progress().end.is_none();
        self.waiting.retain(|stream| open(stream));
        self.running.retain(|running| open(&running.stream));
        self.running.is_empty()
    }

    /// Begins a step: admits, prefills, and tells how long the step takes. `None` if there is
    /// nothing to run.
    pub fn begin_step(&mut self, admission: BatchAdmission, slow_factor: f64) -> Option<Duration> {
        self.sweep();
        if admission == BatchAdmission::Open {
            self.admit();
        }
        if self.running.is_empty() {
            self.last_step = Duration::ZERO;
            return None;
        }
        let prefilled = self.prefill();
        let others = self.running.len() as f64 - 1.0;
        let decode = self
            .speed
            .step
            .mul_f64(1.0 + self.speed.step_growth * others);
        let prefill = self
            .speed
            .prefill_per_kib
            .mul_f64(prefilled as f64 / 1024.0);
        self.last_step = (decode + prefill).mul_f64(slow_factor / self.speed.speed);
        Some(self.last_step)
    }

    /// Ends a step: streams whose prompt is prefilled advance by one token.
    pub fn finish_step(&mut self, prefill_only: bool, now_ms: u64) {
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|running| !self.advance(running, prefill_only, now_ms));
        self.running = running;
    }

    /// True if the stream leaves the batch.
    fn advance(&mut self, running: &mut RunningStream, prefill_only: bool, now_ms: u64) -> bool {
        if running.prefill_left > 0 {
            return false;
        }
        let prefixes = std::mem::take(&mut running.prefixes);
        self.cache.store(&prefixes, now_ms);
        let stream = &running.stream;
        if prefill_only {
            stream.end(StreamEnd::Prefilled);
            return true;
        }
        if stream.progress().produced >= stream.request.tokens {
            stream.end(StreamEnd::Finished);
            return true;
        }
        self.produced += 1;
        stream.produce()
    }

    fn admit(&mut self) {
        while self.running.len() < self.speed.slots {
            let Some(stream) = self.waiting.pop_front() else {
                return;
            };
            let prompt = &stream.request.prompt;
            let prefixes = prefix_hashes(prompt);
            let cached = self.cache.hit(&prefixes) * amaranth_wire::engine::PREFIX_BLOCK_BYTES;
            let imported = stream.is_imported();
            let prefill_left = if imported { 0 } else { prompt.len() - cached };
            self.running.push(RunningStream {
                stream,
                prefixes,
                prefill_left,
            });
        }
    }

    fn prefill(&mut self) -> usize {
        let mut budget = self.speed.prefill_chunk;
        for running in &mut self.running {
            let now = running.prefill_left.min(budget);
            running.prefill_left -= now;
            budget -= now;
        }
        self.speed.prefill_chunk - budget
    }
}
