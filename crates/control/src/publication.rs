//! The publication of a change: validation and outcome.

use crate::document::{Delta, Document, DocumentError};
use crate::proposer::Proposer;
use crate::revision::{Revision, RevisionNumber};

/// Validates a configuration before its revision gets a number.
pub trait Validator {
    /// Validates a complete configuration.
    ///
    /// # Errors
    /// Routers could not apply the configuration.
    fn validate(&self, document: &Document) -> Result<(), ValidationError>;
}

/// Why a [`Validator`] rejects a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
#[error("{message}")]
pub struct ValidationError {
    /// A description for an operator: the error, its location and how to fix it.
    pub message: String,
}

impl ValidationError {
    /// Creates an error with this message.
    pub fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }
}

/// Why a change is rejected without a revision number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum InvalidChangeError {
    /// The change can't be applied to the current configuration.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The resulting configuration does not pass the [`Validator`].
    #[error(transparent)]
    Validation(#[from] ValidationError),
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PublishOutcome {
    /// The change was decided under this number.
    Published(RevisionNumber),
    /// The change would not alter the configuration.
    NoChange,
    /// The change was rejected and got no number.
    Invalid(InvalidChangeError),
    /// Another publication is in progress at this replica; the caller may retry later.
    Busy,
    /// No quorum answered in time. Another replica may still complete the publication.
    NoQuorum,
}

/// A publication in progress: the requested changes and the proposal of the current attempt.
#[derive(Debug, Clone)]
pub(crate) struct Publication {
    pub(crate) changes: Delta,
    pub(crate) author: Box<str>,
    pub(crate) proposer: Proposer,
}

impl Publication {
    /// Returns whether a decided revision is the one that is being published, not another one under the same number.
    pub(crate) fn is_decided_by(&self, decided: &Revision) -> bool {
        self.proposer.number() == decided.number
            && self.changes == decided.delta
            && self.author == decided.author
    }
}
