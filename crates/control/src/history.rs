//! The configuration as it stands, and the last revisions that led to it.

use std::collections::VecDeque;

use crate::digest::Digest;
use crate::document::{Change, Document, DocumentError};
use crate::revision::{Revision, RevisionNumber};

/// How much of the past is kept: who is further behind gets the snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// Revisions.
    pub revisions: usize,
    /// Bytes of their changes.
    pub bytes: usize,
}

impl Default for Retention {
    /// A few hours of an ordinary day, a megabyte at most.
    fn default() -> Self {
        Self { revisions: 512, bytes: 1024 * 1024 }
    }
}

/// What brings a follower up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatchUp {
    /// It has all there is.
    Current,
    /// These, in order.
    Revisions(Vec<Revision>),
    /// The whole: it is further behind than is kept.
    Snapshot,
    /// Nothing: what it holds under its number is not what was decided.
    Diverged,
}

/// Why a revision is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryError {
    /// It is not the next number.
    NotNext(RevisionNumber),
    /// It follows another configuration than this one: two histories.
    Diverged,
    /// It can't be applied.
    Invalid(DocumentError),
}

/// All of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct History {
    document: Document,
    number: RevisionNumber,
    past: VecDeque<Revision>,
    past_bytes: usize,
    retention: Retention,
}

fn bytes(revision: &Revision) -> usize {
    let of = |change: &Change| match change {
        Change::Set(entry) => entry.key.len() + entry.value.len(),
        Change::Remove(key) => key.len(),
    };
    revision.delta.0.iter().map(of).sum()
}

impl History {
    /// One that begins with a snapshot.
    pub fn new(number: RevisionNumber, document: Document, retention: Retention) -> Self {
        Self { document, number, past: VecDeque::new(), past_bytes: 0, retention }
    }

    /// The newest number.
    pub fn number(&self) -> RevisionNumber {
        self.number
    }

    /// The configuration.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Takes the next revision, whole or not at all. Costs what the revision does.
    ///
    /// # Errors
    /// Says why it is not taken.
    pub fn append(&mut self, revision: Revision) -> Result<(), HistoryError> {
        if revision.number != self.number.next() {
            return Err(HistoryError::NotNext(self.number));
        }
        if revision.before != self.document.digest() {
            return Err(HistoryError::Diverged);
        }
        self.document.apply(&revision.delta, revision.after).map_err(HistoryError::Invalid)?;
        self.number = revision.number;
        self.past_bytes += bytes(&revision);
        self.past.push_back(revision);
        while self.past.len() > self.retention.revisions || self.past_bytes > self.retention.bytes {
            let Some(oldest) = self.past.pop_front() else { break };
            self.past_bytes -= bytes(&oldest);
        }
        Ok(())
    }

    /// A revision that is kept.
    pub fn revision(&self, number: RevisionNumber) -> Option<&Revision> {
        let first = self.past.front()?.number;
        let place = usize::try_from(number.0.checked_sub(first.0)?).ok()?;
        self.past.get(place)
    }

    /// What brings one up to date that holds this.
    pub fn catch_up(&self, number: RevisionNumber, digest: Digest) -> CatchUp {
        if number == self.number && digest == self.document.digest() {
            return CatchUp::Current;
        }
        match self.revision(number.next()) {
            Some(next) if next.before == digest => {
                CatchUp::Revisions(self.past.iter().filter(|r| r.number > number).cloned().collect())
            }
            // Number 0 is nothing at all, which anything follows.
            Some(_) if number == RevisionNumber::default() => CatchUp::Snapshot,
            Some(_) => CatchUp::Diverged,
            None if number == self.number && number > RevisionNumber::default() => CatchUp::Diverged,
            None => CatchUp::Snapshot,
        }
    }
}
