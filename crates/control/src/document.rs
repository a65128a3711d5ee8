//! The configuration as a set of entries, and the difference between two states of it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// Limit of one entry's key and value together.
pub const MAX_ENTRY_BYTES: usize = 64 * 1024;
/// Limit of the changes in one revision.
pub const MAX_CHANGES: usize = 10_000;
/// Limit of a document's keys and values together.
pub const MAX_DOCUMENT_BYTES: usize = 32 * 1024 * 1024;

/// One entry: a part of the settings that changes as a unit, such as a tenant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its path, such as `tenants/tenant[acme]`.
    pub key: Box<str>,
    /// Its text.
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
    /// The key of the entry that changes.
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

/// The difference between two states of the configuration. Names each entry at most once.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Delta(pub Vec<Change>);

impl Delta {
    pub(crate) fn bytes(&self) -> usize {
        self.0.iter().map(Change::bytes).sum()
    }
}

/// Why a document can't be built, or a delta not applied to it. A delta with an error changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum DocumentError {
    /// The delta has more than [`MAX_CHANGES`] changes.
    #[error("{count} changes, at most {max}", max = MAX_CHANGES)]
    TooManyChanges {
        /// How many it has.
        count: usize,
    },
    /// An entry is longer than [`MAX_ENTRY_BYTES`].
    #[error("{key}: longer than {max} bytes", max = MAX_ENTRY_BYTES)]
    EntryTooLong {
        /// The entry's key.
        key: Box<str>,
    },
    /// The document would be longer than [`MAX_DOCUMENT_BYTES`].
    #[error("the whole would be longer than {max} bytes", max = MAX_DOCUMENT_BYTES)]
    DocumentTooLong,
    /// The delta names an entry twice.
    #[error("{key}: named twice")]
    DuplicateKey {
        /// The entry's key.
        key: Box<str>,
    },
    /// The delta removes an entry that does not exist.
    #[error("{key}: to be removed, and not there")]
    MissingKey {
        /// The entry's key.
        key: Box<str>,
    },
    /// The result does not have the digest that the revision names.
    #[error("the result has another digest than the revision says")]
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
    /// A document of these entries; a later one replaces an earlier one with the same key.
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

    /// The digest of all entries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Bytes of all keys and values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
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

    /// The delta that turns this document into `target`.
    pub fn difference(&self, target: &Self) -> Delta {
        let removed = self.entries.keys().filter(|key| !target.entries.contains_key(*key));
        let removals = removed.cloned().map(Change::Remove);
        let is_changed = |entry: &Entry| self.get(&entry.key) != Some(&*entry.value);
        let additions = target.entries().filter(is_changed).map(Change::Set);
        Delta(removals.chain(additions).collect())
    }

    /// Checks a delta and returns the digest that the result would have. Costs as much as the delta is long, not the
    /// document.
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

    /// Applies a delta whose result has this digest: all of it or nothing.
    ///
    /// # Errors
    /// The delta can't be applied, or its result has another digest.
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
