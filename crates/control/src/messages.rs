//! What passes between control replicas and routers.

use serde::{Deserialize, Serialize};

use crate::acceptor::{Ballot, Vote};
use crate::authentication::{SiteKey, TAG_BYTES};
use crate::digest::Digest;
use crate::document::{Document, Entry, DOCUMENT_BYTES};
use crate::revision::{Number, Revision};

/// A message's bytes with its seal: a whole document, what frames its entries, and some room.
pub const MESSAGE_BYTES: usize = DOCUMENT_BYTES + DOCUMENT_BYTES / 4;

const DOMAIN: &str = "chalkyard-control-1";

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// What the sender holds. Answered with what brings it up to date, if that is not all there is.
    Holds {
        /// Its newest number.
        number: Number,
        /// The digest of its whole.
        digest: Digest,
    },
    /// A decided revision.
    Decided(Revision),
    /// The whole, as decided under this number.
    Whole {
        /// The number.
        number: Number,
        /// All entries, in the order of their keys.
        entries: Vec<Entry>,
    },
    /// Between control replicas: take part in nothing older.
    Prepare {
        /// The number that is to be decided.
        number: Number,
        /// The try.
        ballot: Ballot,
    },
    /// The answer to it.
    Promise {
        /// The number.
        number: Number,
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
        number: Number,
        /// The try.
        ballot: Ballot,
    },
    /// A newer try was promised.
    Refused {
        /// The number.
        number: Number,
        /// The newer try.
        newer: Ballot,
    },
    /// A router can't put this number in force, and says why: it holds it back, and follows what comes later.
    CannotApply {
        /// The number.
        number: Number,
        /// In words.
        why: Box<str>,
    },
}

/// Why bytes are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Malformed {
    /// Longer than [`MESSAGE_BYTES`].
    TooLong,
    /// The seal does not fit.
    NotAuthentic,
    /// Sealed, and not understood: of another version.
    Unreadable,
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TooLong => "longer than a message may be",
            Self::NotAuthentic => "the seal does not fit",
            Self::Unreadable => "sealed, and not understood: of another version?",
        })
    }
}

impl Message {
    /// The whole as a message.
    pub fn whole(number: Number, document: &Document) -> Self {
        Self::Whole { number, entries: document.entries().collect() }
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
    pub fn decode(key: &SiteKey, bytes: &[u8]) -> Result<Self, Malformed> {
        if bytes.len() > MESSAGE_BYTES + TAG_BYTES {
            return Err(Malformed::TooLong);
        }
        let opened = key.verify_tag(DOMAIN, bytes).map_err(|_| Malformed::NotAuthentic)?;
        match postcard::take_from_bytes(opened) {
            Ok((message, [])) => Ok(message),
            _ => Err(Malformed::Unreadable),
        }
    }
}
