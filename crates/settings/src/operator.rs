//! Settings of operators.

use amaranth_wire::key_digest::KeyDigest;
use amaranth_wire::role::OperatorRole;

use crate::reader::Section;

/// One operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Name shown in the audit view.
    pub name: String,
    /// Role, which sets the permissions.
    pub role: OperatorRole,
    /// Digest of the operator's key.
    pub key_sha256: KeyDigest,
}

impl OperatorSettings {
    pub(crate) fn decode(section: &Section<'_, '_>) -> Option<Self> {
        let name = section.text("name");
        let role = section.text("role");
        let key_sha256 = section.text("key_sha256");
        Some(Self {
            name: name?,
            role: role?,
            key_sha256: key_sha256?,
        })
    }
}
