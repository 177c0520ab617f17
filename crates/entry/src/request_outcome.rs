//! Records the outcome and the times of every online request, in a log line and in metrics.

use amaranth_kernel::service_level::{LevelOutcome, LevelSample};
use amaranth_net::telemetry::quote;
use amaranth_wire::error::{ErrorKind, RanState};

use crate::accept::OnlineRequest;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The caller got the upstream's complete answer, with this status.
    Answered(u16),
    /// The caller got an error.
    Failed(ErrorKind, RanState),
    /// The caller disconnected first.
    CallerGone,
}

/// Times and counts of one request.
#[derive(Debug, Clone, Default)]
pub struct RequestTimes {
    /// From arrival to the first token at the caller, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Longest time between two tokens, in milliseconds.
    pub longest_gap_ms: u64,
    /// Tokens that were sent to the caller.
    pub tokens: u32,
    /// Attempts, not counting resumed streams.
    pub attempts: u32,
    /// Whether batch work ran at the tier's upstreams when the request arrived, or at its upstream
    /// when it was sent there.
    pub beside_batch: bool,
    /// Resumed streams.
    pub resumes: u32,
    last_token_ms: u64,
}

impl RequestTimes {
    /// Records a token that is sent to the caller.
    pub fn record_token(&mut self, arrived_ms: u64, now_ms: u64) {
        self.tokens += 1;
        match self.first_token_ms {
            None => self.first_token_ms = Some(now_ms.saturating_sub(arrived_ms)),
            Some(_) => {
                let gap = now_ms.saturating_sub(self.last_token_ms);
                self.longest_gap_ms = self.longest_gap_ms.max(gap);
            }
        }
        self.last_token_ms = now_ms;
    }
}

/// Builds the sample that is compared with the tier's objectives.
pub fn level_sample(
    request: &OnlineRequest,
    end: RequestEnd,
    times: &RequestTimes,
    now_ms: u64,
) -> LevelSample {
    LevelSample {
        outcome: match end {
            RequestEnd::Answered(status) => LevelOutcome::Answered(status),
            RequestEnd::Failed(kind, ran) => LevelOutcome::Failed(kind, ran),
            RequestEnd::CallerGone => LevelOutcome::CallerGone,
        },
        total_ms: now_ms.saturating_sub(request.arrived_ms),
        first_token_ms: times.first_token_ms,
        longest_gap_ms: times.longest_gap_ms,
        beside_batch: times.beside_batch,
    }
}

/// Writes the log line and updates the metrics for a request that ended.
pub fn record_outcome(request: &OnlineRequest, end: RequestEnd, times: &RequestTimes, now_ms: u64) {
    let (outcome, ran) = match end {
        RequestEnd::Answered(status) => (status.to_string(), "yes"),
        RequestEnd::Failed(kind, RanState::No) => (kind.to_string(), "no"),
        RequestEnd::Failed(kind, RanState::Unknown) => (kind.to_string(), "unknown"),
        RequestEnd::CallerGone => ("caller_gone".to_owned(), "unknown"),
    };
    let tier = request.tier.name.to_string();
    let total_ms = now_ms.saturating_sub(request.arrived_ms);
    log::debug!(
        "event=request_ended tier={tier} outcome={} ran={ran} total_ms={total_ms} \
         first_token_ms={} longest_gap_ms={} tokens={} attempts={} resumes={}",
        quote(&outcome),
        times.first_token_ms.unwrap_or(0),
        times.longest_gap_ms,
        times.tokens,
        times.attempts,
        times.resumes,
    );
    let labels = [("tier", tier.clone()), ("outcome", outcome)];
    metrics::counter!("amaranth_requests_total", &labels).increment(1);
    let retries = u64::from(times.attempts.saturating_sub(1));
    metrics::counter!("amaranth_request_retries_total", "tier" => tier.clone()).increment(retries);
    metrics::counter!("amaranth_stream_resumes_total", "tier" => tier.clone())
        .increment(u64::from(times.resumes));
    metrics::histogram!("amaranth_request_ms", "tier" => tier.clone()).record(total_ms as f64);
    if let Some(first_token_ms) = times.first_token_ms {
        metrics::histogram!("amaranth_first_token_ms", "tier" => tier)
            .record(first_token_ms as f64);
    }
}
