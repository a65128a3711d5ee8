//! A revision: one change of the configuration under its number.

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::document::Delta;

/// A revision's number. The empty configuration has number 0, and each revision is one more than the one before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// The number after this one.
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

/// Tells two revisions under one number apart.
pub type RevisionId = Digest;

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// One more than the number of the revision before.
    pub number: RevisionNumber,
    /// The digest of the document before the change.
    pub before: Digest,
    /// The digest of the document after the change.
    pub after: Digest,
    /// What changes.
    pub delta: Delta,
    /// Who published it, by the name they gave.
    pub author: Box<str>,
}

impl Revision {
    /// The digest of its content.
    pub fn id(&self) -> RevisionId {
        // Serialization can't fail: a revision holds no type that postcard rejects.
        Digest::of_bytes(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Bytes of the keys and values that it changes.
    pub(crate) fn bytes(&self) -> usize {
        self.delta.bytes()
    }
}
