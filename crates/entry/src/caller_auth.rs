//! Authenticates callers: maps the key that a request carries to a team.

use std::collections::HashMap;

use amaranth_net::route::RouteRequest;
use amaranth_settings::team::{KeyDigest, TeamSettings};
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::TeamId;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::context::Result;

/// Team of all callers if the settings list no teams.
const DEFAULT_TEAM: &str = "default";
/// Authorization scheme for keys, compared without case.
const AUTH_SCHEME: &str = "bearer";
/// Length in bytes of the digest prefix that groups keys, so that a look-up compares only a few.
const GROUP_BYTES: usize = 8;

type KeyGroup = [u8; GROUP_BYTES];

/// Key digests of all teams, grouped by prefix.
#[derive(Debug)]
pub struct CallerKeys {
    groups: HashMap<KeyGroup, Vec<(KeyDigest, TeamId)>>,
    default_team: TeamId,
}

impl CallerKeys {
    /// Collects the keys of these teams. Without teams, no key is required.
    pub fn new(teams: &[TeamSettings]) -> Self {
        let mut groups: HashMap<_, Vec<_>> = HashMap::new();
        for team in teams {
            let keys = groups.entry(key_group(&team.key_sha256)).or_default();
            keys.push((team.key_sha256, team.name.clone()));
        }
        Self {
            groups,
            default_team: DEFAULT_TEAM.parse().expect("a valid name"),
        }
    }

    /// The team of a request's caller. Fails with `Unauthorized` for a missing or unknown key.
    pub fn team(&self, request: &RouteRequest) -> Result<TeamId> {
        if self.groups.is_empty() {
            return Ok(self.default_team.clone());
        }
        let authorization = request.header(AUTHORIZATION.as_str());
        let key = authorization.and_then(bearer_key).ok_or_else(|| {
            let message = "a key is needed: \"Authorization: Bearer KEY\"";
            CallError::new(ErrorKind::Unauthorized, message)
        })?;
        let team = self.team_of_key(key);
        team.ok_or_else(|| CallError::new(ErrorKind::Unauthorized, "the key is not known"))
    }

    /// The team that a key belongs to. Digests are compared in constant time.
    pub fn team_of_key(&self, key: &str) -> Option<TeamId> {
        let digest = KeyDigest(Sha256::digest(key).into());
        let keys = self.groups.get(&key_group(&digest))?;
        let mut found = None;
        for (known, team) in keys {
            if bool::from(known.0.ct_eq(&digest.0)) {
                found = Some(team.clone());
            }
        }
        found
    }
}

fn key_group(digest: &KeyDigest) -> KeyGroup {
    let mut group = KeyGroup::default();
    group.copy_from_slice(&digest.0[..GROUP_BYTES]);
    group
}

fn bearer_key(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    let is_bearer = scheme.eq_ignore_ascii_case(AUTH_SCHEME) && !key.is_empty();
    is_bearer.then_some(key)
}
