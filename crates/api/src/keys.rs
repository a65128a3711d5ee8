//! API keys, stored only as keyed hashes.

use std::collections::BTreeMap;
use std::fmt;

/// The tenant that a key belongs to, as its index in the settings.
pub type Owner = usize;

/// An error on adding the hash of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyHashError {
    /// The text is not a hash.
    #[error("not 64 hexadecimal digits")]
    Malformed,
    /// The ring already has this hash.
    #[error("the same key twice")]
    Duplicate,
}

/// The API keys of all tenants. Only their BLAKE3 hashes, keyed with the ring's secret salt, are stored, never the keys.
#[derive(Clone)]
pub struct KeyRing {
    salt: [u8; 32],
    /// Hashes grouped by their first bytes, which reveal nothing about a key without the salt.
    keys: BTreeMap<[u8; 4], Vec<(blake3::Hash, Owner)>>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({} keys)", self.keys.values().map(Vec::len).sum::<usize>())
    }
}

fn bucket(hash: &blake3::Hash) -> [u8; 4] {
    let [a, b, c, d, ..] = *hash.as_bytes();
    [a, b, c, d]
}

impl KeyRing {
    /// Creates a ring without keys.
    pub fn new(salt: [u8; 32]) -> Self {
        Self { salt, keys: BTreeMap::new() }
    }

    /// Computes the hash of a key as it is stored, in hexadecimal.
    pub fn hash(&self, key: &str) -> String {
        blake3::keyed_hash(&self.salt, key.as_bytes()).to_hex().to_string()
    }

    /// Adds a key by its hash in hexadecimal.
    ///
    /// # Errors
    /// The hash is malformed, or the ring already has it.
    pub fn add(&mut self, hex: &str, owner: Owner) -> Result<(), KeyHashError> {
        let hash = blake3::Hash::from_hex(hex).map_err(|_| KeyHashError::Malformed)?;
        let keys = self.keys.entry(bucket(&hash)).or_default();
        if keys.iter().any(|(h, _)| *h == hash) {
            return Err(KeyHashError::Duplicate);
        }
        keys.push((hash, owner));
        Ok(())
    }

    /// Returns a ring with the same keys and new owners. Keys for which `owner` returns `None` are dropped.
    #[must_use]
    pub fn remap_owners(&self, owner: impl Fn(Owner) -> Option<Owner>) -> Self {
        let mut keys: BTreeMap<[u8; 4], Vec<(blake3::Hash, Owner)>> = BTreeMap::new();
        for (hash, old) in self.keys.values().flatten() {
            if let Some(new) = owner(*old) {
                keys.entry(bucket(hash)).or_default().push((*hash, new));
            }
        }
        Self { salt: self.salt, keys }
    }

    /// Looks up the owner of a key. The comparison of BLAKE3 hashes takes constant time.
    pub fn owner(&self, key: &str) -> Option<Owner> {
        let hash = blake3::keyed_hash(&self.salt, key.as_bytes());
        let keys = self.keys.get(&bucket(&hash))?;
        keys.iter().fold(None, |found, (h, owner)| if *h == hash { Some(*owner) } else { found })
    }
}

#[cfg(test)]
#[path = "keys_test.rs"]
mod tests;
