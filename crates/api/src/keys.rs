//! API keys: known only by their keyed hashes.

use std::collections::BTreeMap;
use std::fmt;

/// Whose key it is: the tenant's position in the settings.
pub type Owner = usize;

/// The keys of all tenants. Holds no key, only its BLAKE3 hash under the ring's own secret salt.
#[derive(Clone)]
pub struct KeyRing {
    salt: [u8; 32],
    /// By the first bytes of the hash, which tell nothing without the salt.
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
    /// A ring without keys.
    pub fn new(salt: [u8; 32]) -> Self {
        Self { salt, keys: BTreeMap::new() }
    }

    /// The hash under which a key is kept, in hexadecimal.
    pub fn hash(&self, key: &str) -> String {
        blake3::keyed_hash(&self.salt, key.as_bytes()).to_hex().to_string()
    }

    /// Adds a key by its hash. An error says what is wrong with it.
    pub fn add(&mut self, hex: &str, owner: Owner) -> Result<(), &'static str> {
        let hash = blake3::Hash::from_hex(hex).map_err(|_| "not 64 hexadecimal digits")?;
        let keys = self.keys.entry(bucket(&hash)).or_default();
        if keys.iter().any(|(h, _)| *h == hash) {
            return Err("the same key twice");
        }
        keys.push((hash, owner));
        Ok(())
    }

    /// The same keys under other owners; those of owners that there are no more are dropped.
    #[must_use]
    pub fn owned_by(&self, owner: impl Fn(Owner) -> Option<Owner>) -> Self {
        let mut keys: BTreeMap<[u8; 4], Vec<(blake3::Hash, Owner)>> = BTreeMap::new();
        for (hash, old) in self.keys.values().flatten() {
            if let Some(new) = owner(*old) {
                keys.entry(bucket(hash)).or_default().push((*hash, new));
            }
        }
        Self { salt: self.salt, keys }
    }

    /// The owner of a key. Hashes are compared in constant time (that is how BLAKE3's compare).
    pub fn owner(&self, key: &str) -> Option<Owner> {
        let hash = blake3::keyed_hash(&self.salt, key.as_bytes());
        let keys = self.keys.get(&bucket(&hash))?;
        keys.iter().fold(None, |found, (h, owner)| if *h == hash { Some(*owner) } else { found })
    }
}

#[cfg(test)]
#[path = "keys_test.rs"]
mod tests;
