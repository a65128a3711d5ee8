//! The command line. Comments here are the text of `--help`.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

use crate::{budgets, overload};

/// A router for language-model serving whose prompts are read and answers written on different engines.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

/// How a command prints its answer.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
pub enum Command {
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
    Status(RouterTarget),
    /// Show a running router's engines.
    Engines(RouterTarget),
    /// Show a running router's open requests.
    Requests(RouterTarget),
    /// Show one request, open or ended lately, with its attempts.
    Trace {
        /// The router's id of it.
        id: String,
        #[command(flatten)]
        target: RouterTarget,
    },
    /// Have a running router take nothing new; what is open goes on.
    Drain(RouterTarget),
    /// Have it take requests again.
    Undrain(RouterTarget),
    /// Have it read its settings again: applied whole, or not at all; shows what differs.
    Reload(RouterTarget),
    /// Have it end once all that is open has ended; asked again, at once.
    Stop(RouterTarget),
    /// Have it log at another level: off, error, warn, info, debug, trace, or a filter such as info,request=off.
    LogLevel {
        /// Level or filter.
        level: String,
        #[command(flatten)]
        target: RouterTarget,
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

/// The running router that a command talks to, and how its answer is printed.
#[derive(Debug, clap::Args)]
pub struct RouterTarget {
    /// Its control socket, or its settings, which name it.
    pub socket: PathBuf,
    /// How to print it.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub format: Format,
    /// Ask again after so many seconds, until the router is gone.
    #[arg(long, value_name = "S", value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub watch: Option<u64>,
}

#[cfg(test)]
#[path = "arguments_test.rs"]
mod tests;
