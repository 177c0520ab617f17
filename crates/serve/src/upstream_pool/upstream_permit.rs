//! The place of one request at an upstream.

use std::sync::Arc;

use amaranth_kernel::placement::LoadEstimate;
use amaranth_kernel::prompt_cache::expected_tokens;
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::{
    ExpectedStart, FirstEventSample, LeavingUpstream, PromptShape,
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{LeftUpstream, UpstreamPool};
use crate::call::LoadReport;
use crate::connection_pool::ConnectionKey;

/// Times to first events that wait for the next counts at most: those of some 8 ms.
const MAX_FIRST_EVENTS: usize = 64;
/// Smallest saving by a held prompt that a time to a first event can show, in microseconds.
const MIN_TOLD_SAVING_US: u32 = 2_000;

/// A request counted as in flight at an upstream until dropped.
pub struct UpstreamPermit {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Key of the connections to use for the request.
    pub key: ConnectionKey,
    /// When the upstream started, in milliseconds of Unix time.
    pub(super) started_ms: u64,
    /// Estimated load of the upstream, in requests, when it was chosen.
    pub load: f64,
    /// Whether the estimate leaves a slot free, so that the request should start at once.
    pub has_free_slot: bool,
    /// When it was acquired, just before the request is sent.
    pub acquired_at: Instant,
    /// Expected time of work there when it was chosen, in percent of what is usual.
    pub speed_percent: u32,
    /// What the allocator expects of the request's prompt; `None` if it wasn't told the prompt.
    pub expected: Option<ExpectedStart>,
    /// Tokens that the request is expected to take, as far as its size is stated.
    pub(super) tokens: u64,
    pub(super) batch: Option<(u64, CancellationToken)>,
    pub(super) pool: Arc<UpstreamPool>,
}

impl UpstreamPermit {
    /// Token that is cancelled when the batch item is preempted by online requests; never cancelled
    /// for an online request.
    pub fn preempted(&self) -> CancellationToken {
        let token = self.batch.as_ref().map(|(_, token)| token.clone());
        token.unwrap_or_default()
    }

    /// Whether the upstream still accepts requests. It may have left since the permit was issued.
    pub fn is_valid(&self) -> bool {
        self.pool.accepts(&self.upstream, self.started_ms)
    }

    /// Records that the upstream said that it leaves.
    pub fn record_leaving(&self) {
        let report = LeavingUpstream {
            upstream: self.upstream.clone(),
            started_ms: self.started_ms,
        };
        let Some(group) = self.pool.record_leaving(&report) else {
            return;
        };
        let said = Instant::now();
        let mut left = self.pool.recently_left.lock();
        left.push(LeftUpstream {
            group,
            report,
            said,
        });
        drop(left);
        self.pool.changed.notify_one();
    }

    /// Counts the tokens of the request's prompt at the upstream while the permit lives.
    pub fn hold_prompt(&mut self, prompt: &PromptShape) {
        let before = self.tokens;
        self.tokens = expected_tokens(prompt);
        let tokens = self.tokens;
        self.update(|estimate| {
            estimate.own_tokens = (estimate.own_tokens - before).saturating_add(tokens);
        });
    }

    /// Sets what the allocator expects of the request.
    pub fn expect(&mut self, expected: Option<ExpectedStart>) {
        if let Some(expected) = expected {
            self.speed_percent = expected.speed_percent;
        }
        self.expected = expected;
    }

    /// Records that the first event came, after a wait that tells of prefill if there was a free slot.
    pub fn record_first_event(&self) {
        let Some(expected) = self.expected.filter(|_| self.has_free_slot) else {
            return;
        };
        let elapsed_us = self.acquired_at.elapsed().as_micros();
        let first_event_us = u32::try_from(elapsed_us).unwrap_or(u32::MAX);
        count_prediction(expected, first_event_us);
        let mut first_events = self.pool.first_events.lock();
        if first_events.len() < MAX_FIRST_EVENTS {
            first_events.push(FirstEventSample {
                upstream: self.upstream.clone(),
                uncached_tokens: expected.uncached_tokens,
                first_event_us,
            });
        }
    }

    /// Records the load that the upstream reported.
    pub fn record_load(&self, report: LoadReport) {
        let total = report.running.saturating_add(report.waiting);
        let now_ms = steady_ms();
        let mut is_news = false;
        self.update(|estimate| {
            estimate.record_report(total, now_ms);
            if let Some(percent) = report.speed_percent {
                is_news = estimate.speed.is_unusual(now_ms);
                estimate.speed.record(percent, now_ms);
                is_news |= estimate.speed.is_unusual(now_ms);
            }
        });
        if is_news {
            // The allocators are told at once: the figure holds for a fraction of a second.
            self.pool.changed.notify_one();
        }
    }

    /// Records a success, and the service time in milliseconds if it reflects the upstream's speed.
    pub fn record_success(&self, took_ms: Option<f64>) {
        self.update(|estimate| {
            estimate.health.record_success();
            estimate.signs.record_sign(steady_ms());
            if let Some(took_ms) = took_ms {
                let now_ms = steady_ms();
                let start_ms = now_ms.saturating_sub(took_ms as u64);
                let factor = estimate.speed.mean_factor(start_ms, now_ms);
                estimate.record_service_time(took_ms / factor);
            }
        });
    }

    /// Records that whole events arrived.
    pub fn record_events(&self) {
        self.update(|estimate| estimate.signs.record_sign(steady_ms()));
    }

    /// Records a failure that the upstream is responsible for.
    pub fn record_failure(&self) {
        self.update(|estimate| estimate.health.record_failure(steady_ms()));
    }

    /// Records that nothing listens at the upstream's address.
    pub fn record_unreachable(&self) {
        self.update(|estimate| estimate.health.record_unreachable(steady_ms()));
    }

    fn update(&self, change: impl FnOnce(&mut LoadEstimate)) {
        let mut estimates = self.pool.estimates.lock();
        if let Some(estimate) = estimates.get_mut(&self.upstream) {
            change(estimate);
        }
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        let run = self.batch.take();
        self.update(|estimate| {
            estimate.own -= 1;
            estimate.own_batch -= u32::from(run.is_some());
            if estimate.own == 0 {
                estimate.signs.record_idle();
            }
            estimate.own_tokens = estimate.own_tokens.saturating_sub(self.tokens);
        });
        if let Some((number, _)) = run {
            let mut runs = self.pool.batch_runs.lock();
            runs.retain(|run| run.number != number);
        }
        self.pool.changed.notify_one();
    }
}

/// Counts whether the first event came nearer to the expected time with the held prompt than without it,
/// where the difference is large enough to tell.
fn count_prediction(expected: ExpectedStart, first_event_us: u32) {
    if expected.saved_us < MIN_TOLD_SAVING_US {
        return;
    }
    let limit_us = expected
        .first_event_us
        .saturating_add(expected.saved_us / 2);
    let outcome = match first_event_us <= limit_us {
        true => "right",
        false => "wrong",
    };
    metrics::counter!("kept_prompts_total", "outcome" => outcome).increment(1);
}
