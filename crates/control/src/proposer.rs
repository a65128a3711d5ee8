//! One attempt to have a revision decided: the proposer of single-decree Paxos, under one ballot.

use std::collections::{BTreeMap, BTreeSet};

use crate::ballot::{Ballot, ReplicaId, Vote};
use crate::quorum::Quorum;
use crate::revision::{Revision, RevisionNumber};

/// What follows from an answer of an acceptor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// More answers are needed.
    Waiting,
    /// All replicas are to be asked to accept this: the proposer's own revision, or one that may be decided already.
    Propose(Vote),
    /// The revision is decided.
    Decided(Revision),
}

/// A proposal under one ballot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    ballot: Ballot,
    own_revision: Revision,
    promises: BTreeMap<ReplicaId, Option<Vote>>,
    proposed: Option<Revision>,
    accepted_by: BTreeSet<ReplicaId>,
}

impl Proposer {
    /// A proposal of this revision that no replica has answered yet.
    pub fn new(ballot: Ballot, own_revision: Revision) -> Self {
        Self { ballot, own_revision, promises: BTreeMap::new(), proposed: None, accepted_by: BTreeSet::new() }
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The number that it wants to decide.
    pub fn number(&self) -> RevisionNumber {
        self.own_revision.number
    }

    /// A replica has promised the ballot; `vote` is what it had accepted before.
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
        // A revision accepted under the newest ballot may be decided already, so it has to be proposed in place of ours.
        let newest_vote = self.promises.values().flatten().max_by_key(|vote| vote.ballot);
        let revision = newest_vote.map_or(&self.own_revision, |vote| &vote.revision).clone();
        self.proposed = Some(revision.clone());
        Progress::Propose(Vote { ballot: self.ballot, revision })
    }

    /// A replica has accepted the proposal.
    pub fn accepted(&mut self, from: ReplicaId, ballot: Ballot, quorum: Quorum) -> Progress {
        if ballot != self.ballot {
            return Progress::Waiting;
        }
        let Some(revision) = &self.proposed else { return Progress::Waiting };
        self.accepted_by.insert(from);
        if self.accepted_by.len() < quorum.size() {
            return Progress::Waiting;
        }
        Progress::Decided(revision.clone())
    }
}
