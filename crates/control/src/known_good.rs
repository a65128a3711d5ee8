//! The file with the last known good configuration, from which a router starts when it reaches no control replica.

use serde::{Deserialize, Serialize};

use crate::authentication::{AuthenticationError, SiteKey};
use crate::digest::Digest;
use crate::document::{Document, DocumentError, Entry};
use crate::revision::RevisionNumber;

/// The first bytes of the file: the file type and, in the last byte, the format version.
const FORMAT: &[u8; 8] = b"CHALKCF1";
const FORMAT_WITHOUT_VERSION: &[u8] = b"CHALKCF";
const DOMAIN: &str = "chalkyard-known-good-1";

/// The contents of the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownGood {
    /// The configuration's number.
    pub number: RevisionNumber,
    /// The configuration's digest.
    pub digest: Digest,
    /// When the configuration was applied, in µs since the Unix epoch by the router's clock.
    pub since: u64,
    /// All entries of the configuration.
    pub entries: Vec<Entry>,
}

/// Why a file can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KnownGoodError {
    /// The file is not a last known good configuration.
    #[error("not a last known good configuration file")]
    UnknownFormat,
    /// The file has another format version.
    #[error("the last known good configuration has an unsupported format version")]
    UnsupportedVersion,
    /// The file was changed or truncated, or belongs to another site.
    #[error("the last known good configuration is corrupt, truncated or from another site")]
    Corrupt {
        /// The check that failed.
        #[source]
        cause: CorruptionCause,
    },
}

/// The check that a corrupt file failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CorruptionCause {
    /// The authentication tag does not match.
    #[error(transparent)]
    NotAuthentic(#[from] AuthenticationError),
    /// The contents can't be decoded.
    #[error("the contents can't be decoded")]
    Undecodable,
    /// The entries do not form a valid document.
    #[error(transparent)]
    InvalidDocument(#[from] DocumentError),
    /// The entries do not have the digest that the file declares.
    #[error("the entries do not have the digest that the file declares")]
    DigestMismatch,
}

impl From<CorruptionCause> for KnownGoodError {
    fn from(cause: CorruptionCause) -> Self {
        Self::Corrupt { cause }
    }
}

impl KnownGood {
    /// Creates the contents for a document that was applied at `since`, in µs since the Unix epoch.
    pub fn new(number: RevisionNumber, document: &Document, since: u64) -> Self {
        Self { number, digest: document.digest(), since, entries: document.entries().collect() }
    }

    /// Encodes the file and appends its authentication tag.
    pub fn encode(&self, key: &SiteKey) -> Vec<u8> {
        let mut bytes = FORMAT.to_vec();
        // Serialization can't fail: the contents have no type that postcard rejects.
        bytes.extend(key.append_tag(DOMAIN, postcard::to_stdvec(self).unwrap_or_default()));
        bytes
    }

    /// Decodes a file. The tag is verified before the contents are decoded.
    ///
    /// # Errors
    /// The file has another type or version, or is corrupt.
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
