//! The interface between a shell and the program that embeds it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use chalkyard_budget::{Figures, Record, Settled};
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
    /// Hands the ledger over to the next process. Returns the channel of the settlements from then on.
    fn hand_over_ledger(&mut self) -> Option<Receiver<Settled>> {
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

/// The resources that the next process takes over from this one.
#[derive(Debug)]
pub struct Handover {
    /// The listening socket.
    pub listener: OwnedFd,
    /// Settlements by this process from now on; `None` without a ledger.
    pub settled: Option<Receiver<Settled>>,
}
