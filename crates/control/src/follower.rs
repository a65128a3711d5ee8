//! A router's side: it follows revisions one by one, and never goes back.

use crate::document::Document;
use crate::history::{History, NotTaken, Retention};
use crate::revision::{Number, Revision};

/// What came of a revision or a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// It is held now.
    Held,
    /// It is older than what is held, or the same.
    Old,
    /// Something is missing before it: the whole, or what is missing, has to be asked for.
    Gap,
    /// It says something else of a number that is held already, or follows another history: never taken, and told.
    OtherHistory,
    /// It can't be applied: told, and what follows is asked for as a whole.
    NotApplied(String),
}

/// What a router holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Follower {
    history: History,
}

impl Follower {
    /// One that starts with its last known good, or with nothing at number 0.
    pub fn new(number: Number, document: Document) -> Self {
        // Routers pass nothing on: one revision is kept, to tell a repeat from another content.
        let retention = Retention { revisions: 1, bytes: usize::MAX };
        Self { history: History::new(number, document, retention) }
    }

    /// The number that is held.
    pub fn number(&self) -> Number {
        self.history.number()
    }

    /// The configuration that is held.
    pub fn document(&self) -> &Document {
        self.history.document()
    }

    /// Takes a revision.
    pub fn take(&mut self, revision: Revision) -> Taken {
        let held = self.history.number();
        if revision.number <= held {
            let same = self.history.revision(revision.number).is_none_or(|ours| *ours == revision);
            return if same { Taken::Old } else { Taken::OtherHistory };
        }
        match self.history.take(revision) {
            Ok(()) => Taken::Held,
            Err(NotTaken::NotNext(_)) => Taken::Gap,
            Err(NotTaken::OtherHistory) => Taken::OtherHistory,
            Err(NotTaken::NotApplied(why)) => Taken::NotApplied(why.to_string()),
        }
    }

    /// Takes a whole: only a newer one, whatever came between.
    pub fn take_whole(&mut self, number: Number, document: Document) -> Taken {
        let held = self.history.number();
        if number < held {
            return Taken::Old;
        }
        if number == held {
            let same = document.digest() == self.history.document().digest();
            return if same { Taken::Old } else { Taken::OtherHistory };
        }
        *self = Self::new(number, document);
        Taken::Held
    }
}
