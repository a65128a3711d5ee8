//! `chalkyard platform`: one router on the platform, told by its environment, in the foreground.
//!
//! What the platform's limits or rules leave no room for is off: control socket, ledger, budgets, the file of the list,
//! and a log line for each request.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use chalkyard_platform::StartupConfig;
use chalkyard_router::shell::retry::{with_retries, STARTUP_ATTEMPTS};
use chalkyard_router::shell::{timer_granularity, Clock, ListenAddress, Shell, Sink, SinkEvent};
use chalkyard_router::{
    Core, Counters, Input, RequestOutcome, RequestRecord, Tally, Transition, TransitionKind,
};
use chalkyard_state::{LifecycleAction, LifecycleEvent, LifecycleTimeouts};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{info, warn};

use crate::line_budget::LineBudget;
use crate::{logs, CommandError};

/// Where the platform says the configuration is.
const FILE: &str = "GW_CONFIG";
/// Without any list of workers the router listens after this, µs.
const START: u64 = 3_000_000;
/// LogSink to end, it takes what still comes for so long, µs: new connections come for 0.4 s, and what arrives later than
/// 0.7 s must have its answer when the process is killed, which streams can't where they may not move.
const LEAVE: u64 = 500_000;
const LEAVE_MOVING: u64 = 1_500_000;
/// Open requests go on for so long; by then the platform has killed the process.
const DRAIN: u64 = 60_000_000;
/// Last answers have so long to leave, µs.
const FAREWELL: u64 = 200_000;
/// A configuration that can't be read may be one that is being written: it is read again so often, each time the loop
/// keeps house, which is well within the 4 s after which what it says counts.
const READ_AGAIN: u32 = 20;

/// What a router on the platform does with its records: log lines, within a budget.
struct LogSink {
    log: logs::Log,
    lines: LineBudget,
    /// Each request is logged.
    all: bool,
    file: PathBuf,
    /// Tries left to read another configuration; none: nothing is to be read.
    rereads: Option<u32>,
}

impl LogSink {
    /// Whether a line about one request may be written; what was left out is counted with the next one.
    fn may_log(&mut self) -> bool {
        let left_out = self.lines.take(Instant::now());
        if let Some(lines) = left_out.filter(|lines| *lines > 0) {
            info!(target: "router", lines, "left out of the log");
        }
        left_out.is_some()
    }
}

impl Sink for LogSink {
    /// What was served or refused is no news, and what a client leaves is its own: these are counted.
    fn finished(&mut self, record: RequestRecord) {
        let usual = matches!(
            record.ended,
            RequestOutcome::Served | RequestOutcome::Rejected | RequestOutcome::ClientGone
        );
        if self.all || (!usual && self.may_log()) {
            self.log.finished(&record);
        }
    }

    fn transition(&mut self, transition: &Transition) {
        if self.all || transition.change == TransitionKind::Violation || self.may_log() {
            self.log.transition(transition);
        }
    }

    fn counters(&mut self, counters: &Counters) {
        self.log.counters(counters);
    }

    fn tally(&mut self, tally: &Tally) {
        self.log.tally(tally);
    }

    fn note(&mut self, what: &str, text: &str) {
        self.log.note(what, text);
    }

    fn store_endpoint_list(&mut self, _text: &str) {}

    fn lifecycle_action(&mut self, act: LifecycleAction, _at: Option<std::net::SocketAddr>) {
        match act {
            LifecycleAction::NotifyReady => info!(target: "router", "ready"),
            LifecycleAction::EnterLameDuck => info!(target: "router", "told to end; takes what still comes"),
            LifecycleAction::StopAccepting { .. } => info!(target: "router", "takes nothing new"),
            _ => {}
        }
    }

    /// Read by [`Sink::housekeep`], which follows within its period.
    fn reload(&mut self) {
        self.rereads = Some(READ_AGAIN);
    }

    fn housekeeping_interval(&self) -> Option<std::time::Duration> {
        Some(std::time::Duration::from_millis(100))
    }

    /// A file that can't be read leaves the old settings. Small, so read in the loop.
    fn housekeep(&mut self) -> Vec<SinkEvent> {
        let Some(left) = self.rereads.take() else { return Vec::new() };
        match read(&self.file) {
            Ok(started) => {
                let address = started.config.discovery;
                if let Some(address) = address {
                    info!(target: "router", discovery = %address, "another configuration");
                }
                address.map(Input::DiscoveryAddressChanged).into_iter().collect()
            }
            Err(why) => {
                self.rereads = left.checked_sub(1);
                if left == READ_AGAIN || left == 0 {
                    let next = if left > 0 { "it is read again" } else { "given up" };
                    warn!(target: "router", "the old configuration stays, {next}: {why}");
                }
                Vec::new()
            }
        }
    }
}

fn read(file: &std::path::Path) -> Result<StartupConfig, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    StartupConfig::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Runs a router. SIGTERM or SIGINT ends it once all that is open has ended; SIGHUP has the configuration read again.
pub fn platform(file: Option<PathBuf>) -> Result<ExitCode, CommandError> {
    logs::start("info");
    let could_not = |what: &str, e: std::io::Error| CommandError::CouldNotRun(format!("{what}: {e}"));
    // Before anything slow: until then a signal ends the process. What comes before the loop runs waits for it.
    let signals = with_retries(STARTUP_ATTEMPTS, || Signals::new([SIGTERM, SIGINT, SIGHUP]));
    let mut signals = signals.map_err(|e| could_not("signals", e))?;
    let none = || CommandError::BadInput(format!("{FILE} names no configuration; give its file"));
    let file = file.or_else(|| std::env::var_os(FILE).map(PathBuf::from)).ok_or_else(none)?;
    let started = read(&file).map_err(CommandError::BadInput)?;
    let clock = Clock::new();
    let mut config = started.config;
    config.policy.tick = config.policy.tick.max(timer_granularity());
    let leave = if config.timeouts.migration.is_some() { LEAVE_MOVING } else { LEAVE };
    let address = with_retries(STARTUP_ATTEMPTS, || ListenAddress::bind(started.listen, false));
    let address = address.map_err(|e| could_not(&format!("listening at {}", started.listen), e))?;
    let mut core = Core::new(config, started.seed.unwrap_or(clock.now().0), clock.now());
    let all = std::env::var_os(logs::LEVEL_NAME).is_some();
    if all {
        core.enable_tally();
    }
    let log = logs::Log { list_file: None };
    let told = LogSink { log, lines: LineBudget::new(Instant::now()), all, file, rereads: None };
    let timeouts =
        LifecycleTimeouts { endpoint_wait: START, lame_duck: leave, drain: DRAIN, flush: FAREWELL };
    let mut shell = Shell::new(core, told, clock, address, timeouts).map_err(|e| could_not("starting", e))?;
    shell.set_max_lingering(started.max_lingering);
    let handle = shell.handle();
    let wait_for_signals = move || {
        for signal in signals.forever() {
            let event = if signal == SIGHUP { LifecycleEvent::Reload } else { LifecycleEvent::Terminate };
            if !handle.notify(event) {
                warn!(target: "router", signal, "the loop does not listen");
            }
        }
    };
    std::thread::Builder::new().spawn(wait_for_signals).map_err(|e| could_not("the signals' thread", e))?;
    let (stop, left) =
        shell.run(started.last_endpoint_list.as_deref()).map_err(|e| could_not("running", e))?;
    info!(target: "router", left, code = stop.exit_code(), "stopped");
    Ok(ExitCode::from(stop.exit_code()))
}
