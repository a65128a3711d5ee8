//! The platform's protocol, sans-IO: what a client's head says, what an engine's answer means, discovery's lists, and
//! the configuration that a router is started with. No sockets, no decisions: [`Platform`] is a
//! [`chalkyard_router::dialect::Dialect`] that the router's core speaks.

mod config;
mod dialect;
mod discovery;
mod head;
mod response_observer;

pub use config::{ConfigError, Limits, StartupConfig};
pub use dialect::Platform;
