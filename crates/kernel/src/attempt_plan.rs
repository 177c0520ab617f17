//! What follows a failed attempt at an opaque request: another upstream, or which answer.
//!
//! The load this answers: upstreams that crash, refuse or lose answers while others have room. A
//! refusal that proves the work did not run may be followed by another upstream whatever the
//! kind; work that may have run is repeated only where its route allows it.

use crate::retry::RetryBudget;

/// Refusals by upstreams after which a request is refused itself: every further one loads
/// upstreams that have no room, and takes a round trip from the caller's next try.
const MAX_REFUSALS: u32 = 2;
/// Time under which another attempt cannot give an answer, in milliseconds.
const MIN_REMAINING_MS: u64 = 20;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureProof {
    /// Provably not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCount {
    /// Those that may have run.
    pub may_have_run: u32,
    /// Those that provably did not.
    pub not_run: u32,
}

impl AttemptCount {
    /// Counts a failed attempt.
    pub fn add(&mut self, proof: FailureProof) {
        match proof {
            FailureProof::NotRun => self.not_run += 1,
            FailureProof::MayHaveRun => self.may_have_run += 1,
        }
    }
}

/// What a request's route allows, and how much time is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptBounds {
    /// Whether work that may have run may be run again.
    pub repeatable: bool,
    /// Most upstreams that may run it.
    pub max_attempts: u32,
    /// Time until its deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptNext {
    /// Another upstream.
    Again,
    /// A refusal: provably not run.
    Refuse,
    /// A failure: it may have run.
    Fail,
    /// The time is up.
    Late,
}

/// Decides what follows a failed attempt that `count` counts already.
pub fn after_failure(
    count: AttemptCount,
    proof: FailureProof,
    bounds: AttemptBounds,
    budget: &mut RetryBudget,
) -> AttemptNext {
    let ran = count.may_have_run > 0;
    let give_up = match ran {
        true => AttemptNext::Fail,
        false => AttemptNext::Refuse,
    };
    if bounds.remaining_ms < MIN_REMAINING_MS {
        return match ran {
            true => AttemptNext::Late,
            false => AttemptNext::Refuse,
        };
    }
    if ran && (!bounds.repeatable || count.may_have_run >= bounds.max_attempts) {
        return give_up;
    }
    if proof == FailureProof::NotRun && count.not_run > MAX_REFUSALS {
        return give_up;
    }
    match budget.take_retry() {
        true => AttemptNext::Again,
        false => give_up,
    }
}
