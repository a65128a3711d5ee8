//! The interface between a shell and the program that embeds it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use chalkyard_budget::{BudgetEnforcer, Figures, Record, Settled};
use chalkyard_policy::Micros;
use chalkyard_state::LifecycleAction;

use crate::{Counters, Input, RequestRecord, Tally, Transition};

/// Receives a router's records and events. All methods are called in the event loop and must not block.
pub trait Sink {
    /// A request has finished.
    fn finished(&mut self, record: RequestRecord);
    /// Counts of one second, if the core is set to count.
    fn tally(&mut self, _tally: &Tally) {}
    /// An unusual transition in a request's state.
    fn transition(&mut self, _transition: &Transition) {}
    /// Counters since the start, reported once a minute, when a graceful shutdown begins, and at the end.
    fn counters(&mut self, _counters: &Counters) {}
    /// A message for operators: its topic and its text.
    fn note(&mut self, what: &str, text: &str);
    /// Stores the endpoint list for the next start.
    fn store_endpoint_list(&mut self, text: &str);
    /// Adds a record to the ledger's next write.
    fn record(&mut self, _number: u64, _record: &Record) {}
    /// Writes all added records to the ledger. Later outputs leave the router only after this. Returns whether the write
    /// succeeded.
    fn flush(&mut self) -> bool {
        true
    }
    /// How often to call [`Sink::housekeep`]; `None` means never.
    fn housekeeping_interval(&self) -> Option<Duration> {
        None
    }
    /// Returns events from other threads for the core.
    fn housekeep(&mut self) -> Vec<SinkEvent> {
        Vec::new()
    }
    /// The lifecycle has performed an action, of which a service manager may be notified.
    fn lifecycle_action(&mut self, _action: LifecycleAction, _at: Option<SocketAddr>) {}
    /// Takes the place of a predecessor, if there is one; called once, just before the first connection is accepted. May
    /// block, and returns the budgets that were recovered from the predecessor's ledger.
    ///
    /// # Errors
    /// The predecessor keeps its place.
    fn take_over(&mut self, _now: Micros) -> Result<Option<BudgetEnforcer>, TakeOverError> {
        Ok(None)
    }
    /// Returns the lock of the ledger for a successor, if there is a ledger.
    ///
    /// # Errors
    /// No descriptor is left.
    fn share_ledger_lock(&self) -> io::Result<Option<OwnedFd>> {
        Ok(None)
    }
    /// Writes nothing to the ledger until [`Sink::resume_ledger`] or [`Sink::release_ledger`]; records wait.
    fn suspend_ledger(&mut self) {}
    /// Writes the records that waited to the ledger. Returns whether the ledger is writable.
    fn resume_ledger(&mut self) -> bool {
        true
    }
    /// Gives the ledger up to a successor. Returns the channel of the settlements since [`Sink::suspend_ledger`].
    fn release_ledger(&mut self) -> Option<Receiver<Settled>> {
        None
    }
    /// Starts to reload the settings. The result arrives through [`Sink::housekeep`].
    fn reload(&mut self) {}
    /// The record of a recently ended request, as JSON.
    fn recent_request(&self, _id: &str) -> Option<String> {
        None
    }
    /// Budget figures by tenant, reported once a minute.
    fn budget_figures(&mut self, _figures: &BTreeMap<Box<str>, Figures>) {}
}

/// An event from a [`Sink`] for the core.
pub type SinkEvent = Input<'static>;

/// Why a router does not take the place of its predecessor.
pub type TakeOverError = Box<dyn std::error::Error + Send + Sync>;
