//! The last known good configuration as a file: a router starts from it when no control replica can be reached.

use serde::{Deserialize, Serialize};

use crate::authentication::{AuthenticationError, SiteKey};
use crate::digest::Digest;
use crate::document::{Document, DocumentError, Entry};
use crate::revision::RevisionNumber;

/// The first bytes of the file: its kind, and the version of its format.
const FORMAT: &[u8; 8] = b"CHALKCF1";
const FORMAT_WITHOUT_VERSION: &[u8] = b"CHALKCF";
const DOMAIN: &str = "chalkyard-known-good-1";

/// The content of the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownGood {
    /// The configuration's number.
    pub number: RevisionNumber,
    /// The configuration's digest.
    pub digest: Digest,
    /// When it came into force, in µs since 1970 by the router's clock.
    pub since: u64,
    /// All entries of the configuration.
    pub entries: Vec<Entry>,
}

/// Why a file is not used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KnownGoodError {
    /// It is not a file of this kind.
    #[error("no kept configuration")]
    UnknownFormat,
    /// Its format is of another version.
    #[error("a kept configuration of a later format")]
    UnsupportedVersion,
    /// It was changed or truncated, or belongs to another site.
    #[error("a kept configuration that is damaged, cut short or another site's")]
    Corrupt {
        /// How that shows.
        #[source]
        cause: CorruptionCause,
    },
}

/// How a damaged file is recognized.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CorruptionCause {
    /// Its authentication tag does not match.
    #[error(transparent)]
    NotAuthentic(#[from] AuthenticationError),
    /// Its content can't be decoded.
    #[error("the content can't be decoded")]
    Undecodable,
    /// Its entries form no document.
    #[error(transparent)]
    InvalidDocument(#[from] DocumentError),
    /// Its entries have another digest than it names.
    #[error("the entries have another digest than the file says")]
    DigestMismatch,
}

impl From<CorruptionCause> for KnownGoodError {
    fn from(cause: CorruptionCause) -> Self {
        Self::Corrupt { cause }
    }
}

impl KnownGood {
    /// The file's content for a document that came into force at `since`.
    pub fn new(number: RevisionNumber, document: &Document, since: u64) -> Self {
        Self { number, digest: document.digest(), since, entries: document.entries().collect() }
    }

    /// The file's bytes.
    pub fn encode(&self, key: &SiteKey) -> Vec<u8> {
        let mut bytes = FORMAT.to_vec();
        // Serialization can't fail: the content holds no type that postcard rejects.
        bytes.extend(key.append_tag(DOMAIN, postcard::to_stdvec(self).unwrap_or_default()));
        bytes
    }

    /// Reads a file. Nothing is decoded before its tag was verified.
    ///
    /// # Errors
    /// The file is of another kind or version, or is corrupt.
    pub fn decode(key: &SiteKey, bytes: &[u8]) -> Result<(Self, Document), KnownGoodError> {
        let Some((format, tagged)) = bytes.split_at_checked(FORMAT.len()) else {
            return Err(KnownGoodError::UnknownFormat);
        };
        check_format(format)?;
        let content = key.verify_tag(DOMAIN, tagged).map_err(CorruptionCause::from)?;
        let known_good: Self = postcard::from_bytes(content).map_err(|_| CorruptionCause::Undecodable)?;
        let entries = known_good.entries.iter().cloned();
        let document = Document::new(entries).map_err(CorruptionCause::from)?;
        if document.digest() != known_good.digest {
            return Err(CorruptionCause::DigestMismatch.into());
        }
        Ok((known_good, document))
    }
}

fn check_format(format: &[u8]) -> Result<(), KnownGoodError> {
    if format == FORMAT {
        Ok(())
    } else if format.starts_with(FORMAT_WITHOUT_VERSION) {
        Err(KnownGoodError::UnsupportedVersion)
    } else {
        Err(KnownGoodError::UnknownFormat)
    }
}
