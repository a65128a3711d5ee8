//! Parses and validates a router's XML settings file; every error has its line and column. Schema: `deploy/chalkyard.xsd`.
//!
//! Time and memory for reading a file are linear in its length, whatever the number of tenants.

#![warn(clippy::type_complexity, rustdoc::broken_intra_doc_links)]
// A test of a long sequence of steps may stay one function.
#![cfg_attr(not(test), warn(clippy::too_many_lines))]

mod budgets;
mod classes;
mod document;
mod fleet;
mod limits;
mod rules;
mod tenants;
mod values;
pub mod xml;

pub use budgets::{Budgets, Settlement};
pub use document::{read, Settings, NAMESPACE};
pub use xml::SettingsError;
