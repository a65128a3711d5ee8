//! `chalkyard`: the router's command line, with its operator and rehearsal commands.
//!
//! Exit codes: 0 success (rehearsal or audit: all rules held; router: all open requests have finished), 1 could not run,
//! 2 usage or invalid input, 3 a rule was broken or a bill does not agree, 4 a router's graceful shutdown timed out, 5 a
//! router was told twice to stop.

mod arguments;
mod bill;
mod budget_runtime;
mod budgets;
mod compact;
mod control;
mod error;
mod files;
#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod fuzz_test;
mod grant_files;
mod handover;
mod line_budget;
mod logs;
mod losses;
mod notify;
mod overload;
mod platform;
mod rehearse;
mod reload;
mod replay;
mod router_ledger;
mod router_sink;
mod run;
mod settings_file;
mod settle;
mod soak;
mod wall_clock;

use std::process::ExitCode;

use clap::Parser;

use self::arguments::{Arguments, Command, Format, RouterTarget};
use self::error::CommandError;
use self::settings_file::{control_socket, load, load_budgets, load_text, read};

/// mimalloc, because each request allocates and frees hundreds of small objects on one thread.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Sends a query or command to a running router and prints its response.
fn query(target: RouterTarget, call: &control::Call) -> Result<ExitCode, CommandError> {
    let is_settings = target.socket.extension().is_some_and(|e| e == "xml");
    let socket = if is_settings { control_socket(&target.socket)? } else { target.socket };
    control::command(&socket, call, target.format, target.watch)
}

fn execute(command: Command) -> Result<ExitCode, CommandError> {
    use control::Call;
    match command {
        Command::Run { file, seed, decisions, take_over } => run::run(&file, seed, decisions, take_over),
        Command::Platform { file } => platform::platform(file),
        Command::Status(target) => query(target, &Call::Status {}),
        Command::Engines(target) => query(target, &Call::Engines {}),
        Command::Requests(target) => query(target, &Call::Requests {}),
        Command::Trace { id, target } => query(target, &Call::Trace { id }),
        Command::Drain(target) => query(target, &Call::Drain {}),
        Command::Undrain(target) => query(target, &Call::Undrain {}),
        Command::Reload(target) => query(target, &Call::Reload {}),
        Command::Stop(target) => query(target, &Call::Stop {}),
        Command::LogLevel { level, target } => query(target, &Call::LogLevel { level }),
        Command::Settle { file, rounds } => settle::settle(&file, rounds),
        Command::Budget(command) => budgets::command(command),
        Command::Bill { file, period, ledger, engines, format } => {
            let budgets = load_budgets(&file)?;
            let sources = bill::Sources { budgets: &budgets, ledgers: ledger, engines };
            bill::bill(&sources, &period, format)
        }
        Command::Compact { file, ledger, before } => {
            compact::compact(&load_budgets(&file)?, &ledger, &before)
        }
        Command::Check { file } => settings_file::check(&file),
        Command::HashKey { file } => settings_file::hash_key(&file),
        Command::Replay { file } => replay::replay(&file),
        Command::Rehearse { day, seed, record, seconds, format, overload } => {
            let exe = std::env::current_exe().map_err(|e| CommandError::CouldNotRun(e.to_string()))?;
            let plan = chalkyard_rehearsal::Plan { exe, seed, record, seconds };
            rehearse::rehearse(&day, &plan, &overload, format)
        }
        Command::Losses { logs, format } => losses::losses(&logs, format),
        Command::Audit { file, format } => rehearse::audit(&file, format),
    }
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}
