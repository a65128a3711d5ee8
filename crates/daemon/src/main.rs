//! `chalkyard`: the router as a program, and its rehearsal kit.
//!
//! Exit codes: 0 done (of a rehearsal or audit: all rules held; of a router: all that was open has ended), 1 could
//! not run, 2 usage or bad input, 3 a rule was broken or a bill does not agree, 4 a router's drain ran out of time,
//! 5 a router was told twice to end.

mod bill;
mod budgets;
mod control;
#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod fuzz_test;
mod keeping;
mod line_budget;
mod logs;
mod losses;
mod notify;
mod overload;
mod platform;
mod reload;
mod replay;
mod run;
mod settle;
mod soak;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

/// A request makes and drops some hundred small pieces of memory on one thread.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// A router for language-model serving whose prompts are read and answers written on different engines.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a router.
    Run {
        /// Settings, as XML.
        file: PathBuf,
        /// Seed of the router's randomness; drawn from the time if not given, and logged.
        #[arg(long)]
        seed: Option<u64>,
        /// Write each event that the decision module hears, and what it does, as JSON lines.
        #[arg(long, value_name = "FILE")]
        decisions: Option<PathBuf>,
        /// Take the listening socket and the ledger over from the running router that the settings' control
        /// socket names; it ends its open requests and then itself.
        #[arg(long)]
        take_over: bool,
    },
    /// Run a router on the platform, by the configuration that `GW_CONFIG` names.
    Platform {
        /// The configuration, as JSON; if not given, the file that `GW_CONFIG` names.
        file: Option<PathBuf>,
    },
    /// Check a settings file; errors name line and column.
    Check {
        /// Settings, as XML.
        file: PathBuf,
    },
    /// Show where a running router stands.
    Status(At),
    /// Show a running router's engines.
    Engines(At),
    /// Show a running router's open requests.
    Requests(At),
    /// Show one request, open or ended lately, with its attempts.
    Trace {
        /// The router's id of it.
        id: String,
        #[command(flatten)]
        at: At,
    },
    /// Have a running router take nothing new; what is open goes on.
    Drain(At),
    /// Have it take requests again.
    Undrain(At),
    /// Have it read its settings again: applied whole, or not at all; shows what differs.
    Reload(At),
    /// Have it end once all that is open has ended; asked again, at once.
    Stop(At),
    /// Have it log at another level: off, error, warn, info, debug, trace, or a filter such as info,request=off.
    LogLevel {
        /// Level or filter.
        level: String,
        #[command(flatten)]
        at: At,
    },
    /// Read an API key from standard input and print its hash for the settings.
    HashKey {
        /// Settings with the salt under which keys are hashed.
        file: PathBuf,
    },
    /// Give the events of a decisions file to the module again and compare what it does.
    Replay {
        /// What `run --decisions` wrote.
        file: PathBuf,
    },
    /// Play a day on loopback against stand-ins and judge the five rules from the traffic.
    Rehearse {
        /// The day: `bad-day`, `calm-day`, `budgets` (token budgets over 16 routers),
        /// `restart-afternoon` (routers replaced under load), `overload` (many routers and what they do to each
        /// other when parts fail), `soak` (random faults that overlap, on the platform's protocol), or a day file that the
        /// bench printed.
        day: String,
        /// Seed of the day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write the recorded traffic there.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
        /// Length of the day in seconds, 8 to 600.
        #[arg(long, value_name = "S", value_parser = clap::value_parser!(u64).range(8..=600))]
        seconds: Option<u64>,
        /// How to print the report.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        #[command(flatten)]
        overload: overload::Arguments,
    },
    /// Run the settlement job: leases of the token budgets for all routers, from their ledgers.
    Settle {
        /// Settings, as XML, with `<budgets>` and `<settlement>`.
        file: PathBuf,
        /// Stop after so many rounds.
        #[arg(long)]
        rounds: Option<u64>,
    },
    /// Show token budgets, or change them by hand, with an audit trail.
    #[command(subcommand)]
    Budget(budgets::Command),
    /// Make bills from ledgers and engines' records of tokens; exit code 3 if they don't agree.
    Bill {
        /// Settings, as XML, with `<budgets>`.
        file: PathBuf,
        /// Month, day or hour, such as 2026-12, 2026-12-01 or 2026-12-01T14, in the budgets' zone.
        #[arg(long)]
        period: String,
        /// Routers' ledgers; those of the settings' settlement, if not given.
        #[arg(long, num_args = 1..)]
        ledger: Vec<PathBuf>,
        /// Engines' records of tokens, as JSON lines.
        #[arg(long, num_args = 1..)]
        engines: Vec<PathBuf>,
        /// How to print it.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Keep the sums of a ledger's old periods and drop their records.
    Compact {
        /// Settings, as XML, with `<budgets>`.
        file: PathBuf,
        /// The router's ledger.
        #[arg(long)]
        ledger: PathBuf,
        /// Records before this month or day go, such as 2026-11.
        #[arg(long)]
        before: String,
    },
    /// Sum up what routers' logs say of requests that were not served: who gave them up, why, when and where. The
    /// routers have to run with `CHALKYARD_LOG=info`.
    Losses {
        /// Logs, one for each router.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// How to print it.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Judge the five rules from recorded traffic alone.
    Audit {
        /// Recorded traffic, as JSON lines.
        file: PathBuf,
        /// How to print the report.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
}

/// Which running router, and how its answer is printed.
#[derive(Debug, clap::Args)]
struct At {
    /// Its control socket, or its settings, which name it.
    socket: PathBuf,
    /// How to print it.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Ask again after so many seconds, until the router is gone.
    #[arg(long, value_name = "S", value_parser = clap::value_parser!(u64).range(1..=3600))]
    watch: Option<u64>,
}

impl At {
    fn ask(self, call: &control::Call) -> Result<ExitCode, Trouble> {
        let is_settings = self.socket.extension().is_some_and(|e| e == "xml");
        let none = || Trouble::BadInput(format!("{}: <router> names no `control`", self.socket.display()));
        let socket = match is_settings {
            true => load(&self.socket)?.control.ok_or_else(none)?,
            false => self.socket,
        };
        control::command(&socket, call, self.format, self.watch)
    }
}

/// What went wrong, by its exit code.
pub enum Trouble {
    /// It could not run.
    CouldNotRun(String),
    /// The input is bad.
    BadInput(String),
}

fn read(file: &PathBuf) -> Result<String, Trouble> {
    std::fs::read_to_string(file).map_err(|e| Trouble::BadInput(format!("{}: {e}", file.display())))
}

fn load(file: &PathBuf) -> Result<chalkyard_settings::Settings, Trouble> {
    load_text(file, &read(file)?)
}

fn load_text(file: &Path, text: &str) -> Result<chalkyard_settings::Settings, Trouble> {
    chalkyard_settings::read(text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(|e| format!("{}:{e}", file.display())).collect();
        Trouble::BadInput(lines.join("\n"))
    })
}

fn with_budgets(file: &PathBuf) -> Result<chalkyard_settings::Budgets, Trouble> {
    load(file)?.budgets.ok_or_else(|| Trouble::BadInput(format!("{}: no <budgets>", file.display())))
}

fn trouble(e: chalkyard_rehearsal::Error) -> Trouble {
    match e {
        chalkyard_rehearsal::Error::BadInput(why) => Trouble::BadInput(why),
        chalkyard_rehearsal::Error::CouldNotRun(why) => Trouble::CouldNotRun(why),
    }
}

fn judge(report: chalkyard_rehearsal::Report, format: Format) -> ExitCode {
    match format {
        Format::Text => print!("{}", report.text()),
        Format::Json => println!("{}", report.json()),
    }
    if report.rules.held() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(3)
    }
}

fn command(command: Command) -> Result<ExitCode, Trouble> {
    match command {
        Command::Run { file, seed, decisions, take_over } => run::run(&file, seed, decisions, take_over),
        Command::Platform { file } => platform::platform(file),
        Command::Status(at) => at.ask(&control::Call::Status {}),
        Command::Engines(at) => at.ask(&control::Call::Engines {}),
        Command::Requests(at) => at.ask(&control::Call::Requests {}),
        Command::Trace { id, at } => at.ask(&control::Call::Trace { id }),
        Command::Drain(at) => at.ask(&control::Call::Drain {}),
        Command::Undrain(at) => at.ask(&control::Call::Undrain {}),
        Command::Reload(at) => at.ask(&control::Call::Reload {}),
        Command::Stop(at) => at.ask(&control::Call::Stop {}),
        Command::LogLevel { level, at } => at.ask(&control::Call::LogLevel { level }),
        Command::Settle { file, rounds } => settle::settle(&file, rounds),
        Command::Budget(command) => budgets::command(command),
        Command::Bill { file, period, ledger, engines, format } => {
            let budgets = with_budgets(&file)?;
            let sources = bill::Sources { budgets: &budgets, ledgers: ledger, engines };
            bill::bill(&sources, &period, format)
        }
        Command::Compact { file, ledger, before } => bill::compact(&with_budgets(&file)?, &ledger, &before),
        Command::Check { file } => {
            let s = load(&file)?;
            let c = &s.config;
            println!(
                "{}: ok: router {} at {}, {} classes, {} tenants, {} kinds",
                file.display(),
                c.name,
                s.listen,
                c.classes.len(),
                c.tenants.len(),
                c.kinds.len()
            );
            Ok(ExitCode::SUCCESS)
        }
        Command::HashKey { file } => {
            let settings = load(&file)?;
            let mut key = String::new();
            std::io::stdin().read_line(&mut key).map_err(|e| Trouble::CouldNotRun(e.to_string()))?;
            if key.trim().is_empty() {
                return Err(Trouble::BadInput("no key on standard input".into()));
            }
            println!("{}", settings.config.keys.hash(key.trim()));
            Ok(ExitCode::SUCCESS)
        }
        Command::Replay { file } => replay::replay(&file),
        Command::Rehearse { day, seed, record, seconds, format, overload } => {
            let exe = std::env::current_exe().map_err(|e| Trouble::CouldNotRun(e.to_string()))?;
            let plan = chalkyard_rehearsal::Plan { exe, seed, record, seconds };
            if day == "soak" {
                return soak::soak(&plan, &overload, format);
            }
            if day != "overload" && overload.is_given() {
                let why = "--case, --seeds, --routers, --exe and --fed go with `rehearse overload`";
                return Err(Trouble::BadInput(why.into()));
            }
            let own = match day.as_str() {
                "overload" => return overload::overload(&plan, &overload, format),
                "budgets" => {
                    let report = chalkyard_rehearsal::rehearse_budgets(&plan).map_err(trouble)?;
                    Some((report.text(), report.json(), report.held()))
                }
                "restart-afternoon" => {
                    let report = chalkyard_rehearsal::rehearse_restarts(&plan).map_err(trouble)?;
                    Some((report.text(), report.json(), report.held()))
                }
                _ => None,
            };
            if let Some((text, json, held)) = own {
                match format {
                    Format::Text => print!("{text}"),
                    Format::Json => println!("{json}"),
                }
                return Ok(if held { ExitCode::SUCCESS } else { ExitCode::from(3) });
            }
            Ok(judge(chalkyard_rehearsal::rehearse(&day, &plan).map_err(trouble)?, format))
        }
        Command::Losses { logs, format } => losses::losses(&logs, format),
        Command::Audit { file, format } => {
            let text = read(&file)?;
            let report = chalkyard_rehearsal::audit(&text)
                .map_err(|why| Trouble::BadInput(format!("{}:{why}", file.display())))?;
            Ok(judge(report, format))
        }
    }
}

fn main() -> ExitCode {
    match command(Arguments::parse().command) {
        Ok(code) => code,
        Err(Trouble::BadInput(why)) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
        Err(Trouble::CouldNotRun(why)) => {
            eprintln!("chalkyard: {why}");
            ExitCode::from(1)
        }
    }
}

#[cfg(test)]
#[path = "arguments_test.rs"]
mod tests;
