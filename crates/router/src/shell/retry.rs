//! Bounded retries of system calls whose errors may be transient.

use std::io;
use std::time::Duration;

/// Attempts at a call that a router needs to start: 50 attempts, 20 ms apart, take a second.
pub const STARTUP_ATTEMPTS: u32 = 50;
/// Attempts at a call that blocks the running event loop.
pub const RUNTIME_ATTEMPTS: u32 = 4;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Makes a call until it succeeds, at most `attempts` times, and returns the last error. Permanent errors are returned at
/// once. An address in use counts as permanent: another process holds it, and retrying would hide the mistake.
pub fn with_retries<T>(attempts: u32, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..attempts {
        match call() {
            Err(e) if is_transient(&e) => std::thread::sleep(RETRY_DELAY),
            other => return other,
        }
    }
    call()
}

/// Whether an error may not recur at the next attempt.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, InvalidInput, NotFound, PermissionDenied};
    !matches!(error.kind(), AddrInUse | AddrNotAvailable | InvalidInput | NotFound | PermissionDenied)
}

#[cfg(test)]
#[path = "retry_test.rs"]
mod tests;
