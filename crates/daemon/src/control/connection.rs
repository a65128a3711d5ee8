//! Reading the request of one connection to the control socket.

use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longest request that the router reads, in bytes.
const MAX_REQUEST_BYTES: u64 = 64 * 1024;
/// How long a router that ends still waits for bytes of a request.
const CLOSING_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Reads one request until a deadline, or for [`CLOSING_READ_TIMEOUT`] once the server closes.
pub fn read_request(stream: &UnixStream, timeout: Duration, closing: &AtomicBool) -> std::io::Result<String> {
    let mut line = String::new();
    let reader = DeadlineReader { stream, deadline: Instant::now() + timeout, closing };
    BufReader::new(reader.take(MAX_REQUEST_BYTES)).read_line(&mut line)?;
    Ok(line)
}

/// Reads until a deadline, so that a peer that sends single bytes gets no more time than a silent one.
struct DeadlineReader<'a> {
    stream: &'a UnixStream,
    deadline: Instant,
    closing: &'a AtomicBool,
}

impl Read for DeadlineReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            let left = self.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            // Looked at first, so that the last wait of a closing server is a whole one.
            let closing = self.closing.load(Ordering::SeqCst);
            self.stream.set_read_timeout(Some(left.min(CLOSING_READ_TIMEOUT)))?;
            let mut stream = self.stream;
            match stream.read(buffer) {
                Err(e) if e.kind() == ErrorKind::WouldBlock && !closing => {}
                other => return other,
            }
        }
    }
}
