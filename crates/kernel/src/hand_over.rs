//! Decides whether a request whose upstream is silent is given to another upstream.
//!
//! A sound upstream may pause for a second and go on. Its request is left only for another upstream
//! that has room for it; without one, the request waits until its own deadline.

use crate::attempt_plan::{AttemptBounds, AttemptCount, FailureProof, MIN_REMAINING_MS};
use crate::retry::RetryBudget;

/// A request whose upstream has been silent for longer than expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentRequest {
    /// Time since the request was sent or its last event was received, in milliseconds.
    pub silent_ms: u64,
    /// Failed attempts; the silent one is not among them.
    pub count: AttemptCount,
    /// Limits on further attempts.
    pub bounds: AttemptBounds,
}

/// What follows a silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceStep {
    /// Ask for a place at another upstream.
    FindSuccessor {
        /// Longest expected wait at the other upstream, in milliseconds.
        max_wait_ms: u64,
    },
    /// Wait for the silent upstream: no other attempt is allowed.
    Wait,
}

/// Decides whether another upstream is looked for. The silence so far is the best estimate of how
/// long it goes on, so a place with a longer wait is not worth the work done so far. A place in a queue
/// counts as a retry; one without a wait delays no other online request.
pub fn after_silence(request: &SilentRequest, budget: &RetryBudget) -> SilenceStep {
    let SilentRequest {
        silent_ms,
        mut count,
        bounds,
    } = *request;
    count.add(FailureProof::MayHaveRun);
    let is_allowed = bounds.repeatable && count.may_have_run < bounds.max_attempts;
    match is_allowed && bounds.remaining_ms >= MIN_REMAINING_MS {
        true => SilenceStep::FindSuccessor {
            max_wait_ms: match budget.has_retry() {
                true => silent_ms.min(bounds.remaining_ms),
                false => 0,
            },
        },
        false => SilenceStep::Wait,
    }
}

/// Whether a place that was found with this longest wait may be taken. It is asked for only if it may:
/// a place that is given back may have cost a batch item its own.
pub fn may_take_place(has_free_slot: bool, max_wait_ms: u64, budget: &mut RetryBudget) -> bool {
    has_free_slot || max_wait_ms == 0 || budget.take_retry()
}
