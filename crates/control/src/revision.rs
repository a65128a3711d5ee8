//! Revisions: numbered changes of the configuration.

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::document::Delta;

/// A revision's number. The empty configuration has number 0, and numbers increase by one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// Returns the number after this one.
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

/// The digest of a revision's content, which distinguishes two revisions with the same number.
pub type RevisionId = Digest;

/// One numbered change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// The revision's number, one more than that of the previous revision.
    pub number: RevisionNumber,
    /// The digest of the document before the change.
    pub before: Digest,
    /// The digest of the document after the change.
    pub after: Digest,
    /// The changes of the entries.
    pub delta: Delta,
    /// The name that the publisher gave; it is not verified.
    pub author: Box<str>,
}

impl Revision {
    /// Computes the digest of the revision's content.
    pub fn id(&self) -> RevisionId {
        // Serialization can't fail: a revision contains no type that postcard rejects.
        Digest::of_bytes(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Returns the length of the keys and values in the delta, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.delta.bytes()
    }
}
