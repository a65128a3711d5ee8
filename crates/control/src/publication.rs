//! The publication of a change: what is checked before, and how it ends.

use crate::document::{Delta, Document, DocumentError};
use crate::proposer::Proposer;
use crate::revision::{Revision, RevisionNumber};

/// The check that a configuration has to pass before its revision gets a number.
pub trait Validator {
    /// Checks a complete configuration.
    ///
    /// # Errors
    /// Routers could not apply the configuration.
    fn validate(&self, document: &Document) -> Result<(), ValidationError>;
}

/// Why a [`Validator`] rejects a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
#[error("{message}")]
pub struct ValidationError {
    /// What is wrong, with its place and remedy, for an operator.
    pub message: String,
}

impl ValidationError {
    /// An error with this message.
    pub fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }
}

/// Why a change gets no number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum InvalidChangeError {
    /// It can't be applied to the current configuration.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// Its result does not pass the [`Validator`].
    #[error(transparent)]
    Validation(#[from] ValidationError),
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PublishOutcome {
    /// The change was decided under this number.
    Published(RevisionNumber),
    /// The change leaves the configuration as it is.
    NoChange,
    /// The change was rejected and has no number.
    Invalid(InvalidChangeError),
    /// Another publication is in progress at this replica; to be retried.
    Busy,
    /// No quorum answered in time. Another replica may still complete it.
    NoQuorum,
}

/// A publication in progress.
#[derive(Debug, Clone)]
pub(crate) struct Publication {
    pub(crate) changes: Delta,
    pub(crate) author: Box<str>,
    pub(crate) proposer: Proposer,
}

impl Publication {
    /// Whether a decided revision is the one that is being published, and not another under the same number.
    pub(crate) fn is_decided_by(&self, decided: &Revision) -> bool {
        self.proposer.number() == decided.number
            && self.changes == decided.delta
            && self.author == decided.author
    }
}
