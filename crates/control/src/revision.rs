//! A revision: one change of the configuration, under its number.

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::document::Delta;

/// A revision's number. The empty configuration is number 0; each revision is one more than the one before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// The next one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl std::fmt::Display for RevisionNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// What tells two revisions under one number apart.
pub type RevisionId = Digest;

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// One more than that of the revision before.
    pub number: RevisionNumber,
    /// The digest of the whole before it.
    pub before: Digest,
    /// The digest of the whole after it.
    pub after: Digest,
    /// What changes.
    pub delta: Delta,
    /// Who published it, as they named themselves.
    pub author: Box<str>,
}

impl Revision {
    /// Its content's digest.
    pub fn id(&self) -> RevisionId {
        // A revision can always be written: it holds nothing that postcard refuses.
        Digest::of_bytes(&postcard::to_stdvec(self).unwrap_or_default())
    }
}
