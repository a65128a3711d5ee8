//! The file of the control socket.

use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;
use std::path::Path;

/// Binds the control socket without a moment in which other users could connect: the socket is created in a directory
/// that only its owner can enter, and then renamed to its path.
pub fn bind_private(path: &Path) -> std::io::Result<UnixListener> {
    let folder = path.with_extension(format!("new-{}", std::process::id()));
    std::fs::create_dir(&folder)?;
    let bound = (|| {
        std::fs::set_permissions(&folder, PermissionsExt::from_mode(0o700))?;
        let inner = folder.join("s");
        let listener = UnixListener::bind(&inner)?;
        std::fs::set_permissions(&inner, PermissionsExt::from_mode(0o600))?;
        std::fs::rename(&inner, path)?;
        Ok(listener)
    })();
    let _ = std::fs::remove_dir(&folder);
    bound
}
