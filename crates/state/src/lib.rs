//! The life of a router's process, as decisions without IO.

mod lifecycle;

pub use lifecycle::{Act, Event, Life, Phase, Stop, Terms};
