//! Classifies requests by the objectives of their tier, and counts them per minute.

use amaranth_wire::error::{ErrorKind, RanState};
use amaranth_wire::service_level::{LevelCause, LevelCounts, LevelMinute, LevelObjective};

/// Number of minutes that are kept.
pub const LEVEL_MINUTES: u64 = 360;
/// Length of a minute in milliseconds.
const MINUTE_MS: u64 = 60_000;
/// Lowest HTTP status of a server error.
const FIRST_SERVER_ERROR: u16 = 500;
/// Lowest HTTP status of a client error.
const FIRST_CLIENT_ERROR: u16 = 400;

/// How a request ended, as far as its objectives are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LevelOutcome {
    /// The caller received a complete answer with this HTTP status.
    Answered(u16),
    /// The caller received an error, which states whether the work may have run.
    Failed(ErrorKind, RanState),
    /// The caller disconnected before the end of the answer.
    CallerGone,
}

/// Measurements of one finished request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LevelSample {
    /// How the request ended.
    pub outcome: LevelOutcome,
    /// Time from arrival to the end, in milliseconds.
    pub total_ms: u64,
    /// Time from arrival to the first token, in milliseconds; `None` without tokens.
    pub first_token_ms: Option<u64>,
    /// Longest time between two successive tokens, in milliseconds.
    pub longest_gap_ms: u64,
    /// Whether batch work ran at the same time.
    pub beside_batch: bool,
}

/// Classifies a request; `None` if it says nothing about the service, such as an error of
/// the caller.
pub fn classify(sample: &LevelSample, objective: &LevelObjective) -> Option<LevelCause> {
    let cause = match sample.outcome {
        LevelOutcome::Answered(status) if status >= FIRST_SERVER_ERROR => LevelCause::Error,
        LevelOutcome::Answered(status) if status >= FIRST_CLIENT_ERROR => return None,
        LevelOutcome::Answered(_) => classify_times(sample, objective),
        LevelOutcome::Failed(kind, ran) => classify_failure(kind, ran)?,
        LevelOutcome::CallerGone => match classify_times(sample, objective) {
            LevelCause::Good if sample.first_token_ms.is_none() => return None,
            cause => cause,
        },
    };
    let batch_can_cause = matches!(
        cause,
        LevelCause::Refused | LevelCause::LateFirstToken | LevelCause::SlowGap
    );
    match sample.beside_batch && batch_can_cause {
        true => Some(LevelCause::BatchPressure),
        false => Some(cause),
    }
}

fn classify_times(sample: &LevelSample, objective: &LevelObjective) -> LevelCause {
    // A caller that disconnected before the first token waited for it until then.
    let waited_ms = match (sample.first_token_ms, sample.outcome) {
        (Some(first_token_ms), _) => first_token_ms,
        (None, LevelOutcome::CallerGone) => sample.total_ms,
        (None, _) => 0,
    };
    if waited_ms > objective.first_token.as_millis() {
        return LevelCause::LateFirstToken;
    }
    match sample.longest_gap_ms > objective.token_gap.as_millis() {
        true => LevelCause::SlowGap,
        false => LevelCause::Good,
    }
}

fn classify_failure(kind: ErrorKind, ran: RanState) -> Option<LevelCause> {
    use ErrorKind::*;
    match kind {
        Overloaded | DeadlineExceeded | NoUpstream | LogUnavailable | NotReady => {
            Some(LevelCause::Refused)
        }
        DeadlineMissed | UpstreamFailed | OutcomeUnknown | Internal => match ran {
            RanState::No => Some(LevelCause::Refused),
            RanState::Unknown => Some(LevelCause::Error),
        },
        InvalidRequest | InvalidItems | BodyTooLarge | BodyTimeout | UnknownTarget | NotFound
        | MethodNotAllowed | Unauthorized | Forbidden | KeyConflict | InProgress | Conflict
        | Cancelled | UpstreamRejected => None,
    }
}

/// Ring buffer of the request counts of the last [`LEVEL_MINUTES`] minutes.
#[derive(Debug, Clone)]
pub struct LevelRing {
    slots: Vec<LevelMinute>,
}

impl Default for LevelRing {
    fn default() -> Self {
        Self::new()
    }
}

impl LevelRing {
    /// Creates a ring with no requests.
    pub fn new() -> Self {
        let empty = LevelMinute {
            minute: 0,
            counts: LevelCounts::default(),
        };
        Self {
            slots: vec![empty; LEVEL_MINUTES as usize],
        }
    }

    /// Counts a request that ended at `now_ms`. Ignored if the ring has moved on to a later minute
    /// in the same slot.
    pub fn record(&mut self, now_ms: u64, cause: LevelCause) {
        let minute = now_ms / MINUTE_MS;
        let slot = &mut self.slots[(minute % LEVEL_MINUTES) as usize];
        if minute < slot.minute {
            return;
        }
        if minute > slot.minute {
            *slot = LevelMinute {
                minute,
                counts: LevelCounts::default(),
            };
        }
        slot.counts.add(cause, 1);
    }

    /// The minutes with requests among the last [`LEVEL_MINUTES`] at `now_ms`, oldest first.
    pub fn minutes(&self, now_ms: u64) -> Vec<LevelMinute> {
        let now = now_ms / MINUTE_MS;
        let recent =
            |slot: &&LevelMinute| slot.counts.total() > 0 && slot.minute + LEVEL_MINUTES > now;
        let mut minutes: Vec<_> = self.slots.iter().filter(recent).copied().collect();
        minutes.sort_by_key(|slot| slot.minute);
        minutes
    }
}
