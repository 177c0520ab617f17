//! Settings of teams and their keys.

use amaranth_wire::id::TeamId;
use amaranth_wire::key_digest::KeyDigest;

use crate::reader::Section;

/// A team, whose callers share a quota. If no team is configured, callers need no key and belong to
/// one default team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: TeamId,
    /// Digest of the key that its callers send.
    pub key_sha256: KeyDigest,
}

impl TeamSettings {
    pub(crate) fn decode(section: &Section<'_, '_>) -> Option<Self> {
        let name = section.text("name");
        let key_sha256 = section.text("key_sha256");
        Some(Self {
            name: name?,
            key_sha256: key_sha256?,
        })
    }
}
