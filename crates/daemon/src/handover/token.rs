//! The token of a hand-over: one byte in a socket that the predecessor and the successor can both read. The system gives it
//! to one of them only, however late the other one looks.

use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use rustix::net::{recv, RecvFlags};

/// Both ends of the token's channel, at the predecessor.
pub struct TokenChannel {
    writer: UnixStream,
    reader: UnixStream,
}

impl TokenChannel {
    /// Creates an empty channel.
    pub fn new() -> io::Result<Self> {
        let (writer, reader) = UnixStream::pair()?;
        Ok(Self { writer, reader })
    }

    /// The end that both processes read from.
    pub fn reader(&self) -> BorrowedFd<'_> {
        self.reader.as_fd()
    }

    /// Puts the token into the channel.
    pub fn pass(&mut self) -> io::Result<()> {
        self.writer.write_all(&[1])
    }
}

/// Takes the token; false if it is not there. Does not wait.
pub fn take_token(reader: BorrowedFd<'_>) -> bool {
    let mut byte = [0; 1];
    loop {
        match recv(reader, &mut byte, RecvFlags::DONTWAIT) {
            Ok((count, _)) => return count == 1,
            Err(rustix::io::Errno::INTR) => {}
            Err(_) => return false,
        }
    }
}
