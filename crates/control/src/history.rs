//! The current configuration, and the last revisions that led to it.

use std::collections::VecDeque;

use crate::digest::Digest;
use crate::document::{Document, DocumentError};
use crate::revision::{Revision, RevisionNumber};

/// How many past revisions are retained. A subscriber further behind gets a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// Limit of the revisions.
    pub revisions: usize,
    /// Limit of the bytes that they change.
    pub bytes: usize,
}

impl Default for Retention {
    /// Enough for a few hours of an ordinary day, in at most a megabyte.
    fn default() -> Self {
        Self { revisions: 512, bytes: 1024 * 1024 }
    }
}

/// What brings a peer up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatchUp {
    /// Nothing: it has the newest revision.
    Current,
    /// These revisions, in order.
    Revisions(Vec<Revision>),
    /// The complete document: it is further behind than revisions are retained.
    Snapshot,
    /// Nothing can: its document under its number is not what was decided.
    Diverged,
}

/// Why a revision is not appended. The history is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HistoryError {
    /// Its number is not the next one.
    #[error("revision {number} does not follow {current}")]
    NotNext {
        /// The revision's number.
        number: RevisionNumber,
        /// The newest number of this history.
        current: RevisionNumber,
    },
    /// It follows a document other than the current one: two histories.
    #[error("revision {number} follows another configuration than the one before it here")]
    Diverged {
        /// The revision's number.
        number: RevisionNumber,
    },
    /// Its delta can't be applied.
    #[error("revision {number} can't be applied")]
    Invalid {
        /// The revision's number.
        number: RevisionNumber,
        /// What is wrong with the delta.
        #[source]
        cause: DocumentError,
    },
}

/// The current document with its number, and the past revisions that are retained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct History {
    document: Document,
    number: RevisionNumber,
    past: VecDeque<Revision>,
    past_bytes: usize,
    retention: Retention,
}

impl History {
    /// A history that begins with a document and has no past.
    pub fn new(number: RevisionNumber, document: Document, retention: Retention) -> Self {
        Self { document, number, past: VecDeque::new(), past_bytes: 0, retention }
    }

    /// The number of the newest revision.
    pub fn number(&self) -> RevisionNumber {
        self.number
    }

    /// The current document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Appends the next revision: all of it or nothing. Costs as much as the revision is long.
    ///
    /// # Errors
    /// The revision does not follow the newest one, or can't be applied.
    pub fn append(&mut self, revision: Revision) -> Result<(), HistoryError> {
        let number = revision.number;
        if number != self.number.next() {
            return Err(HistoryError::NotNext { number, current: self.number });
        }
        if revision.before != self.document.digest() {
            return Err(HistoryError::Diverged { number });
        }
        let applied = self.document.apply(&revision.delta, revision.after);
        applied.map_err(|cause| HistoryError::Invalid { number, cause })?;
        self.number = number;
        self.past_bytes += revision.bytes();
        self.past.push_back(revision);
        self.drop_oldest();
        Ok(())
    }

    fn drop_oldest(&mut self) {
        while self.past.len() > self.retention.revisions || self.past_bytes > self.retention.bytes {
            let Some(oldest) = self.past.pop_front() else { break };
            self.past_bytes -= oldest.bytes();
        }
    }

    /// The revision with this number, if it is retained.
    pub fn revision(&self, number: RevisionNumber) -> Option<&Revision> {
        let oldest = self.past.front()?.number;
        let index = usize::try_from(number.0.checked_sub(oldest.0)?).ok()?;
        self.past.get(index)
    }

    /// What brings a peer up to date whose document has this number and digest.
    pub fn catch_up(&self, number: RevisionNumber, digest: Digest) -> CatchUp {
        if number == self.number && digest == self.document.digest() {
            return CatchUp::Current;
        }
        match self.revision(number.next()) {
            Some(next) if next.before == digest => CatchUp::Revisions(self.revisions_after(number)),
            // Number 0 is the empty configuration of a new peer, which any history may replace.
            Some(_) if number == RevisionNumber::default() => CatchUp::Snapshot,
            Some(_) => CatchUp::Diverged,
            None if number == self.number && number > RevisionNumber::default() => CatchUp::Diverged,
            None => CatchUp::Snapshot,
        }
    }

    fn revisions_after(&self, number: RevisionNumber) -> Vec<Revision> {
        self.past.iter().filter(|revision| revision.number > number).cloned().collect()
    }
}
