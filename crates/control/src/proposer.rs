//! The proposer role of single-decree Paxos: one attempt to have a revision decided, under one ballot.

use std::collections::{BTreeMap, BTreeSet};

use crate::ballot::{Ballot, ReplicaId, Vote};
use crate::quorum::Quorum;
use crate::revision::{Revision, RevisionNumber};

/// The state of a proposal after an acceptor's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalProgress {
    /// More answers are needed.
    Waiting,
    /// All replicas have to be asked to accept this vote: the proposer's own revision, or one that may already be decided.
    Propose(Vote),
    /// The revision is decided.
    Decided(Revision),
}

/// A proposal of a revision under one ballot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    ballot: Ballot,
    own_revision: Revision,
    promises: BTreeMap<ReplicaId, Option<Vote>>,
    proposed: Option<Revision>,
    accepted_by: BTreeSet<ReplicaId>,
}

impl Proposer {
    /// Creates a proposal of this revision without any answers.
    pub fn new(ballot: Ballot, own_revision: Revision) -> Self {
        Self { ballot, own_revision, promises: BTreeMap::new(), proposed: None, accepted_by: BTreeSet::new() }
    }

    /// Returns the ballot of the proposal.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns the revision number that the proposal is for.
    pub fn number(&self) -> RevisionNumber {
        self.own_revision.number
    }

    /// Handles a replica's promise of the ballot; `vote` is what the replica had accepted before.
    pub fn promised(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        vote: Option<Vote>,
        quorum: Quorum,
    ) -> ProposalProgress {
        if ballot != self.ballot || self.proposed.is_some() {
            return ProposalProgress::Waiting;
        }
        self.promises.insert(from, vote);
        if self.promises.len() < quorum.size() {
            return ProposalProgress::Waiting;
        }
        // The revision accepted under the newest ballot may already be decided, so it replaces the proposer's own revision.
        let newest_vote = self.promises.values().flatten().max_by_key(|vote| vote.ballot);
        let revision = newest_vote.map_or(&self.own_revision, |vote| &vote.revision).clone();
        self.proposed = Some(revision.clone());
        ProposalProgress::Propose(Vote { ballot: self.ballot, revision })
    }

    /// Handles a replica's acceptance of the proposal.
    pub fn accepted(&mut self, from: ReplicaId, ballot: Ballot, quorum: Quorum) -> ProposalProgress {
        if ballot != self.ballot {
            return ProposalProgress::Waiting;
        }
        let Some(revision) = &self.proposed else { return ProposalProgress::Waiting };
        self.accepted_by.insert(from);
        if self.accepted_by.len() < quorum.size() {
            return ProposalProgress::Waiting;
        }
        ProposalProgress::Decided(revision.clone())
    }
}
