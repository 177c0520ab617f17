//! Judges requests by the objectives of their tier, and counts them by minute.

use amaranth_wire::error::ErrorKind;
use amaranth_wire::service_level::{LevelCause, LevelCounts, LevelMinute, LevelObjective};

/// Minutes that are counted; older ones are forgotten.
pub const LEVEL_MINUTES: u64 = 360;
/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;
/// Lowest status that is a fault of the serving side.
const FIRST_SERVER_FAULT: u16 = 500;
/// Lowest status that is an error.
const FIRST_ERROR: u16 = 400;

/// How a request ended, as far as its objectives go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LevelEnd {
    /// The caller got a whole answer with this status.
    Answered(u16),
    /// The caller got an error.
    Failed(ErrorKind),
    /// The caller left first.
    CallerGone,
}

/// What is known of a request at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LevelSample {
    /// How it ended.
    pub end: LevelEnd,
    /// From arrival to the end, in milliseconds.
    pub total_ms: u64,
    /// From arrival to the first token, in milliseconds; `None` without tokens.
    pub first_token_ms: Option<u64>,
    /// Longest time between two tokens, in milliseconds.
    pub longest_gap_ms: u64,
    /// Whether batch work ran beside it.
    pub beside_batch: bool,
}

/// Judges a request; `None` if it says nothing of the service, such as a fault of the caller.
pub fn judge(sample: &LevelSample, objective: &LevelObjective) -> Option<LevelCause> {
    let cause = match sample.end {
        LevelEnd::Answered(status) if status >= FIRST_SERVER_FAULT => LevelCause::Error,
        LevelEnd::Answered(status) if status >= FIRST_ERROR => return None,
        LevelEnd::Answered(_) => judge_times(sample, objective),
        LevelEnd::Failed(kind) => judge_failure(kind)?,
        LevelEnd::CallerGone => match judge_times(sample, objective) {
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

fn judge_times(sample: &LevelSample, objective: &LevelObjective) -> LevelCause {
    // A caller that left before the first token waited for it until then.
    let waited_ms = match (sample.first_token_ms, sample.end) {
        (Some(first_token_ms), _) => first_token_ms,
        (None, LevelEnd::CallerGone) => sample.total_ms,
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

fn judge_failure(kind: ErrorKind) -> Option<LevelCause> {
    use ErrorKind::*;
    match kind {
        Overloaded | DeadlineExceeded | NoUpstream | LogUnavailable | NotReady => {
            Some(LevelCause::Refused)
        }
        DeadlineMissed | UpstreamFailed | OutcomeUnknown | Internal => Some(LevelCause::Error),
        InvalidRequest | InvalidItems | BodyTooLarge | BodyTimeout | UnknownTarget | NotFound
        | MethodNotAllowed | Unauthorized | Forbidden | KeyConflict | InProgress | Conflict
        | Cancelled | UpstreamRejected => None,
    }
}

/// Requests of the last minutes, in a ring of fixed size.
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
    /// A ring without requests.
    pub fn new() -> Self {
        let empty = LevelMinute {
            minute: 0,
            counts: LevelCounts::default(),
        };
        Self {
            slots: vec![empty; LEVEL_MINUTES as usize],
        }
    }

    /// Counts a request that ended at this time. A request older than the ring is left out.
    pub fn note(&mut self, now_ms: u64, cause: LevelCause) {
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

    /// The minutes with requests that are not too old at this time, oldest first.
    pub fn minutes(&self, now_ms: u64) -> Vec<LevelMinute> {
        let now = now_ms / MINUTE_MS;
        let recent =
            |slot: &&LevelMinute| slot.counts.total() > 0 && slot.minute + LEVEL_MINUTES > now;
        let mut minutes: Vec<_> = self.slots.iter().filter(recent).copied().collect();
        minutes.sort_by_key(|slot| slot.minute);
        minutes
    }
}
