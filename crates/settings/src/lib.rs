//! Settings: an XML file to what a router is told, with every error's line and column. Schema: `deploy/chalkyard.xsd`.
//!
//! A file is read in time that grows with its length alone, however many tenants it names.

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
