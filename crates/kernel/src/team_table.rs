//! The teams of a configuration, found by the keys of their callers.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use amaranth_wire::id::TeamId;
use amaranth_wire::key_digest::KeyDigest;

use crate::key_table::KeyTable;

/// Limit on a team's requests, over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestQuota {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
}

impl fmt::Display for RequestQuota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s+{}", self.rate_per_s, self.burst)
    }
}

/// Priority and limit of one team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamRule {
    /// Name of the team.
    pub id: TeamId,
    /// Rank of its requests, 0 for the most urgent; `None` for that of their routes.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` for no limit.
    pub quota: Option<RequestQuota>,
}

/// Teams of one configuration.
#[derive(Debug, Clone, Default)]
pub struct TeamTable {
    by_key: KeyTable<Arc<TeamRule>>,
    by_id: HashMap<TeamId, Arc<TeamRule>>,
}

impl TeamTable {
    /// Indexes teams by the digests of their keys.
    pub fn new(teams: Vec<(TeamRule, Vec<KeyDigest>)>) -> Self {
        let mut table = Self::default();
        for (rule, keys) in teams {
            let rule = Arc::new(rule);
            for digest in keys {
                table.by_key.insert(digest, rule.clone());
            }
            table.by_id.insert(rule.id.clone(), rule);
        }
        table
    }

    /// Returns the team that holds a key; `None` if the key is unknown.
    pub fn find_key(&self, digest: &KeyDigest) -> Option<&Arc<TeamRule>> {
        self.by_key.find(digest)
    }

    /// Returns a team by its name.
    pub fn get(&self, team: &TeamId) -> Option<&Arc<TeamRule>> {
        self.by_id.get(team)
    }

    /// Number of teams.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are no teams.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
