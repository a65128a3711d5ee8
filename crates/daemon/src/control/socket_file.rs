//! The file of the control socket.

use std::fs;
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

/// Identifies a file, whatever its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileId {
    device: u64,
    inode: u64,
}

/// The file of a bound control socket, first in a folder of its own and then at its path.
pub struct SocketFile {
    path: PathBuf,
    /// A folder that only the owner can enter.
    folder: PathBuf,
    /// A second link, while a successor may put its own socket at the path.
    spare_link: PathBuf,
    id: FileId,
    removed: AtomicBool,
}

impl Drop for SocketFile {
    fn drop(&mut self) {
        self.remove();
    }
}

impl SocketFile {
    /// Binds the control socket without a moment in which other users could connect: the socket is created in a folder that
    /// only its owner can enter. Nobody can connect before [`SocketFile::publish`].
    pub fn bind(path: &Path) -> io::Result<(Self, UnixListener)> {
        let folder = path.with_extension(format!("new-{}", std::process::id()));
        let spare_link = path.with_extension(format!("link-{}", std::process::id()));
        // What a killed process of the same number has left.
        let _ = fs::remove_dir_all(&folder);
        let _ = fs::remove_file(&spare_link);
        fs::create_dir(&folder)?;
        let bound = bind_in(&folder);
        let (id, listener) = bound.inspect_err(|_| drop(fs::remove_dir_all(&folder)))?;
        Ok((Self { path: path.into(), folder, spare_link, id, removed: AtomicBool::new(false) }, listener))
    }

    /// Moves the socket to its path, in place of what is there.
    pub fn publish(&self) -> io::Result<()> {
        fs::rename(self.folder.join(SOCKET_NAME), &self.path)?;
        let _ = fs::remove_dir(&self.folder);
        Ok(())
    }

    /// Creates a second link, so that [`SocketFile::restore`] finds the socket again.
    pub fn create_spare_link(&self) -> io::Result<()> {
        fs::hard_link(&self.path, &self.spare_link)
    }

    /// Puts the socket at its path again, if another one is there.
    pub fn restore(&self) {
        if file_id(&self.path) != Some(self.id) {
            let _ = fs::rename(&self.spare_link, &self.path);
        }
        self.remove_spare_link();
    }

    /// Removes the second link.
    pub fn remove_spare_link(&self) {
        let _ = fs::remove_file(&self.spare_link);
    }

    /// Removes the socket, unless another one has its path. The listener must still be open, so that its inode is not in use
    /// for another file.
    pub fn remove(&self) {
        if self.removed.swap(true, Ordering::SeqCst) {
            return;
        }
        let _ = fs::remove_dir_all(&self.folder);
        self.remove_spare_link();
        if file_id(&self.path) == Some(self.id) {
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Name of the socket in its folder.
const SOCKET_NAME: &str = "s";

fn bind_in(folder: &Path) -> io::Result<(FileId, UnixListener)> {
    fs::set_permissions(folder, PermissionsExt::from_mode(0o700))?;
    let inner = folder.join(SOCKET_NAME);
    let listener = UnixListener::bind(&inner)?;
    fs::set_permissions(&inner, PermissionsExt::from_mode(0o600))?;
    let id = file_id(&inner).ok_or(io::ErrorKind::NotFound)?;
    Ok((id, listener))
}

fn file_id(path: &Path) -> Option<FileId> {
    let metadata = fs::symlink_metadata(path).ok()?;
    Some(FileId { device: metadata.dev(), inode: metadata.ino() })
}
