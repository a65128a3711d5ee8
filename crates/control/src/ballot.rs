//! The identities of consensus: a replica, its ballot, and a vote under it.

use serde::{Deserialize, Serialize};

use crate::revision::Revision;

/// A control replica, by its position in the list of replicas that the whole site is configured with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u8);

/// An attempt to decide a revision number. The higher ballot wins; no two are equal, since each names its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts attempts to decide the number.
    pub round: u64,
    /// The replica that proposes.
    pub replica: ReplicaId,
}

/// A revision that an acceptor has accepted, and the ballot under which it was proposed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The ballot.
    pub ballot: Ballot,
    /// The accepted revision.
    pub revision: Revision,
}
