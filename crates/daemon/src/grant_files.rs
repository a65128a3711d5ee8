//! Grants as files: the settlement job writes one for each router, which watches it for changes.

use std::path::{Path, PathBuf};
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use chalkyard_budget::{Grant, SigningKey};
use chalkyard_router::shell::SinkEvent;
use tracing::warn;

use crate::error::CommandError;
use crate::files::{read_limited, replace};

/// A router looks for a new grant so often.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes of a grant's file that are read.
const GRANT_BYTES: u64 = 64 * 1024 * 1024;

/// Why the key under which grants are signed can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// It holds no key.
    #[error("{}: {reason}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with its text.
        reason: String,
    },
}

impl From<KeyFileError> for CommandError {
    fn from(error: KeyFileError) -> Self {
        Self::BadInput(error.to_string())
    }
}

/// Reads the key under which grants are signed.
pub fn read_key(path: &Path) -> Result<SigningKey, KeyFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| KeyFileError::Unreadable { path: path.into(), source })?;
    SigningKey::new(&text).map_err(|reason| KeyFileError::Invalid { path: path.into(), reason })
}

/// Writes a signed grant to its router's file.
pub fn deliver(folder: &Path, key: &SigningKey, grant: &Grant) -> std::io::Result<()> {
    replace(&folder.join(format!("{}.grant", grant.router)), &key.sign_grant(grant))
}

/// Gives the event loop each new grant, until the loop has ended.
pub fn watch(file: &Path, key: &SigningKey, news: &SyncSender<SinkEvent>) {
    let mut last = Vec::new();
    loop {
        std::thread::sleep(POLL_INTERVAL);
        let Ok(bytes) = read_limited(file, GRANT_BYTES) else { continue };
        if bytes == last {
            continue;
        }
        match key.open_grant(&bytes) {
            Ok(grant) => {
                if news.send(SinkEvent::LeaseGranted(Box::new(grant))).is_err() {
                    return;
                }
            }
            Err(error) => warn!(target: "budget", "{}: {error}", file.display()),
        }
        last = bytes;
    }
}
