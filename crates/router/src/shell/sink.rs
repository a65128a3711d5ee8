//! What a shell tells the program around it, and what that has for the core.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use chalkyard_budget::{Figures, Record, Settled};
use chalkyard_state::LifecycleAction;

use crate::{Counters, Finished, Input, Tally, Transition};

/// Takes what a router has to tell.
pub trait Sink {
    /// A request is over.
    fn finished(&mut self, record: Finished);
    /// What was done in a second, where the core counts.
    fn tally(&mut self, _tally: &Tally) {}
    /// A change of a request's state that is out of the ordinary.
    fn transition(&mut self, _transition: &Transition) {}
    /// What was done since the start, by cause: at times, as the router is told to end, and at its end.
    fn counters(&mut self, _counters: &Counters) {}
    /// Something happened that an operator may want to know.
    fn note(&mut self, what: &str, text: &str);
    /// The list of workers to keep for the next start.
    fn store_endpoint_list(&mut self, text: &str);
    /// A record for the ledger.
    fn record(&mut self, _number: u64, _record: &Record) {}
    /// Nothing more leaves before all records are written; false: they could not be.
    fn flush(&mut self) -> bool {
        true
    }
    /// How often [`Sink::housekeep`] wants to be called; none: never.
    fn period(&self) -> Option<Duration> {
        None
    }
    /// What happened beside the loop.
    fn housekeep(&mut self) -> Vec<SinkEvent> {
        Vec::new()
    }
    /// The router's life goes on to this phase; what a supervisor is told of it.
    fn lifecycle_action(&mut self, _action: LifecycleAction, _at: Option<SocketAddr>) {}
    /// Gives the ledger up whole, for a successor; what is settled from then on goes there.
    fn hand_over_ledger(&mut self) -> Option<Receiver<Settled>> {
        None
    }
    /// Settings are to be read again; what comes of it is told by [`Sink::housekeep`].
    fn reload(&mut self) {}
    /// A request that ended lately.
    fn recent_request(&self, _id: &str) -> Option<String> {
        None
    }
    /// Budget figures, at times.
    fn figures(&mut self, _figures: &BTreeMap<Box<str>, Figures>) {}
}

/// What a [`Sink`] has for the core.
pub type SinkEvent = Input<'static>;

/// What a successor gets.
#[derive(Debug)]
pub struct Handover {
    /// The listening socket.
    pub listener: OwnedFd,
    /// What is settled from now on by the life that ends; none where no ledger is kept.
    pub settled: Option<Receiver<Settled>>,
}
