//! The lifecycle of a router's process: start, ready, reload, drain, stop. Decisions without input or output of their own.

#![warn(clippy::pedantic, rustdoc::broken_intra_doc_links, rustdoc::private_intra_doc_links)]
// Nearly every method of a state machine returns a value; where a dropped one is a mistake, the attribute is set by hand.
#![allow(clippy::must_use_candidate)]

mod event;
mod lifecycle;
mod stop;

pub use event::{LifecycleAction, LifecycleEvent};
pub use lifecycle::{Lifecycle, LifecycleTimeouts, Phase};
pub use stop::StopReason;
