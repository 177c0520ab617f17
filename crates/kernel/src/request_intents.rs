//! Intents of at-most-once calls, folded from the log.
//!
//! The first intent of a key in offset order owns the call: only its attempt may send the call, and
//! only after reading the intent back. The outcome of an intent without an ending is unknown: the
//! call is not sent again unless its attempt records that it was never sent. An answer that any
//! attempt saw also settles it.

use std::collections::{HashMap, VecDeque};

use amaranth_wire::id::{LogOffset, RequestId};
use amaranth_wire::record::{CallEnding, LogRecord};
use serde::{Deserialize, Serialize};

/// Retention of a key after its intent, in milliseconds of the log's clock.
pub const INTENT_RETENTION_MS: u64 = 24 * 3_600_000;
/// Maximum total size of kept answer bodies in bytes; the oldest are dropped first.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Intent to send one call, and its ending once known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallIntent {
    /// SHA-256 of the call, hexadecimal.
    pub digest: String,
    /// The only attempt that may send the call.
    pub attempt: u64,
    /// Log offset of the intent.
    pub offset: LogOffset,
    /// When the log accepted the intent, in Unix milliseconds by the log's clock.
    pub time_ms: u64,
    /// When the call can no longer be running, by the log's clock.
    pub until_ms: u64,
    /// How the call ended; `None` while unknown.
    pub ending: Option<CallEnding>,
}

/// What an attempt at a call with a key has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IntentStep {
    /// No attempt owns the key: append an intent.
    AppendIntent,
    /// This attempt owns the key and may send the call.
    Send,
    /// The key was used for a call with another digest.
    Conflict,
    /// The call has ended.
    Ended(CallEnding),
    /// Another attempt owns the key and may still be running the call.
    Running,
    /// Another attempt owns the key, its time is up, and it recorded no ending.
    Unknown,
}

/// Intents within the retention time, by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentTable {
    calls: HashMap<RequestId, CallIntent>,
    order: VecDeque<(u64, RequestId)>,
    bodies: VecDeque<(RequestId, usize)>,
    body_bytes: usize,
}

impl IntentTable {
    /// Creates a table with no intents.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one log record; kinds other than call intents and endings are ignored.
    pub fn apply(&mut self, offset: LogOffset, time_ms: u64, record: &LogRecord) {
        self.drop_expired(time_ms);
        match record {
            LogRecord::CallIntended {
                request,
                digest,
                attempt,
                limit_ms,
            } => {
                let intent = CallIntent {
                    digest: digest.clone(),
                    attempt: *attempt,
                    offset,
                    time_ms,
                    until_ms: time_ms.saturating_add(*limit_ms),
                    ending: None,
                };
                self.add_intent(request, intent);
            }
            LogRecord::CallEnded {
                request,
                attempt,
                ending,
            } => self.record_ending(request, *attempt, ending),
            _ => {}
        }
    }

    /// The intent of a call, if it is retained.
    pub fn get(&self, request: &RequestId) -> Option<&CallIntent> {
        self.calls.get(request)
    }

    /// Decides what an attempt at a call has to do next.
    pub fn next_step(
        &self,
        request: &RequestId,
        digest: &str,
        attempt: u64,
        log_now_ms: u64,
    ) -> IntentStep {
        let Some(intent) = self.calls.get(request) else {
            return IntentStep::AppendIntent;
        };
        match &intent.ending {
            Some(CallEnding::NotSent) => IntentStep::AppendIntent,
            _ if intent.digest != digest => IntentStep::Conflict,
            Some(ending) => IntentStep::Ended(ending.clone()),
            None if intent.attempt == attempt => IntentStep::Send,
            None if log_now_ms < intent.until_ms => IntentStep::Running,
            None => IntentStep::Unknown,
        }
    }

    fn add_intent(&mut self, request: &RequestId, intent: CallIntent) {
        let known = self.calls.get(request);
        let free = known.is_none_or(|known| known.ending == Some(CallEnding::NotSent));
        if free {
            self.order.push_back((intent.time_ms, request.clone()));
            self.calls.insert(request.clone(), intent);
        }
    }

    fn record_ending(&mut self, request: &RequestId, attempt: u64, ending: &CallEnding) {
        let Some(intent) = self.calls.get_mut(request) else {
            return;
        };
        // Any attempt may record an answer that it saw; only the owner knows that it sent nothing.
        let by_owner = intent.attempt == attempt;
        let allowed = by_owner || *ending != CallEnding::NotSent;
        if intent.ending.is_some() || !allowed {
            return;
        }
        intent.ending = Some(ending.clone());
        if let CallEnding::Answered(answer) = ending {
            self.body_bytes += answer.body.len();
            self.bodies.push_back((request.clone(), answer.body.len()));
        }
        self.drop_bodies();
    }

    fn drop_bodies(&mut self) {
        while self.body_bytes > MAX_BODY_BYTES {
            let Some((request, bytes)) = self.bodies.pop_front() else {
                return;
            };
            self.body_bytes -= bytes;
            if let Some(intent) = self.calls.get_mut(&request) {
                intent.ending = Some(CallEnding::AnswerNotKept);
            }
        }
    }

    fn drop_expired(&mut self, now_ms: u64) {
        while let Some((time_ms, request)) = self.order.front() {
            if time_ms + INTENT_RETENTION_MS > now_ms {
                return;
            }
            // A key with a newer intent has a later entry in `order`.
            let expired = self.calls.get(request).map(|call| call.time_ms) == Some(*time_ms);
            if expired {
                self.calls.remove(request);
            }
            self.order.pop_front();
        }
    }
}
