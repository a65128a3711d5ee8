//! The learner role of a router: applies decided revisions in order and never reverts one.

use crate::document::{Document, DocumentError};
use crate::history::{History, HistoryError, Retention};
use crate::revision::{Revision, RevisionNumber};

/// The result of learning a revision or a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LearnOutcome {
    /// The revision was applied and is now the newest one.
    Applied,
    /// The revision is not newer than the current one.
    Stale,
    /// Earlier revisions are missing and have to be requested.
    Gap,
    /// The revision differs from a known one of the same number, or belongs to another history. It is not applied.
    Diverged,
    /// The revision can't be applied. The learner needs a snapshot to continue.
    Invalid(DocumentError),
}

/// The newest configuration that a router has learned, with its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Learner {
    history: History,
}

impl Learner {
    /// Creates a learner that starts with its last known good configuration, or with the empty one at number 0.
    pub fn new(number: RevisionNumber, document: Document) -> Self {
        // Routers never forward revisions. One is retained to distinguish a repeated revision from one with other content.
        let retention = Retention { revisions: 1, bytes: usize::MAX };
        Self { history: History::new(number, document, retention) }
    }

    /// Returns the newest number.
    pub fn number(&self) -> RevisionNumber {
        self.history.number()
    }

    /// Returns the newest configuration.
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

    /// Learns a snapshot. A newer snapshot replaces the document and may skip any number of revisions.
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
