//! A small seeded generator for jitter and for simulated delays.

/// Xorshift with 64 bits of state: the same seed gives the same numbers on every machine. Not for secrets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Xorshift64 {
    state: u64,
}

impl Xorshift64 {
    /// Neighbouring seeds are spread over all bits by the golden ratio. The state is never 0, which would give only zeros.
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1 }
    }

    /// A number below `limit`; 0 if the limit is 0.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state % limit.max(1)
    }
}
