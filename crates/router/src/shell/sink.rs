//! The interface between a shell and the program around it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use chalkyard_budget::{Figures, Record, Settled};
use chalkyard_state::LifecycleAction;

use crate::{Counters, Input, RequestRecord, Tally, Transition};

/// Takes what a router gives out. All methods are called in the loop and must not block.
pub trait Sink {
    /// A request is over.
    fn finished(&mut self, record: RequestRecord);
    /// What was done in a second, if the core counts.
    fn tally(&mut self, _tally: &Tally) {}
    /// A transition of a request's state that is out of the ordinary.
    fn transition(&mut self, _transition: &Transition) {}
    /// Counters since the start: once a minute, when the graceful shutdown begins, and at the end.
    fn counters(&mut self, _counters: &Counters) {}
    /// Something happened that an operator may want to know.
    fn note(&mut self, what: &str, text: &str);
    /// The endpoint list to be stored for the next start.
    fn store_endpoint_list(&mut self, text: &str);
    /// A record for the ledger.
    fn record(&mut self, _number: u64, _record: &Record) {}
    /// Writes all records, before anything that follows them leaves the router; false: they could not be written.
    fn flush(&mut self) -> bool {
        true
    }
    /// How often [`Sink::housekeep`] wants to be called; none: never.
    fn housekeeping_interval(&self) -> Option<Duration> {
        None
    }
    /// What other threads have for the core.
    fn housekeep(&mut self) -> Vec<SinkEvent> {
        Vec::new()
    }
    /// The lifecycle has come to this action; a supervisor may be notified of it.
    fn lifecycle_action(&mut self, _action: LifecycleAction, _at: Option<SocketAddr>) {}
    /// Gives the ledger up to the next process; what is settled from then on goes there.
    fn hand_over_ledger(&mut self) -> Option<Receiver<Settled>> {
        None
    }
    /// Settings are to be read again; the result comes from [`Sink::housekeep`].
    fn reload(&mut self) {}
    /// The record of a request that ended lately.
    fn recent_request(&self, _id: &str) -> Option<String> {
        None
    }
    /// Budget figures, once a minute.
    fn budget_figures(&mut self, _figures: &BTreeMap<Box<str>, Figures>) {}
}

/// What a [`Sink`] has for the core.
pub type SinkEvent = Input<'static>;

/// What the next process takes over from this one.
#[derive(Debug)]
pub struct Handover {
    /// The listening socket.
    pub listener: OwnedFd,
    /// What this process settles from now on; none without a ledger.
    pub settled: Option<Receiver<Settled>>,
}
