//! Who sent a request or a batch job.

use serde::{Deserialize, Serialize};

use crate::id::TeamId;

/// Identity of a caller. Upstreams are told the team, and jobs are shown to their team only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerIdentity {
    /// No teams are configured, so callers aren't told apart.
    #[default]
    Unchecked,
    /// Came without a key, as its route allows.
    Anonymous,
    /// Came with a key of this team.
    Team(TeamId),
}

impl CallerIdentity {
    /// The team; `None` if there is none.
    pub fn team(&self) -> Option<&TeamId> {
        match self {
            Self::Team(team) => Some(team),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Whether a caller with this identity may use a job of the owner. Jobs without a team are known by
    /// their id alone.
    pub fn may_use_job_of(&self, owner: &Self) -> bool {
        match (self, owner) {
            (Self::Unchecked, _) | (_, Self::Unchecked | Self::Anonymous) => true,
            (caller, owner) => caller == owner,
        }
    }
}
