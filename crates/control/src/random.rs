//! A seeded pseudorandom generator for jitter and simulated delays.

/// Xorshift generator with 64 bits of state: the same seed gives the same sequence on every machine. Not cryptographically
/// secure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Xorshift64 {
    state: u64,
}

impl Xorshift64 {
    /// Creates a generator. Multiplication by the golden ratio constant spreads similar seeds over all bits. The state is never
    /// 0, since a zero state would produce only zeros.
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1 }
    }

    /// Returns a number below `limit`, or 0 if `limit` is 0.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state % limit.max(1)
    }
}
