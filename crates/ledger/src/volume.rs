//! Storage of segments: a folder, or a test double that injects faults.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;

/// Maximum number of files queued for syncing. The current segment, the previous one and the folder can wait at
/// once.
const SYNC_QUEUE_LENGTH: usize = 4;
/// Name of the file that is locked by the process that writes.
const LOCK_FILE: &str = "lock";

/// Returns the file name of a segment.
pub fn segment_name(number: u64) -> String {
    format!("{number:012}.ledger")
}

/// Parses a segment's number from its file name.
pub fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".ledger")?;
    (digits.len() == 12).then(|| digits.parse().ok()).flatten()
}

/// Storage of a ledger's files, of which one is open for writing.
pub trait Volume {
    /// Lists the names of all files.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a complete file.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates a file, which must not exist, and opens it for writing.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Opens an existing file for writing, truncated to a length.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn open(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Appends to the open file and returns the number of bytes written.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// Truncates the open file to a length in bytes.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Starts to sync all written data to the disk; may return before the sync is complete.
    ///
    /// # Errors
    /// If an earlier sync failed or this one can't be started.
    fn sync(&mut self) -> io::Result<()>;
    /// Reserves disk space with a file of this name and length.
    ///
    /// # Errors
    /// Returns errors of the file system, such as a full disk.
    fn reserve_space(&mut self, name: &str, bytes: usize) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// Returns errors of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the file system. A separate thread syncs files; its failure is returned by the next call of
/// [`Volume::sync`].
#[derive(Debug)]
pub struct DirectoryVolume {
    path: PathBuf,
    file: Option<File>,
    syncer: SyncSender<File>,
    failed: Arc<AtomicBool>,
    /// An advisory lock on the open file, which processes that share it hold together.
    lock: Option<File>,
}

impl DirectoryVolume {
    /// Opens a folder for reading only.
    pub fn reader(path: &Path) -> Self {
        let (syncer, _) = sync_channel(0);
        Self { path: path.into(), file: None, syncer, failed: Arc::default(), lock: None }
    }

    /// Opens a folder for writing: creates it if it doesn't exist, and locks it.
    ///
    /// # Errors
    /// If the folder can't be created, or another process holds its lock (`WouldBlock`).
    pub fn writer(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|e| match e {
            std::fs::TryLockError::WouldBlock => io::Error::from(io::ErrorKind::WouldBlock),
            std::fs::TryLockError::Error(e) => e,
        })?;
        Self::with_lock(path, lock)
    }

    /// Opens a folder for writing whose lock another process shares by [`DirectoryVolume::share_lock`]. The two processes
    /// have to agree on which of them writes. Returns `None` if it is the lock of another folder.
    ///
    /// # Errors
    /// If the lock can't be compared, or the thread that syncs can't be started.
    pub fn with_shared_lock(path: &Path, lock: OwnedFd) -> io::Result<Option<Self>> {
        let lock = File::from(lock);
        let own = match std::fs::metadata(path.join(LOCK_FILE)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other?,
        };
        let shared = lock.metadata()?;
        if (own.dev(), own.ino()) != (shared.dev(), shared.ino()) {
            return Ok(None);
        }
        Self::with_lock(path, lock).map(Some)
    }

    /// Returns the lock for another process. The folder stays locked until both have closed it.
    ///
    /// # Errors
    /// If no descriptor is left.
    pub fn share_lock(&self) -> io::Result<Option<OwnedFd>> {
        self.lock.as_ref().map(|lock| lock.try_clone().map(OwnedFd::from)).transpose()
    }

    fn with_lock(path: &Path, lock: File) -> io::Result<Self> {
        // A queued sync that has not started also covers data written after it was queued. A request that finds
        // the queue full can therefore be dropped.
        let (syncer, queue) = sync_channel::<File>(SYNC_QUEUE_LENGTH);
        let failed = Arc::new(AtomicBool::new(false));
        let flag = failed.clone();
        std::thread::Builder::new().name("ledger-sync".into()).spawn(move || {
            for file in queue {
                if file.sync_data().is_err() {
                    flag.store(true, Ordering::SeqCst);
                }
            }
        })?;
        Ok(Self { path: path.into(), file: None, syncer, failed, lock: Some(lock) })
    }

    fn sync_later(&self, file: File) -> io::Result<()> {
        match self.syncer.try_send(file) {
            Ok(()) | Err(TrySendError::Full(_)) => Ok(()),
            Err(TrySendError::Disconnected(_)) => Err(io::Error::other("no thread syncs to the disk")),
        }
    }

    fn current(&mut self) -> io::Result<&mut File> {
        self.file.as_mut().ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Volume for DirectoryVolume {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = OpenOptions::new().append(true).create_new(true).open(self.path.join(name))?;
        if let Some(old) = self.file.replace(file) {
            self.sync_later(old)?;
        }
        // The folder is synced too, so that its new entry survives a power failure.
        self.sync_later(File::open(&self.path)?)
    }

    fn open(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = OpenOptions::new().append(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()?;
        self.file = Some(file);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.current()?.write(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.current()?.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.failed.swap(false, Ordering::SeqCst) {
            return Err(io::Error::other("syncing to the disk failed"));
        }
        let file = self.current()?.try_clone()?;
        self.sync_later(file)
    }

    fn reserve_space(&mut self, name: &str, bytes: usize) -> io::Result<()> {
        let path = self.path.join(name);
        if std::fs::metadata(&path).is_ok_and(|m| m.len() == bytes as u64) {
            return Ok(());
        }
        // The bytes are written, because a sparse file occupies no space.
        let filled = File::create(&path).and_then(|mut f| f.write_all(&vec![0x5a; bytes]));
        if filled.is_err() {
            let _ = std::fs::remove_file(&path);
        }
        filled
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }
}
