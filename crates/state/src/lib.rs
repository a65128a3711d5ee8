//! The life of a router's process, as decisions without IO.

mod lifecycle;
#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]
mod lifecycle_test;

pub use lifecycle::{Act, Event, Life, Phase, Stop, Terms};
