//! Consensus types: replica ids, ballots and votes.

use serde::{Deserialize, Serialize};

use crate::revision::Revision;

/// A control replica, identified by its index in the list of replicas that all nodes of the site are configured with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u8);

/// An attempt to decide a revision number. The higher ballot wins; ballots of different replicas are never equal, since each
/// contains its replica's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The count of attempts to decide the number; compared first.
    pub round: u64,
    /// The proposing replica.
    pub replica: ReplicaId,
}

/// A revision and the ballot under which it is proposed or was accepted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The ballot of the proposal.
    pub ballot: Ballot,
    /// The proposed or accepted revision.
    pub revision: Revision,
}
