//! What the event loop of a running router reports to.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chalkyard_budget::{Figures, Record, Settled};
use chalkyard_router::shell::{Sink, SinkEvent};
use chalkyard_router::{Counters, RequestRecord, Tally, Transition};
use chalkyard_state::LifecycleAction;
use tracing::{info, warn};

use crate::budget_runtime::Ledger;
use crate::line_budget::LineBudget;
use crate::logs::Log;
use crate::notify;
use crate::reload::Reloader;

/// Messages of other threads that wait for the event loop, and that it takes at a time; senders wait then.
pub const PENDING_NEWS: usize = 1_024;
/// How often the loop asks for work of other threads when there is no ledger to sync.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);
/// Settlements that wait for the successor: as many as requests can be open.
const PENDING_SETTLEMENTS: usize = 100_000;
/// Finished requests that can still be asked for.
const RECENT_REQUESTS: usize = 1_000;

/// What the event loop reports to: the log, the ledger and the service manager.
pub struct RouterSink {
    /// The log.
    pub log: Log,
    /// Lines about changes of single requests.
    pub lines: LineBudget,
    /// The ledger, where budgets are enforced.
    pub ledger: Option<Ledger>,
    /// The successor that the ledger was handed to.
    pub successor: Option<SyncSender<Settled>>,
    /// Requests that ended lately, newest last.
    pub recent: VecDeque<RequestRecord>,
    /// What the first ready line says.
    pub name: String,
    /// Likewise.
    pub seed: u64,
    /// It was said.
    pub ready: bool,
    /// When the process began.
    pub began: Instant,
    /// Reads the settings again.
    pub reloader: Arc<Reloader>,
    /// What other threads have for the loop.
    pub news: Receiver<SinkEvent>,
}

impl Sink for RouterSink {
    fn finished(&mut self, record: RequestRecord) {
        self.log.finished(&record);
        if self.recent.len() >= RECENT_REQUESTS {
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
                notify::say("READY=1\n");
                if !std::mem::replace(&mut self.ready, true) {
                    let at = at.map(|a| a.to_string());
                    let took_us = self.began.elapsed().as_micros() as u64;
                    info!(target: "router", name = self.name, seed = self.seed, at, took_us, "ready");
                }
            }
            LifecycleAction::NotifyReloading => notify::say("RELOADING=1\n"),
            LifecycleAction::NotifyStopping => notify::say("STOPPING=1\n"),
            LifecycleAction::StopAccepting { .. } => info!(target: "router", "takes nothing new"),
            LifecycleAction::ResumeAccepting => info!(target: "router", "takes requests again"),
            LifecycleAction::AnswerOpenRequests => {
                info!(target: "router", "what is open is told that the router stops")
            }
            LifecycleAction::Listen
            | LifecycleAction::EnterLameDuck
            | LifecycleAction::ReloadSettings
            | LifecycleAction::Exit(_) => {}
        }
    }

    fn hand_over_ledger(&mut self) -> Option<Receiver<Settled>> {
        let mut ledger = self.ledger.take()?;
        // What can't be written now is lost to the successor: it settles it as orphaned.
        ledger.flush();
        let (successor, settled) = sync_channel(PENDING_SETTLEMENTS);
        self.successor = Some(successor);
        Some(settled)
    }

    /// Beside the loop: files are read.
    fn reload(&mut self) {
        let reloader = self.reloader.clone();
        let read = move || reloader.reload();
        if let Err(e) = std::thread::Builder::new().name("reload".into()).spawn(read) {
            warn!(target: "router", "not reloaded: {e}");
        }
    }

    fn note(&mut self, what: &str, text: &str) {
        self.log.note(what, text);
    }

    fn store_endpoint_list(&mut self, text: &str) {
        self.log.keep_list(text);
    }

    fn record(&mut self, number: u64, record: &Record) {
        if let Some(ledger) = &mut self.ledger {
            ledger.record(number, record);
        } else if let (Some(successor), Record::Settled(settled)) = (&self.successor, record) {
            let _ = successor.try_send(settled.clone());
        }
    }

    fn flush(&mut self) -> bool {
        self.ledger.as_mut().is_none_or(Ledger::flush)
    }

    fn housekeeping_interval(&self) -> Option<Duration> {
        Some(self.ledger.as_ref().map_or(HOUSEKEEPING_INTERVAL, |ledger| ledger.sync_interval))
    }

    fn housekeep(&mut self) -> Vec<SinkEvent> {
        let mut out: Vec<SinkEvent> = self.news.try_iter().take(PENDING_NEWS).collect();
        out.extend(self.ledger.as_mut().map(Ledger::housekeep).unwrap_or_default());
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
