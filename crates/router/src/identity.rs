//! Requests under one identity at one router are one request.
//!
//! Decisions and state, sans-IO: while the first is open, a second is told of it; afterwards, one that
//! may have run and must not run twice is remembered for a time, and a repeat is told to look it up.
//! What was refused, or is free to repeat, is forgotten at its end. Across routers the identity travels
//! to the engines.

use std::collections::{BTreeMap, VecDeque};

use chalkyard_policy::Micros;

/// An identity is one tenant's.
pub(crate) type Identity = (Option<usize>, String);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// Ended; remembered until then.
    Ran(Micros),
}

/// Why a request is not taken as a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// The first is still open here.
    Open,
    /// The first has ended here and may have run.
    Ran,
    /// No more identities can be remembered: taking one more could run it twice.
    Full,
}

/// The identities that are known here.
#[derive(Debug)]
pub(crate) struct Identities {
    known: BTreeMap<Identity, State>,
    /// Ended ones, in the order in which they are forgotten.
    ended: VecDeque<(Micros, Identity)>,
    most: usize,
}

impl Identities {
    pub fn new(most: usize) -> Self {
        Self { known: BTreeMap::new(), ended: VecDeque::new(), most }
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Takes a new request under its identity, or says why not.
    pub fn begin(&mut self, now: Micros, identity: &Identity) -> Result<(), Repeat> {
        self.forget(now);
        match self.known.get(identity) {
            Some(State::Open) => Err(Repeat::Open),
            Some(State::Ran(_)) => Err(Repeat::Ran),
            None if self.known.len() >= self.most => Err(Repeat::Full),
            None => {
                self.known.insert(identity.clone(), State::Open);
                Ok(())
            }
        }
    }

    /// The request has its final answer; `until`: it may have run and must not again.
    pub fn end(&mut self, identity: &Identity, until: Option<Micros>) {
        match until {
            Some(until) => {
                self.known.insert(identity.clone(), State::Ran(until));
                self.ended.push_back((until, identity.clone()));
            }
            None => {
                self.known.remove(identity);
            }
        }
    }

    /// One that may have run in an earlier life. In the order in which they ended.
    pub fn restore(&mut self, identity: &Identity, until: Micros) {
        if self.known.len() < self.most {
            self.end(identity, Some(until));
        }
    }

    /// All are remembered for the same span, so the first that ended is the first to go.
    fn forget(&mut self, now: Micros) {
        while let Some((until, identity)) = self.ended.pop_front_if(|(until, _)| *until <= now) {
            if self.known.get(&identity) == Some(&State::Ran(until)) {
                self.known.remove(&identity);
            }
        }
    }
}

#[cfg(test)]
#[path = "identity_test.rs"]
mod tests;
