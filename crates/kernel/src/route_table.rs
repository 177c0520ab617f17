//! Which route serves a request: by host and by the longest matching prefix of the path.

use std::collections::HashMap;
use std::sync::Arc;

use amaranth_wire::id::{ConfigRevision, UpstreamGroupId};

/// What may be done with requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Whole answers; may run more than once.
    Idempotent,
    /// Whole answers; runs at most once for each request.
    AtMostOnce,
    /// A stream of numbered events.
    Stream {
        /// Whether another upstream may go on after the last event. Without it the stream runs
        /// at most once.
        resumable: bool,
    },
    /// Batch jobs.
    Batch {
        /// When all results are due, counted from the first submission, in milliseconds.
        completion_target_ms: u64,
        /// When an unfinished item may be given up, counted likewise, in milliseconds.
        give_up_ms: u64,
    },
}

impl RouteKind {
    /// Whether work that may have run can be run again from its start or its last event.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::Batch { .. } => true,
            Self::Stream { resumable } => resumable,
            Self::AtMostOnce => false,
        }
    }
}

/// One share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupShare {
    /// The upstreams that it goes to.
    pub group: UpstreamGroupId,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name for logs.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Prefix of the paths that it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Where its requests go.
    pub shares: Vec<GroupShare>,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which the first event or the whole answer is on time, in milliseconds.
    pub objective_ms: u64,
    /// Most upstreams that may run one request.
    pub max_attempts: u32,
}

impl RouteRule {
    /// The group for a draw from 0 to 1.
    pub fn group(&self, draw: f64) -> Option<&UpstreamGroupId> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut rest = draw * f64::from(total);
        let weighted = self.shares.iter().filter(|share| share.weight > 0);
        for share in weighted.clone() {
            rest -= f64::from(share.weight);
            if rest < 0.0 {
                return Some(&share.group);
            }
        }
        weighted.map(|share| &share.group).next_back()
    }
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a kept connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

/// One version of the configuration, ready for look-ups.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Its number.
    pub revision: ConfigRevision,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    hosts: HashMap<String, Vec<Arc<RouteRule>>>,
}

impl RouteTable {
    /// A table of these routes.
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
            hosts,
        }
    }

    /// The route of a request. The host may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
