//! What a checked run looks at, and what it found.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;

use serde::Serialize;

/// Findings that are kept for each promise.
const KEPT_FINDINGS: usize = 5;
/// Characters that are kept of each finding.
const FINDING_CHARS: usize = 240;

/// A promise that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Every online answer is whole and the caller's own.
    OnlineWhole,
    /// Online first tokens meet the tier's objective while batches run.
    OnlineOnTime,
    /// Every batch item has exactly one result, and it is right.
    BatchOnce,
    /// Results are the same at every instance that is asked.
    ResultsReadable,
    /// A job that is sent again is recognised.
    ResendRecognised,
    /// After a cancel is accepted no item starts and running ones end.
    CancelStops,
    /// A call that may not be repeated runs at most once.
    AtMostOnce,
    /// A refusal that says that nothing ran is true.
    NotRunTrue,
    /// An accepted setting is in force on every instance and stays.
    ConfigInForce,
    /// A leaving upstream gets no new work.
    LeavingQuiet,
    /// A planned stop cuts no answer.
    StopCutsNothing,
}

impl Promise {
    /// Every promise that a run checks.
    pub const ALL: [Self; 11] = [
        Self::OnlineWhole,
        Self::OnlineOnTime,
        Self::BatchOnce,
        Self::ResultsReadable,
        Self::ResendRecognised,
        Self::CancelStops,
        Self::AtMostOnce,
        Self::NotRunTrue,
        Self::ConfigInForce,
        Self::LeavingQuiet,
        Self::StopCutsNothing,
    ];
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::OnlineWhole => "online answers are whole",
            Self::OnlineOnTime => "online is on time beside batch",
            Self::BatchOnce => "batch items have one right result",
            Self::ResultsReadable => "results are readable everywhere",
            Self::ResendRecognised => "a resent job is recognised",
            Self::CancelStops => "a cancelled job stops",
            Self::AtMostOnce => "unrepeatable calls run at most once",
            Self::NotRunTrue => "\"ran: no\" is true",
            Self::ConfigInForce => "settings are in force and stay",
            Self::LeavingQuiet => "a leaving upstream gets no new work",
            Self::StopCutsNothing => "a planned stop cuts nothing",
        })
    }
}

/// What was found about one promise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PromiseRow {
    /// How often it was checked.
    pub checked: u64,
    /// How often it was broken.
    pub broken: u64,
    /// The first findings.
    pub findings: Vec<String>,
}

/// The findings of a run.
#[derive(Debug, Default)]
pub struct PromiseBook(Mutex<BTreeMap<Promise, PromiseRow>>);

impl PromiseBook {
    /// Notes one check; the closure describes what is wrong if it does not hold.
    pub fn check(&self, promise: Promise, holds: bool, finding: impl FnOnce() -> String) {
        let mut rows = self.0.lock().expect("not poisoned");
        let row = rows.entry(promise).or_default();
        row.checked += 1;
        if holds {
            return;
        }
        row.broken += 1;
        if row.findings.len() < KEPT_FINDINGS {
            row.findings
                .push(finding().chars().take(FINDING_CHARS).collect());
        }
    }

    /// What was found about each promise, also where nothing was checked.
    pub fn rows(&self) -> Vec<(Promise, PromiseRow)> {
        let rows = self.0.lock().expect("not poisoned");
        let row = |promise| (promise, rows.get(&promise).cloned().unwrap_or_default());
        Promise::ALL.into_iter().map(row).collect()
    }
}
