//! Retries of system calls whose errors may be transient, bounded in number.

use std::io;
use std::time::Duration;

/// Attempts at a call without which a router can't start: for a second.
pub const STARTUP_ATTEMPTS: u32 = 50;
/// Attempts at a call that the running loop waits for.
pub const RUNTIME_ATTEMPTS: u32 = 4;
/// Between two attempts.
const PAUSE: Duration = Duration::from_millis(20);

/// Makes a call until it succeeds, `attempts` times at most; the last error is returned. An address in use is an
/// error at once: another process has it, and waiting for it would hide the mistake.
pub fn with_retries<T>(attempts: u32, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..attempts {
        match call() {
            Err(e) if is_transient(&e) => std::thread::sleep(PAUSE),
            other => return other,
        }
    }
    call()
}

/// Whether an error may be gone at the next attempt.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, InvalidInput, NotFound, PermissionDenied};
    !matches!(error.kind(), AddrInUse | AddrNotAvailable | InvalidInput | NotFound | PermissionDenied)
}

#[cfg(test)]
#[path = "retry_test.rs"]
mod tests;
