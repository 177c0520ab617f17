//! Tells who sent a call, by the teams of the configuration in force.

use std::sync::Arc;

use amaranth_kernel::route_table::RouteRule;
use amaranth_kernel::team_table::{TeamRule, TeamTable};
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::placement_message::{PromptShape, RequestWork};

use crate::answer::RequestFailure;
use crate::call::CallerKey;

/// Result of identifying a caller.
pub type Result<T> = std::result::Result<T, RequestFailure>;

/// A caller that may use the system.
#[derive(Debug, Clone)]
pub struct IdentifiedCaller {
    /// Who it is.
    pub identity: CallerIdentity,
    /// Its team, as configured; `None` without one.
    pub team: Option<Arc<TeamRule>>,
}

impl IdentifiedCaller {
    /// Creates a caller without a team.
    fn new(identity: CallerIdentity) -> Self {
        Self {
            identity,
            team: None,
        }
    }

    /// What the allocator of a slot weighs; `None` if neither a team nor a prompt is known.
    pub fn work(&self, route: &RouteRule, prompt: PromptShape) -> Option<RequestWork> {
        if self.identity == CallerIdentity::Unchecked && prompt == PromptShape::default() {
            return None;
        }
        let priority = self.team.as_ref().and_then(|team| team.priority);
        Some(RequestWork {
            team: self.identity.team().cloned(),
            priority: priority.unwrap_or(route.priority),
            prompt,
        })
    }
}

/// Identifies a caller by its key. An unknown key is refused also where none is needed: its caller takes
/// itself for a member of a team.
pub fn identify(
    teams: Option<&TeamTable>,
    key: CallerKey,
    allows_anonymous: bool,
) -> Result<IdentifiedCaller> {
    let Some(teams) = teams else {
        return Ok(IdentifiedCaller::new(CallerIdentity::Unchecked));
    };
    match key {
        CallerKey::Missing if allows_anonymous => {
            Ok(IdentifiedCaller::new(CallerIdentity::Anonymous))
        }
        CallerKey::Missing | CallerKey::Malformed => Err(RequestFailure::Unauthorized),
        CallerKey::Present(digest) => {
            let team = teams.find_key(&digest);
            let team = team.ok_or(RequestFailure::Unauthorized)?.clone();
            Ok(IdentifiedCaller {
                identity: CallerIdentity::Team(team.id.clone()),
                team: Some(team),
            })
        }
    }
}
