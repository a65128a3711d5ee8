//! The wire protocol of the simulator: its messages as types, and their translation to the events and from the actions
//! of the decision module.
//!
//! The adapter binary processes whole batches with it. The router on the platform reads the same settings object and
//! the same load reports.

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// A test of a long sequence may stay one function.
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

pub mod session;
pub mod translate;
pub mod wire;
