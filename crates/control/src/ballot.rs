//! Who proposes a revision, under which ballot, and what was voted for.

use serde::{Deserialize, Serialize};

use crate::revision::Revision;

/// A control replica, by its place in the list that all replicas of a site hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u8);

/// A try to decide a number: the higher one goes first. Never used twice, since it names its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts attempts.
    pub round: u64,
    /// Whose try it is.
    pub replica: ReplicaId,
}

/// A revision that an acceptor has accepted, and under which ballot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The ballot.
    pub ballot: Ballot,
    /// What it is for.
    pub revision: Revision,
}
