//! Values that are found by the digest of a key.

use std::collections::HashMap;

use amaranth_wire::key_digest::KeyDigest;
use subtle::ConstantTimeEq;

/// Length in bytes of the digest prefix that groups keys, so that a look-up compares only a few.
const GROUP_BYTES: usize = 8;

type KeyGroup = [u8; GROUP_BYTES];

/// Values by the digest of a key. Digests are compared in constant time.
#[derive(Debug, Clone)]
pub struct KeyTable<T> {
    groups: HashMap<KeyGroup, Vec<(KeyDigest, T)>>,
}

impl<T> Default for KeyTable<T> {
    fn default() -> Self {
        Self {
            groups: HashMap::new(),
        }
    }
}

impl<T> KeyTable<T> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a key. Of two with the same digest, the later one counts.
    pub fn insert(&mut self, digest: KeyDigest, value: T) {
        let keys = self.groups.entry(key_group(&digest)).or_default();
        keys.push((digest, value));
    }

    /// Returns the value of a key; `None` if the key is unknown.
    pub fn find(&self, digest: &KeyDigest) -> Option<&T> {
        let keys = self.groups.get(&key_group(digest))?;
        let mut found = None;
        for (known, value) in keys {
            if bool::from(known.0.ct_eq(&digest.0)) {
                found = Some(value);
            }
        }
        found
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}

fn key_group(digest: &KeyDigest) -> KeyGroup {
    let mut group = KeyGroup::default();
    group.copy_from_slice(&digest.0[..GROUP_BYTES]);
    group
}
