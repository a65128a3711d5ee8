//! A router's side: it follows revisions one by one, and never goes back.

use crate::document::Document;
use crate::history::{History, HistoryError, Retention};
use crate::revision::{Revision, RevisionNumber};

/// What came of a revision or a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LearnOutcome {
    /// It is held now.
    Applied,
    /// It is older than what is held, or the same.
    Stale,
    /// Something is missing before it: the snapshot, or what is missing, has to be asked for.
    Gap,
    /// It says something else of a number that is held already, or follows another history: never taken, and told.
    Diverged,
    /// It can't be applied: told, and what follows is asked for as a snapshot.
    Invalid(String),
}

/// What a router holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Learner {
    history: History,
}

impl Learner {
    /// One that starts with its last known good, or with nothing at number 0.
    pub fn new(number: RevisionNumber, document: Document) -> Self {
        // Routers pass nothing on: one revision is kept, to tell a repeat from another content.
        let retention = Retention { revisions: 1, bytes: usize::MAX };
        Self { history: History::new(number, document, retention) }
    }

    /// The number that is held.
    pub fn number(&self) -> RevisionNumber {
        self.history.number()
    }

    /// The configuration that is held.
    pub fn document(&self) -> &Document {
        self.history.document()
    }

    /// Takes a revision.
    pub fn learn(&mut self, revision: Revision) -> LearnOutcome {
        let current = self.history.number();
        if revision.number <= current {
            let same = self.history.revision(revision.number).is_none_or(|ours| *ours == revision);
            return if same { LearnOutcome::Stale } else { LearnOutcome::Diverged };
        }
        match self.history.append(revision) {
            Ok(()) => LearnOutcome::Applied,
            Err(HistoryError::NotNext(_)) => LearnOutcome::Gap,
            Err(HistoryError::Diverged) => LearnOutcome::Diverged,
            Err(HistoryError::Invalid(reason)) => LearnOutcome::Invalid(reason.to_string()),
        }
    }

    /// Takes a whole: only a newer one, whatever came between.
    pub fn learn_snapshot(&mut self, number: RevisionNumber, document: Document) -> LearnOutcome {
        let current = self.history.number();
        if number < current {
            return LearnOutcome::Stale;
        }
        if number == current {
            let same = document.digest() == self.history.document().digest();
            return if same { LearnOutcome::Stale } else { LearnOutcome::Diverged };
        }
        *self = Self::new(number, document);
        LearnOutcome::Applied
    }
}
