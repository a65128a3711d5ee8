//! The shell's state of one connection: its socket, its unsent bytes and its progress towards being closed.

use std::io;
use std::time::Instant;

use mio::net::TcpStream;
use mio::Token;

use crate::ConnId;

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection is being established.
    Connecting,
    /// The connection can be read and written.
    Open,
    /// The connection is closed once all bytes are written.
    Closing,
}

/// How to handle bytes received on a connection that is being closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterClose {
    /// Read and drop them. They belong to a request whose head was sufficient to answer it.
    Drop,
    /// Leave them unread. A client may safely resend a request that was never read.
    LeaveUnread,
}

/// A connection to a client, a worker or service discovery.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) id: ConnId,
    pub(super) stream: TcpStream,
    /// Bytes to write. The bytes of one batch of events are written together.
    pub(super) unsent: Vec<u8>,
    /// Number of bytes at the front of `unsent` that the kernel has accepted.
    pub(super) written: usize,
    /// Whether the kernel has accepted none of `unsent`.
    pub(super) nothing_written: bool,
    pub(super) state: ConnectionState,
    /// Whether reading is suspended.
    pub(super) paused: bool,
    /// Whether the socket has become readable since the last read that would have blocked.
    pub(super) readable: bool,
    /// Whether the peer has closed its side or reset the connection, and the core was not notified. Earlier bytes may still
    /// be unread.
    pub(super) end_pending: bool,
    /// Whether the peer has closed its side or reset the connection. Stays set after the core was notified.
    pub(super) peer_closed: bool,
    /// Whether all bytes are written and the write side is shut down.
    pub(super) write_shut: bool,
    /// How to handle bytes that are received while the connection is closing.
    pub(super) after_close: AfterClose,
    /// When the connection began to close.
    pub(super) closing_since: Option<Instant>,
    /// Whether bytes were written since the last check of the lingering connection.
    pub(super) wrote_since_check: bool,
}

/// When a lingering connection is dropped, unless the peer still accepts bytes.
#[derive(Debug)]
pub(super) struct LingerDeadline {
    pub(super) deadline: Instant,
    pub(super) key: usize,
    pub(super) id: ConnId,
}

/// The mio token of a connection. It is derived from the connection's id, which is never reused, so a late event of a
/// removed connection cannot be attributed to another one.
pub(super) fn token(id: ConnId) -> Token {
    Token(usize::try_from(id.0).map_or(usize::MAX, |n| n.saturating_add(1)))
}

impl Connection {
    /// Whether a worker connection on which a call is about to begin was closed or has received bytes since the last read.
    /// The call would be lost, or the bytes would be taken for its reply. No byte of the call has been written yet.
    pub(super) fn has_unexpected_bytes(&self) -> bool {
        let call_begins = self.nothing_written && self.state == ConnectionState::Open;
        call_begins && self.id.is_outbound() && self.peek().is_ok()
    }

    /// Peeks at the next byte, repeating an interrupted call.
    pub(super) fn peek(&self) -> io::Result<usize> {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                other => return other,
            }
        }
    }

    /// Whether all bytes are written and both sides are closed.
    pub(super) fn is_closed(&self) -> bool {
        self.state == ConnectionState::Closing && self.write_shut && self.peer_closed
    }
}
