//! One control replica's votes on the next number: single-decree consensus for each number.
//!
//! A number's revision is decided once a quorum has accepted it under one ballot. What an acceptor has promised and
//! accepted is on its disk before it answers.

use serde::{Deserialize, Serialize};

use crate::replica::ReplicaId;
use crate::revision::{Number, Revision};

/// A try to decide a number: the higher one goes first. Never used twice, since it names its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts tries.
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

/// An acceptor's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It takes part in nothing older; what it has accepted before, if anything.
    Promised(Option<Vote>),
    /// It has accepted.
    Accepted,
    /// It has promised a newer ballot.
    Refused(Ballot),
    /// The number is decided, or not the next one here.
    NotNext,
}

/// The votes on one number. Those on numbers that are decided are forgotten.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    number: Number,
    promised: Option<Ballot>,
    accepted: Option<Vote>,
}

impl Acceptor {
    /// One that votes on the number after `decided`.
    pub fn after(decided: Number) -> Self {
        Self { number: decided.next(), promised: None, accepted: None }
    }

    /// The number that it votes on.
    pub fn number(&self) -> Number {
        self.number
    }

    /// The highest round that it has seen.
    pub fn round(&self) -> u64 {
        self.promised.map_or(0, |ballot| ballot.round)
    }

    /// A ballot wants to be the newest.
    pub fn prepare(&mut self, number: Number, ballot: Ballot) -> Answer {
        if number != self.number {
            return Answer::NotNext;
        }
        match self.promised.filter(|promised| *promised > ballot) {
            Some(newer) => Answer::Refused(newer),
            None => {
                self.promised = Some(ballot);
                Answer::Promised(self.accepted.clone())
            }
        }
    }

    /// A ballot wants its revision accepted.
    pub fn accept(&mut self, vote: Vote) -> Answer {
        if vote.revision.number != self.number {
            return Answer::NotNext;
        }
        match self.promised.filter(|promised| *promised > vote.ballot) {
            Some(newer) => Answer::Refused(newer),
            None => {
                self.promised = Some(vote.ballot);
                self.accepted = Some(vote);
                Answer::Accepted
            }
        }
    }
}
