//! Decides whether a request whose upstream is silent is given to another upstream.
//!
//! A sound upstream may pause for a second and go on. Its request is left only for another upstream
//! that has room for it; without one, the request waits until its own deadline.

use crate::attempt_plan::{AttemptBounds, AttemptCount, FailureProof, MIN_REMAINING_MS};
use crate::retry::RetryBudget;
use crate::upstream_signs::SignAges;

/// Lead by which an upstream must have been heard from later than another one, in milliseconds: a
/// common pause begins between two events, so last signs differ by up to a gap (250 ms is the largest
/// `gapTargetMs` of the routes on which hand-overs are tested).
const SIGN_LEAD_MS: u64 = 250;
/// Time after the end of a pause in which the others are expected to go on, too, in milliseconds: the
/// period at which the serving core decides again.
const RESUME_SPREAD_MS: u64 = 200;
/// Silence after which a request without an answer is moved without a sign of the other upstream, in
/// milliseconds: pauses of sound upstreams last up to 1.5 s, and callers wait 2 s for an event.
const UNANSWERED_MOVE_MS: u64 = 1_600;
/// The same for a request whose answer has begun, in milliseconds: only its end may be missing, which
/// no other upstream can send. Callers have left a stream that is silent for longer than 2 s.
const ANSWERED_MOVE_MS: u64 = 2_100;

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

/// An attempt whose upstream is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentAttempt {
    /// Time since the request was sent or its last event was received, in milliseconds.
    pub silent_ms: u64,
    /// Whether the upstream has sent a part of the answer.
    pub has_begun: bool,
    /// What any request heard from the upstream.
    pub signs: SignAges,
}

/// Upstream that keeps a request which two silent ones work on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKeeper {
    /// The one that has had the request for longer.
    First,
    /// The one that was asked last.
    Second,
}

/// Decides which of two upstreams keeps a request after both were silent together. The second one does
/// if it goes on with other requests while the first one doesn't. Without such a sign both may pause for
/// the same reason, and the first one is ahead by the work done so far.
pub fn choose_keeper(first: &SilentAttempt, second: &SignAges) -> RequestKeeper {
    match goes_on_alone(first, second) {
        true => RequestKeeper::Second,
        false => RequestKeeper::First,
    }
}

/// Whether a request that its first upstream kept is now moved to one that has run it before. That one
/// goes on while the first one doesn't, or the silence is longer than a sound upstream's and the other
/// one isn't known to be silent as well.
pub fn may_return(first: &SilentAttempt, second: &SignAges) -> bool {
    let move_ms = match first.has_begun {
        true => ANSWERED_MOVE_MS,
        false => UNANSWERED_MOVE_MS,
    };
    goes_on_alone(first, second) || (first.silent_ms >= move_ms && !shares_silence(first, second))
}

/// Whether another upstream with requests in flight has been silent for at least half as long as the
/// request. Pauses often have a common cause; a sound upstream that is slow is silent for less.
pub fn shares_silence(first: &SilentAttempt, second: &SignAges) -> bool {
    let second_ms = second.silent_ms.unwrap_or(0);
    second_ms * 2 >= first.silent_ms
}

/// Whether the second upstream was heard from since the first one fell silent, and not only now at the
/// end of a pause that the first one is likely to end as well.
pub fn goes_on_alone(first: &SilentAttempt, second: &SignAges) -> bool {
    let first_ms = first.upstream_silent_ms();
    let is_heard = second
        .heard_ms
        .is_some_and(|heard_ms| heard_ms + SIGN_LEAD_MS < first_ms);
    let resumes = second
        .resumed_ms
        .is_some_and(|resumed_ms| resumed_ms < RESUME_SPREAD_MS);
    is_heard && !resumes
}

impl SilentAttempt {
    /// Time since any request heard from the upstream, in milliseconds.
    fn upstream_silent_ms(&self) -> u64 {
        let silent_ms = self.signs.silent_ms.unwrap_or(self.silent_ms);
        silent_ms.min(self.silent_ms)
    }
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
