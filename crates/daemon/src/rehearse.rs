//! `chalkyard rehearse` and `chalkyard audit`: run a rehearsal, and check recorded traffic against the rules.

use std::path::PathBuf;
use std::process::ExitCode;

use chalkyard_rehearsal::{Plan, Report};

use crate::{overload, settings_file, soak, CommandError, Format};

/// Exit code of a rehearsal or audit with a broken rule.
pub const RULE_BROKEN: u8 = 3;

/// Runs the rehearsal of a day and prints the report.
pub fn rehearse(
    day: &str,
    plan: &Plan,
    overload: &overload::Arguments,
    format: Format,
) -> Result<ExitCode, CommandError> {
    if day == "soak" {
        return soak::soak(plan, overload, format);
    }
    if day == "overload" {
        return overload::overload(plan, overload, format);
    }
    if overload.is_given() {
        let reason = "--case, --seeds, --routers, --exe and --fed go with `rehearse overload`";
        return Err(CommandError::BadInput(reason.into()));
    }
    match day {
        "budgets" => {
            let report = chalkyard_rehearsal::rehearse_budgets(plan)?;
            Ok(print(format, || report.text(), || report.json(), report.passed()))
        }
        "restart-afternoon" => {
            let report = chalkyard_rehearsal::rehearse_restarts(plan)?;
            Ok(print(format, || report.text(), || report.json(), report.passed()))
        }
        _ => Ok(print_report(&chalkyard_rehearsal::rehearse(day, plan)?, format)),
    }
}

/// Checks a recorded day and prints the report.
pub fn audit(file: &PathBuf, format: Format) -> Result<ExitCode, CommandError> {
    let text = settings_file::read(file)?;
    let report = chalkyard_rehearsal::audit(&text)
        .map_err(|reason| CommandError::BadInput(format!("{}:{reason}", file.display())))?;
    Ok(print_report(&report, format))
}

fn print_report(report: &Report, format: Format) -> ExitCode {
    print(format, || report.text(), || report.json(), report.rules.passed())
}

/// Prints a report and returns the exit code, which depends on whether all rules held.
fn print(
    format: Format,
    text: impl FnOnce() -> String,
    json: impl FnOnce() -> String,
    all_held: bool,
) -> ExitCode {
    match format {
        Format::Text => print!("{}", text()),
        Format::Json => println!("{}", json()),
    }
    if all_held {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(RULE_BROKEN)
    }
}
