//! `chalkyard rehearse overload`: many routers, either as processes with faults on the links between them, or as cores in
//! simulated time.

use std::path::PathBuf;
use std::process::ExitCode;

use chalkyard_fleet::{case, emulate, Report, CASES};
use chalkyard_rehearsal::{play, Plan};

use crate::rehearse::RULE_BROKEN;
use crate::{CommandError, Format};

/// Default number of routers: as many processes as four cores can run beside the simulated engines and clients.
const DEFAULT_ROUTERS: usize = 24;
const DEFAULT_SECONDS: u64 = 40;

/// Arguments of `rehearse overload`; some of them also apply to `rehearse soak`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// For `rehearse overload`: the case, or several combined as `one+other`; if not given, all cases in sequence.
    #[arg(long)]
    case: Option<String>,
    /// For `rehearse overload` and `rehearse soak`: number of seeds to run, starting at `--seed`.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    pub seeds: Option<u64>,
    /// For `rehearse overload` and `rehearse soak`: number of routers.
    #[arg(long, value_parser = clap::value_parser!(u64).range(2..=400))]
    pub routers: Option<u64>,
    /// For `rehearse overload`: another build of this program that runs the same days for comparison; for `rehearse
    /// soak`: the build whose routers run instead of this one's.
    #[arg(long, value_name = "PATH")]
    pub exe: Option<PathBuf>,
    /// For `rehearse overload`: router cores in simulated time instead of processes; deterministic and without
    /// sockets.
    #[arg(long)]
    fed: bool,
}

impl Arguments {
    /// Returns whether an argument was given that `rehearse soak` does not accept.
    pub fn is_given_for_overload(&self) -> bool {
        self.fed || self.case.is_some()
    }

    /// Returns whether any argument was given.
    pub fn is_given(&self) -> bool {
        self.fed
            || self.case.is_some()
            || self.seeds.is_some()
            || self.routers.is_some()
            || self.exe.is_some()
    }
}

/// Plays the cases; exit code 3 if a rule was broken or a bound passed.
pub fn overload(plan: &Plan, arguments: &Arguments, format: Format) -> Result<ExitCode, CommandError> {
    if arguments.fed && arguments.exe.is_some() {
        return Err(CommandError::BadInput(
            "--exe plays processes; in fed time there is this build alone".into(),
        ));
    }
    let routers = arguments.routers.map_or(DEFAULT_ROUTERS, |n| n as usize);
    let seconds = plan.seconds.unwrap_or(DEFAULT_SECONDS);
    let names: Vec<String> = match &arguments.case {
        Some(name) => vec![name.clone()],
        None => CASES.iter().map(|c| c.name.to_owned()).collect(),
    };
    let (mut all_held, mut played) = (true, 0);
    for name in names {
        for seed in plan.seed..plan.seed + arguments.seeds.unwrap_or(1) {
            let scenario = case(&name, seed, routers, seconds).map_err(CommandError::BadInput)?;
            // Processes use the machine's clock, so clock skew needs simulated time.
            if !arguments.fed && scenario.clock_skew > 0 {
                if arguments.case.is_some() {
                    return Err(CommandError::BadInput(format!(
                        "case `{name}`: clocks are apart in --fed time alone"
                    )));
                }
                continue;
            }
            let report = if arguments.fed {
                Report::new(&scenario, "fed", &emulate(&scenario)?.lines, None)
            } else {
                let lines = play(&scenario, plan)?;
                let other = arguments.exe.as_ref().map(|exe| Plan { exe: exe.clone(), ..plan.clone() });
                let other = other.map(|plan| play(&scenario, &plan)).transpose()?;
                Report::new(&scenario, "processes", &lines, other.as_deref())
            };
            match format {
                Format::Text => print!("{}", report.text()),
                Format::Json => println!("{}", report.json()),
            }
            all_held &= report.passed();
            played += 1;
        }
    }
    if let Format::Text = format {
        println!("{played} days played: {}", if all_held { "rules and bounds held" } else { "NOT all held" });
    }
    Ok(if all_held { ExitCode::SUCCESS } else { ExitCode::from(RULE_BROKEN) })
}
