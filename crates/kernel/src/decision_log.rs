//! Recent decisions on commands, which the `audit` and `refusals` tables show.

use std::collections::{HashMap, VecDeque};

use amaranth_wire::id::{CommandId, ConfigRevision, LogOffset};
use serde::{Deserialize, Serialize};

/// Accepted commands that are retained: more than a day of them.
const MAX_ACCEPTED: usize = 16_384;
/// Rejected commands and undecodable entries that are retained.
const MAX_REJECTED: usize = 4_096;

/// Outcome of a command when the log is replayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The command took effect.
    Accepted {
        /// The configuration revision that it created; `None` for other commands.
        revision: Option<ConfigRevision>,
    },
    /// The command had no effect.
    Rejected {
        /// The cause, with the author of the conflicting command if there is one.
        reason: String,
    },
}

impl Verdict {
    /// Whether the command took effect.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}

/// A command and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Log offset of the command.
    pub offset: LogOffset,
    /// When the command was appended to the log, Unix milliseconds.
    pub time_ms: u64,
    /// Operator or tool that sent the command.
    pub author: String,
    /// The command in the operators' language.
    pub text: String,
    /// The outcome.
    pub verdict: Verdict,
}

/// Recent decisions by command id, with a bounded size. A retained id is never decided again, so
/// that a repeated command acts once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionLog {
    decisions: HashMap<CommandId, Decision>,
    accepted: VecDeque<CommandId>,
    rejected: VecDeque<CommandId>,
}

impl DecisionLog {
    /// The decision on a command, if it is still retained.
    pub fn get(&self, command: &CommandId) -> Option<&Decision> {
        self.decisions.get(command)
    }

    /// Retained accepted commands, oldest first.
    pub fn accepted(&self) -> impl Iterator<Item = (&CommandId, &Decision)> {
        let commands = self.accepted.iter();
        commands.filter_map(|command| Some((command, self.decisions.get(command)?)))
    }

    /// Retained rejected commands and undecodable entries, oldest first.
    pub fn rejected(&self) -> impl Iterator<Item = (&CommandId, &Decision)> {
        let commands = self.rejected.iter();
        commands.filter_map(|command| Some((command, self.decisions.get(command)?)))
    }

    /// Records a decision unless the command already has one, and evicts the oldest of its kind
    /// when the limit is exceeded.
    pub fn add_decision(&mut self, command: CommandId, decision: Decision) {
        if self.decisions.contains_key(&command) {
            return;
        }
        let (order, limit) = match decision.verdict.is_accepted() {
            true => (&mut self.accepted, MAX_ACCEPTED),
            false => (&mut self.rejected, MAX_REJECTED),
        };
        order.push_back(command.clone());
        let evicted = (order.len() > limit).then(|| order.pop_front()).flatten();
        self.decisions.insert(command, decision);
        if let Some(oldest) = evicted {
            self.decisions.remove(&oldest);
        }
    }
}
