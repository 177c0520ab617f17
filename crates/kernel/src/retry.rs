//! Retry policy: whether a failed attempt is resumed, retried on another upstream or given up, with
//! a retry budget and backoff with full jitter.

use amaranth_wire::error::{ErrorKind, RanState};
use rand::RngExt;

use crate::routing::DecisionRng;

/// Budget tokens that one request adds.
const BUDGET_PER_REQUEST: u32 = 1;
/// Budget tokens that one retry costs, so that a tenth of the requests may be retried.
const BUDGET_PER_RETRY: u32 = 10;
/// Capacity of a budget in tokens.
const BUDGET_MAX: u32 = 200;
/// Initial tokens of a budget, so that the first failures after a start can be retried.
const BUDGET_START: u32 = 100;
/// Maximum number of attempts of one request, not counting resumed streams.
pub const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of consecutive resumes without a new token.
const MAX_RESUMES_WITHOUT_TOKEN: u32 = 1;
/// Upper bound of the backoff before the first retry, in milliseconds; it doubles per attempt.
const BACKOFF_BASE_MS: u64 = 25;
/// Upper bound of the backoff before any retry, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_000;

/// Token bucket that limits retries to a tenth of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget with tokens for the first failures after a start.
    pub const fn new() -> Self {
        Self {
            tokens: BUDGET_START,
        }
    }

    /// Adds the tokens of a new request.
    pub fn add_request(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_REQUEST).min(BUDGET_MAX);
    }

    /// Whether enough tokens are left for a retry.
    pub fn has_retry(&self) -> bool {
        self.tokens >= BUDGET_PER_RETRY
    }

    /// Takes the tokens of one retry. False, and nothing taken, if too few are left.
    pub fn take_retry(&mut self) -> bool {
        let remaining = self.tokens.checked_sub(BUDGET_PER_RETRY);
        self.tokens = remaining.unwrap_or(self.tokens);
        remaining.is_some()
    }

    /// Gives back the tokens of a retry that wasn't run.
    pub fn return_retry(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_RETRY).min(BUDGET_MAX);
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The work provably did not run: no connection, or a refusal that says so.
    NotRun,
    /// The connection broke or went silent, or the upstream failed. The work may have run.
    Broken,
    /// The upstream does not know the stream to resume.
    StreamUnknown,
    /// The upstream's stream does not continue the answer that the caller has received so far.
    WrongStream,
}

/// State of a request that retry decisions depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestProgress {
    /// Whether the work may be run more than once.
    pub repeatable: bool,
    /// When the answer has to be complete, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the caller is still connected.
    pub caller_connected: bool,
    /// Attempts so far, not counting resumes.
    pub attempts: u32,
    /// Resumes since the last received token.
    pub resumes_without_token: u32,
    /// Whether the current upstream has a stream that can be resumed by its id.
    pub resumable: bool,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
}

impl RequestProgress {
    /// State of a request before its first attempt.
    pub fn new(repeatable: bool, deadline_ms: u64) -> Self {
        Self {
            repeatable,
            deadline_ms,
            caller_connected: true,
            attempts: 0,
            resumes_without_token: 0,
            resumable: false,
            may_have_run: false,
        }
    }

    /// What an error may claim about whether the work ran.
    pub fn ran(&self) -> RanState {
        match self.may_have_run {
            true => RanState::Unknown,
            false => RanState::No,
        }
    }
}

/// Decision about a request's next attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Resume the stream at the same upstream after the last token.
    Resume {
        /// Backoff before the call, in milliseconds.
        delay_ms: u64,
    },
    /// Attempt the request at another upstream.
    Retry {
        /// Backoff before the attempt, in milliseconds.
        delay_ms: u64,
    },
    /// Answer the caller with an error.
    GiveUp(ErrorKind, RanState),
    /// Stop without an answer: the caller has disconnected.
    Abandon,
}

/// Decides whether a request may be attempted for the first time.
pub fn first_step(progress: &RequestProgress, now_ms: u64) -> NextStep {
    if !progress.caller_connected {
        return NextStep::Abandon;
    }
    if now_ms >= progress.deadline_ms {
        return NextStep::GiveUp(ErrorKind::DeadlineExceeded, RanState::No);
    }
    NextStep::Retry { delay_ms: 0 }
}

/// Decides what follows a failed attempt, which `progress` already includes.
pub fn next_step(
    progress: &RequestProgress,
    failure: AttemptFailure,
    now_ms: u64,
    budget: &mut RetryBudget,
    rng: DecisionRng<'_>,
) -> NextStep {
    if !progress.caller_connected {
        return NextStep::Abandon;
    }
    if now_ms >= progress.deadline_ms {
        return deadline_error(progress);
    }
    if can_resume(progress, failure) {
        return NextStep::Resume { delay_ms: 0 };
    }
    if progress.may_have_run && !progress.repeatable {
        return NextStep::GiveUp(ErrorKind::UpstreamFailed, RanState::Unknown);
    }
    let delay_ms = backoff_ms(progress.attempts, rng);
    if now_ms + delay_ms >= progress.deadline_ms {
        return deadline_error(progress);
    }
    if progress.attempts < MAX_ATTEMPTS && budget.take_retry() {
        return NextStep::Retry { delay_ms };
    }
    // A silent upstream may go on; without another one it is the only one that can.
    match progress.resumable && failure == AttemptFailure::Broken {
        true => NextStep::Resume {
            delay_ms: delay_ms
                .max(BACKOFF_BASE_MS)
                .min(progress.deadline_ms - now_ms - 1),
        },
        false => NextStep::GiveUp(ErrorKind::UpstreamFailed, progress.ran()),
    }
}

fn can_resume(progress: &RequestProgress, failure: AttemptFailure) -> bool {
    let attempt_interrupted = matches!(failure, AttemptFailure::Broken | AttemptFailure::NotRun);
    attempt_interrupted
        && progress.resumable
        && progress.resumes_without_token < MAX_RESUMES_WITHOUT_TOKEN
}

fn deadline_error(progress: &RequestProgress) -> NextStep {
    let kind = match progress.may_have_run {
        true => ErrorKind::DeadlineMissed,
        false => ErrorKind::DeadlineExceeded,
    };
    NextStep::GiveUp(kind, progress.ran())
}

/// Backoff before the retry after `attempts` attempts: random up to a bound that doubles.
pub fn backoff_ms(attempts: u32, rng: DecisionRng<'_>) -> u64 {
    let doublings = attempts.saturating_sub(1).min(10);
    let bound = (BACKOFF_BASE_MS << doublings).min(BACKOFF_MAX_MS);
    rng.random_range(0..=bound)
}
