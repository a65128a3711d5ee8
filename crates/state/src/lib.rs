//! The lifecycle of a router's process: start, ready, reload, drain, stop. Decisions without input or output of their own.

mod event;
mod lifecycle;
mod stop;

pub use event::{LifecycleAction, LifecycleEvent};
pub use lifecycle::{Lifecycle, LifecycleTimeouts, Phase};
pub use stop::StopReason;
