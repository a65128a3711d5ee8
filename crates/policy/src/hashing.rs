//! Hashes that stand in for random draws: the same inputs always give the same choice.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bits of a hash that fit the fraction of an `f64`.
const FRACTION_BITS: u32 = 53;

/// A number from 0 up to 1 that depends on this router's seed, a label and a key alone.
pub fn uniform_draw(seed: u64, label: impl AsRef<[u8]>, key: &str) -> f64 {
    let salt = seed ^ xxh3_64_with_seed(label.as_ref(), seed);
    let hash = xxh3_64_with_seed(key.as_bytes(), salt);
    (hash >> (u64::BITS - FRACTION_BITS)) as f64 / (1_u64 << FRACTION_BITS) as f64
}

/// Rendezvous hashing: how high a worker ranks for a key. All routers rank alike.
#[derive(Debug, Clone, Copy)]
pub struct RendezvousKey(u64);

impl RendezvousKey {
    /// The ranking by this key.
    pub fn new(key: &str) -> Self {
        Self(xxh3_64_with_seed(key.as_bytes(), 0))
    }

    /// The rank of a worker, by its id.
    pub fn rank(self, worker: &str) -> u64 {
        xxh3_64_with_seed(worker.as_bytes(), self.0)
    }
}
