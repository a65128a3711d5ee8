//! A replica's votes on the next revision number: the acceptor of single-decree Paxos, one instance for each number.
//!
//! A revision is decided once a quorum has accepted it under one ballot. The acceptor's state has to be on the replica's
//! disk before its answer is sent.

use serde::{Deserialize, Serialize};

use crate::ballot::{Ballot, Vote};
use crate::revision::RevisionNumber;

/// An acceptor's answer to a proposer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptorReply {
    /// It takes part in no older ballot. Carries what it has accepted before, if anything.
    Promised(Option<Vote>),
    /// It has accepted the revision.
    Accepted,
    /// It has promised this newer ballot.
    Rejected(Ballot),
    /// The number is decided already, or is not the next one at this replica.
    NotNext,
}

/// The votes on one revision number. Votes on decided numbers are dropped.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    number: RevisionNumber,
    promised: Option<Ballot>,
    accepted: Option<Vote>,
}

impl Acceptor {
    /// An acceptor without votes for the number after `decided`.
    pub fn after(decided: RevisionNumber) -> Self {
        Self { number: decided.next(), promised: None, accepted: None }
    }

    /// The number that it votes on.
    pub fn number(&self) -> RevisionNumber {
        self.number
    }

    /// The highest round that it has promised.
    pub fn round(&self) -> u64 {
        self.promised.map_or(0, |ballot| ballot.round)
    }

    /// Answers a proposer that wants to open a ballot.
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

    /// Answers a proposer that wants its revision accepted.
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
