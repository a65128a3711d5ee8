//! The decision module of chalkyard: a router for language-model serving whose prompts are prefilled and whose answers are
//! decoded on different workers.
//!
//! The module is sans-IO: it has no clock, no sockets and no knowledge of any wire. The program around it feeds [`Event`]s
//! with the time and carries out the [`Action`]s that come back.
//!
//! [`Router`] owns the state. Beside it stand modules of one job each:
//!
//! - `endpoint_list`, `request_state`, `worker_state`, `observations`, `affinity`: what is known;
//! - `admission`, `placement`, `candidates`, `dispatch`, `retry`: the way of a request;
//! - `outcomes`, `outlier_detection`, `slow_start`, `reservations`: what comes back, and the guards of the rules;
//! - [`obligations`]: what is owed for one request and what may be done for it now;
//! - `view`, `statistics`, `hashing`: what these share.

#![warn(clippy::too_many_lines, clippy::type_complexity, rustdoc::broken_intra_doc_links)]

mod actions;
mod admission;
mod affinity;
mod candidates;
mod dispatch;
mod endpoint_list;
mod endpoints;
mod events;
mod hashing;
mod ids;
pub mod obligations;
mod observations;
mod outcomes;
mod outlier_detection;
mod placement;
mod request_state;
mod reservations;
mod retry;
mod router;
mod settings;
mod slow_start;
mod statistics;
mod time;
mod view;
mod worker_state;

pub use actions::*;
pub use endpoints::*;
pub use events::*;
pub use ids::*;
pub use router::Router;
pub use settings::*;
pub use time::Micros;
