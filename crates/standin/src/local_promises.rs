//! The promises that a checked run verifies, and its findings.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;

use serde::Serialize;

/// Most findings kept for each promise.
const MAX_FINDINGS: usize = 5;
/// Length to which findings are truncated, in characters.
const MAX_FINDING_CHARS: usize = 240;

/// A guarantee to callers or operators that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Every online answer is complete and belongs to its call.
    AnswersComplete,
    /// First tokens and token gaps meet the tier's objectives while batches run.
    OnlineWithinObjective,
    /// Every batch item has exactly one result, and it is correct.
    BatchResultsExact,
    /// Every instance returns the same results.
    ResultsConsistent,
    /// A resubmitted job is deduplicated.
    ResendDeduplicated,
    /// After a cancel is accepted, no item starts and running items end.
    CancelStops,
    /// A non-repeatable call runs at most once.
    AtMostOnce,
    /// A call that was refused with `ran` set to `no` did not run.
    NotRunAccurate,
    /// An accepted setting takes effect on every instance and does not revert.
    ConfigInForce,
    /// A leaving upstream gets no new requests.
    LeavingUpstreamIdle,
    /// A planned stop of an instance interrupts no answer.
    StopInterruptsNothing,
}

impl Promise {
    /// All promises, in the order of the report.
    pub const ALL: [Self; 11] = [
        Self::AnswersComplete,
        Self::OnlineWithinObjective,
        Self::BatchResultsExact,
        Self::ResultsConsistent,
        Self::ResendDeduplicated,
        Self::CancelStops,
        Self::AtMostOnce,
        Self::NotRunAccurate,
        Self::ConfigInForce,
        Self::LeavingUpstreamIdle,
        Self::StopInterruptsNothing,
    ];
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::AnswersComplete => "online answers are whole",
            Self::OnlineWithinObjective => "online is on time beside batch",
            Self::BatchResultsExact => "batch items have one right result",
            Self::ResultsConsistent => "results are readable everywhere",
            Self::ResendDeduplicated => "a resent job is recognised",
            Self::CancelStops => "a cancelled job stops",
            Self::AtMostOnce => "unrepeatable calls run at most once",
            Self::NotRunAccurate => "\"ran: no\" is true",
            Self::ConfigInForce => "settings are in force and stay",
            Self::LeavingUpstreamIdle => "a leaving upstream gets no new work",
            Self::StopInterruptsNothing => "a planned stop cuts nothing",
        })
    }
}

/// Check counts and findings of a promise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PromiseRow {
    /// Number of checks.
    pub checked: u64,
    /// Number of failed checks.
    pub broken: u64,
    /// Descriptions of the first failed checks.
    pub findings: Vec<String>,
}

/// Collects the checks of a run.
#[derive(Debug, Default)]
pub struct PromiseRecorder(Mutex<BTreeMap<Promise, PromiseRow>>);

impl PromiseRecorder {
    /// Records a check. `finding` describes the failure and is only called if `holds` is false.
    pub fn check(&self, promise: Promise, holds: bool, finding: impl FnOnce() -> String) {
        let mut rows = self.0.lock().expect("not poisoned");
        let row = rows.entry(promise).or_default();
        row.checked += 1;
        if holds {
            return;
        }
        row.broken += 1;
        if row.findings.len() < MAX_FINDINGS {
            row.findings
                .push(finding().chars().take(MAX_FINDING_CHARS).collect());
        }
    }

    /// Results of all promises, including unchecked ones.
    pub fn rows(&self) -> Vec<(Promise, PromiseRow)> {
        let rows = self.0.lock().expect("not poisoned");
        let row = |promise| (promise, rows.get(&promise).cloned().unwrap_or_default());
        Promise::ALL.into_iter().map(row).collect()
    }
}
