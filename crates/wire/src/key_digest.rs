//! Digests of callers' keys. The keys themselves are never stored.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Length of a SHA-256 digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key, written as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

/// The string is not a SHA-256 digest in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseDigestError;

impl fmt::Display for ParseDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {} hexadecimal digits", 2 * DIGEST_BYTES)
    }
}

impl std::error::Error for ParseDigestError {}

/// Result of parsing a digest.
pub type Result<T> = std::result::Result<T, ParseDigestError>;

impl KeyDigest {
    /// Digest of a key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !digits {
            return Err(ParseDigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| ParseDigestError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| ParseDigestError)?;
        }
        Ok(Self(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
