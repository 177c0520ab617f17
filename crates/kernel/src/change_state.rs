//! Configuration, plans and decisions, folded from the log together.
//!
//! The state outlasts the log's retention by snapshots: records that hold the state as of an
//! offset. A fold that starts where earlier entries are gone keeps what it reads aside until it
//! finds a snapshot that reaches back far enough, and then goes on from there. Taking a snapshot
//! over never moves the state back.

use std::collections::BTreeMap;

use amaranth_wire::id::{CommandId, LogOffset};
use amaranth_wire::record::LogRecord;
use serde::{Deserialize, Serialize};

use crate::config_state::{ConfigError, ConfigProposal, ConfigState};
use crate::decision_log::{Decision, DecisionLog, Verdict};
use crate::language::statement::Statement;
use crate::plan_state::PlanTable;

/// Bytes of a snapshot in one record.
pub const SNAPSHOT_PART_BYTES: usize = 256 << 10;
/// Snapshots are written four times within the log's retention.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// Everything that a snapshot holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCore {
    /// Configuration in force.
    pub config: ConfigState,
    /// Plans.
    pub plans: PlanTable,
    /// Decisions on commands.
    pub decisions: DecisionLog,
}

/// The state as of an offset, as instances pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSnapshot {
    /// Every entry before this offset is reflected.
    pub through: LogOffset,
    /// The state.
    pub core: ChangeCore,
}

#[derive(Debug, Clone)]
enum WaitingContent {
    Records(Vec<LogRecord>),
    Unreadable(String),
}

#[derive(Debug, Clone)]
struct WaitingEntry {
    offset: LogOffset,
    time_ms: u64,
    content: WaitingContent,
}

#[derive(Debug, Clone, Default)]
struct SnapshotParts {
    through: LogOffset,
    parts: BTreeMap<u32, Vec<u8>>,
}

/// The fold.
#[derive(Debug, Clone, Default)]
pub struct ChangeState {
    core: ChangeCore,
    covered: LogOffset,
    /// Set while entries before it are missing from the state.
    floor: Option<LogOffset>,
    waiting: Vec<WaitingEntry>,
    parts: SnapshotParts,
    carried_ms: Option<u64>,
}

impl ChangeState {
    /// Folds one entry. Entries that are reflected already are ignored.
    pub fn apply_entry(&mut self, offset: LogOffset, time_ms: u64, records: &[LogRecord]) {
        self.carried_ms.get_or_insert(time_ms);
        for record in records {
            self.collect_part(time_ms, record);
        }
        if offset < self.covered {
            return;
        }
        if self.floor.is_some() {
            let changes = records.iter().filter(|record| is_change(record));
            let content = WaitingContent::Records(changes.cloned().collect());
            return self.keep_waiting(offset, time_ms, content);
        }
        for record in records {
            self.core.apply(offset, time_ms, record);
        }
        self.covered = offset.next();
    }

    /// Notes an entry that is not a batch.
    pub fn reject_entry(&mut self, offset: LogOffset, time_ms: u64, reason: &str) {
        if offset < self.covered {
            return;
        }
        if self.floor.is_some() {
            let content = WaitingContent::Unreadable(reason.to_owned());
            return self.keep_waiting(offset, time_ms, content);
        }
        let command: CommandId = format!("entry:{offset}").parse().expect("an identifier");
        let decision = Decision {
            offset,
            time_ms,
            author: "unknown".to_owned(),
            text: "unreadable entry".to_owned(),
            verdict: Verdict::Rejected {
                reason: reason.to_owned(),
            },
        };
        self.core.decisions.note(command, decision);
        self.covered = offset.next();
    }

    /// Moves over an entry without effect here, such as one that stands twice.
    pub fn skip_entry(&mut self, offset: LogOffset) {
        if self.floor.is_none() && offset == self.covered {
            self.covered = offset.next();
        }
    }

    /// Notes that the entries before this offset can no longer be read.
    pub fn lose_before(&mut self, oldest: LogOffset) {
        if self.floor.unwrap_or(self.covered) >= oldest {
            return;
        }
        self.floor = Some(oldest);
        self.waiting.clear();
    }

    /// Whether every entry up to [`Self::covered`] is reflected. While it is not, the state is
    /// the last one that was complete.
    pub fn is_complete(&self) -> bool {
        self.floor.is_none()
    }

    /// Every entry before this offset is reflected.
    pub fn covered(&self) -> LogOffset {
        self.covered
    }

    /// The state.
    pub fn core(&self) -> &ChangeCore {
        &self.core
    }

    /// The state to pass on; `None` while it is not complete.
    pub fn snapshot(&self) -> Option<ChangeSnapshot> {
        self.is_complete().then(|| ChangeSnapshot {
            through: self.covered,
            core: self.core.clone(),
        })
    }

    /// The records that carry the state past the log's retention.
    pub fn snapshot_records(&self) -> Vec<LogRecord> {
        if !self.is_complete() {
            return Vec::new();
        }
        let bytes = serde_json::to_vec(&self.core).expect("the state always encodes");
        let chunks: Vec<_> = bytes.chunks(SNAPSHOT_PART_BYTES).collect();
        let parts = chunks.len() as u32;
        let numbered = (0..).zip(chunks);
        numbered
            .map(|(part, bytes)| LogRecord::ChangesCarried {
                through: self.covered,
                part,
                parts,
                bytes: bytes.to_vec(),
            })
            .collect()
    }

    /// Whether it is time to carry the state on, by the log's clock.
    pub fn is_carry_due(&self, now_ms: u64, retention_ms: u64) -> bool {
        let period_ms = retention_ms / SNAPSHOTS_PER_RETENTION;
        let carried_ms = self.carried_ms.unwrap_or(now_ms);
        self.is_complete() && now_ms >= carried_ms + period_ms
    }

    /// Takes a snapshot over if it is ahead of this state and reaches back far enough. False if
    /// it was not taken.
    pub fn adopt(&mut self, snapshot: ChangeSnapshot) -> bool {
        let through = snapshot.through;
        let reaches = self.floor.is_none_or(|floor| through >= floor);
        if through <= self.covered || !reaches {
            return false;
        }
        self.core = snapshot.core;
        self.covered = through;
        self.floor = None;
        for entry in std::mem::take(&mut self.waiting) {
            let (offset, time_ms) = (entry.offset, entry.time_ms);
            match entry.content {
                WaitingContent::Records(records) => self.apply_entry(offset, time_ms, &records),
                WaitingContent::Unreadable(reason) => self.reject_entry(offset, time_ms, &reason),
            }
        }
        true
    }

    fn keep_waiting(&mut self, offset: LogOffset, time_ms: u64, content: WaitingContent) {
        self.waiting.push(WaitingEntry {
            offset,
            time_ms,
            content,
        });
    }

    fn collect_part(&mut self, time_ms: u64, record: &LogRecord) {
        let LogRecord::ChangesCarried {
            through,
            part,
            parts,
            bytes,
        } = record
        else {
            return;
        };
        if self.parts.through != *through {
            self.parts = SnapshotParts {
                through: *through,
                parts: BTreeMap::new(),
            };
        }
        self.parts.parts.insert(*part, bytes.clone());
        if self.parts.parts.len() < *parts as usize {
            return;
        }
        let collected = std::mem::take(&mut self.parts);
        self.carried_ms = Some(time_ms);
        if self.is_complete() {
            return;
        }
        let bytes: Vec<u8> = collected.parts.into_values().flatten().collect();
        if let Ok(core) = serde_json::from_slice(&bytes) {
            let through = *through;
            self.adopt(ChangeSnapshot { through, core });
        }
    }
}

impl ChangeCore {
    fn apply(&mut self, offset: LogOffset, time_ms: u64, record: &LogRecord) {
        if let LogRecord::PlanStepped { plan, epoch, step } = record {
            self.plans.step((offset, time_ms), plan, *epoch, step);
            return;
        }
        let Some((command, author)) = command_of(record) else {
            return;
        };
        if self.decisions.get(command).is_some() {
            return;
        }
        let decision = Decision {
            offset,
            time_ms,
            author: author.to_owned(),
            text: command_text(record),
            verdict: self.decide(offset, record),
        };
        self.decisions.note(command.clone(), decision);
    }

    fn decide(&mut self, offset: LogOffset, record: &LogRecord) -> Verdict {
        let done = match record {
            LogRecord::ConfigProposed {
                author,
                expected,
                name,
                value,
                ..
            } => {
                let proposal = ConfigProposal {
                    offset,
                    author,
                    expected: *expected,
                    name,
                    value,
                };
                let proposed = self.config.propose(proposal);
                proposed.map(Some).map_err(|e| self.explain(e))
            }
            LogRecord::PlanProposed {
                command,
                author,
                spec,
            } => {
                let proposed = self.plans.propose(offset, command, author, spec);
                proposed.map(|()| None).map_err(|e| e.to_string())
            }
            LogRecord::PlanUndone { author, plan, .. } => {
                let undone = self.plans.undo(offset, author, plan);
                undone.map(|()| None).map_err(|e| e.to_string())
            }
            _ => Ok(None),
        };
        match done {
            Ok(revision) => Verdict::Accepted { revision },
            Err(reason) => Verdict::Rejected { reason },
        }
    }

    /// Names the change that came first.
    fn explain(&self, error: ConfigError) -> String {
        let current = match error {
            ConfigError::Invalid(e) => return e.to_string(),
            ConfigError::StaleRevision { current } => current,
        };
        let mut values = self.config.values();
        match values.find(|(_, value)| value.revision == current) {
            Some((name, value)) => format!(
                "the revision in force is {current}, made by {} at offset {} ({name})",
                value.author, value.offset
            ),
            None => format!("the revision in force is {current}"),
        }
    }
}

fn is_change(record: &LogRecord) -> bool {
    matches!(record, LogRecord::PlanStepped { .. }) || command_of(record).is_some()
}

/// The command that a record asks for, and who asked.
fn command_of(record: &LogRecord) -> Option<(&CommandId, &str)> {
    match record {
        LogRecord::ConfigProposed {
            command, author, ..
        }
        | LogRecord::PlanProposed {
            command, author, ..
        }
        | LogRecord::PlanUndone {
            command, author, ..
        }
        | LogRecord::CommandNoted {
            command, author, ..
        } => Some((command, author)),
        LogRecord::JobCancelled { command, .. } => Some((command, "unknown")),
        _ => None,
    }
}

/// A record's command in the operators' language.
pub fn command_text(record: &LogRecord) -> String {
    match record {
        LogRecord::ConfigProposed {
            expected,
            name,
            value,
            ..
        } => Statement::Set {
            name: name.clone(),
            value: value.clone(),
            revision: Some(*expected),
        }
        .to_string(),
        LogRecord::PlanProposed { spec, .. } => spec.to_string(),
        LogRecord::PlanUndone { plan, .. } => format!("undo {plan}"),
        LogRecord::CommandNoted { text, .. } => text.clone(),
        LogRecord::JobCancelled { job, .. } => format!("cancel batch {job}"),
        _ => String::new(),
    }
}
