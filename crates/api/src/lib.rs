//! Validated types for the messages of clients and engines, without sockets or routing.
//!
//! - [`client`]: the messages call with its validation, events and errors.
//! - [`engine`]: the completion call of engines, their answers and load reports.
//! - [`keys`]: API keys, stored only as keyed hashes.
//! - [`tokens`]: estimates of the number of tokens of a prompt.

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// Tests with a long sequence of steps may stay one function.
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

pub mod client;
pub mod engine;
pub mod keys;
pub mod tokens;

pub use client::{ErrorKind, MessagesRequest, RequestError};
