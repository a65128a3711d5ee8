//! `chalkyard rehearse soak`: runs router processes under overlapping random faults, once per seed.

use std::process::ExitCode;

use chalkyard_rehearsal::soak::{minimize_faults, run_seed, SoakOptions, SoakReport};
use chalkyard_rehearsal::Plan;

use crate::rehearse::RULE_BROKEN;
use crate::{overload, CommandError, Format};

/// Default length of a day in seconds, half of it with faults.
const DEFAULT_SECONDS: u64 = 20;
const MIN_SECONDS: u64 = 14;
const MAX_ROUTERS: u64 = 40;
/// Largest number of further runs of a failed seed, with fewer faults.
const MAX_SHRINK_RUNS: usize = 12;

/// Runs each seed; exit code 3 if a rule was broken.
pub fn soak(plan: &Plan, arguments: &overload::Arguments, format: Format) -> Result<ExitCode, CommandError> {
    if arguments.is_given_for_overload() {
        return Err(CommandError::BadInput("--case and --fed go with `rehearse overload`".into()));
    }
    let seconds = plan.seconds.unwrap_or(DEFAULT_SECONDS);
    if seconds < MIN_SECONDS {
        return Err(CommandError::BadInput(format!(
            "--seconds {seconds}: a soak takes at least {MIN_SECONDS}"
        )));
    }
    if arguments.routers.is_some_and(|n| n > MAX_ROUTERS) {
        return Err(CommandError::BadInput(format!("--routers: a soak has at most {MAX_ROUTERS}")));
    }
    let routers = arguments.routers.map(|n| n as usize);
    let exe = arguments.exe.clone().unwrap_or_else(|| plan.exe.clone());
    let options = SoakOptions { exe, routers, seconds, record: plan.record.clone() };
    let mut failed: Option<SoakReport> = None;
    for seed in plan.seed..plan.seed + arguments.seeds.unwrap_or(1) {
        let report =
            run_seed(seed, &options).map_err(|e| CommandError::CouldNotRun(format!("seed {seed}: {e}")))?;
        match format {
            Format::Text => print!("{}", report.text()),
            Format::Json => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        }
        if !report.is_clean() && failed.is_none() {
            failed = Some(report);
        }
    }
    let Some(report) = failed else { return Ok(ExitCode::SUCCESS) };
    if arguments.seeds.unwrap_or(1) == 1 && matches!(format, Format::Text) {
        let options = SoakOptions { record: None, ..options };
        let minimal = minimize_faults(&report, &options, MAX_SHRINK_RUNS);
        let minimal = minimal.map_err(|e| CommandError::CouldNotRun(format!("shrinking: {e}")))?;
        println!("remaining faults after removing those that are not needed to reproduce the failure:");
        for fault in &minimal.faults {
            println!("  {fault:?}");
        }
    }
    Ok(ExitCode::from(RULE_BROKEN))
}
