//! Statements of the language. `Display` writes what the parser reads back as the same statement.

use std::fmt;

use amaranth_wire::id::{
    CommandId, ConfigRevision, InstanceId, JobId, ModelId, TierId, UpstreamId,
};
use amaranth_wire::role::OperatorRole;

use super::lexer::WrittenWord;
use super::query::ShowQuery;

/// What is drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainTarget {
    /// An upstream.
    Upstream(UpstreamId),
    /// An instance.
    Instance(InstanceId),
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Upstream(name) => write!(f, "upstream {name}"),
            Self::Instance(name) => write!(f, "instance {name}"),
        }
    }
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Asks for rows of a table.
    Show(ShowQuery),
    /// Asks what became of a request, batch, plan or command.
    Explain(String),
    /// Submits a batch from a file of the operator's machine.
    Start {
        /// The file.
        file: String,
        /// The tier, in place of the model's first.
        tier: Option<TierId>,
    },
    /// Stops a batch.
    Cancel(JobId),
    /// Gives the target no new work.
    Drain(DrainTarget),
    /// Ends a drain.
    Undrain(DrainTarget),
    /// Changes a setting.
    Set {
        /// Full name of the setting.
        name: String,
        /// The value as JSON text.
        value: String,
        /// The revision that the operator saw; `None` takes the one in force on the instance.
        revision: Option<ConfigRevision>,
    },
    /// Rolls a model to a version.
    Roll {
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
        /// The tier whose upstreams are rolled.
        tier: TierId,
    },
    /// Exchanges the roles of two engines.
    Swap {
        /// One of them.
        first: UpstreamId,
        /// The other.
        second: UpstreamId,
    },
    /// Makes a plan go back.
    Undo(CommandId),
}

impl Statement {
    /// The role that an operator needs for it.
    pub fn role(&self) -> OperatorRole {
        match self {
            Self::Show(_) | Self::Explain(_) => OperatorRole::Viewer,
            Self::Set { .. } => OperatorRole::Admin,
            _ => OperatorRole::Operator,
        }
    }

    /// Whether it only asks.
    pub fn is_query(&self) -> bool {
        matches!(self, Self::Show(_) | Self::Explain(_))
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(query) => query.fmt(f),
            Self::Explain(id) => write!(f, "explain {}", WrittenWord(id)),
            Self::Start { file, tier } => {
                write!(f, "start batch {}", WrittenWord(file))?;
                match tier {
                    Some(tier) => write!(f, " on tier {tier}"),
                    None => Ok(()),
                }
            }
            Self::Cancel(job) => write!(f, "cancel batch {job}"),
            Self::Drain(target) => write!(f, "drain {target}"),
            Self::Undrain(target) => write!(f, "undrain {target}"),
            Self::Set {
                name,
                value,
                revision,
            } => {
                write_setting(f, name)?;
                write!(f, " = {value}")?;
                match revision {
                    Some(revision) => write!(f, " if revision {revision}"),
                    None => Ok(()),
                }
            }
            Self::Roll {
                model,
                version,
                tier,
            } => {
                let version = WrittenWord(version);
                write!(f, "roll model {model} to version {version} on tier {tier}")
            }
            Self::Swap { first, second } => write!(f, "swap {first} with {second}"),
            Self::Undo(plan) => write!(f, "undo {plan}"),
        }
    }
}

/// Writes `set SCOPE [OWNER] SETTING` for a full name.
pub(crate) fn write_setting(f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
    let Some((scope, rest)) = name.split_once('.') else {
        return write!(f, "set {name}");
    };
    match rest.rsplit_once('.') {
        Some((owner, setting)) if scope != "plan" => write!(f, "set {scope} {owner} {setting}"),
        _ => write!(f, "set {scope} {rest}"),
    }
}
