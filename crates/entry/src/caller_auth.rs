//! Which team a caller belongs to, by the key that it shows.

use std::collections::HashMap;

use amaranth_net::route::RouteRequest;
use amaranth_settings::team::{KeyDigest, TeamSettings};
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::TeamId;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::context::Result;

/// The team of every caller where the settings name no teams.
const DEFAULT_TEAM: &str = "default";
/// Authorization scheme of keys.
const AUTH_SCHEME: &str = "bearer";
/// Bytes of a digest that group keys, so that a look-up compares few of them.
const GROUP_BYTES: usize = 8;

type KeyGroup = [u8; GROUP_BYTES];

/// The callers' keys.
#[derive(Debug)]
pub struct CallerKeys {
    groups: HashMap<KeyGroup, Vec<(KeyDigest, TeamId)>>,
    default_team: TeamId,
}

impl CallerKeys {
    /// The keys of these teams; without any, every caller is welcome.
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

    /// The team that a request comes from.
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

    /// The team whose key this is. Digests are compared in constant time.
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
