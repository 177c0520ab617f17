//! What to do after an attempt failed: resume, try another upstream, or give up.

use amaranth_wire::error::{ErrorKind, RanState};
use rand::RngExt;

use crate::routing::DecisionRng;

/// Tokens of the budget that one request adds.
const BUDGET_PER_REQUEST: u32 = 1;
/// Tokens of the budget that one retry costs: a tenth of the requests may be retried.
const BUDGET_PER_RETRY: u32 = 10;
/// Most tokens that a budget holds.
const BUDGET_MAX: u32 = 200;
/// Tokens that a fresh budget holds, so that the first failures after a start can be retried.
const BUDGET_START: u32 = 100;
/// Most attempts of one request, resumed streams not counted.
pub const MAX_ATTEMPTS: u32 = 4;
/// Most resumes in a row that bring no token.
const MAX_FRUITLESS_RESUMES: u32 = 1;
/// Upper bound of the wait before the first retry, in milliseconds; doubles with each.
const BACKOFF_BASE_MS: u64 = 25;
/// Upper bound of any wait before a retry, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_000;

/// Allows retries for a tenth of the requests.
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
    /// A budget for the first failures after a start.
    pub const fn new() -> Self {
        Self {
            tokens: BUDGET_START,
        }
    }

    /// Notes a new request.
    pub fn add_request(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_REQUEST).min(BUDGET_MAX);
    }

    /// Takes what one retry costs. False if it is not there.
    pub fn take_retry(&mut self) -> bool {
        let rest = self.tokens.checked_sub(BUDGET_PER_RETRY);
        self.tokens = rest.unwrap_or(self.tokens);
        rest.is_some()
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Provably nothing was run: no connection, or a refusal that says so.
    NotRun,
    /// The connection broke, went silent or the upstream failed. The work may have run.
    Broken,
    /// The upstream does not know the stream that was to be resumed.
    StreamUnknown,
    /// The upstream's stream can't be the answer that the caller has in part.
    WrongStream,
}

/// How far a request has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestProgress {
    /// Whether the work may be run more than once.
    pub repeatable: bool,
    /// When the answer has to be whole, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the caller still waits.
    pub caller_present: bool,
    /// Attempts so far, resumes not counted.
    pub attempts: u32,
    /// Resumes since the last token.
    pub fruitless_resumes: u32,
    /// Whether the current upstream runs a stream by name that can be resumed.
    pub resumable: bool,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
}

impl RequestProgress {
    /// A request that was not attempted yet.
    pub fn new(repeatable: bool, deadline_ms: u64) -> Self {
        Self {
            repeatable,
            deadline_ms,
            caller_present: true,
            attempts: 0,
            fruitless_resumes: 0,
            resumable: false,
            may_have_run: false,
        }
    }

    /// What may be claimed about the work.
    pub fn ran(&self) -> RanState {
        match self.may_have_run {
            true => RanState::Unknown,
            false => RanState::No,
        }
    }
}

/// What to do next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Ask the same upstream for the stream from the last token on.
    Resume,
    /// Try another upstream.
    Retry {
        /// Wait before it, in milliseconds.
        delay_ms: u64,
    },
    /// Answer with an error.
    GiveUp(ErrorKind, RanState),
    /// Nobody waits for an answer.
    Abandon,
}

/// Whether a request may be attempted for the first time.
pub fn first_step(progress: &RequestProgress, now_ms: u64) -> NextStep {
    if !progress.caller_present {
        return NextStep::Abandon;
    }
    if now_ms >= progress.deadline_ms {
        return NextStep::GiveUp(ErrorKind::DeadlineExceeded, RanState::No);
    }
    NextStep::Retry { delay_ms: 0 }
}

/// Decides what follows a failed attempt. `progress` counts that attempt and what it may have run.
pub fn next_step(
    progress: &RequestProgress,
    failure: AttemptFailure,
    now_ms: u64,
    budget: &mut RetryBudget,
    rng: DecisionRng<'_>,
) -> NextStep {
    if !progress.caller_present {
        return NextStep::Abandon;
    }
    if now_ms >= progress.deadline_ms {
        return late(progress);
    }
    if can_resume(progress, failure) {
        return NextStep::Resume;
    }
    if progress.may_have_run && !progress.repeatable {
        return NextStep::GiveUp(ErrorKind::UpstreamFailed, RanState::Unknown);
    }
    if progress.attempts >= MAX_ATTEMPTS {
        return NextStep::GiveUp(ErrorKind::UpstreamFailed, progress.ran());
    }
    let delay_ms = backoff_ms(progress.attempts, rng);
    if now_ms + delay_ms >= progress.deadline_ms {
        return late(progress);
    }
    match budget.take_retry() {
        true => NextStep::Retry { delay_ms },
        false => NextStep::GiveUp(ErrorKind::UpstreamFailed, progress.ran()),
    }
}

fn can_resume(progress: &RequestProgress, failure: AttemptFailure) -> bool {
    let lost_connection = matches!(failure, AttemptFailure::Broken | AttemptFailure::NotRun);
    lost_connection && progress.resumable && progress.fruitless_resumes < MAX_FRUITLESS_RESUMES
}

fn late(progress: &RequestProgress) -> NextStep {
    let kind = match progress.may_have_run {
        true => ErrorKind::DeadlineMissed,
        false => ErrorKind::DeadlineExceeded,
    };
    NextStep::GiveUp(kind, progress.ran())
}

/// Wait before the retry after so many attempts: anything up to a bound that doubles.
pub fn backoff_ms(attempts: u32, rng: DecisionRng<'_>) -> u64 {
    let doublings = attempts.saturating_sub(1).min(10);
    let bound = (BACKOFF_BASE_MS << doublings).min(BACKOFF_MAX_MS);
    rng.random_range(0..=bound)
}
