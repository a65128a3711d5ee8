//! The rehearsal kit: fake workers, discovery and clients on loopback, scripted faults, and the
//! audit of the traffic that crossed their sockets.
//!
//! Routers under rehearsal are processes of their own; nothing here knows their internals. The fakes
//! are models for rehearsing failures, not measurements of real engines.

mod audit;
mod budgets;
#[doc(hidden)]
pub mod clients;
#[doc(hidden)]
pub mod engine;
mod fault_schedule;
#[doc(hidden)]
pub mod link_faults;
#[doc(hidden)]
pub mod network;
#[doc(hidden)]
pub mod record;
mod report;
mod restart_scenario;
mod router_settings;
mod routers;
mod runner;
#[doc(hidden)]
pub mod scenario;
#[doc(hidden)]
pub mod shim;
pub mod soak;
#[doc(hidden)]
pub mod topology;
#[doc(hidden)]
pub mod workers;

use std::path::PathBuf;

pub use audit::{audit, evaluate, goodput_by_second};
pub use budgets::{rehearse as rehearse_budgets, BudgetReport};
pub use report::{Report, Rule, Rules};
pub use restart_scenario::{rehearse as rehearse_restarts, RestartReport};
pub use runner::play;

/// What a rehearsal is to do.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The program that runs routers.
    pub exe: PathBuf,
    /// Seed of the scenario.
    pub seed: u64,
    /// Where the recorded traffic is written.
    pub record: Option<PathBuf>,
    /// Length in seconds; the scenario's own if not given.
    pub seconds: Option<u64>,
}

/// Why there is no report.
#[derive(Debug)]
pub enum Error {
    /// The day can't be read.
    BadInput(String),
    /// It could not be played.
    CouldNotRun(String),
}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Self {
        Self::CouldNotRun(e.to_string())
    }
}

/// Plays a scenario by its name, or by the path of a scenario file that the bench printed.
pub fn rehearse(scenario: &str, plan: &Plan) -> Result<Report, Error> {
    let scenario = scenario::load(scenario, plan.seed, plan.seconds).map_err(Error::BadInput)?;
    let lines = runner::play(&scenario, plan)?;
    if let Some(file) = &plan.record {
        record::write(file, &lines)?;
    }
    let report = audit::evaluate(&lines);
    if report.requests == 0 {
        return Err(Error::CouldNotRun("the day had no requests".into()));
    }
    Ok(report)
}

#[cfg(test)]
mod reports_test;
