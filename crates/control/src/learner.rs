//! What a router has learned of the configuration: revisions are applied one after another, and never undone.

use crate::document::{Document, DocumentError};
use crate::history::{History, HistoryError, Retention};
use crate::revision::{Revision, RevisionNumber};

/// What became of a revision or a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LearnOutcome {
    /// It is the newest one now.
    Applied,
    /// It is older than the newest one, or the same.
    Stale,
    /// Revisions before it are missing and have to be requested.
    Gap,
    /// It contradicts a number that is known already, or follows another history. Never applied.
    Diverged,
    /// It can't be applied. A snapshot is needed to go on.
    Invalid(DocumentError),
}

/// The newest configuration that a router has learned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Learner {
    history: History,
}

impl Learner {
    /// A learner that starts with its last known good configuration, or with the empty one at number 0.
    pub fn new(number: RevisionNumber, document: Document) -> Self {
        // Routers forward nothing. One revision is retained, to tell a repeated one from one with other content.
        let retention = Retention { revisions: 1, bytes: usize::MAX };
        Self { history: History::new(number, document, retention) }
    }

    /// The newest number.
    pub fn number(&self) -> RevisionNumber {
        self.history.number()
    }

    /// The newest configuration.
    pub fn document(&self) -> &Document {
        self.history.document()
    }

    /// Learns a decided revision.
    pub fn learn(&mut self, revision: Revision) -> LearnOutcome {
        if revision.number <= self.history.number() {
            let is_same = self.history.revision(revision.number).is_none_or(|known| *known == revision);
            return if is_same { LearnOutcome::Stale } else { LearnOutcome::Diverged };
        }
        match self.history.append(revision) {
            Ok(()) => LearnOutcome::Applied,
            Err(HistoryError::NotNext { .. }) => LearnOutcome::Gap,
            Err(HistoryError::Diverged { .. }) => LearnOutcome::Diverged,
            Err(HistoryError::Invalid { cause, .. }) => LearnOutcome::Invalid(cause),
        }
    }

    /// Learns a snapshot. It replaces everything if it is newer, whatever revisions lie between.
    pub fn learn_snapshot(&mut self, number: RevisionNumber, document: Document) -> LearnOutcome {
        let current = self.history.number();
        if number < current {
            return LearnOutcome::Stale;
        }
        if number == current {
            let is_same = document.digest() == self.history.document().digest();
            return if is_same { LearnOutcome::Stale } else { LearnOutcome::Diverged };
        }
        *self = Self::new(number, document);
        LearnOutcome::Applied
    }
}
