//! Messages of clients and engines as checked types. No sockets, no routing.
//!
//! - [`client`]: the messages call, its checks, its events and errors.
//! - [`engine`]: the completion call of engines, their answers and load reports.
//! - [`keys`]: API keys, stored only as keyed hashes.
//! - [`tokens`]: estimates of a prompt's tokens.

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// A test that plays a long sequence stays one function.
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

pub mod client;
pub mod engine;
pub mod keys;
pub mod tokens;

pub use client::{ErrorKind, MessagesRequest, RequestError};
