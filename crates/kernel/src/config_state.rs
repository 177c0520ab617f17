//! Configuration folded from the log. The same proposals give the same revisions everywhere.

use std::collections::BTreeMap;

use amaranth_wire::id::{CommandId, ConfigRevision, LogOffset};
use amaranth_wire::record::LogRecord;
use serde::{Deserialize, Serialize};

/// How many decided commands are remembered.
const DECISION_LIMIT: usize = 4_096;

/// What the fold decided on a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigDecision {
    /// In force as this revision.
    Accepted(ConfigRevision),
    /// The expected revision was not the current one.
    StaleRevision {
        /// The revision in force when the proposal was folded.
        current: ConfigRevision,
    },
    /// The name or value is not valid.
    Invalid(String),
}

/// A setting in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// The value.
    pub value: serde_json::Value,
    /// The revision that set it.
    pub revision: ConfigRevision,
    /// Where its proposal stands.
    pub offset: LogOffset,
    /// Who proposed it.
    pub author: String,
}

/// Configuration in force, and what became of recent proposals.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    revision: ConfigRevision,
    values: BTreeMap<String, ConfigValue>,
    decisions: BTreeMap<CommandId, (LogOffset, ConfigDecision)>,
}

impl ConfigState {
    /// Applies one record; records of other kinds are ignored.
    pub fn apply(&mut self, offset: LogOffset, record: &LogRecord) {
        let LogRecord::ConfigProposed {
            command,
            author,
            expected,
            name,
            value,
        } = record
        else {
            return;
        };
        if self.decisions.contains_key(command) {
            return;
        }
        let decision = self.decide(offset, author, *expected, name, value);
        self.decisions.insert(command.clone(), (offset, decision));
        self.forget_oldest();
    }

    /// The revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// One setting.
    pub fn get(&self, name: &str) -> Option<&ConfigValue> {
        self.values.get(name)
    }

    /// A setting that is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.value.as_u64()
    }

    /// Every setting in force.
    pub fn values(&self) -> impl Iterator<Item = (&String, &ConfigValue)> {
        self.values.iter()
    }

    /// What became of a proposal, and where it stands.
    pub fn decision(&self, command: &CommandId) -> Option<&(LogOffset, ConfigDecision)> {
        self.decisions.get(command)
    }

    fn decide(
        &mut self,
        offset: LogOffset,
        author: &str,
        expected: ConfigRevision,
        name: &str,
        value: &str,
    ) -> ConfigDecision {
        if expected != self.revision {
            let current = self.revision;
            return ConfigDecision::StaleRevision { current };
        }
        let value = match check_setting(name, value) {
            Ok(value) => value,
            Err(reason) => return ConfigDecision::Invalid(reason),
        };
        self.revision = ConfigRevision(self.revision.0 + 1);
        let setting = ConfigValue {
            value,
            revision: self.revision,
            offset,
            author: author.to_owned(),
        };
        self.values.insert(name.to_owned(), setting);
        ConfigDecision::Accepted(self.revision)
    }

    /// Drops the decision that stands earliest on the log.
    fn forget_oldest(&mut self) {
        if self.decisions.len() <= DECISION_LIMIT {
            return;
        }
        let oldest = self.decisions.iter().min_by_key(|(_, (offset, _))| *offset);
        if let Some(command) = oldest.map(|(command, _)| command.clone()) {
            self.decisions.remove(&command);
        }
    }
}

/// Settings of a tier that the log may change, all of them whole numbers.
pub const TIER_SETTINGS: [&str; 4] = [
    "queue_limit",
    "concurrency_limit",
    "batch_reserve",
    "kept_s",
];

fn check_setting(name: &str, value: &str) -> Result<serde_json::Value, String> {
    let parts: Vec<&str> = name.split('.').collect();
    let ["tier", tier, setting] = parts[..] else {
        return Err(format!(
            "unknown setting {name:?}, expected tier.NAME.SETTING"
        ));
    };
    if tier.is_empty() || !TIER_SETTINGS.contains(&setting) {
        let known = TIER_SETTINGS.join(", ");
        return Err(format!(
            "unknown tier setting {setting:?}, expected {known}"
        ));
    }
    let parsed: serde_json::Value =
        serde_json::from_str(value).map_err(|e| format!("value of {name} is not JSON: {e}"))?;
    match parsed.as_u64() {
        Some(_) => Ok(parsed),
        None => Err(format!("value of {name} must be a whole number")),
    }
}

/// Result of checking a setting: the value, or the reason against it.
pub type Result<T, E> = std::result::Result<T, E>;
