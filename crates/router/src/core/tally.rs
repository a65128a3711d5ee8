//! What a router does in each second that adds up over a fleet. Nothing is decided by it.

use chalkyard_policy::{AttemptKind, Micros};
use serde::{Deserialize, Serialize};

use super::{Core, Output};

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The second, since 1970.
    pub second: u64,
    /// Calls to engines for requests that had none before.
    pub first: u64,
    /// Calls to pull and answer what was read.
    pub pulls: u64,
    /// Calls after one that is proven not to have run, reads included.
    pub again_safe: u64,
    /// Calls after one that may have run.
    pub again_ran: u64,
    /// Calls to workers that have failed, or been silent, lately.
    pub trials: u64,
    /// Calls to workers that may be cold.
    pub cold: u64,
    /// Connections to engines that were asked for, calls of whatever kind.
    pub connects: u64,
    /// Calls for the list of workers.
    pub list_calls: u64,
    /// Changes of the list that were told.
    pub list_news: u64,
    /// Calls to let go of held state.
    pub releases: u64,
    /// Clients' connections that were closed, or turned away, unheard for want of room.
    pub unheard: u64,
    /// Streams that were moved on, since this router leaves.
    pub moved: u64,
    /// Requests that were open at its end, those that stream included.
    pub open: u64,
}

/// What a call is to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    First,
    Pull,
    Again { ran: bool },
}

impl Tally {
    pub(super) fn sent(&mut self, call: Call, kind: AttemptKind) {
        match call {
            Call::First => self.first += 1,
            Call::Pull => self.pulls += 1,
            Call::Again { ran: false } => self.again_safe += 1,
            Call::Again { ran: true } => self.again_ran += 1,
        }
        self.trials += u64::from(kind == AttemptKind::Probe);
        self.cold += u64::from(kind == AttemptKind::SlowStart);
    }

    /// Adds another router's counts of a second.
    pub fn add(&mut self, other: Self) {
        self.second = other.second;
        self.first += other.first;
        self.pulls += other.pulls;
        self.again_safe += other.again_safe;
        self.again_ran += other.again_ran;
        self.trials += other.trials;
        self.cold += other.cold;
        self.connects += other.connects;
        self.list_calls += other.list_calls;
        self.list_news += other.list_news;
        self.releases += other.releases;
        self.unheard += other.unheard;
        self.moved += other.moved;
        self.open += other.open;
    }

    fn is_empty(&self) -> bool {
        *self == Self { second: self.second, ..Self::default() }
    }
}

impl Core {
    /// Counts, where anybody wants to know.
    pub(super) fn count(&mut self, count: impl FnOnce(&mut Tally)) {
        if let Some(tally) = &mut self.tally {
            count(tally);
        }
    }

    /// Tells of a second that is over.
    pub(super) fn tell_tally(&mut self) {
        let second = self.now.0 / Micros::from_secs_f64(1.0).0;
        let open = self.jobs.len() as u64;
        let Some(tally) = self.tally.as_mut().filter(|t| t.second != second) else { return };
        let told = Tally { open, ..std::mem::replace(tally, Tally { second, ..Tally::default() }) };
        if !told.is_empty() {
            self.out.push(Output::Tally(Box::new(told)));
        }
    }
}
