//! Continuous batching: each step prefills part of the pending prompts and generates one token for
//! every prefilled stream. Requests are admitted in the order of arrival, without priorities.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::engine::prefix_hashes;

use crate::engine_stream::{StreamEnd, StreamState};
use crate::prefix_cache::{CacheLimits, PrefixCache};

/// Step times, batch size and relative speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSpeed {
    /// Duration of a step with a single stream.
    pub step: Duration,
    /// Increase of the step duration for each further stream, as a fraction of `step`.
    pub step_growth: f64,
    /// Time to prefill one KiB of uncached prompt.
    pub prefill_per_kib: Duration,
    /// Most prompt bytes prefilled in one step.
    pub prefill_chunk: usize,
    /// Relative speed; step durations are divided by it.
    pub speed: f64,
    /// Most streams that run concurrently.
    pub slots: usize,
}

/// Whether waiting streams may join the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchAdmission {
    /// Admitted while slots are free.
    Open,
    /// Not admitted, so that the batch drains.
    Paused,
}

#[derive(Debug)]
struct RunningStream {
    stream: Arc<StreamState>,
    prefixes: Vec<u64>,
    prefill_remaining: usize,
}

/// The running streams, the queue of waiting ones, and the prefix cache.
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

    /// The engine's prefix cache.
    pub fn cache(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Number of running streams.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting streams.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Most streams that run concurrently, as configured.
    pub fn slots(&self) -> usize {
        self.speed.slots
    }

    /// Number of waiting and running streams whose prompt has the given prefix.
    pub fn open_streams(&self, prefix: &str) -> usize {
        let running = self.running.iter().map(|running| &running.stream);
        let open = self.waiting.iter().chain(running);
        let open = open.filter(|stream| stream.progress().end.is_none());
        open.filter(|stream| stream.request.prompt.starts_with(prefix))
            .count()
    }

    /// Duration of the latest step; zero while idle.
    pub fn last_step(&self) -> Duration {
        self.last_step
    }

    /// Tokens generated since the start.
    pub fn produced(&self) -> u64 {
        self.produced
    }

    /// Ends every waiting stream as refused.
    pub fn refuse_waiting(&mut self) {
        for stream in self.waiting.drain(..) {
            stream.end(StreamEnd::Refused);
        }
    }

    /// Removes ended streams. Returns true if no stream is running afterwards.
    pub fn remove_ended(&mut self) -> bool {
        let open = |stream: &StreamState| stream.progress().end.is_none();
        self.waiting.retain(|stream| open(stream));
        self.running.retain(|running| open(&running.stream));
        self.running.is_empty()
    }

    /// Starts a step: admits streams, prefills prompts, and returns the step's duration, or `None`
    /// if no stream is running.
    pub fn begin_step(&mut self, admission: BatchAdmission, slow_factor: f64) -> Option<Duration> {
        self.remove_ended();
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

    /// Ends a step: generates one token for each stream whose prompt is prefilled.
    pub fn finish_step(&mut self, prefill_only: bool, now_ms: u64) {
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|running| !self.advance(running, prefill_only, now_ms));
        self.running = running;
    }

    /// Generates one token. Returns true if the stream ended and leaves the batch.
    fn advance(&mut self, running: &mut RunningStream, prefill_only: bool, now_ms: u64) -> bool {
        if running.prefill_remaining > 0 {
            return false;
        }
        let prefixes = std::mem::take(&mut running.prefixes);
        self.cache.insert_blocks(&prefixes, now_ms);
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
            let cached = self.cache.lookup(&prefixes) * amaranth_wire::engine::PREFIX_BLOCK_BYTES;
            let imported = stream.is_imported();
            let prefill_remaining = if imported { 0 } else { prompt.len() - cached };
            self.running.push(RunningStream {
                stream,
                prefixes,
                prefill_remaining,
            });
        }
    }

    fn prefill(&mut self) -> usize {
        let mut budget = self.speed.prefill_chunk;
        for running in &mut self.running {
            let now = running.prefill_remaining.min(budget);
            running.prefill_remaining -= now;
            budget -= now;
        }
        self.speed.prefill_chunk - budget
    }
}
