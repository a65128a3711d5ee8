//! Time as the state machines of this package see it.

/// A time by a monotonic clock, µs.
pub type Micros = u64;
