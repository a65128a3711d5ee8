//! Incremental digests of sets of entries.

use serde::{Deserialize, Serialize};

/// 64-bit words of a digest: 256 bits, the length of a BLAKE3 hash.
const LANES: usize = 4;

/// The digest of a set of entries: the sum of their BLAKE3 hashes in four lanes of 64 bits.
///
/// Adding or removing an entry costs one hash, regardless of the number of entries. The digest detects faults, not forgery:
/// messages and files are authenticated by [`crate::SiteKey`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u64; LANES]);

impl Digest {
    /// Computes the digest of one entry.
    pub fn of_entry(key: &str, value: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The key's length distinguishes key `ab` with value `c` from key `a` with value `bc`.
        hasher.update(&(key.len() as u64).to_le_bytes());
        hasher.update(key.as_bytes());
        hasher.update(value.as_bytes());
        Self::of_hash(hasher.finalize())
    }

    /// Computes the digest of arbitrary bytes.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self::of_hash(blake3::hash(bytes))
    }

    /// Splits the hash into lanes, each of eight bytes in little-endian order.
    fn of_hash(hash: blake3::Hash) -> Self {
        let mut lanes = [0; LANES];
        for (lane, bytes) in lanes.iter_mut().zip(hash.as_bytes().chunks_exact(8)) {
            *lane = bytes.iter().rev().fold(0, |lane, byte| lane << 8 | u64::from(*byte));
        }
        Self(lanes)
    }

    /// Returns the digest of the set with one more entry.
    #[must_use]
    pub fn with(self, entry: Self) -> Self {
        self.combine(entry, u64::wrapping_add)
    }

    /// Returns the digest of the set without `entry`, which has to be part of the set.
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

/// Prints the digest in hexadecimal.
impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|lane| write!(f, "{lane:016x}"))
    }
}
