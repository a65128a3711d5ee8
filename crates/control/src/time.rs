//! The time unit of the state machines in this crate.

/// Microseconds of a monotonic clock. The caller reads the clock; code in this crate never does, except the simulation, which
/// measures its own run time.
pub type Micros = u64;
