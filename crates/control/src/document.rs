//! The configuration as entries, and what differs between two states of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// Bytes of one entry's key and value together.
pub const MAX_ENTRY_BYTES: usize = 64 * 1024;
/// Changes of one revision.
pub const MAX_CHANGES: usize = 10_000;
/// Bytes of a whole document.
pub const MAX_DOCUMENT_BYTES: usize = 32 * 1024 * 1024;

/// One entry: a part of the settings that is changed as one, such as a tenant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place, such as `tenants/tenant[acme]`.
    pub key: Box<str>,
    /// Its text.
    pub value: Box<str>,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// What becomes of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Change {
    /// It is there, with this value.
    Set(Entry),
    /// It is there no more.
    Remove(Box<str>),
}

impl Change {
    /// The entry that is changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Set(entry) => &entry.key,
            Self::Remove(key) => key,
        }
    }
}

/// What differs between two states, each entry once.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Delta(pub Vec<Change>);

/// Why a delta is not applied. Nothing of it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentError {
    /// More changes than [`MAX_CHANGES`].
    TooManyChanges(usize),
    /// An entry is longer than [`MAX_ENTRY_BYTES`].
    EntryTooLong(Box<str>),
    /// The document would be longer than [`MAX_DOCUMENT_BYTES`].
    DocumentTooLong,
    /// An entry is named twice.
    DuplicateKey(Box<str>),
    /// An entry is to be removed that is not there.
    MissingKey(Box<str>),
    /// The result has another digest than the revision says.
    DigestMismatch,
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooManyChanges(n) => write!(f, "{n} changes, at most {MAX_CHANGES}"),
            Self::EntryTooLong(key) => write!(f, "{key}: longer than {MAX_ENTRY_BYTES} bytes"),
            Self::DocumentTooLong => write!(f, "the whole would be longer than {MAX_DOCUMENT_BYTES} bytes"),
            Self::DuplicateKey(key) => write!(f, "{key}: named twice"),
            Self::MissingKey(key) => write!(f, "{key}: to be removed, and not there"),
            Self::DigestMismatch => write!(f, "the result has another digest than the revision says"),
        }
    }
}

/// All entries, with their digest.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Document {
    entries: BTreeMap<Box<str>, Box<str>>,
    digest: Digest,
    bytes: usize,
}

impl Document {
    /// From entries; a later one replaces an earlier one of its key.
    ///
    /// # Errors
    /// Past a bound.
    pub fn new(entries: impl IntoIterator<Item = Entry>) -> Result<Self, DocumentError> {
        let mut document = Self::default();
        for entry in entries {
            if entry.bytes() > MAX_ENTRY_BYTES {
                return Err(DocumentError::EntryTooLong(entry.key));
            }
            document.set(entry);
            if document.bytes > MAX_DOCUMENT_BYTES {
                return Err(DocumentError::DocumentTooLong);
            }
        }
        Ok(document)
    }

    /// The digest of all entries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Bytes of all keys and values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The value of an entry.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key).map(AsRef::as_ref)
    }

    /// All entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.entries.iter().map(|(key, value)| Entry { key: key.clone(), value: value.clone() })
    }

    /// What makes this document into another.
    pub fn difference(&self, to: &Self) -> Delta {
        let gone = self.entries.keys().filter(|key| !to.entries.contains_key(*key));
        let removed = gone.map(|key| Change::Remove(key.clone()));
        let fresh = to.entries().filter(|entry| self.get(&entry.key) != Some(&*entry.value));
        Delta(removed.chain(fresh.map(Change::Set)).collect())
    }

    /// Checks a delta: what the digest and the length would be. Costs what the delta does, not what the document does.
    ///
    /// # Errors
    /// Says why it can't be applied.
    pub fn preview(&self, delta: &Delta) -> Result<Digest, DocumentError> {
        if delta.0.len() > MAX_CHANGES {
            return Err(DocumentError::TooManyChanges(delta.0.len()));
        }
        let mut keys = std::collections::BTreeSet::new();
        let (mut digest, mut bytes) = (self.digest, self.bytes);
        for change in &delta.0 {
            let key = change.key();
            if !keys.insert(key) {
                return Err(DocumentError::DuplicateKey(key.into()));
            }
            let old = self.get(key);
            if let Some(old) = old {
                digest = digest.without(Digest::of_entry(key, old));
                bytes -= key.len() + old.len();
            }
            match change {
                Change::Set(entry) if entry.bytes() > MAX_ENTRY_BYTES => {
                    return Err(DocumentError::EntryTooLong(key.into()));
                }
                Change::Set(entry) => {
                    digest = digest.with(Digest::of_entry(key, &entry.value));
                    bytes += entry.bytes();
                }
                Change::Remove(_) if old.is_none() => return Err(DocumentError::MissingKey(key.into())),
                Change::Remove(_) => {}
            }
        }
        if bytes > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::DocumentTooLong);
        }
        Ok(digest)
    }

    /// Applies a delta whose result has this digest: all of it or nothing.
    ///
    /// # Errors
    /// Says why nothing was applied.
    pub fn apply(&mut self, delta: &Delta, digest: Digest) -> Result<(), DocumentError> {
        if self.preview(delta)? != digest {
            return Err(DocumentError::DigestMismatch);
        }
        for change in &delta.0 {
            match change {
                Change::Set(entry) => self.set(entry.clone()),
                Change::Remove(key) => self.remove(key),
            }
        }
        Ok(())
    }

    fn set(&mut self, entry: Entry) {
        self.remove(&entry.key);
        self.digest = self.digest.with(Digest::of_entry(&entry.key, &entry.value));
        self.bytes += entry.bytes();
        self.entries.insert(entry.key, entry.value);
    }

    fn remove(&mut self, key: &str) {
        if let Some(old) = self.entries.remove(key) {
            self.digest = self.digest.without(Digest::of_entry(key, &old));
            self.bytes -= key.len() + old.len();
        }
    }
}
