//! Many routers in fed time: N real [`chalkyard_router::Core`]s, the rehearsal kit's engines, register and clients, and a
//! network in memory between them, all by one clock that is fed. The same seed gives the same record to the byte.
//!
//! What adds up over a fleet is measured from the record alone ([`Sums`]), so a rehearsal on sockets is measured alike.
//! A core's own work takes no time here; the model's limits are in `docs/fleet-model.md`.

mod cases;
mod emulate;
mod memory;
mod report;
mod shrink;
mod sums;

pub use cases::{bounds, case, Case, CASES};
pub use emulate::{emulate, Emulated};
pub use report::{Played, Report};
pub use shrink::shrink;
pub use sums::{sums, Bound, Sums};
