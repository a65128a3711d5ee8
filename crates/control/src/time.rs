//! Time as the state machines of this package see it.

/// Microseconds of a monotonic clock. The caller reads the clock; nothing in this package does.
pub type Micros = u64;
