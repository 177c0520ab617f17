//! What became of commands, and what was refused: the source of the audit view.

use std::collections::{HashMap, VecDeque};

use amaranth_wire::id::{CommandId, ConfigRevision, LogOffset};
use serde::{Deserialize, Serialize};

/// How many accepted commands are remembered: more than a day of them.
const ACCEPTED_LIMIT: usize = 16_384;
/// How many rejected commands and entries are remembered.
const REJECTED_LIMIT: usize = 4_096;

/// What the fold decided on a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// In force. A change of configuration has a revision.
    Accepted {
        /// The revision that it made.
        revision: Option<ConfigRevision>,
    },
    /// Without effect.
    Rejected {
        /// Why, and by whom where another command was first.
        reason: String,
    },
}

impl Verdict {
    /// Whether the command is in force.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}

/// One decided command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Where it stands.
    pub offset: LogOffset,
    /// When the log took it, Unix milliseconds.
    pub time_ms: u64,
    /// Who asked.
    pub author: String,
    /// The command as text.
    pub text: String,
    /// What was decided.
    pub verdict: Verdict,
}

/// Recent decisions, by command. A command that is remembered is never decided again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionLog {
    decisions: HashMap<CommandId, Decision>,
    accepted: VecDeque<CommandId>,
    rejected: VecDeque<CommandId>,
}

impl DecisionLog {
    /// What became of a command.
    pub fn get(&self, command: &CommandId) -> Option<&Decision> {
        self.decisions.get(command)
    }

    /// Accepted commands, oldest first.
    pub fn accepted(&self) -> impl Iterator<Item = (&CommandId, &Decision)> {
        let commands = self.accepted.iter();
        commands.filter_map(|command| Some((command, self.decisions.get(command)?)))
    }

    /// Rejected commands and entries, oldest first.
    pub fn rejected(&self) -> impl Iterator<Item = (&CommandId, &Decision)> {
        let commands = self.rejected.iter();
        commands.filter_map(|command| Some((command, self.decisions.get(command)?)))
    }

    /// Notes a decision; the first on a command stays.
    pub fn note(&mut self, command: CommandId, decision: Decision) {
        if self.decisions.contains_key(&command) {
            return;
        }
        let (order, limit) = match decision.verdict.is_accepted() {
            true => (&mut self.accepted, ACCEPTED_LIMIT),
            false => (&mut self.rejected, REJECTED_LIMIT),
        };
        order.push_back(command.clone());
        let forgotten = (order.len() > limit).then(|| order.pop_front()).flatten();
        self.decisions.insert(command, decision);
        if let Some(oldest) = forgotten {
            self.decisions.remove(&oldest);
        }
    }
}
