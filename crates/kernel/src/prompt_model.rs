//! Weighs what a prompt saves at an upstream that holds its beginning, in milliseconds until the first
//! event and in milliseconds of work.

use std::collections::HashMap;

use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::{ExpectedStart, FirstEventSample};

use crate::prefill_rate::{PrefillSamples, pooled_rate};
use crate::prompt_cache::{CacheRoom, PromptCache, PromptParts};
use crate::slot_allocator::{SlotLoad, UpstreamSlots};

/// Time that a request and its first event take to and from another data centre, in milliseconds: the
/// limit on replies of allocators, 12 ms, allows for several such round trips.
const DATA_CENTRE_MS: f64 = 3.0;
/// Differences of the time to the first event that count as none, in milliseconds: prefill of some 60 to
/// 80 tokens, less than the usual shared parts have.
const FIRST_EVENT_STEP_MS: f64 = 1.0;
/// Share of the evicted tokens that are assumed to be needed again. Evicted parts are those used least
/// recently, and other upstreams may hold them, too.
const EVICTION_LOSS: f64 = 0.25;
/// Parts of all upstreams of a group that the model keeps at most: some 40 MB.
const MAX_PARTS: usize = 500_000;
/// Parts of one upstream that the model keeps at most. An engine holds some hundred prompts.
const MAX_UPSTREAM_PARTS: usize = 4_096;
/// Time after which an upstream that got no request with a prompt is forgotten, in milliseconds.
const IDLE_EXPIRY_MS: u64 = 600_000;
/// Interval at which idle upstreams are looked for, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 10_000;

/// What placement knows of the prompts at one upstream.
#[derive(Debug, Default)]
struct UpstreamPrompts {
    /// When the upstream started, in milliseconds of Unix time.
    started_ms: u64,
    cache: PromptCache,
    samples: PrefillSamples,
    /// When the prefill of the requests that were sent there should end, in milliseconds.
    prefill_until_ms: f64,
    used_ms: u64,
}

/// What a prompt costs at one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PromptCost {
    kept_tokens: u32,
    uncached_tokens: u32,
    prefill_ms: f64,
    saved_ms: f64,
    pub(crate) first_event_ms: f64,
    pub(crate) work_ms: f64,
}

impl PromptCost {
    /// Time to the first event in steps that matter.
    pub(crate) fn first_event_step(&self) -> f64 {
        (self.first_event_ms / FIRST_EVENT_STEP_MS).round()
    }
}

/// What a prompt costs at each upstream of a group, in their order.
#[derive(Debug)]
pub(crate) struct PromptForecast {
    prompt: PromptParts,
    /// Milliseconds of prefill for each token at an average upstream; `None` while unknown.
    pub(crate) rate: Option<f64>,
    pub(crate) costs: Vec<PromptCost>,
}

/// The prompts that all upstreams hold, and how fast they read them.
#[derive(Debug, Default)]
pub(crate) struct PromptModel {
    upstreams: HashMap<UpstreamId, UpstreamPrompts>,
    swept_ms: u64,
}

impl PromptModel {
    /// Records the time to a first event, of which `factor` is due to the speed of the moment.
    pub(crate) fn record_sample(&mut self, sample: &FirstEventSample, factor: f64) {
        if let Some(prompts) = self.upstreams.get_mut(&sample.upstream) {
            let first_event_ms = f64::from(sample.first_event_us) / 1_000.0;
            let tokens = sample.uncached_tokens;
            prompts.samples.record(tokens, first_event_ms / factor);
        }
    }

    /// Weighs a prompt at each upstream.
    pub(crate) fn forecast(
        &self,
        upstreams: &[UpstreamSlots],
        loads: &[SlotLoad],
        prompt: PromptParts,
        now_ms: u64,
    ) -> PromptForecast {
        let known = upstreams.iter().zip(loads).filter_map(|(row, load)| {
            let prompts = self.upstreams.get(&row.upstream)?;
            Some((&prompts.samples, load.relative_time))
        });
        let rate = pooled_rate(known);
        let parts = part_limit(upstreams.len());
        let costs = upstreams.iter().zip(loads);
        let costs = costs.map(|(row, load)| {
            let prompts = self.upstreams.get(&row.upstream);
            let prompts = prompts.filter(|prompts| prompts.started_ms == row.started_ms);
            let token_ms = rate.unwrap_or(0.0) * load.relative_time * load.speed_factor;
            let room = load.cache_room(row, parts);
            prompt_cost(row, load, prompts, &prompt, token_ms, room, now_ms)
        });
        PromptForecast {
            costs: costs.collect(),
            rate,
            prompt,
        }
    }

    /// Records that a request is sent to the upstream at this index, and returns what is expected of it.
    pub(crate) fn record_grant(
        &mut self,
        upstreams: &[UpstreamSlots],
        loads: &[SlotLoad],
        index: usize,
        forecast: &PromptForecast,
        now_ms: u64,
    ) -> ExpectedStart {
        self.sweep(now_ms);
        let (row, load, cost) = (&upstreams[index], &loads[index], &forecast.costs[index]);
        let prompts = self.upstreams.entry(row.upstream.clone()).or_default();
        if prompts.started_ms != row.started_ms {
            *prompts = UpstreamPrompts {
                started_ms: row.started_ms,
                samples: prompts.samples,
                ..UpstreamPrompts::default()
            };
        }
        let room = load.cache_room(row, part_limit(upstreams.len()));
        prompts.cache.record(&forecast.prompt, room);
        let begin_ms = prompts.prefill_until_ms.max(now_ms as f64);
        prompts.prefill_until_ms = begin_ms + cost.prefill_ms;
        prompts.used_ms = now_ms;
        let usual_rate = forecast.rate.map(|rate| rate * load.relative_time);
        let first_event_ms = usual_rate.map_or(0.0, |rate| {
            prompts.samples.first_event_ms(cost.uncached_tokens, rate) * load.speed_factor
        });
        ExpectedStart {
            kept_tokens: cost.kept_tokens,
            uncached_tokens: cost.uncached_tokens,
            saved_us: (cost.saved_ms * 1_000.0) as u32,
            first_event_us: (first_event_ms * 1_000.0) as u32,
            speed_percent: (load.speed_factor * 100.0).round() as u32,
        }
    }

    fn sweep(&mut self, now_ms: u64) {
        if now_ms >= self.swept_ms + SWEEP_INTERVAL_MS {
            self.swept_ms = now_ms;
            self.upstreams
                .retain(|_, prompts| prompts.used_ms + IDLE_EXPIRY_MS > now_ms);
        }
    }
}

/// Parts that the model keeps for each of some upstreams.
fn part_limit(upstreams: usize) -> usize {
    (MAX_PARTS / upstreams.max(1)).min(MAX_UPSTREAM_PARTS)
}

fn prompt_cost(
    row: &UpstreamSlots,
    load: &SlotLoad,
    prompts: Option<&UpstreamPrompts>,
    prompt: &PromptParts,
    token_ms: f64,
    room: CacheRoom,
    now_ms: u64,
) -> PromptCost {
    let kept_tokens = prompts.map_or(0, |prompts| prompts.cache.kept_tokens(prompt));
    let evicted = prompts.map_or(0, |prompts| {
        prompts.cache.evicted_tokens(prompt, kept_tokens, room)
    });
    let prefill_wait_ms = prompts.map_or(0.0, |prompts| {
        (prompts.prefill_until_ms - now_ms as f64).max(0.0)
    });
    let uncached_tokens = prompt.tokens - kept_tokens;
    let prefill_ms = f64::from(uncached_tokens) * token_ms;
    let way_ms = if row.is_local { 0.0 } else { DATA_CENTRE_MS };
    PromptCost {
        kept_tokens,
        uncached_tokens,
        prefill_ms,
        saved_ms: f64::from(kept_tokens) * token_ms,
        first_event_ms: load.wait_ms() + prefill_wait_ms + prefill_ms + way_ms,
        work_ms: prefill_ms + evicted as f64 * token_ms * EVICTION_LOSS,
    }
}
