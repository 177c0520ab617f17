//! Versioned configuration, changed by proposals on the log. It is deterministic: every instance
//! that applies the same proposals gets the same revisions.

use std::collections::BTreeMap;

use amaranth_wire::id::{ConfigRevision, LogOffset};
use serde::{Deserialize, Serialize};

use crate::setting_table::{self, SettingError};

/// Why a proposal was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// The expected revision was not the current one.
    StaleRevision {
        /// The revision in force when the proposal was applied.
        current: ConfigRevision,
    },
    /// The name or value does not match the setting table.
    Invalid(SettingError),
}

/// Result of applying a proposal.
pub type Result<T> = std::result::Result<T, ConfigError>;

/// A compare-and-set of one setting: it applies only at the expected revision.
#[derive(Debug, Clone, Copy)]
pub struct ConfigProposal<'a> {
    /// Log offset of the proposal.
    pub offset: LogOffset,
    /// Operator or tool that proposes the change.
    pub author: &'a str,
    /// The revision that must be in force.
    pub expected: ConfigRevision,
    /// Full name or alias of the setting.
    pub name: &'a str,
    /// The value as JSON text.
    pub value: &'a str,
}

/// A setting's value, and the proposal that set it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// A whole number or a boolean, as the setting table requires.
    pub value: serde_json::Value,
    /// The revision that set the value.
    pub revision: ConfigRevision,
    /// Log offset of the proposal.
    pub offset: LogOffset,
    /// Operator or tool that proposed the value.
    pub author: String,
}

/// Settings in force, by full name. Each accepted proposal increments the revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    revision: ConfigRevision,
    values: BTreeMap<String, ConfigValue>,
}

impl ConfigState {
    /// The revision in force; 0 before the first accepted proposal.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// The setting of this full name, if a proposal has set it.
    pub fn get(&self, name: &str) -> Option<&ConfigValue> {
        self.values.get(name)
    }

    /// The value of a numeric setting; `None` if it is unset or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.value.as_u64()
    }

    /// The value of a boolean setting; `None` if it is unset or not a boolean.
    pub fn flag(&self, name: &str) -> Option<bool> {
        self.get(name)?.value.as_bool()
    }

    /// Every setting that a proposal has set, by name.
    pub fn values(&self) -> impl Iterator<Item = (&String, &ConfigValue)> {
        self.values.iter()
    }

    /// Applies a proposal if it is valid and expects the current revision; returns the new one.
    pub fn propose(&mut self, proposal: ConfigProposal<'_>) -> Result<ConfigRevision> {
        let (name, value) = setting_table::parse_setting(proposal.name, proposal.value)
            .map_err(ConfigError::Invalid)?;
        if proposal.expected != self.revision {
            let current = self.revision;
            return Err(ConfigError::StaleRevision { current });
        }
        self.revision = ConfigRevision(self.revision.0 + 1);
        let setting = ConfigValue {
            value,
            revision: self.revision,
            offset: proposal.offset,
            author: proposal.author.to_owned(),
        };
        self.values.insert(name, setting);
        Ok(self.revision)
    }
}
