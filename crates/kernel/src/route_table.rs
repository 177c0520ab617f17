//! Route look-up by host and longest matching path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use amaranth_wire::id::{ConfigRevision, UpstreamGroupId};

use crate::team_table::TeamTable;

/// Answer form and retry rules of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Non-streamed answers; a request may run more than once.
    Idempotent,
    /// Non-streamed answers; each request runs at most once.
    AtMostOnce,
    /// A stream of numbered events.
    Stream {
        /// Whether another upstream may continue after the last event. Otherwise the request runs
        /// at most once.
        resumable: bool,
    },
    /// Batch jobs.
    Batch {
        /// Target time from the first submission to the last result, in milliseconds.
        completion_target_ms: u64,
        /// Time after the first submission when an unfinished item may be given up, in
        /// milliseconds.
        give_up_ms: u64,
        /// Most tokens that may wait in all jobs of the route; `None` for no limit.
        max_waiting_tokens: Option<u64>,
    },
}

impl RouteKind {
    /// Whether work that may have run may be repeated from its start or its last event.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::Batch { .. } => true,
            Self::Stream { resumable } => resumable,
            Self::AtMostOnce => false,
        }
    }
}

/// Weighted target of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupShare {
    /// Upstream group that receives the requests.
    pub group: UpstreamGroupId,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// Matching rule, targets and limits of one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route in logs.
    pub name: String,
    /// Host name that the route matches.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Answer form and retry rules.
    pub kind: RouteKind,
    /// Weighted upstream groups.
    pub shares: Vec<GroupShare>,
    /// Maximum time to the complete answer, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the first event or the complete answer, in milliseconds.
    pub objective_ms: u64,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Rank of its requests where their team has none, 0 for the most urgent.
    pub priority: u32,
    /// Whether callers need no key, if the configuration has teams.
    pub allows_anonymous: bool,
    /// Whether its requests have prompts of which upstreams may keep the beginnings.
    pub shares_prompts: bool,
}

impl RouteRule {
    /// Picks a group in proportion to the weights, by a random `draw` from 0 to 1. `None` if no
    /// group has a weight.
    pub fn pick_group(&self, draw: f64) -> Option<&UpstreamGroupId> {
        let total: f64 = self
            .shares
            .iter()
            .map(|share| f64::from(share.weight))
            .sum();
        let mut remaining = draw * total;
        let weighted = self.shares.iter().filter(|share| share.weight > 0);
        for share in weighted.clone() {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.group);
            }
        }
        weighted.map(|share| &share.group).next_back()
    }
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a keep-alive connection, in milliseconds.
    pub idle_ms: u64,
}

/// What the configuration says of the upstreams of a group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupLimits {
    /// Tokens that running requests and kept parts of prompts may take at one upstream; `None` for
    /// upstreams that aren't engines.
    pub cache_tokens: Option<u64>,
}

/// Routes of one configuration revision, indexed by host.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Revision of the configuration.
    pub revision: ConfigRevision,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Teams; `None` if callers need no key.
    pub teams: Option<TeamTable>,
    groups: HashMap<UpstreamGroupId, GroupLimits>,
    hosts: HashMap<String, Vec<Arc<RouteRule>>>,
}

impl RouteTable {
    /// Indexes the routes by host, longest prefix first.
    pub fn new(revision: ConfigRevision, limits: CallerLimits, routes: Vec<RouteRule>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(route.into());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            revision,
            limits,
            teams: None,
            groups: HashMap::new(),
            hosts,
        }
    }

    /// Sets the teams whose keys callers need.
    pub fn with_teams(mut self, teams: TeamTable) -> Self {
        self.teams = Some(teams);
        self
    }

    /// Sets the limits of groups.
    pub fn with_groups(
        mut self,
        groups: impl IntoIterator<Item = (UpstreamGroupId, GroupLimits)>,
    ) -> Self {
        self.groups = groups.into_iter().collect();
        self
    }

    /// Returns the limits of a group's upstreams.
    pub fn group_limits(&self, group: &UpstreamGroupId) -> GroupLimits {
        self.groups.get(group).copied().unwrap_or_default()
    }

    /// Whether any route takes batch jobs from callers without a key.
    pub fn has_anonymous_jobs(&self) -> bool {
        let mut routes = self.hosts.values().flatten();
        routes.any(|route| route.allows_anonymous && matches!(route.kind, RouteKind::Batch { .. }))
    }

    /// The route of a request. The host may include a port and is matched without regard to case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
