//! Idempotency keys at one router: requests under one key of one tenant are one request. Sans-IO.
//!
//! While the first request is open, a repeat is rejected as a duplicate. Afterwards a request that may have run and must
//! not run twice is remembered for a time, and a repeat is told to look it up. A request that was rejected, or that is
//! idempotent, is forgotten at its end. Across routers the key is forwarded to the workers, which discard repeats.

use std::collections::{BTreeMap, VecDeque};

use chalkyard_policy::Micros;
use thiserror::Error;

/// A client's idempotency key. Keys of different tenants are different.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestIdentity {
    /// The place of the tenant in the settings.
    pub tenant: Option<usize>,
    /// The key as the client gave it.
    pub key: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdentityState {
    Open,
    /// Ended; remembered until then.
    MayHaveRun(Micros),
}

/// Why a request is not accepted as a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum IdentityError {
    /// The first request under the key is still open here.
    #[error("a request under this Idempotency-Key is open here; wait for its answer")]
    StillOpen,
    /// The first request has ended here and may have run.
    #[error("a request under this Idempotency-Key may have run; look it up")]
    MayHaveRun,
    /// No more keys can be remembered: accepting the request could run it twice.
    #[error("too many identities are remembered")]
    TableFull,
}

/// The keys that are known here: the only owner of that state. A router's core writes and reads it; it is bounded by
/// `capacity`, and after a crash the keys that may have run come back from the ledger.
#[derive(Debug)]
pub(crate) struct IdentityTable {
    known: BTreeMap<RequestIdentity, IdentityState>,
    /// Ended ones, in the order in which they are forgotten.
    ended: VecDeque<(Micros, RequestIdentity)>,
    capacity: usize,
}

impl IdentityTable {
    pub fn new(capacity: usize) -> Self {
        Self { known: BTreeMap::new(), ended: VecDeque::new(), capacity }
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Begins a new request under its key, or says why not.
    pub fn begin(&mut self, now: Micros, identity: &RequestIdentity) -> Result<(), IdentityError> {
        self.forget_expired(now);
        match self.known.get(identity) {
            Some(IdentityState::Open) => Err(IdentityError::StillOpen),
            Some(IdentityState::MayHaveRun(_)) => Err(IdentityError::MayHaveRun),
            None if self.known.len() >= self.capacity => Err(IdentityError::TableFull),
            None => {
                self.known.insert(identity.clone(), IdentityState::Open);
                Ok(())
            }
        }
    }

    /// The request has its final answer. With `until`, it may have run and must not run again before then.
    pub fn end(&mut self, identity: &RequestIdentity, until: Option<Micros>) {
        match until {
            Some(until) => {
                self.known.insert(identity.clone(), IdentityState::MayHaveRun(until));
                self.ended.push_back((until, identity.clone()));
            }
            None => {
                self.known.remove(identity);
            }
        }
    }

    /// Restores a request that may have run in an earlier process; in the order in which they ended.
    pub fn restore(&mut self, identity: &RequestIdentity, until: Micros) {
        if self.known.len() < self.capacity {
            self.end(identity, Some(until));
        }
    }

    /// All are remembered for the same span, so the first that ended is the first to be forgotten.
    fn forget_expired(&mut self, now: Micros) {
        while let Some((until, identity)) = self.ended.pop_front_if(|(until, _)| *until <= now) {
            if self.known.get(&identity) == Some(&IdentityState::MayHaveRun(until)) {
                self.known.remove(&identity);
            }
        }
    }
}

#[cfg(test)]
#[path = "identity_test.rs"]
mod tests;
