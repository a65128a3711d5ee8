//! `chalkyard run`: runs one router until it is stopped.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
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

use crate::budget_runtime;
use crate::control::SocketFile;
use crate::handover::HandedOver;
use crate::line_budget::LineBudget;
use crate::reload::Reloader;
use crate::router_ledger::RouterLedger;
use crate::router_sink::{RouterSink, MAX_PENDING_EVENTS};
use crate::{control, handover, logs, CommandError};

/// First line of a decisions file: the initial state of the decision module.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Started {
    /// Settings of the decision module.
    pub settings: chalkyard_policy::Settings,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// Each further line of a decisions file: an event and the resulting actions.
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Decided<E, A> {
    /// Time of the event.
    pub now: chalkyard_policy::Micros,
    /// The event.
    pub event: E,
    /// The actions.
    pub actions: A,
}

/// A router without an endpoint list starts to listen after this time, in microseconds.
const ENDPOINT_WAIT_US: u64 = 3_000_000;
/// Time limit for flushing the last responses, in microseconds.
const FLUSH_US: u64 = 1_000_000;

/// Runs a router. SIGTERM or SIGINT stops it after all open requests have finished, a second signal immediately; SIGHUP
/// reloads the settings. With `take_over`, the listening socket and the ledger are taken over from the router that listens
/// on the control socket.
pub fn run(
    file: &PathBuf,
    seed: Option<u64>,
    decisions: Option<PathBuf>,
    take_over: bool,
) -> Result<ExitCode, CommandError> {
    logs::start("info");
    let began = std::time::Instant::now();
    // Handlers are installed before any slow step: an earlier signal kills the process. Signals that arrive before the
    // event loop runs stay pending.
    let signals = with_retries(STARTUP_ATTEMPTS, || Signals::new([SIGTERM, SIGINT, SIGHUP]));
    let mut signals = signals.map_err(|e| io_error("signals", e))?;
    let text = crate::read(file)?;
    let settings = crate::load_text(file, &text)?;
    let tenants = settings.config.tenants.iter().map(|t| t.name.clone()).collect();
    let clock = Clock::new();
    let seed = seed.unwrap_or(clock.now().0);
    let mut config = settings.config;
    config.policy.tick = timer_granularity();
    let listen_settings = ListenSettings { listen: settings.listen, shared_port: settings.shared_port };
    let (address, handed_over) = if take_over {
        let none = || CommandError::BadInput(format!("{}: <router> names no `control`", file.display()));
        adopt_address(&listen_settings, settings.control.as_ref().ok_or_else(none)?)?
    } else {
        (bind_address(&listen_settings)?, None)
    };
    let started = Started { settings: config.policy.clone(), seed };
    let name = config.name.clone();
    let mut core = Core::new(config, seed, clock.now());
    if std::env::var_os(logs::LEVEL_VARIABLE).is_some() {
        core.enable_tally();
    }
    let (event_sender, events) = sync_channel(MAX_PENDING_EVENTS);
    let (mut ledger, mut take_over, mut control) = (RouterLedger::Absent, None, None);
    if let Some((handed_over, path)) = handed_over.zip(settings.control.as_deref()) {
        let (socket_file, listener) = SocketFile::bind(path).map_err(|e| control_error(path, &e))?;
        let socket_file = Arc::new(socket_file);
        take_over = Some(handed_over.prepare(&name, settings.budgets, &event_sender, socket_file.clone()));
        control = Some((socket_file, listener));
    } else if let Some(budgets) = &settings.budgets {
        // The usage so far is recovered before the first request is admitted.
        let (enforcer, opened) = budget_runtime::recover(budgets, &name, Time(clock.now().0), &event_sender)?;
        core.enforce_budgets(enforcer);
        ledger = RouterLedger::Active(opened);
    }
    if let Some(file) = decisions {
        record_decisions(&mut core, &file, &started)?;
    }
    let last_list = match (&settings.endpoint_list_file, settings.engines) {
        (_, Some(engines)) => Some(engines),
        (Some(file), None) => std::fs::read_to_string(file).ok(),
        (None, None) => None,
    };
    let reloader =
        Arc::new(Reloader { file: file.clone(), text: Mutex::new(text), tenants, events: event_sender });
    let sink = RouterSink {
        lines: LineBudget::new(began),
        log: logs::Log { endpoint_list_file: settings.endpoint_list_file },
        ledger,
        take_over,
        recent: VecDeque::new(),
        name,
        seed,
        ready: false,
        started_at: began,
        reloader: reloader.clone(),
        events,
    };
    let drain = settings.drain_timeout.as_micros() as u64;
    let timeouts =
        LifecycleTimeouts { endpoint_wait: ENDPOINT_WAIT_US, lame_duck: 0, drain, flush: FLUSH_US };
    let mut shell = Shell::new(core, sink, clock, address, timeouts).map_err(|e| io_error("starting", e))?;
    let handle = shell.handle();
    if let Some(path) = settings.control.as_deref().filter(|_| control.is_none()) {
        control = Some(bind_control(path)?);
    }
    let control = control
        .map(|(socket_file, listener)| {
            control::serve(socket_file, listener, handle.clone(), reloader.clone())
        })
        .transpose()
        .map_err(|e| io_error("control socket", e))?;
    std::thread::spawn(move || forward_signals(&mut signals, &handle));
    let ended = shell.run(last_list.as_deref()).map_err(|e| io_error("running", e));
    // In this order: the shell's end closes the channel of the settlements, which the control thread writes to the end.
    drop(shell);
    drop(control);
    let (stop, left) = ended?;
    info!(target: "router", left, code = stop.exit_code(), reason = %stop.log_name(), "stopped");
    Ok(ExitCode::from(stop.exit_code()))
}

/// Listening address of a router, and whether other routers share it.
struct ListenSettings {
    listen: SocketAddr,
    shared_port: bool,
}

fn io_error(what: &str, error: std::io::Error) -> CommandError {
    CommandError::CouldNotRun(format!("{what}: {error}"))
}

fn bind_address(listen_settings: &ListenSettings) -> Result<ListenAddress, CommandError> {
    with_retries(STARTUP_ATTEMPTS, || {
        ListenAddress::bind(listen_settings.listen, listen_settings.shared_port)
    })
    .map_err(|e| io_error(&format!("listening at {}", listen_settings.listen), e))
}

/// Requests the place of the router that listens on the control socket, and uses its listening socket.
fn adopt_address(
    listen_settings: &ListenSettings,
    control: &Path,
) -> Result<(ListenAddress, Option<HandedOver>), CommandError> {
    let handed_over = handover::request_offer(control)?;
    let listener = handed_over.listener.try_clone();
    let address = listener
        .and_then(|listener| ListenAddress::adopt(listener, listen_settings.shared_port))
        .map_err(|e| io_error(&format!("listening at {}", listen_settings.listen), e))?;
    Ok((address, Some(handed_over)))
}

fn control_error(path: &Path, error: &std::io::Error) -> CommandError {
    CommandError::CouldNotRun(format!("control socket {}: {error}", path.display()))
}

/// Binds the control socket at its path.
fn bind_control(path: &Path) -> Result<(Arc<SocketFile>, UnixListener), CommandError> {
    control::check_unused(path)?;
    let failed = |e| control_error(path, &e);
    let (socket_file, listener) = SocketFile::bind(path).map_err(failed)?;
    socket_file.publish().map_err(failed)?;
    Ok((Arc::new(socket_file), listener))
}

/// Writes each event of the decision module and its actions to a file, as JSON lines.
fn record_decisions(core: &mut Core, file: &Path, started: &Started) -> Result<(), CommandError> {
    let out = File::create(file).map_err(|e| io_error(&file.display().to_string(), e))?;
    let mut out = BufWriter::new(out);
    let _ = writeln!(out, "{}", line(started));
    core.observe(Box::new(move |now, event, actions| {
        let decided = Decided { now, event, actions };
        let _ = writeln!(out, "{}", line(&decided));
    }));
    Ok(())
}

/// Forwards signals to the event loop until the process exits.
fn forward_signals(signals: &mut Signals, handle: &Handle) {
    for signal in signals.forever() {
        let event = if signal == SIGHUP { LifecycleEvent::Reload } else { LifecycleEvent::Terminate };
        info!(target: "router", signal, "told to {}", if signal == SIGHUP { "reload" } else { "end" });
        if !handle.notify(event) {
            warn!(target: "router", signal, "the event loop does not accept events");
        }
    }
}

fn line(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
