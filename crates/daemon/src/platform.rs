//! `chalkyard platform`: runs one router on the platform, configured by its environment, in the foreground.
//!
//! Features that the platform's limits or rules do not allow are off: the control socket, the ledger, budgets, the cached
//! endpoint list and a log line for each request.

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

/// Environment variable in which the platform names the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// A router without an endpoint list starts to listen after this time, in microseconds.
const ENDPOINT_WAIT_US: u64 = 3_000_000;
/// Time limit for open requests of a stopping router, in microseconds; the platform kills the process earlier.
const DRAIN_US: u64 = 60_000_000;
/// Time limit for flushing the last responses, in microseconds.
const FLUSH_US: u64 = 200_000;
/// Retries of an unreadable configuration, which may be in the middle of a write. One retry per housekeeping run stays
/// well within the 4 s after which the configuration takes effect.
const MAX_REREADS: u32 = 20;

/// Writes the records of a router on the platform as log lines, within a budget of lines.
struct LogSink {
    log: logs::Log,
    lines: LineBudget,
    /// Log every request.
    all: bool,
    file: PathBuf,
    /// Remaining retries to read a changed configuration; none if no reload is pending.
    rereads: Option<u32>,
}

impl LogSink {
    /// Returns whether a line about a single request may be written, and logs the number of lines left out before.
    fn may_log(&mut self) -> bool {
        let left_out = self.lines.take(Instant::now());
        if let Some(lines) = left_out.filter(|lines| *lines > 0) {
            info!(target: "router", lines, "left out of the log");
        }
        left_out.is_some()
    }
}

impl Sink for LogSink {
    /// Served, rejected and abandoned requests are frequent and only counted, unless every request is logged.
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

    /// Peers can cause notes at any rate, and a log that is read too slowly holds up the event loop.
    fn note(&mut self, what: &str, text: &str) {
        if self.all || self.may_log() {
            self.log.note(what, text);
        }
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

    /// Schedules the read for the next [`Sink::housekeep`].
    fn reload(&mut self) {
        self.rereads = Some(MAX_REREADS);
    }

    fn housekeeping_interval(&self) -> Option<std::time::Duration> {
        Some(std::time::Duration::from_millis(100))
    }

    /// Rereads the configuration. An unreadable file leaves the old one in force. The file is small enough to be read in
    /// the event loop.
    fn housekeep(&mut self) -> Vec<SinkEvent> {
        let Some(left) = self.rereads.take() else { return Vec::new() };
        match read(&self.file) {
            Ok(started) => {
                let address = started.config.discovery;
                if let Some(address) = address {
                    info!(target: "router", discovery = %address, "configuration changed");
                }
                address.map(Input::DiscoveryAddressChanged).into_iter().collect()
            }
            Err(why) => {
                self.rereads = left.checked_sub(1);
                if left == MAX_REREADS || left == 0 {
                    let next = if left > 0 { "retrying" } else { "no more retries" };
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

/// Runs a router. SIGTERM or SIGINT stops it after all open requests have finished; SIGHUP rereads the configuration.
pub fn platform(file: Option<PathBuf>) -> Result<ExitCode, CommandError> {
    logs::start("info");
    let could_not = |what: &str, e: std::io::Error| CommandError::CouldNotRun(format!("{what}: {e}"));
    // Handlers are installed before any slow step: an earlier signal kills the process. Signals that arrive before the
    // event loop runs stay pending.
    let signals = with_retries(STARTUP_ATTEMPTS, || Signals::new([SIGTERM, SIGINT, SIGHUP]));
    let mut signals = signals.map_err(|e| could_not("signals", e))?;
    let none = || CommandError::BadInput(format!("{CONFIG_VARIABLE} names no configuration; give its file"));
    let file = file.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from)).ok_or_else(none)?;
    let started = read(&file).map_err(CommandError::BadInput)?;
    let clock = Clock::new();
    let mut config = started.config;
    config.policy.tick = config.policy.tick.max(timer_granularity());
    let address = with_retries(STARTUP_ATTEMPTS, || ListenAddress::bind(started.listen, false));
    let address = address.map_err(|e| could_not(&format!("listening at {}", started.listen), e))?;
    let mut core = Core::new(config, started.seed.unwrap_or(clock.now().0), clock.now());
    let all = std::env::var_os(logs::LEVEL_VARIABLE).is_some();
    if all {
        core.enable_tally();
    }
    let log = logs::Log { endpoint_list_file: None };
    let sink = LogSink { log, lines: LineBudget::new(Instant::now()), all, file, rereads: None };
    let timeouts = LifecycleTimeouts {
        endpoint_wait: ENDPOINT_WAIT_US,
        lame_duck: started.lame_duck.0,
        drain: DRAIN_US,
        flush: FLUSH_US,
    };
    let mut shell = Shell::new(core, sink, clock, address, timeouts).map_err(|e| could_not("starting", e))?;
    shell.set_max_lingering(started.max_lingering);
    shell.set_max_read(started.max_read);
    let handle = shell.handle();
    let wait_for_signals = move || {
        for signal in signals.forever() {
            let event = if signal == SIGHUP { LifecycleEvent::Reload } else { LifecycleEvent::Terminate };
            if !handle.notify(event) {
                warn!(target: "router", signal, "the event loop does not accept events");
            }
        }
    };
    std::thread::Builder::new()
        .spawn(wait_for_signals)
        .map_err(|e| could_not("starting the signal thread", e))?;
    let (stop, left) =
        shell.run(started.last_endpoint_list.as_deref()).map_err(|e| could_not("running", e))?;
    info!(target: "router", left, code = stop.exit_code(), "stopped");
    Ok(ExitCode::from(stop.exit_code()))
}
