//! Deduplication by idempotency key at one router: requests of one tenant with the same key are the same request. In a
//! dialect the id of a request that must not run twice is its key. Sans-IO.
//!
//! While the first request is open, a repeat is rejected as a duplicate. The key of a request that may have run and must
//! not run twice is kept for a time after its end; the error for a repeat asks the client to look up the first request. The
//! key of a request that was rejected, or that is idempotent, is dropped at its end. To deduplicate across routers, the key
//! is forwarded to the workers, which discard repeats.

use std::collections::{BTreeMap, VecDeque};

use chalkyard_policy::Micros;
use thiserror::Error;

/// A client's idempotency key, scoped to its tenant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestIdentity {
    /// Index of the tenant in the configuration.
    pub tenant: Option<usize>,
    /// The key that the client sent.
    pub key: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdentityState {
    Open,
    /// The request has ended and may have run; the key is kept until this time.
    MayHaveRun(Micros),
}

/// Why a request is not accepted as new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum IdentityError {
    /// The first request with this key is still open at this router.
    #[error("a request under this key or id is open here; wait for its answer")]
    StillOpen,
    /// The first request with this key has ended at this router and may have run.
    #[error("a request under this key or id may have run; look it up")]
    MayHaveRun,
    /// The table is full. Accepting the request without keeping its key could run it twice.
    #[error("too many identities are remembered")]
    TableFull,
}

/// The idempotency keys known to this router. Only the router's core reads and writes the table. It holds at most
/// `capacity` keys. After a crash, the keys of requests that may have run are restored from the ledger.
#[derive(Debug)]
pub(crate) struct IdentityTable {
    known: BTreeMap<RequestIdentity, IdentityState>,
    /// Keys of ended requests, in order of expiry.
    ended: VecDeque<(Micros, RequestIdentity)>,
    capacity: usize,
}

impl IdentityTable {
    pub fn new(capacity: usize) -> Self {
        Self { known: BTreeMap::new(), ended: VecDeque::new(), capacity }
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Registers a new request under its key.
    pub fn begin(&mut self, now: Micros, identity: &RequestIdentity) -> Result<(), IdentityError> {
        self.drop_expired(now);
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

    /// Records the final answer of a request. With `until`, the request may have run and must not run again before then.
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

    /// Restores the key of a request that may have run in an earlier process. Calls must follow the order in which the
    /// requests ended.
    pub fn restore(&mut self, identity: &RequestIdentity, until: Micros) {
        if self.known.len() < self.capacity {
            self.end(identity, Some(until));
        }
    }

    /// Drops expired keys. All keys are kept for the same time, so they expire in the order in which their requests ended.
    fn drop_expired(&mut self, now: Micros) {
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
