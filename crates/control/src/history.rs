//! The current configuration and the most recent revisions that produced it.

use std::collections::VecDeque;

use crate::digest::Digest;
use crate::document::{Document, DocumentError};
use crate::revision::{Revision, RevisionNumber};

/// How many past revisions are retained. A peer that is further behind gets a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// Maximum number of retained revisions.
    pub revisions: usize,
    /// Maximum total length of the keys and values that the retained revisions change, in bytes.
    pub bytes: usize,
}

impl Default for Retention {
    /// Covers a few hours of typical changes in at most 1 MiB.
    fn default() -> Self {
        Self { revisions: 512, bytes: 1024 * 1024 }
    }
}

/// What has to be sent to bring a peer up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatchUp {
    /// Nothing: the peer has the newest revision.
    Current,
    /// The revisions that the peer is missing, in order.
    Revisions(Vec<Revision>),
    /// The complete document: the peer is missing revisions that are no longer retained.
    Snapshot,
    /// Nothing: the peer's document differs from the one that was decided under its number.
    Diverged,
}

/// Why a revision can't be appended. The history is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HistoryError {
    /// The revision's number is not the next one.
    #[error("revision {number} is not the next one after revision {current}")]
    NotNext {
        /// The revision's number.
        number: RevisionNumber,
        /// The newest number of this history.
        current: RevisionNumber,
    },
    /// The revision is based on a document other than the current one: the histories have diverged.
    #[error("revision {number} is based on a configuration other than the current one")]
    Diverged {
        /// The revision's number.
        number: RevisionNumber,
    },
    /// The revision's delta can't be applied.
    #[error("revision {number} can't be applied")]
    Invalid {
        /// The revision's number.
        number: RevisionNumber,
        /// The error of the delta.
        #[source]
        cause: DocumentError,
    },
}

/// The current document with its number, and the retained past revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct History {
    document: Document,
    number: RevisionNumber,
    past: VecDeque<Revision>,
    past_bytes: usize,
    retention: Retention,
}

impl History {
    /// Creates a history that starts with a document and has no past revisions.
    pub fn new(number: RevisionNumber, document: Document, retention: Retention) -> Self {
        Self { document, number, past: VecDeque::new(), past_bytes: 0, retention }
    }

    /// Returns the number of the newest revision.
    pub fn number(&self) -> RevisionNumber {
        self.number
    }

    /// Returns the current document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Appends the next revision atomically. The cost grows with the length of the revision, not of the document.
    ///
    /// # Errors
    /// The revision is not the next one, is based on another document, or can't be applied.
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

    /// Returns the revision with this number, if it is retained.
    pub fn revision(&self, number: RevisionNumber) -> Option<&Revision> {
        let oldest = self.past.front()?.number;
        let index = usize::try_from(number.0.checked_sub(oldest.0)?).ok()?;
        self.past.get(index)
    }

    /// Determines what brings a peer up to date whose document has this number and digest.
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
