//! What passes between control replicas and routers.

use serde::{Deserialize, Serialize};

use crate::authentication::{SiteKey, TAG_BYTES};
use crate::ballot::{Ballot, Vote};
use crate::digest::Digest;
use crate::document::{Document, Entry, MAX_DOCUMENT_BYTES};
use crate::revision::{Revision, RevisionNumber};

/// A message's bytes with its seal: a whole document, what frames its entries, and some room.
pub const MAX_MESSAGE_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES / 4;

const DOMAIN: &str = "chalkyard-control-1";

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// What the sender holds. Answered with what brings it up to date, if that is not all there is.
    Heartbeat {
        /// Its newest number.
        number: RevisionNumber,
        /// The digest of its snapshot.
        digest: Digest,
    },
    /// A decided revision.
    Decided(Revision),
    /// The snapshot, as decided under this number.
    Snapshot {
        /// The number.
        number: RevisionNumber,
        /// All entries, in the order of their keys.
        entries: Vec<Entry>,
    },
    /// Between control replicas: take part in nothing older.
    Prepare {
        /// The number that is to be decided.
        number: RevisionNumber,
        /// The try.
        ballot: Ballot,
    },
    /// The answer to it.
    Promise {
        /// The number.
        number: RevisionNumber,
        /// The try.
        ballot: Ballot,
        /// What was accepted before.
        vote: Option<Vote>,
    },
    /// Between control replicas: accept this.
    Accept(Vote),
    /// The answer to it.
    Accepted {
        /// The number.
        number: RevisionNumber,
        /// The try.
        ballot: Ballot,
    },
    /// A newer try was promised.
    Rejected {
        /// The number.
        number: RevisionNumber,
        /// The newer try.
        newer: Ballot,
    },
    /// A router can't put this number in force, and says why: it holds it back, and follows what comes later.
    CannotApply {
        /// The number.
        number: RevisionNumber,
        /// In words.
        reason: Box<str>,
    },
}

/// Why bytes are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// Longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// The seal does not fit.
    NotAuthentic,
    /// Sealed, and not understood: of another version.
    Undecodable,
}

impl std::fmt::Display for MessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TooLong => "longer than a message may be",
            Self::NotAuthentic => "the seal does not fit",
            Self::Undecodable => "sealed, and not understood: of another version?",
        })
    }
}

impl Message {
    /// The whole as a message.
    pub fn snapshot(number: RevisionNumber, document: &Document) -> Self {
        Self::Snapshot { number, entries: document.entries().collect() }
    }

    /// Its bytes, sealed.
    pub fn encode(&self, key: &SiteKey) -> Vec<u8> {
        // Everything that a message holds can be written.
        key.append_tag(DOMAIN, postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Reads one.
    ///
    /// # Errors
    /// Says why it is none. Nothing is read of it before its seal was found to fit.
    pub fn decode(key: &SiteKey, bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES + TAG_BYTES {
            return Err(MessageError::TooLong);
        }
        let opened = key.verify_tag(DOMAIN, bytes).map_err(|_| MessageError::NotAuthentic)?;
        match postcard::take_from_bytes(opened) {
            Ok((message, [])) => Ok(message),
            _ => Err(MessageError::Undecodable),
        }
    }
}
