//! The configuration as a set of entries, and deltas between two versions of it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// Maximum length of one entry's key and value together, in bytes.
pub const MAX_ENTRY_BYTES: usize = 64 * 1024;
/// Maximum number of changes in one revision.
pub const MAX_CHANGES: usize = 10_000;
/// Maximum length of all keys and values of a document together, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 32 * 1024 * 1024;

/// One entry: a part of the settings that changes as a unit, such as a tenant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The path that identifies the entry, such as `tenants/tenant[acme]`.
    pub key: Box<str>,
    /// The entry's text.
    pub value: Box<str>,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Adds the entry or replaces its value.
    Set(Entry),
    /// Removes the entry with this key.
    Remove(Box<str>),
}

impl Change {
    /// Returns the key of the entry that changes.
    pub fn key(&self) -> &str {
        match self {
            Self::Set(entry) => &entry.key,
            Self::Remove(key) => key,
        }
    }

    fn bytes(&self) -> usize {
        match self {
            Self::Set(entry) => entry.bytes(),
            Self::Remove(key) => key.len(),
        }
    }
}

/// The difference between two versions of the configuration. Each key occurs at most once.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Delta(pub Vec<Change>);

impl Delta {
    pub(crate) fn bytes(&self) -> usize {
        self.0.iter().map(Change::bytes).sum()
    }
}

/// Why a document can't be built or a delta can't be applied. A delta that fails leaves the document unchanged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DocumentError {
    /// The delta has more than [`MAX_CHANGES`] changes.
    #[error("the delta has {count} changes, the maximum is {max}", max = MAX_CHANGES)]
    TooManyChanges {
        /// The number of changes in the delta.
        count: usize,
    },
    /// An entry is longer than [`MAX_ENTRY_BYTES`].
    #[error("entry {key}: key and value are longer than {max} bytes", max = MAX_ENTRY_BYTES)]
    EntryTooLong {
        /// The entry's key.
        key: Box<str>,
    },
    /// The document would be longer than [`MAX_DOCUMENT_BYTES`].
    #[error("the document would be longer than {max} bytes", max = MAX_DOCUMENT_BYTES)]
    DocumentTooLong,
    /// The delta contains two changes of one entry.
    #[error("entry {key}: changed more than once in the delta")]
    DuplicateKey {
        /// The entry's key.
        key: Box<str>,
    },
    /// The delta removes an entry that does not exist.
    #[error("entry {key}: can't be removed because it does not exist")]
    MissingKey {
        /// The entry's key.
        key: Box<str>,
    },
    /// The resulting document does not have the digest that the revision declares.
    #[error("the resulting document does not have the digest of the revision")]
    DigestMismatch,
}

/// All entries of the configuration, with their digest.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Document {
    entries: BTreeMap<Box<str>, Box<str>>,
    digest: Digest,
    bytes: usize,
}

impl Document {
    /// Creates a document from entries; a later entry replaces an earlier one with the same key.
    ///
    /// # Errors
    /// An entry or the document is longer than its limit.
    pub fn new(entries: impl IntoIterator<Item = Entry>) -> Result<Self, DocumentError> {
        let mut document = Self::default();
        for entry in entries {
            if entry.bytes() > MAX_ENTRY_BYTES {
                return Err(DocumentError::EntryTooLong { key: entry.key });
            }
            document.set(entry);
            if document.bytes > MAX_DOCUMENT_BYTES {
                return Err(DocumentError::DocumentTooLong);
            }
        }
        Ok(document)
    }

    /// Returns the digest of all entries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the length of all keys and values, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the document has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the value of the entry with this key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key).map(AsRef::as_ref)
    }

    /// Returns all entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.entries.iter().map(|(key, value)| Entry { key: key.clone(), value: value.clone() })
    }

    /// Computes the delta that turns this document into `target`.
    pub fn difference(&self, target: &Self) -> Delta {
        let removed = self.entries.keys().filter(|key| !target.entries.contains_key(*key));
        let removals = removed.cloned().map(Change::Remove);
        let is_changed = |entry: &Entry| self.get(&entry.key) != Some(&*entry.value);
        let additions = target.entries().filter(is_changed).map(Change::Set);
        Delta(removals.chain(additions).collect())
    }

    /// Checks a delta and returns the digest that the result would have. The cost grows with the length of the delta, not of
    /// the document.
    ///
    /// # Errors
    /// The delta can't be applied.
    pub fn preview(&self, delta: &Delta) -> Result<Digest, DocumentError> {
        if delta.0.len() > MAX_CHANGES {
            return Err(DocumentError::TooManyChanges { count: delta.0.len() });
        }
        let mut keys = BTreeSet::new();
        let mut digest = self.digest;
        let mut bytes = self.bytes;
        for change in &delta.0 {
            let key = change.key();
            if !keys.insert(key) {
                return Err(DocumentError::DuplicateKey { key: key.into() });
            }
            let old_value = self.get(key);
            if let Some(old_value) = old_value {
                digest = digest.without(Digest::of_entry(key, old_value));
                bytes -= key.len() + old_value.len();
            }
            match change {
                Change::Set(entry) if entry.bytes() > MAX_ENTRY_BYTES => {
                    return Err(DocumentError::EntryTooLong { key: key.into() });
                }
                Change::Set(entry) => {
                    digest = digest.with(Digest::of_entry(key, &entry.value));
                    bytes += entry.bytes();
                }
                Change::Remove(_) if old_value.is_none() => {
                    return Err(DocumentError::MissingKey { key: key.into() });
                }
                Change::Remove(_) => {}
            }
        }
        if bytes > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::DocumentTooLong);
        }
        Ok(digest)
    }

    /// Applies a delta atomically. `digest` is the expected digest of the result.
    ///
    /// # Errors
    /// The delta can't be applied, or the result does not have the expected digest.
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
        if let Some(old_value) = self.entries.remove(key) {
            self.digest = self.digest.without(Digest::of_entry(key, &old_value));
            self.bytes -= key.len() + old_value.len();
        }
    }
}
