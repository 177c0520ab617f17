//! Calls that may run at most once, folded from the log.
//!
//! The first intent of a key in offset order holds the call; only its attempt may send it, and
//! only after it has read the intent back. An intent without an ending is unknown: the call is
//! never sent again, until its attempt says that it was never sent or evidence shows its answer.

use std::collections::{HashMap, VecDeque};

use amaranth_wire::id::{LogOffset, RequestId};
use amaranth_wire::record::{CallEnding, LogRecord};
use serde::{Deserialize, Serialize};

/// How long a key is remembered after its intent, in milliseconds of the log's clock.
pub const INTENT_KEPT_MS: u64 = 24 * 3_600_000;
/// Bodies of answers that are kept, in bytes; the oldest go first.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// What is known of one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallIntent {
    /// SHA-256 of the call, hexadecimal.
    pub digest: String,
    /// The one attempt that may send it.
    pub attempt: u64,
    /// Where the intent stands.
    pub offset: LogOffset,
    /// When the log took it, Unix milliseconds by the log's clock.
    pub time_ms: u64,
    /// When the call can no longer run, by the log's clock.
    pub until_ms: u64,
    /// How it ended; `None` while that is not known.
    pub ending: Option<CallEnding>,
}

/// What a call with a key meets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IntentStep {
    /// Nobody holds the key: announce the call.
    Announce,
    /// This attempt holds it and may send it.
    Send,
    /// The key was used for another call.
    Conflict,
    /// The call ended so.
    Ended(CallEnding),
    /// Another attempt holds it, and has time left to run it.
    Running,
    /// Another attempt held it and has not told how it ended.
    Unknown,
}

/// All remembered calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentTable {
    calls: HashMap<RequestId, CallIntent>,
    order: VecDeque<(u64, RequestId)>,
    bodies: VecDeque<(RequestId, usize)>,
    body_bytes: usize,
}

impl IntentTable {
    /// No calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one record; records of other kinds are ignored.
    pub fn apply(&mut self, offset: LogOffset, time_ms: u64, record: &LogRecord) {
        self.forget(time_ms);
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
                self.intend(request, intent);
            }
            LogRecord::CallEnded {
                request,
                attempt,
                ending,
            } => self.end(request, *attempt, ending),
            _ => {}
        }
    }

    /// What is known of a call.
    pub fn get(&self, request: &RequestId) -> Option<&CallIntent> {
        self.calls.get(request)
    }

    /// What a call with a key has to do next, as one attempt sees it.
    pub fn step(
        &self,
        request: &RequestId,
        digest: &str,
        attempt: u64,
        log_now_ms: u64,
    ) -> IntentStep {
        let Some(intent) = self.calls.get(request) else {
            return IntentStep::Announce;
        };
        match &intent.ending {
            Some(CallEnding::NotSent) => IntentStep::Announce,
            _ if intent.digest != digest => IntentStep::Conflict,
            Some(ending) => IntentStep::Ended(ending.clone()),
            None if intent.attempt == attempt => IntentStep::Send,
            None if log_now_ms < intent.until_ms => IntentStep::Running,
            None => IntentStep::Unknown,
        }
    }

    fn intend(&mut self, request: &RequestId, intent: CallIntent) {
        let known = self.calls.get(request);
        let free = known.is_none_or(|known| known.ending == Some(CallEnding::NotSent));
        if free {
            self.order.push_back((intent.time_ms, request.clone()));
            self.calls.insert(request.clone(), intent);
        }
    }

    fn end(&mut self, request: &RequestId, attempt: u64, ending: &CallEnding) {
        let Some(intent) = self.calls.get_mut(request) else {
            return;
        };
        // Whoever has seen an answer may tell it; only the holder knows that it sent nothing.
        let told_by_holder = intent.attempt == attempt;
        let allowed = told_by_holder || *ending != CallEnding::NotSent;
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

    fn forget(&mut self, now_ms: u64) {
        while let Some((time_ms, request)) = self.order.front() {
            if time_ms + INTENT_KEPT_MS > now_ms {
                return;
            }
            // A key that was announced again has a later entry in the order.
            let expired = self.calls.get(request).map(|call| call.time_ms) == Some(*time_ms);
            if expired {
                self.calls.remove(request);
            }
            self.order.pop_front();
        }
    }
}
