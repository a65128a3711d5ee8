//! The sink of a running router's event loop: log, ledger and service manager.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chalkyard_budget::{BudgetEnforcer, Figures, Record, Settled, Time};
use chalkyard_policy::Micros;
use chalkyard_router::shell::{Sink, SinkEvent, TakeOverError};
use chalkyard_router::{Counters, RequestRecord, Tally, Transition};
use chalkyard_state::LifecycleAction;
use tracing::{info, warn};

use crate::budget_runtime::Ledger;
use crate::handover::TakeOver;
use crate::line_budget::LineBudget;
use crate::logs::Log;
use crate::notify;
use crate::reload::Reloader;
use crate::router_ledger::RouterLedger;

/// Capacity of the channel from other threads to the event loop, and the most events taken per housekeeping run. Senders
/// block while the channel is full.
pub const MAX_PENDING_EVENTS: usize = 1_024;
/// Housekeeping interval of a router without a ledger.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);
/// Number of finished requests that are kept for queries.
const MAX_RECENT_REQUESTS: usize = 1_000;

/// Passes the event loop's reports to the log, the ledger and the service manager.
pub struct RouterSink {
    /// The log.
    pub log: Log,
    /// Limit on log lines about transitions of single requests.
    pub lines: LineBudget,
    /// The ledger.
    pub ledger: RouterLedger,
    /// The place of a predecessor, until it is taken over.
    pub take_over: Option<TakeOver>,
    /// Recently finished requests, newest last.
    pub recent: VecDeque<RequestRecord>,
    /// Router name, for the first ready line.
    pub name: String,
    /// Random seed, for the first ready line.
    pub seed: u64,
    /// Whether the ready line was logged.
    pub ready: bool,
    /// Start time of the process.
    pub started_at: Instant,
    /// Reloads the settings.
    pub reloader: Arc<Reloader>,
    /// Events of other threads for the event loop.
    pub events: Receiver<SinkEvent>,
}

impl Sink for RouterSink {
    fn finished(&mut self, record: RequestRecord) {
        self.log.finished(&record);
        if self.recent.len() >= MAX_RECENT_REQUESTS {
            self.recent.pop_front();
        }
        self.recent.push_back(record);
    }

    fn transition(&mut self, transition: &Transition) {
        if self.lines.take(Instant::now()).is_some() {
            self.log.transition(transition);
        }
    }

    fn counters(&mut self, counters: &Counters) {
        self.log.counters(counters);
    }

    fn tally(&mut self, tally: &Tally) {
        self.log.tally(tally);
    }

    fn recent_request(&self, id: &str) -> Option<String> {
        let record = self.recent.iter().rev().find(|r| r.id == id)?;
        serde_json::to_string(record).ok()
    }

    fn lifecycle_action(&mut self, act: LifecycleAction, at: Option<SocketAddr>) {
        match act {
            LifecycleAction::NotifyReady => {
                notify::send("READY=1\n");
                if !std::mem::replace(&mut self.ready, true) {
                    let at = at.map(|a| a.to_string());
                    let took_us = self.started_at.elapsed().as_micros() as u64;
                    info!(target: "router", name = self.name, seed = self.seed, at, took_us, "ready");
                }
            }
            LifecycleAction::NotifyReloading => notify::send("RELOADING=1\n"),
            LifecycleAction::NotifyStopping => notify::send("STOPPING=1\n"),
            LifecycleAction::StopAccepting { .. } => info!(target: "router", "takes nothing new"),
            LifecycleAction::ResumeAccepting => info!(target: "router", "takes requests again"),
            LifecycleAction::AnswerOpenRequests => {
                info!(target: "router", "notifying open requests that the router stops")
            }
            LifecycleAction::Listen
            | LifecycleAction::SuspendAccepting
            | LifecycleAction::EnterLameDuck
            | LifecycleAction::ReloadSettings
            | LifecycleAction::Exit(_) => {}
        }
    }

    fn take_over(&mut self, now: Micros) -> Result<Option<BudgetEnforcer>, TakeOverError> {
        let Some(take_over) = self.take_over.take() else { return Ok(None) };
        let Some((enforcer, ledger)) = take_over.run(Time(now.0))? else { return Ok(None) };
        self.ledger = RouterLedger::Active(ledger);
        Ok(Some(enforcer))
    }

    fn share_ledger_lock(&self) -> std::io::Result<Option<OwnedFd>> {
        self.ledger.share_lock()
    }

    fn suspend_ledger(&mut self) {
        self.ledger.suspend();
    }

    fn resume_ledger(&mut self) -> bool {
        self.ledger.resume()
    }

    fn release_ledger(&mut self) -> Option<Receiver<Settled>> {
        self.ledger.release()
    }

    /// Runs on another thread, because it reads files.
    fn reload(&mut self) {
        let reloader = self.reloader.clone();
        let read = move || reloader.reload();
        if let Err(e) = std::thread::Builder::new().name("reload".into()).spawn(read) {
            warn!(target: "router", "settings not reloaded: {e}");
        }
    }

    fn note(&mut self, what: &str, text: &str) {
        self.log.note(what, text);
    }

    fn store_endpoint_list(&mut self, text: &str) {
        self.log.store_endpoint_list(text);
    }

    fn record(&mut self, number: u64, record: &Record) {
        self.ledger.record(number, record);
    }

    fn flush(&mut self) -> bool {
        self.ledger.flush()
    }

    fn housekeeping_interval(&self) -> Option<Duration> {
        Some(match &self.ledger {
            RouterLedger::Active(ledger) => ledger.sync_interval,
            _ => HOUSEKEEPING_INTERVAL,
        })
    }

    fn housekeep(&mut self) -> Vec<SinkEvent> {
        let mut out: Vec<SinkEvent> = self.events.try_iter().take(MAX_PENDING_EVENTS).collect();
        out.extend(self.ledger.active().map(Ledger::housekeep).unwrap_or_default());
        out
    }

    fn budget_figures(&mut self, figures: &BTreeMap<Box<str>, Figures>) {
        for (tenant, f) in figures {
            info!(
                target: "budget",
                tenant = &**tenant,
                spent_units = f.spent,
                reserved_units = f.reserved,
                stranded_units = f.stranded,
                refused = f.refused,
                "figures"
            );
        }
    }
}
