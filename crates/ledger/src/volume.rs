//! Where segments are kept: a folder, or a stand-in with faults in tests.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;

/// Files that wait to be synced: one of each that is written, the one before, and the folder.
const SYNCS: usize = 4;

/// The name of a segment by its number.
pub fn segment_name(number: u64) -> String {
    format!("{number:012}.ledger")
}

/// The number of a segment by its name.
pub fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".ledger")?;
    (digits.len() == 12).then(|| digits.parse().ok()).flatten()
}

/// Keeps segments; one of them, the newest, is written.
pub trait Volume {
    /// Names of files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// All of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes a file, which must not be there, the one that is written.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Makes a file that is there the one that is written, cut to a length.
    fn open(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Appends to it; how many bytes were taken.
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// Cuts it.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Has all written so far brought to the disk; it need not be there on return.
    fn sync(&mut self) -> io::Result<()>;
    /// Keeps so much space aside under a name.
    fn reserve_space(&mut self, name: &str, bytes: usize) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the file system. Syncing happens on a thread of its own; if it fails, that is told at the
/// next call.
#[derive(Debug)]
pub struct DirectoryVolume {
    path: PathBuf,
    file: Option<File>,
    syncer: SyncSender<File>,
    failed: Arc<AtomicBool>,
    _lock: Option<File>,
}

impl DirectoryVolume {
    /// For reading only.
    pub fn reader(path: &Path) -> Self {
        let (syncer, _) = sync_channel(0);
        Self { path: path.into(), file: None, syncer, failed: Arc::default(), _lock: None }
    }

    /// For writing: the folder is made if need be, and locked.
    ///
    /// # Errors
    /// If it can't be made, or another process writes there (`WouldBlock`).
    pub fn writer(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
        lock.try_lock().map_err(|e| match e {
            std::fs::TryLockError::WouldBlock => io::Error::from(io::ErrorKind::WouldBlock),
            std::fs::TryLockError::Error(e) => e,
        })?;
        // A wait at the disk that has not begun covers all that is written before it does: when the queue is full,
        // nothing is missed.
        let (syncer, wanted) = sync_channel::<File>(SYNCS);
        let failed = Arc::new(AtomicBool::new(false));
        let flag = failed.clone();
        std::thread::Builder::new().name("ledger-sync".into()).spawn(move || {
            for file in wanted {
                if file.sync_data().is_err() {
                    flag.store(true, Ordering::SeqCst);
                }
            }
        })?;
        Ok(Self { path: path.into(), file: None, syncer, failed, _lock: Some(lock) })
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
        // The folder has a new name to keep.
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
        // Written, since a hole takes no space.
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
