//! Hashes that replace random draws: equal inputs always give equal results.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of hash bits that fit in the significand of an `f64`.
const FRACTION_BITS: u32 = 53;

/// Returns a uniformly distributed number in [0, 1) that depends only on the seed, the label and the key.
pub fn uniform_draw(seed: u64, label: impl AsRef<[u8]>, key: &str) -> f64 {
    let salt = seed ^ xxh3_64_with_seed(label.as_ref(), seed);
    let hash = xxh3_64_with_seed(key.as_bytes(), salt);
    (hash >> (u64::BITS - FRACTION_BITS)) as f64 / (1_u64 << FRACTION_BITS) as f64
}

/// Key of a rendezvous hash, which ranks workers. Every router computes the same ranking.
#[derive(Debug, Clone, Copy)]
pub struct RendezvousKey(u64);

impl RendezvousKey {
    /// Hashes a key. The hash has no router-specific seed.
    pub fn new(key: &str) -> Self {
        Self(xxh3_64_with_seed(key.as_bytes(), 0))
    }

    /// Returns the rank of a worker, computed from the worker id.
    pub fn rank(self, worker: &str) -> u64 {
        xxh3_64_with_seed(worker.as_bytes(), self.0)
    }
}
