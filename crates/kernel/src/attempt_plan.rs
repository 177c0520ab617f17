//! Retry policy for requests whose content is opaque: another upstream, or the final error.
//!
//! Upstreams may crash, refuse or lose answers while others have room. A refusal that proves that
//! the work did not run may be followed by another upstream on any route; work that may have run
//! is repeated only where its route allows it.

use crate::retry::RetryBudget;

/// Number of refusals by upstreams that are retried; the next one ends the request. Each further
/// attempt loads upstreams without room and delays the caller's own retry by a round trip.
const MAX_REFUSALS: u32 = 2;
/// Number of upstreams that refused the connection after which the request ends. Trying another costs
/// a round trip and loads no upstream, and a fifth of a group may have crashed at once.
const MAX_UNREACHABLE: u32 = 16;
/// Remaining time below which another attempt can't complete, in milliseconds.
pub(crate) const MIN_REMAINING_MS: u64 = 20;

/// What is known of a failed attempt's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureProof {
    /// The work provably did not run.
    NotRun,
    /// Nothing listens at the upstream's address, so the work did not run.
    Unreachable,
    /// The work may have run.
    MayHaveRun,
}

/// Why an attempt failed, as far as it tells about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// The upstream ended the connection before its answer was complete, as it does in a crash.
    ConnectionLost,
    /// Any other cause.
    Other,
}

/// How much of an answer an attempt had brought when it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing.
    None,
    /// The head, and no complete event of a stream.
    Head,
    /// At least one event of a stream.
    Events,
}

/// Failed attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCount {
    /// Attempts whose work may have run.
    pub may_have_run: u32,
    /// Attempts whose work provably did not run, though the upstream was there.
    pub not_run: u32,
    /// Attempts at upstreams that were not there.
    pub unreachable: u32,
}

impl AttemptCount {
    /// Number of failed attempts.
    pub fn total(&self) -> u32 {
        self.may_have_run + self.not_run + self.unreachable
    }

    /// Counts a failed attempt.
    pub fn add(&mut self, proof: FailureProof) {
        match proof {
            FailureProof::NotRun => self.not_run += 1,
            FailureProof::Unreachable => self.unreachable += 1,
            FailureProof::MayHaveRun => self.may_have_run += 1,
        }
    }
}

/// Limits on further attempts of a request, by its route and deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptBounds {
    /// Whether work that may have run may be repeated.
    pub repeatable: bool,
    /// Maximum number of attempts that may have run.
    pub max_attempts: u32,
    /// Time until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptDecision {
    /// Attempt the request at another upstream.
    Again,
    /// Answer with a refusal: the work provably did not run.
    Refuse,
    /// Answer with a failure: the work may have run.
    Fail,
    /// Answer that the deadline was missed: the work may have run.
    Late,
}

/// Decides what follows a failed attempt, which `count` already includes.
pub fn decide_after_failure(
    count: AttemptCount,
    proof: FailureProof,
    bounds: AttemptBounds,
    budget: &mut RetryBudget,
) -> AttemptDecision {
    let ran = count.may_have_run > 0;
    let give_up = match ran {
        true => AttemptDecision::Fail,
        false => AttemptDecision::Refuse,
    };
    if bounds.remaining_ms < MIN_REMAINING_MS {
        return match ran {
            true => AttemptDecision::Late,
            false => AttemptDecision::Refuse,
        };
    }
    if ran && (!bounds.repeatable || count.may_have_run >= bounds.max_attempts) {
        return give_up;
    }
    if proof == FailureProof::Unreachable {
        return match count.unreachable > MAX_UNREACHABLE {
            true => give_up,
            false => AttemptDecision::Again,
        };
    }
    if proof == FailureProof::NotRun && count.not_run > MAX_REFUSALS {
        return give_up;
    }
    match budget.take_retry() {
        true => AttemptDecision::Again,
        false => give_up,
    }
}
