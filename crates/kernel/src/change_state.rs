//! The replicated configuration, plans and decisions, rebuilt by replaying the log.
//!
//! Snapshots written to the log keep the state alive past the log's retention. A replay that
//! starts after a truncation buffers entries until it reads a snapshot that covers the missing
//! ones. Installing a snapshot never moves the state back.

use std::collections::BTreeMap;

use amaranth_wire::id::{CommandId, LogOffset};
use amaranth_wire::record::LogRecord;
use serde::{Deserialize, Serialize};

use crate::config_state::{ConfigError, ConfigProposal, ConfigState};
use crate::decision_log::{Decision, DecisionLog, Verdict};
use crate::language::statement::Statement;
use crate::plan_state::PlanTable;

/// Maximum bytes of an encoded snapshot in one record.
pub const SNAPSHOT_PART_BYTES: usize = 256 << 10;
/// Snapshots written per retention period of the log.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// The replicated state, as stored in a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCore {
    /// Settings in force.
    pub config: ConfigState,
    /// Active plans and recently ended ones.
    pub plans: PlanTable,
    /// Recent commands, accepted or rejected.
    pub decisions: DecisionLog,
}

/// The state as of a log offset, as instances send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSnapshot {
    /// The state includes every entry before this offset.
    pub through: LogOffset,
    /// The state at that offset.
    pub core: ChangeCore,
}

#[derive(Debug, Clone)]
enum BufferedContent {
    Records(Vec<LogRecord>),
    Unreadable(String),
}

#[derive(Debug, Clone)]
struct BufferedEntry {
    offset: LogOffset,
    time_ms: u64,
    content: BufferedContent,
}

#[derive(Debug, Clone, Default)]
struct SnapshotParts {
    through: LogOffset,
    parts: BTreeMap<u32, Vec<u8>>,
}

/// Replays log entries and snapshots into a [`ChangeCore`].
#[derive(Debug, Clone, Default)]
pub struct ChangeState {
    core: ChangeCore,
    covered: LogOffset,
    /// Set while entries between `covered` and this offset are missing from the state.
    missing_before: Option<LogOffset>,
    buffered: Vec<BufferedEntry>,
    parts: SnapshotParts,
    last_snapshot_ms: Option<u64>,
}

impl ChangeState {
    /// Applies one entry; entries before [`Self::covered`] are ignored.
    pub fn apply_entry(&mut self, offset: LogOffset, time_ms: u64, records: &[LogRecord]) {
        self.last_snapshot_ms.get_or_insert(time_ms);
        for record in records {
            self.collect_snapshot_part(time_ms, record);
        }
        if offset < self.covered {
            return;
        }
        if self.missing_before.is_some() {
            let changes = records.iter().filter(|record| affects_state(record));
            let content = BufferedContent::Records(changes.cloned().collect());
            return self.buffer_entry(offset, time_ms, content);
        }
        for record in records {
            self.core.apply(offset, time_ms, record);
        }
        self.covered = offset.next();
    }

    /// Records an entry that could not be decoded as a rejected command.
    pub fn reject_entry(&mut self, offset: LogOffset, time_ms: u64, reason: &str) {
        if offset < self.covered {
            return;
        }
        if self.missing_before.is_some() {
            let content = BufferedContent::Unreadable(reason.to_owned());
            return self.buffer_entry(offset, time_ms, content);
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
        self.core.decisions.add_decision(command, decision);
        self.covered = offset.next();
    }

    /// Advances past an entry that does not affect this state, such as a duplicate.
    pub fn skip_entry(&mut self, offset: LogOffset) {
        if self.missing_before.is_none() && offset == self.covered {
            self.covered = offset.next();
        }
    }

    /// Marks entries before this offset as unreadable because the log was truncated.
    pub fn mark_truncated(&mut self, oldest: LogOffset) {
        if self.missing_before.unwrap_or(self.covered) >= oldest {
            return;
        }
        self.missing_before = Some(oldest);
        self.buffered.clear();
    }

    /// False while truncated entries are missing; the state then stays at the last complete one
    /// until a snapshot is installed.
    pub fn is_complete(&self) -> bool {
        self.missing_before.is_none()
    }

    /// The next offset to apply; the state includes every entry before it.
    pub fn covered(&self) -> LogOffset {
        self.covered
    }

    /// The state as of [`Self::covered`].
    pub fn core(&self) -> &ChangeCore {
        &self.core
    }

    /// A snapshot to send to other instances; `None` while the state is incomplete.
    pub fn snapshot(&self) -> Option<ChangeSnapshot> {
        self.is_complete().then(|| ChangeSnapshot {
            through: self.covered,
            core: self.core.clone(),
        })
    }

    /// A snapshot split into log records; empty while the state is incomplete.
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

    /// Whether the next snapshot is due; `now_ms` is on the log's clock.
    pub fn is_snapshot_due(&self, now_ms: u64, retention_ms: u64) -> bool {
        let period_ms = retention_ms / SNAPSHOTS_PER_RETENTION;
        let last_snapshot_ms = self.last_snapshot_ms.unwrap_or(now_ms);
        self.is_complete() && now_ms >= last_snapshot_ms + period_ms
    }

    /// Installs a snapshot if it is ahead of this state and covers the missing entries. Returns
    /// whether it was installed.
    pub fn install_snapshot(&mut self, snapshot: ChangeSnapshot) -> bool {
        let through = snapshot.through;
        let covers_gap = self
            .missing_before
            .is_none_or(|missing_before| through >= missing_before);
        if through <= self.covered || !covers_gap {
            return false;
        }
        self.core = snapshot.core;
        self.covered = through;
        self.missing_before = None;
        for entry in std::mem::take(&mut self.buffered) {
            let (offset, time_ms) = (entry.offset, entry.time_ms);
            match entry.content {
                BufferedContent::Records(records) => self.apply_entry(offset, time_ms, &records),
                BufferedContent::Unreadable(reason) => self.reject_entry(offset, time_ms, &reason),
            }
        }
        true
    }

    fn buffer_entry(&mut self, offset: LogOffset, time_ms: u64, content: BufferedContent) {
        self.buffered.push(BufferedEntry {
            offset,
            time_ms,
            content,
        });
    }

    fn collect_snapshot_part(&mut self, time_ms: u64, record: &LogRecord) {
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
        self.last_snapshot_ms = Some(time_ms);
        if self.is_complete() {
            return;
        }
        let bytes: Vec<u8> = collected.parts.into_values().flatten().collect();
        if let Ok(core) = serde_json::from_slice(&bytes) {
            let through = *through;
            self.install_snapshot(ChangeSnapshot { through, core });
        }
    }
}

impl ChangeCore {
    fn apply(&mut self, offset: LogOffset, time_ms: u64, record: &LogRecord) {
        if let LogRecord::PlanStepped { plan, epoch, step } = record {
            self.plans.apply_step((offset, time_ms), plan, *epoch, step);
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
        self.decisions.add_decision(command.clone(), decision);
    }

    fn decide(&mut self, offset: LogOffset, record: &LogRecord) -> Verdict {
        let result = match record {
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
                proposed.map(Some).map_err(|e| self.describe_rejection(e))
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
        match result {
            Ok(revision) => Verdict::Accepted { revision },
            Err(reason) => Verdict::Rejected { reason },
        }
    }

    /// Describes the rejection, naming the change that made the current revision.
    fn describe_rejection(&self, error: ConfigError) -> String {
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

fn affects_state(record: &LogRecord) -> bool {
    matches!(record, LogRecord::PlanStepped { .. }) || command_of(record).is_some()
}

/// The command id and author of a record that is a command.
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

/// The command of a record, written as a statement of the operators' language.
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
