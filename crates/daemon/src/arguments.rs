//! The command line. Comments here are the text of `--help`.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

use crate::{budgets, overload};

/// A router for language-model serving with prefill and decoding on different engines.
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
        /// Write each event that is passed to the decision module, and the resulting actions, as JSON lines.
        #[arg(long, value_name = "FILE")]
        decisions: Option<PathBuf>,
        /// Take over the listening socket and the ledger from the running router at the settings' control socket;
        /// that router completes its open requests and then exits.
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
    /// Show the status of a running router.
    Status(RouterTarget),
    /// Show a running router's engines.
    Engines(RouterTarget),
    /// Show a running router's open requests.
    Requests(RouterTarget),
    /// Show one open or recently ended request with its attempts.
    Trace {
        /// The router's id of the request.
        id: String,
        #[command(flatten)]
        target: RouterTarget,
    },
    /// Make a running router accept no new requests; open requests continue.
    Drain(RouterTarget),
    /// Make a draining router accept requests again.
    Undrain(RouterTarget),
    /// Make a running router reload its settings, which apply completely or not at all; shows the differences.
    Reload(RouterTarget),
    /// Make a running router exit once its open requests have ended; a second `stop` makes it exit immediately.
    Stop(RouterTarget),
    /// Set the log level of a running router: off, error, warn, info, debug, trace, or a filter such as
    /// info,request=off.
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
    /// Replay the events of a decisions file through the decision module and compare the resulting actions.
    Replay {
        /// The file that `run --decisions` wrote.
        file: PathBuf,
    },
    /// Run a day on loopback with simulated engines and clients, and check the five rules from the recorded traffic.
    Rehearse {
        /// The day: `bad-day`, `calm-day`, `budgets` (token budgets over 16 routers), `restart-afternoon` (routers
        /// replaced under load), `overload` (many routers and their effect on each other during failures), `soak`
        /// (overlapping random faults, with the platform's protocol), or a day file that the bench printed.
        day: String,
        /// Seed of the day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File to write the recorded traffic to.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
        /// Length of the day in seconds, 8 to 600.
        #[arg(long, value_name = "S", value_parser = clap::value_parser!(u64).range(8..=600))]
        seconds: Option<u64>,
        /// Output format of the report.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        #[command(flatten)]
        overload: overload::Arguments,
    },
    /// Run the settlement job: leases of the token budgets for all routers, from their ledgers.
    Settle {
        /// Settings, as XML, with `<budgets>` and `<settlement>`.
        file: PathBuf,
        /// Number of rounds after which the job stops; no limit if not given.
        #[arg(long)]
        rounds: Option<u64>,
    },
    /// Show token budgets, or change them manually, with an audit trail.
    #[command(subcommand)]
    Budget(budgets::Command),
    /// Make bills from ledgers and engines' token records; exit code 3 if they don't agree.
    Bill {
        /// Settings, as XML, with `<budgets>`.
        file: PathBuf,
        /// Month, day or hour, such as 2026-12, 2026-12-01 or 2026-12-01T14, in the budgets' zone.
        #[arg(long)]
        period: String,
        /// Routers' ledgers; if not given, those in the settings' `<settlement>`.
        #[arg(long, num_args = 1..)]
        ledger: Vec<PathBuf>,
        /// Engines' token records, as JSON lines.
        #[arg(long, num_args = 1..)]
        engines: Vec<PathBuf>,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Replace the records of a ledger's old periods with their sums.
    Compact {
        /// Settings, as XML, with `<budgets>`.
        file: PathBuf,
        /// The router's ledger.
        #[arg(long)]
        ledger: PathBuf,
        /// Month or day before which records are removed, such as 2026-11.
        #[arg(long)]
        before: String,
    },
    /// Summarize the requests in routers' logs that were not served: who ended them, why, when and where. The routers
    /// have to run with `CHALKYARD_LOG=info`.
    Losses {
        /// Logs, one for each router.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Check the five rules from recorded traffic alone.
    Audit {
        /// Recorded traffic, as JSON lines.
        file: PathBuf,
        /// Output format of the report.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
}

/// The running router that a command talks to, and how its answer is printed.
#[derive(Debug, clap::Args)]
pub struct RouterTarget {
    /// The router's control socket, or the settings file that contains its path.
    pub socket: PathBuf,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub format: Format,
    /// Repeat the command every S seconds until the router no longer answers.
    #[arg(long, value_name = "S", value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub watch: Option<u64>,
}

#[cfg(test)]
#[path = "arguments_test.rs"]
mod tests;
