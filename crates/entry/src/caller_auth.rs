//! Authenticates callers: maps the key that a request carries to a team.

use amaranth_kernel::key_table::KeyTable;
use amaranth_net::route::RouteRequest;
use amaranth_settings::team::TeamSettings;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::TeamId;
use amaranth_wire::key_digest::KeyDigest;
use http::header::AUTHORIZATION;

use crate::context::Result;

/// Team of all callers if the settings list no teams.
const DEFAULT_TEAM: &str = "default";
/// Authorization scheme for keys, compared without case.
const AUTH_SCHEME: &str = "bearer";

/// Key digests of all teams.
#[derive(Debug)]
pub struct CallerKeys {
    keys: KeyTable<TeamId>,
    default_team: TeamId,
}

impl CallerKeys {
    /// Collects the keys of these teams. Without teams, no key is required.
    pub fn new(teams: &[TeamSettings]) -> Self {
        let mut keys = KeyTable::new();
        for team in teams {
            keys.insert(team.key_sha256, team.name.clone());
        }
        Self {
            keys,
            default_team: DEFAULT_TEAM.parse().expect("a valid name"),
        }
    }

    /// The team of a request's caller. Fails with `Unauthorized` for a missing or unknown key.
    pub fn team(&self, request: &RouteRequest) -> Result<TeamId> {
        if self.keys.is_empty() {
            return Ok(self.default_team.clone());
        }
        let authorization = request.header(AUTHORIZATION.as_str());
        let key = authorization.and_then(bearer_key).ok_or_else(|| {
            let message = "a key is needed: \"Authorization: Bearer KEY\"";
            CallError::new(ErrorKind::Unauthorized, message)
        })?;
        let team = self.keys.find(&KeyDigest::of_key(key)).cloned();
        team.ok_or_else(|| CallError::new(ErrorKind::Unauthorized, "the key is not known"))
    }
}

fn bearer_key(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    let is_bearer = scheme.eq_ignore_ascii_case(AUTH_SCHEME) && !key.is_empty();
    is_bearer.then_some(key)
}
