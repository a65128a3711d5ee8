//! The last known good configuration, as it is kept on a disk.

use serde::{Deserialize, Serialize};

use crate::authentication::SiteKey;
use crate::digest::Digest;
use crate::document::{Document, Entry};
use crate::revision::Number;

/// The first bytes of the file: what it is, and its format.
const FORMAT: &[u8; 8] = b"CHALKCF1";
const FORMAT_NAME: &[u8] = b"CHALKCF";
const DOMAIN: &str = "chalkyard-known-good-1";

/// What is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownGood {
    /// Its number.
    pub number: Number,
    /// Its digest.
    pub digest: Digest,
    /// When it was put in force, µs since 1970 by its router's clock.
    pub since: u64,
    /// All entries.
    pub entries: Vec<Entry>,
}

/// Why a copy is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreadable {
    /// It is no such copy.
    Foreign,
    /// It is of a later format.
    LaterFormat,
    /// It was changed or cut, or is another site's.
    Damaged,
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Foreign => "no kept configuration",
            Self::LaterFormat => "a kept configuration of a later format",
            Self::Damaged => "a kept configuration that is damaged, cut short or another site's",
        })
    }
}

impl KnownGood {
    /// Of a document.
    pub fn new(number: Number, document: &Document, since: u64) -> Self {
        Self { number, digest: document.digest(), since, entries: document.entries().collect() }
    }

    /// The file's bytes.
    pub fn encode(&self, key: &SiteKey) -> Vec<u8> {
        let mut bytes = FORMAT.to_vec();
        bytes.extend(key.append_tag(DOMAIN, postcard::to_stdvec(self).unwrap_or_default()));
        bytes
    }

    /// Reads a file.
    ///
    /// # Errors
    /// Says why it is not used.
    pub fn decode(key: &SiteKey, bytes: &[u8]) -> Result<(Self, Document), Unreadable> {
        let Some((format, authenticated)) = bytes.split_at_checked(FORMAT.len()) else {
            return Err(Unreadable::Foreign);
        };
        match format {
            _ if format == FORMAT => {}
            _ if format.starts_with(FORMAT_NAME) => return Err(Unreadable::LaterFormat),
            _ => return Err(Unreadable::Foreign),
        }
        let opened = key.verify_tag(DOMAIN, authenticated).map_err(|_| Unreadable::Damaged)?;
        let kept: Self = postcard::from_bytes(opened).map_err(|_| Unreadable::Damaged)?;
        let document = Document::new(kept.entries.iter().cloned()).map_err(|_| Unreadable::Damaged)?;
        if document.digest() != kept.digest {
            return Err(Unreadable::Damaged);
        }
        Ok((kept, document))
    }
}
