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
mod tests {
    #![allow(clippy::unwrap_used)]
    use super::KeyRing;

    #[test]
    fn finds_owners_by_hash_only() {
        let mut ring = KeyRing::new([7; 32]);
        let hash = ring.hash("secret");
        ring.add(&hash, 3).unwrap();
        assert!(ring.add(&hash, 4).is_err());
        assert!(ring.add("zz", 4).is_err());
        assert_eq!(ring.owner("secret"), Some(3));
        assert_eq!(ring.owner("Secret"), None);
        assert_eq!(KeyRing::new([8; 32]).owner("secret"), None);
        assert_ne!(KeyRing::new([8; 32]).hash("secret"), hash);
        assert_eq!(format!("{ring:?}"), "KeyRing(1 keys)");
        assert_eq!(ring.owned_by(|owner| (owner == 3).then_some(7)).owner("secret"), Some(7));
        assert_eq!(ring.owned_by(|_| None).owner("secret"), None);
    }
}
