//! Routing policy of chalkyard, a router for language-model serving that prefills prompts and decodes answers
//! on different workers.
//!
//! The crate is sans-IO: it has no clock, no sockets and no knowledge of any wire format. The caller passes
//! in [`Event`]s with the current time and carries out the returned [`Action`]s.
//!
//! [`Router`] owns the state. The other modules have one task each:
//!
//! - `endpoint_list`, `request_state`, `worker_state`, `observations`, `affinity`: state and observations;
//! - `admission`, `placement`, `candidates`, `dispatch`, `retry`: the path of a request from arrival to a
//!   worker;
//! - `outcomes`, `outlier_detection`, `slow_start`, `reservations`: handling of attempt results, and
//!   protection of workers and reserved state;
//! - [`obligations`]: the actions that correctness requires or permits for one request at a given time;
//! - `view`, `statistics`, `hashing`: shared helpers.

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
