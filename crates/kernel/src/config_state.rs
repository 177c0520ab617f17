//! Configuration in force. The same proposals give the same revisions everywhere.

use std::collections::BTreeMap;

use amaranth_wire::id::{ConfigRevision, LogOffset};
use serde::{Deserialize, Serialize};

use crate::setting_table::{self, SettingError};

/// Why a proposal is not in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// The expected revision was not the current one.
    StaleRevision {
        /// The revision in force when the proposal was folded.
        current: ConfigRevision,
    },
    /// The name or value is not valid.
    Invalid(SettingError),
}

/// Result of a proposal.
pub type Result<T> = std::result::Result<T, ConfigError>;

/// A proposed change.
#[derive(Debug, Clone, Copy)]
pub struct ConfigProposal<'a> {
    /// Where it stands.
    pub offset: LogOffset,
    /// Who proposes it.
    pub author: &'a str,
    /// The revision that the author saw.
    pub expected: ConfigRevision,
    /// Name of the setting.
    pub name: &'a str,
    /// The value as JSON text.
    pub value: &'a str,
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

/// Configuration in force. The revision only grows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    revision: ConfigRevision,
    values: BTreeMap<String, ConfigValue>,
}

impl ConfigState {
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

    /// A setting that is true or false.
    pub fn flag(&self, name: &str) -> Option<bool> {
        self.get(name)?.value.as_bool()
    }

    /// Every setting in force.
    pub fn values(&self) -> impl Iterator<Item = (&String, &ConfigValue)> {
        self.values.iter()
    }

    /// Puts a proposal in force if it is valid and its author saw the current revision.
    pub fn propose(&mut self, proposal: ConfigProposal<'_>) -> Result<ConfigRevision> {
        let (name, value) = setting_table::check_setting(proposal.name, proposal.value)
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
