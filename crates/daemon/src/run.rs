//! `chalkyard run`: one router until it is told to stop.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex};

use chalkyard_budget::Time;
use chalkyard_router::shell::retry::{with_retries, STARTUP_ATTEMPTS};
use chalkyard_router::shell::{timer_granularity, Clock, Handle, ListenAddress, Shell};
use chalkyard_router::Core;
use chalkyard_state::{LifecycleEvent, LifecycleTimeouts};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{info, warn};

use crate::budget_runtime::{self, Predecessor};
use crate::line_budget::LineBudget;
use crate::reload::Reloader;
use crate::router_sink::{RouterSink, PENDING_NEWS};
use crate::{control, logs, CommandError};

/// The first line of a decisions file: what the module was started with.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Started {
    /// Its settings.
    pub settings: chalkyard_policy::Settings,
    /// Its seed.
    pub seed: u64,
}

/// Each further line: an event, and what the module did.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Decided<E, A> {
    /// When.
    pub now: chalkyard_policy::Micros,
    /// What it heard.
    pub event: E,
    /// What it did.
    pub actions: A,
}

/// Without any list of engines the router listens after this, µs.
const START: u64 = 3_000_000;
/// Last answers have so long to leave, µs.
const FAREWELL: u64 = 1_000_000;

/// Runs a router. SIGTERM or SIGINT ends it once all that is open has ended; a second one at once. SIGHUP reloads.
/// With `take_over`, the listening socket and the ledger come from the router that answers at the control socket.
pub fn run(
    file: &PathBuf,
    seed: Option<u64>,
    decisions: Option<PathBuf>,
    take_over: bool,
) -> Result<ExitCode, CommandError> {
    logs::start("info");
    let began = std::time::Instant::now();
    // Before anything slow: until then a signal ends the process. What comes before the loop runs waits for it.
    let signals = with_retries(STARTUP_ATTEMPTS, || Signals::new([SIGTERM, SIGINT, SIGHUP]));
    let mut signals = signals.map_err(|e| could_not("signals", e))?;
    let text = crate::read(file)?;
    let settings = crate::load_text(file, &text)?;
    let tenants = settings.config.tenants.iter().map(|t| t.name.clone()).collect();
    let clock = Clock::new();
    let seed = seed.unwrap_or(clock.now().0);
    let mut config = settings.config;
    config.policy.tick = timer_granularity();
    let place = Place { listen: settings.listen, shared_port: settings.shared_port };
    let (address, predecessor) = if take_over {
        let none = || CommandError::BadInput(format!("{}: <router> names no `control`", file.display()));
        adopt_address(&place, settings.control.as_ref().ok_or_else(none)?)?
    } else {
        (bind_address(&place)?, None)
    };
    let started = Started { settings: config.policy.clone(), seed };
    let name = config.name.clone();
    let mut core = Core::new(config, seed, clock.now());
    if std::env::var_os(logs::LEVEL_NAME).is_some() {
        core.enable_tally();
    }
    // All that was spent is known before the first request is taken.
    let (told, news) = sync_channel(PENDING_NEWS);
    let mut ledger = None;
    if let Some(budgets) = &settings.budgets {
        let recovered = budget_runtime::recover(budgets, &name, Time(clock.now().0), predecessor, &told)?;
        core.enforce_budgets(recovered.enforcer);
        ledger = Some(recovered.ledger);
    }
    if let Some(file) = decisions {
        record_decisions(&mut core, &file, &started)?;
    }
    let last_list = match (&settings.endpoint_list_file, settings.engines) {
        (_, Some(engines)) => Some(engines),
        (Some(file), None) => std::fs::read_to_string(file).ok(),
        (None, None) => None,
    };
    let reloader = Arc::new(Reloader { file: file.clone(), text: Mutex::new(text), tenants, news: told });
    let sink = RouterSink {
        lines: LineBudget::new(began),
        log: logs::Log { list_file: settings.endpoint_list_file },
        ledger,
        successor: None,
        recent: VecDeque::new(),
        name,
        seed,
        ready: false,
        began,
        reloader: reloader.clone(),
        news,
    };
    let drain = settings.drain_timeout.as_micros() as u64;
    let timeouts = LifecycleTimeouts { endpoint_wait: START, lame_duck: 0, drain, flush: FAREWELL };
    let mut shell = Shell::new(core, sink, clock, address, timeouts).map_err(|e| could_not("starting", e))?;
    let handle = shell.handle();
    let control = settings
        .control
        .map(|path| control::serve(&path, handle.clone(), reloader.clone(), take_over))
        .transpose()?;
    std::thread::spawn(move || forward_signals(&mut signals, &handle));
    let (stop, left) = shell.run(last_list.as_deref()).map_err(|e| could_not("running", e))?;
    // What was settled last is said to a successor before the process ends.
    drop(shell);
    drop(control);
    info!(target: "router", left, code = stop.exit_code(), reason = %stop.log_name(), "stopped");
    Ok(ExitCode::from(stop.exit_code()))
}

/// Where a router listens.
struct Place {
    listen: SocketAddr,
    shared_port: bool,
}

fn could_not(what: &str, error: std::io::Error) -> CommandError {
    CommandError::CouldNotRun(format!("{what}: {error}"))
}

fn bind_address(place: &Place) -> Result<ListenAddress, CommandError> {
    with_retries(STARTUP_ATTEMPTS, || ListenAddress::bind(place.listen, place.shared_port))
        .map_err(|e| could_not(&format!("listening at {}", place.listen), e))
}

/// Takes the listening socket over from the router that answers at the control socket.
fn adopt_address(
    place: &Place,
    control: &Path,
) -> Result<(ListenAddress, Option<Predecessor>), CommandError> {
    let taken = control::take_over(control)?;
    let predecessor = taken.before.map(|lines| Box::new(lines) as Predecessor);
    let address = ListenAddress::adopt(taken.listener, place.shared_port)
        .map_err(|e| could_not(&format!("listening at {}", place.listen), e))?;
    Ok((address, predecessor))
}

/// Writes each event of the decision module and its actions to a file, as JSON lines.
fn record_decisions(core: &mut Core, file: &Path, started: &Started) -> Result<(), CommandError> {
    let out = File::create(file).map_err(|e| could_not(&file.display().to_string(), e))?;
    let mut out = BufWriter::new(out);
    let _ = writeln!(out, "{}", line(started));
    core.observe(Box::new(move |now, event, actions| {
        let decided = Decided { now, event, actions };
        let _ = writeln!(out, "{}", line(&decided));
    }));
    Ok(())
}

/// Passes signals on to the loop, for as long as the process lives.
fn forward_signals(signals: &mut Signals, handle: &Handle) {
    for signal in signals.forever() {
        let event = if signal == SIGHUP { LifecycleEvent::Reload } else { LifecycleEvent::Terminate };
        info!(target: "router", signal, "told to {}", if signal == SIGHUP { "reload" } else { "end" });
        if !handle.notify(event) {
            warn!(target: "router", signal, "the loop does not listen");
        }
    }
}

fn line(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
