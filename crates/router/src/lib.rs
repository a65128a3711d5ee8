//! The way of a request between a client, the workers and the policy.
//!
//! [`Core`] is sans-IO: `core.handle(now, input, &mut outputs)`, where an input is bytes on a connection, a
//! connection's state or the time, and an output is bytes to write, a connection to open or close, or a
//! record for the log. [`shell`] drives it with mio; tests drive it by hand. Every decision about
//! workers, retries and load shedding is the policy's ([`chalkyard_policy`]).

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// A test that plays a long sequence stays one function.
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

mod config;
mod core;
pub mod dialect;
mod discovery;
mod identity;
pub mod shell;
mod timers;

pub use crate::config::{
    Bounds, ClassConfig, Config, MigrationWindow, RuntimeSettings, TenantConfig, Timeouts, WorkerKind,
};
pub use crate::core::counters::{Counters, CountsByCause, Violation};
pub use crate::core::record::{AttemptRecord, RequestOutcome, RequestRecord};
pub use crate::core::tally::Tally;
pub use crate::core::transitions::{Transition, TransitionKind};
pub use crate::core::view::{BoundedList, CoreStatus, OpenRequest, WorkerView};
pub use crate::core::{ConnId, Core, Input, Output};
