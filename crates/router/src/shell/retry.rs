//! Calls that fail for a moment, as the system documents of them, are made again a bounded number of times.

use std::io;
use std::time::Duration;

/// Tries of a call without which a router can't start: for a second.
pub const STARTUP_ATTEMPTS: u32 = 50;
/// Tries of a call that the running loop waits for.
pub const RUNTIME_ATTEMPTS: u32 = 4;
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(20);

/// Makes a call until it succeeds, `attempts` times at most; the last error is given back. An address in use stays so: its
/// owner has it, and a router that waits for it hides the mistake.
pub fn with_retries<T>(attempts: u32, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..attempts {
        match call() {
            Err(e) if passes(&e) => std::thread::sleep(PAUSE),
            other => return other,
        }
    }
    call()
}

/// Whether an error may be gone at the next try.
fn passes(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, InvalidInput, NotFound, PermissionDenied};
    !matches!(error.kind(), AddrInUse | AddrNotAvailable | InvalidInput | NotFound | PermissionDenied)
}

#[cfg(test)]
#[path = "retry_test.rs"]
mod tests;
