//! Grant files: the settlement job writes one for each router, and each router polls its own.

use std::path::{Path, PathBuf};
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use chalkyard_budget::{Grant, SigningKey};
use chalkyard_router::shell::SinkEvent;
use tracing::warn;

use crate::error::CommandError;
use crate::files::{read_limited, replace};

/// Interval at which a router checks its grant file.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Largest grant file that is read, in bytes.
const MAX_GRANT_BYTES: u64 = 64 * 1024 * 1024;

/// Why the key that signs grants cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// The file does not contain a key.
    #[error("{}: {reason}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The fault in its text.
        reason: String,
    },
}

impl From<KeyFileError> for CommandError {
    fn from(error: KeyFileError) -> Self {
        Self::BadInput(error.to_string())
    }
}

/// Reads the key that signs grants.
pub fn read_key(path: &Path) -> Result<SigningKey, KeyFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| KeyFileError::Unreadable { path: path.into(), source })?;
    SigningKey::new(&text).map_err(|reason| KeyFileError::Invalid { path: path.into(), reason })
}

/// Writes a signed grant to the file of its router.
pub fn deliver(folder: &Path, key: &SigningKey, grant: &Grant) -> std::io::Result<()> {
    replace(&folder.join(format!("{}.grant", grant.router)), &key.sign_grant(grant))
}

/// Sends each new grant to the event loop until the loop has ended.
pub fn watch(file: &Path, key: &SigningKey, events: &SyncSender<SinkEvent>) {
    let mut last = Vec::new();
    loop {
        std::thread::sleep(POLL_INTERVAL);
        let Ok(bytes) = read_limited(file, MAX_GRANT_BYTES) else { continue };
        if bytes == last {
            continue;
        }
        match key.open_grant(&bytes) {
            Ok(grant) => {
                if events.send(SinkEvent::LeaseGranted(Box::new(grant))).is_err() {
                    return;
                }
            }
            Err(error) => warn!(target: "budget", "{}: {error}", file.display()),
        }
        last = bytes;
    }
}
