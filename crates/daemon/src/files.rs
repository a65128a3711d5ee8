//! Bounded reads and atomic replacement of files.

use std::io::{Read, Write};
use std::path::Path;

/// Reads at most `most` bytes of a file.
pub fn read_limited(path: &Path, most: u64) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    std::fs::File::open(path)?.take(most).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Replaces a file atomically by renaming a new one: readers see the old content or the new.
pub fn replace(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let fresh = path.with_extension(format!("new-{}", std::process::id()));
    let mut file = std::fs::File::create(&fresh)?;
    file.write_all(bytes)?;
    file.sync_data()?;
    std::fs::rename(&fresh, path)
}
