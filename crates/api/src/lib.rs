//! What clients and engines say, typed and checked. No sockets, no routing.
//!
//! - [`client`]: the messages call, its checks, its events and errors.
//! - [`engine`]: the completion call of engines, their replies and load reports.
//! - [`keys`]: API keys, kept only as keyed hashes.
//! - [`tokens`]: the estimate of a prompt's tokens.

pub mod client;
pub mod engine;
pub mod keys;
pub mod tokens;

pub use client::{ErrorKind, MessagesRequest, Refusal};
