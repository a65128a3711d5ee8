//! The request path between clients, workers and the policy.
//!
//! [`Core`] is sans-IO: `core.handle(now, input, &mut outputs)`, where an input is bytes received on a connection, a
//! change of a connection's state or the passing of time, and an output is bytes to write, a connection to open or close,
//! or a record for the log. [`shell`] drives it with mio; tests call it directly. The policy ([`chalkyard_policy`])
//! makes every decision about workers, retries and load shedding.

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// Tests are exempt: a test of a long sequence is easier to read as one function.
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
