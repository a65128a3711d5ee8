//! The lifecycle of a router process, and its hand-over to a successor, as state machines without I/O.

#![warn(clippy::pedantic, rustdoc::broken_intra_doc_links, rustdoc::private_intra_doc_links)]
// Nearly every method of a state machine returns a value; `must_use` is set by hand where ignoring the value is an error.
#![allow(clippy::must_use_candidate)]

mod event;
pub mod handover;
mod lifecycle;
mod stop;

pub use event::{LifecycleAction, LifecycleEvent};
pub use lifecycle::{Lifecycle, LifecycleTimeouts, Phase};
pub use stop::StopReason;
