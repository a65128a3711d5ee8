//! The lifecycle of a router process as a state machine without I/O: start, ready, reload, drain, stop.

#![warn(clippy::pedantic, rustdoc::broken_intra_doc_links, rustdoc::private_intra_doc_links)]
// Nearly every method of a state machine returns a value; `must_use` is set by hand where ignoring the value is an error.
#![allow(clippy::must_use_candidate)]

mod event;
mod lifecycle;
mod stop;

pub use event::{LifecycleAction, LifecycleEvent};
pub use lifecycle::{Lifecycle, LifecycleTimeouts, Phase};
pub use stop::StopReason;
