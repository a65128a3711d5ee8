//! Messages between control replicas, and between control replicas and routers.

use serde::{Deserialize, Serialize};

use crate::authentication::{SiteKey, TAG_BYTES};
use crate::ballot::{Ballot, Vote};
use crate::digest::Digest;
use crate::document::{Document, Entry, MAX_DOCUMENT_BYTES};
use crate::revision::{Revision, RevisionNumber};

/// Maximum length of an encoded message without its tag, in bytes: a complete document and the framing of its entries.
pub const MAX_MESSAGE_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_DOCUMENT_BYTES / 4;

const DOMAIN: &str = "chalkyard-control-1";

/// A message. Postcard encodes variants by index and fields by position, so new ones have to be appended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Announces the sender's newest revision. A receiver that is ahead answers with what brings the sender up to date.
    Heartbeat {
        /// The sender's newest number.
        number: RevisionNumber,
        /// The digest of the sender's document.
        digest: Digest,
    },
    /// A decided revision.
    Decided(Revision),
    /// The complete document.
    Snapshot {
        /// The number of the newest revision in the document.
        number: RevisionNumber,
        /// All entries, in the order of their keys.
        entries: Vec<Entry>,
    },
    /// Asks an acceptor to promise a ballot, and so to accept nothing under older ballots. Sent by a proposer.
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
        /// The promised ballot.
        ballot: Ballot,
        /// The vote that the acceptor had accepted before, if any.
        vote: Option<Vote>,
    },
    /// Asks an acceptor to accept a revision. Sent by a proposer.
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
        /// The promised newer ballot.
        newer: Ballot,
    },
    /// Reports that a router can't apply a revision. The router skips the revision and continues with later ones.
    CannotApply {
        /// The revision's number.
        number: RevisionNumber,
        /// A description of the error for an operator.
        reason: Box<str>,
    },
}

/// Why bytes can't be decoded as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The bytes are longer than [`MAX_MESSAGE_BYTES`] plus a tag.
    #[error("the message exceeds the maximum length")]
    TooLong,
    /// The authentication tag is missing or does not match.
    #[error("the authentication tag of the message does not match")]
    NotAuthentic,
    /// The bytes are authentic but can't be decoded, as when the sender runs another version.
    #[error("the message is authentic but can't be decoded; the sender may run another version")]
    Undecodable,
}

impl Message {
    /// Creates a snapshot message of a document.
    pub fn snapshot(number: RevisionNumber, document: &Document) -> Self {
        Self::Snapshot { number, entries: document.entries().collect() }
    }

    /// Encodes the message and appends its authentication tag.
    pub fn encode(&self, key: &SiteKey) -> Vec<u8> {
        // Serialization can't fail: a message contains no type that postcard rejects.
        key.append_tag(DOMAIN, postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Decodes a message. The tag is verified before anything is decoded.
    ///
    /// # Errors
    /// The bytes are too long, not authentic, or can't be decoded.
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
