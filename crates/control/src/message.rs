//! Messages between control replicas, and between them and routers.

use serde::{Deserialize, Serialize};

use crate::authentication::{SiteKey, TAG_BYTES};
use crate::ballot::{Ballot, Vote};
use crate::digest::Digest;
use crate::document::{Document, Entry, MAX_DOCUMENT_BYTES};
use crate::revision::{Revision, RevisionNumber};

/// Limit of an encoded message without its tag: a complete document and the framing of its entries.
pub const MAX_MESSAGE_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES / 4;

const DOMAIN: &str = "chalkyard-control-1";

/// A message. Postcard encodes the position of each variant and field: new ones go to the end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The newest revision that the sender has. Answered with what brings it up to date, unless it is.
    Heartbeat {
        /// The sender's newest number.
        number: RevisionNumber,
        /// The digest of its document.
        digest: Digest,
    },
    /// A decided revision.
    Decided(Revision),
    /// The complete document.
    Snapshot {
        /// The number under which it was decided.
        number: RevisionNumber,
        /// All entries, in the order of their keys.
        entries: Vec<Entry>,
    },
    /// From a proposer to the acceptors: take part in no older ballot.
    Prepare {
        /// The number to be decided.
        number: RevisionNumber,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// The answer to [`Message::Prepare`].
    Promise {
        /// The number to be decided.
        number: RevisionNumber,
        /// The ballot that is promised.
        ballot: Ballot,
        /// What the acceptor had accepted before.
        vote: Option<Vote>,
    },
    /// From a proposer to the acceptors: accept this revision.
    Accept(Vote),
    /// The answer to [`Message::Accept`].
    Accepted {
        /// The number to be decided.
        number: RevisionNumber,
        /// The ballot of the accepted revision.
        ballot: Ballot,
    },
    /// The answer of an acceptor that has promised a newer ballot.
    Rejected {
        /// The number to be decided.
        number: RevisionNumber,
        /// The newer ballot.
        newer: Ballot,
    },
    /// From a router: it can't apply this revision. It skips it and goes on with later ones.
    CannotApply {
        /// The revision's number.
        number: RevisionNumber,
        /// What is wrong, for an operator.
        reason: Box<str>,
    },
}

/// Why bytes are not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// They are longer than [`MAX_MESSAGE_BYTES`] and a tag.
    #[error("longer than a message may be")]
    TooLong,
    /// Their authentication tag does not match.
    #[error("the seal does not fit")]
    NotAuthentic,
    /// They are authentic, but can't be decoded: the sender has another version.
    #[error("sealed, and not understood: of another version?")]
    Undecodable,
}

impl Message {
    /// A snapshot of a document.
    pub fn snapshot(number: RevisionNumber, document: &Document) -> Self {
        Self::Snapshot { number, entries: document.entries().collect() }
    }

    /// The message's bytes with their tag.
    pub fn encode(&self, key: &SiteKey) -> Vec<u8> {
        // Serialization can't fail: a message holds no type that postcard rejects.
        key.append_tag(DOMAIN, postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Reads a message. Nothing is decoded before its tag was verified.
    ///
    /// # Errors
    /// The bytes are too long, not authentic, or of another version.
    pub fn decode(key: &SiteKey, bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES + TAG_BYTES {
            return Err(MessageError::TooLong);
        }
        let content = key.verify_tag(DOMAIN, bytes).map_err(|_| MessageError::NotAuthentic)?;
        match postcard::take_from_bytes(content) {
            Ok((message, [])) => Ok(message),
            _ => Err(MessageError::Undecodable),
        }
    }
}
