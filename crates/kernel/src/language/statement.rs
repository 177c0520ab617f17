//! Statements of the language. Parsing the `Display` form gives the same statement.

use std::fmt;

use amaranth_wire::id::{
    CommandId, ConfigRevision, InstanceId, JobId, ModelId, TierId, UpstreamId,
};
use amaranth_wire::role::OperatorRole;

use super::lexer::QuotedWord;
use super::query::ShowQuery;

/// Target of a `drain` or `undrain` statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainTarget {
    /// Upstream by id.
    Upstream(UpstreamId),
    /// Instance by id.
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

/// A parsed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Queries the rows of a table.
    Show(ShowQuery),
    /// Shows the history of a request, batch, plan or command, by id.
    Explain(String),
    /// Submits a batch from a file on the operator's machine.
    Start {
        /// Path of the file.
        file: String,
        /// Tier of the batch; `None` selects the model's first tier.
        tier: Option<TierId>,
    },
    /// Cancels a batch.
    Cancel(JobId),
    /// Stops giving new work to the target.
    Drain(DrainTarget),
    /// Ends the drain of the target.
    Undrain(DrainTarget),
    /// Sets a configuration value.
    Set {
        /// Full name of the setting.
        name: String,
        /// The value as JSON text.
        value: String,
        /// Expected revision; `None` takes the one in force on the instance that is asked.
        revision: Option<ConfigRevision>,
    },
    /// Rolls a tier's upstreams out to a version of a model.
    Roll {
        /// Model to load.
        model: ModelId,
        /// Target version.
        version: String,
        /// Tier whose upstreams are changed.
        tier: TierId,
    },
    /// Swaps the roles of two engines.
    Swap {
        /// First engine.
        first: UpstreamId,
        /// Second engine.
        second: UpstreamId,
    },
    /// Undoes a running plan.
    Undo(CommandId),
}

impl Statement {
    /// The role required to run the statement.
    pub fn role(&self) -> OperatorRole {
        match self {
            Self::Show(_) | Self::Explain(_) => OperatorRole::Viewer,
            Self::Set { .. } => OperatorRole::Admin,
            _ => OperatorRole::Operator,
        }
    }

    /// Whether the statement only reads.
    pub fn is_query(&self) -> bool {
        matches!(self, Self::Show(_) | Self::Explain(_))
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(query) => query.fmt(f),
            Self::Explain(id) => write!(f, "explain {}", QuotedWord(id)),
            Self::Start { file, tier } => {
                write!(f, "start batch {}", QuotedWord(file))?;
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
                let version = QuotedWord(version);
                write!(f, "roll model {model} to version {version} on tier {tier}")
            }
            Self::Swap { first, second } => write!(f, "swap {first} with {second}"),
            Self::Undo(plan) => write!(f, "undo {plan}"),
        }
    }
}

/// Writes `set SCOPE [OWNER] SETTING` for a full setting name.
pub(crate) fn write_setting(f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
    let Some((scope, rest)) = name.split_once('.') else {
        return write!(f, "set {name}");
    };
    match rest.rsplit_once('.') {
        Some((owner, setting)) if scope != "plan" => write!(f, "set {scope} {owner} {setting}"),
        _ => write!(f, "set {scope} {rest}"),
    }
}
