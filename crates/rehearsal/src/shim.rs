//! A library of our own that makes system calls fail as Linux documents, preloaded into routers under test.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/faults.c");

/// The environment's name for the library that is loaded first.
pub const PRELOAD: &str = "LD_PRELOAD";
/// The environment's name for which calls fail, and how often.
pub const FAULTS: &str = "CHALKYARD_FAULTS";

/// Builds the library in a folder with the C compiler.
pub fn build(folder: &Path) -> io::Result<PathBuf> {
    let (source, library) = (folder.join("faults.c"), folder.join("faults.so"));
    std::fs::write(&source, SOURCE)?;
    let flags = ["-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o"];
    let built = Command::new("cc").args(flags).arg(&library).arg(&source).arg("-ldl").status()?;
    if !built.success() {
        return Err(io::Error::other(format!("cc could not build {}: {built}", source.display())));
    }
    Ok(library)
}
