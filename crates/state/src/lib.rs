//! The life of a router's process, as decisions without IO.

mod lifecycle;

pub use lifecycle::{Lifecycle, LifecycleAction, LifecycleEvent, LifecycleTimeouts, Phase, StopReason};
