//! Settings of operators.

use amaranth_wire::role::OperatorRole;

use crate::reader::Section;

/// Hexadecimal digits of a SHA-256.
const DIGEST_DIGITS: usize = 64;

/// One operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Name in the audit view.
    pub name: String,
    /// What the operator may do.
    pub role: OperatorRole,
    /// SHA-256 of the key, lower-case hexadecimal.
    pub key_sha256: String,
}

impl OperatorSettings {
    pub(crate) fn decode(section: &Section<'_, '_>) -> Option<Self> {
        let name = section.text("name");
        let role = section.text("role");
        let key_sha256: Option<String> = section.text("key_sha256");
        let is_digest = |text: &String| {
            let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
            text.len() == DIGEST_DIGITS && text.bytes().all(digit)
        };
        if key_sha256.as_ref().is_some_and(|text| !is_digest(text)) {
            let message = format!("\"key_sha256\" must be {DIGEST_DIGITS} lower-case hex digits");
            section.report_at("key_sha256", message);
        }
        Some(Self {
            name: name?,
            role: role?,
            key_sha256: key_sha256?,
        })
    }
}
