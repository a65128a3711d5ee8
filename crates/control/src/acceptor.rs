//! The acceptor role of single-decree Paxos: a replica's votes on the next revision number, one instance for each number.
//!
//! A revision is decided once a quorum has accepted it under one ballot. The acceptor's state has to be on the replica's
//! disk before the acceptor's answer is sent.

use serde::{Deserialize, Serialize};

use crate::ballot::{Ballot, Vote};
use crate::revision::RevisionNumber;

/// An acceptor's answer to a proposer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptorReply {
    /// The acceptor promises to accept nothing under older ballots. Carries its last accepted vote, if it has one.
    Promised(Option<Vote>),
    /// The acceptor has accepted the revision.
    Accepted,
    /// The acceptor has already promised this newer ballot.
    Rejected(Ballot),
    /// The number is already decided, or is not the next number at this replica.
    NotNext,
}

/// The votes of one replica on one revision number. Votes on decided numbers are discarded.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    number: RevisionNumber,
    promised: Option<Ballot>,
    accepted: Option<Vote>,
}

impl Acceptor {
    /// Creates an acceptor without votes for the number after `decided`.
    pub fn after(decided: RevisionNumber) -> Self {
        Self { number: decided.next(), promised: None, accepted: None }
    }

    /// Returns the number that the acceptor votes on.
    pub fn number(&self) -> RevisionNumber {
        self.number
    }

    /// Returns the round of the highest promised ballot, or 0 if no ballot was promised.
    pub fn round(&self) -> u64 {
        self.promised.map_or(0, |ballot| ballot.round)
    }

    /// Handles a prepare request, by which a proposer starts a ballot.
    pub fn prepare(&mut self, number: RevisionNumber, ballot: Ballot) -> AcceptorReply {
        if number != self.number {
            return AcceptorReply::NotNext;
        }
        if let Some(newer) = self.promise_newer_than(ballot) {
            return AcceptorReply::Rejected(newer);
        }
        self.promised = Some(ballot);
        AcceptorReply::Promised(self.accepted.clone())
    }

    /// Handles an accept request for a proposer's revision.
    pub fn accept(&mut self, vote: Vote) -> AcceptorReply {
        if vote.revision.number != self.number {
            return AcceptorReply::NotNext;
        }
        if let Some(newer) = self.promise_newer_than(vote.ballot) {
            return AcceptorReply::Rejected(newer);
        }
        self.promised = Some(vote.ballot);
        self.accepted = Some(vote);
        AcceptorReply::Accepted
    }

    fn promise_newer_than(&self, ballot: Ballot) -> Option<Ballot> {
        self.promised.filter(|promised| *promised > ballot)
    }
}
