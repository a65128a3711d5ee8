//! Digests that are updated by what changes.

use serde::{Deserialize, Serialize};

const LANES: usize = 4;

/// The digest of a set of entries: the sum of their BLAKE3 hashes in four lanes of 64 bits.
///
/// Adding or removing an entry costs one hash, however many entries there are. It detects faults, not forgeries: messages
/// and files are authenticated by [`crate::SiteKey`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u64; LANES]);

impl Digest {
    /// The digest of one entry.
    pub fn of_entry(key: &str, value: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The key's length keeps `ab` with `c` apart from `a` with `bc`.
        hasher.update(&(key.len() as u64).to_le_bytes());
        hasher.update(key.as_bytes());
        hasher.update(value.as_bytes());
        Self::of_hash(hasher.finalize())
    }

    /// The digest of any bytes.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self::of_hash(blake3::hash(bytes))
    }

    /// Each lane is eight bytes of the hash in little-endian order.
    fn of_hash(hash: blake3::Hash) -> Self {
        let mut lanes = [0; LANES];
        for (lane, bytes) in lanes.iter_mut().zip(hash.as_bytes().chunks_exact(8)) {
            *lane = bytes.iter().rev().fold(0, |lane, byte| lane << 8 | u64::from(*byte));
        }
        Self(lanes)
    }

    /// The digest of the set with one more entry.
    #[must_use]
    pub fn with(self, entry: Self) -> Self {
        self.combine(entry, u64::wrapping_add)
    }

    /// The digest of the set without an entry that is part of it.
    #[must_use]
    pub fn without(self, entry: Self) -> Self {
        self.combine(entry, u64::wrapping_sub)
    }

    fn combine(mut self, other: Self, operation: fn(u64, u64) -> u64) -> Self {
        for (lane, other_lane) in self.0.iter_mut().zip(other.0) {
            *lane = operation(*lane, other_lane);
        }
        self
    }
}

/// In hexadecimal digits.
impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|lane| write!(f, "{lane:016x}"))
    }
}
