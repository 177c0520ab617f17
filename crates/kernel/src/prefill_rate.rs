//! Learns how long an engine takes to read a token of a prompt, from times to first events.

/// Weight that earlier samples of an upstream keep at each new one, which spans about the last 500.
const SAMPLE_DECAY: f64 = 0.998;
/// Samples of a group below which nothing is learned: times to first events vary by more than a cached
/// prompt saves.
const MIN_SAMPLES: f64 = 200.0;
/// Standard errors by which a rate must exceed 0: a rate that chance explains is worth nothing.
const MIN_ERRORS: f64 = 2.0;
/// Longest time to a first event that tells of prefill, in milliseconds. Longer ones are those of paused
/// upstreams.
const MAX_FIRST_EVENT_MS: f64 = 1_000.0;

/// Exponentially weighted sums of the times to first events at one upstream by the tokens that needed
/// prefill, for a linear regression.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillSamples {
    weight: f64,
    mean_tokens: f64,
    mean_ms: f64,
    tokens_tokens: f64,
    tokens_ms: f64,
    ms_ms: f64,
}

impl PrefillSamples {
    /// Records the time to the first event of a request that found a free slot.
    pub fn record(&mut self, tokens: u32, first_event_ms: f64) {
        if !(0.0..=MAX_FIRST_EVENT_MS).contains(&first_event_ms) {
            return;
        }
        let tokens = f64::from(tokens);
        self.weight = self.weight * SAMPLE_DECAY + 1.0;
        let (from_tokens, from_ms) = (tokens - self.mean_tokens, first_event_ms - self.mean_ms);
        self.mean_tokens += from_tokens / self.weight;
        self.mean_ms += from_ms / self.weight;
        let (to_tokens, to_ms) = (tokens - self.mean_tokens, first_event_ms - self.mean_ms);
        self.tokens_tokens = self.tokens_tokens * SAMPLE_DECAY + from_tokens * to_tokens;
        self.tokens_ms = self.tokens_ms * SAMPLE_DECAY + from_tokens * to_ms;
        self.ms_ms = self.ms_ms * SAMPLE_DECAY + from_ms * to_ms;
    }

    /// Expected time to the first event at a rate in milliseconds for each token.
    pub fn first_event_ms(&self, tokens: u32, rate: f64) -> f64 {
        (self.mean_ms + (f64::from(tokens) - self.mean_tokens) * rate).max(0.0)
    }
}

/// Milliseconds of prefill for each token at an upstream of relative service time 1, from the samples of
/// a group's upstreams with their relative service times; `None` until they tell enough.
pub fn pooled_rate<'a>(
    samples: impl IntoIterator<Item = (&'a PrefillSamples, f64)>,
) -> Option<f64> {
    let (mut weight, mut tokens_tokens, mut tokens_ms, mut ms_ms) = (0.0, 0.0, 0.0, 0.0);
    for (sample, relative) in samples {
        weight += sample.weight;
        tokens_tokens += sample.tokens_tokens;
        tokens_ms += sample.tokens_ms / relative;
        ms_ms += sample.ms_ms / relative / relative;
    }
    if weight < MIN_SAMPLES || tokens_tokens <= 0.0 {
        return None;
    }
    let rate = tokens_ms / tokens_tokens;
    let variance = (ms_ms - rate * tokens_ms).max(0.0) / weight;
    let error = (variance / tokens_tokens).sqrt();
    (rate > MIN_ERRORS * error).then_some(rate)
}
