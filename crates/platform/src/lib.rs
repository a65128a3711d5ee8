//! The platform's protocol, sans-IO: heads of client requests, replies of workers, endpoint lists of service discovery,
//! and the configuration file of a router.
//!
//! This crate has no sockets and makes no routing decisions. [`Platform`] implements
//! [`chalkyard_router::dialect::Dialect`] for the router's core.

mod config;
mod dialect;
mod discovery;
mod head;
mod response_observer;
mod shutdown;
mod timeouts;

pub use config::{ConfigError, Limits, StartupConfig};
pub use dialect::Platform;
