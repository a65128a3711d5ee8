//! `chalkyard losses`: summarizes requests that were not served, from the logs of many routers.
//!
//! Only logs of this program are read. Lines are streamed; memory grows with the number of reasons, classes and seconds,
//! each up to a limit.

mod aggregate;
mod log_line;
mod report;

use std::path::PathBuf;
use std::process::ExitCode;

use self::aggregate::Aggregate;
use self::report::Report;
use crate::{CommandError, Format};

/// Aggregates the logs and prints the report.
pub fn losses(logs: &[PathBuf], format: Format) -> Result<ExitCode, CommandError> {
    let mut aggregate = Aggregate::default();
    for file in logs {
        aggregate.read(file)?;
    }
    if aggregate.requests == 0 && aggregate.seconds.is_empty() {
        let reason = "no requests in these logs; routers log them with CHALKYARD_LOG=info";
        return Err(CommandError::BadInput(reason.into()));
    }
    let report = Report::from(aggregate);
    match format {
        Format::Text => print!("{}", report.text()),
        Format::Json => {
            let json =
                serde_json::to_string(&report).map_err(|e| CommandError::CouldNotRun(e.to_string()))?;
            println!("{json}");
        }
    }
    Ok(ExitCode::SUCCESS)
}
