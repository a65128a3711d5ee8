//! One try to have a revision decided under the next number.

use std::collections::{BTreeMap, BTreeSet};

use crate::acceptor::{Ballot, Vote};
use crate::replica::{Quorum, ReplicaId};
use crate::revision::{Number, Revision};

/// What a try comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// It goes on.
    Waiting,
    /// All replicas are to be asked to accept this: ours, or one that may be decided already.
    Propose(Vote),
    /// It is decided.
    Decided(Revision),
}

/// A try under one ballot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    ballot: Ballot,
    ours: Revision,
    promises: BTreeMap<ReplicaId, Option<Vote>>,
    proposed: Option<Revision>,
    accepted: BTreeSet<ReplicaId>,
}

impl Proposer {
    /// A try for this revision.
    pub fn new(ballot: Ballot, ours: Revision) -> Self {
        Self { ballot, ours, promises: BTreeMap::new(), proposed: None, accepted: BTreeSet::new() }
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The number that it is about.
    pub fn number(&self) -> Number {
        self.ours.number
    }

    /// A replica has promised.
    pub fn promised(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        vote: Option<Vote>,
        quorum: Quorum,
    ) -> Progress {
        if ballot != self.ballot || self.proposed.is_some() {
            return Progress::Waiting;
        }
        self.promises.insert(from, vote);
        if self.promises.len() < quorum.size() {
            return Progress::Waiting;
        }
        // What the newest ballot has proposed may be decided: it must be proposed again, not ours.
        let newest = self.promises.values().flatten().max_by_key(|vote| vote.ballot);
        let revision = newest.map_or(&self.ours, |vote| &vote.revision).clone();
        self.proposed = Some(revision.clone());
        Progress::Propose(Vote { ballot: self.ballot, revision })
    }

    /// A replica has accepted.
    pub fn accepted(&mut self, from: ReplicaId, ballot: Ballot, quorum: Quorum) -> Progress {
        let Some(revision) = self.proposed.as_ref().filter(|_| ballot == self.ballot) else {
            return Progress::Waiting;
        };
        self.accepted.insert(from);
        if self.accepted.len() < quorum.size() {
            return Progress::Waiting;
        }
        Progress::Decided(revision.clone())
    }
}
