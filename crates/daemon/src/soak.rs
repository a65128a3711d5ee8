//! `chalkyard rehearse soak`: random faults that overlap, over real router processes, seed after seed.

use std::process::ExitCode;

use chalkyard_rehearsal::soak::{minimize_faults, run_seed, SoakOptions, SoakReport};
use chalkyard_rehearsal::Plan;

use crate::rehearse::RULE_BROKEN;
use crate::{overload, CommandError, Format};

/// A day's length, if not told otherwise: half of it for faults.
const SECONDS: u64 = 20;
const SECONDS_LEAST: u64 = 14;
const ROUTERS_MOST: u64 = 40;
/// A seed that failed is played so often again, with fewer faults.
const SHRINKING_PLAYS: usize = 12;

/// Plays the seeds; exit code 3 if anything was broken.
pub fn soak(plan: &Plan, arguments: &overload::Arguments, format: Format) -> Result<ExitCode, CommandError> {
    if arguments.is_given_for_overload() {
        return Err(CommandError::BadInput("--case and --fed go with `rehearse overload`".into()));
    }
    let seconds = plan.seconds.unwrap_or(SECONDS);
    if seconds < SECONDS_LEAST {
        return Err(CommandError::BadInput(format!(
            "--seconds {seconds}: a soak takes at least {SECONDS_LEAST}"
        )));
    }
    if arguments.routers.is_some_and(|n| n > ROUTERS_MOST) {
        return Err(CommandError::BadInput(format!("--routers: a soak has at most {ROUTERS_MOST}")));
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
        let least = minimize_faults(&report, &options, SHRINKING_PLAYS);
        let least = least.map_err(|e| CommandError::CouldNotRun(format!("shrinking: {e}")))?;
        println!("what is left of its faults when those that do not matter are left out:");
        for fault in &least.faults {
            println!("  {fault:?}");
        }
    }
    Ok(ExitCode::from(RULE_BROKEN))
}
