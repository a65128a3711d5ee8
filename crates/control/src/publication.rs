//! The publication of a change: the check before it, and how it ends.

use crate::document::{Delta, Document};
use crate::proposer::Proposer;
use crate::revision::RevisionNumber;

/// The check that a configuration has to pass before it gets a number.
pub trait Validator {
    /// Says what is wrong, with its place and remedy.
    ///
    /// # Errors
    /// If the configuration can't be put in force.
    fn validate(&self, document: &Document) -> Result<(), String>;
}

/// What came of a publication.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PublishOutcome {
    /// Decided under this number.
    Published(RevisionNumber),
    /// It changes nothing.
    NoChange,
    /// The check, or a bound, refuses it; it has no number.
    Invalid(String),
    /// Another is on its way here; to be tried again.
    Busy,
    /// No quorum answered in time. It may be decided all the same, by another replica that finishes it.
    NoQuorum,
}

/// A publication under way.
#[derive(Debug, Clone)]
pub(crate) struct Publication {
    pub(crate) changes: Delta,
    pub(crate) author: Box<str>,
    pub(crate) proposer: Proposer,
}
