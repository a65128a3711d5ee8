//! One connection as the shell holds it: its socket, what is to be written, and how far its end has come.

use std::io;
use std::time::Instant;

use mio::net::TcpStream;
use mio::Token;

use crate::ConnId;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Connecting,
    Open,
    /// To be closed once all is written.
    Closing,
}

/// What becomes of bytes that come on a connection that is being closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterClose {
    /// They are read and dropped: they belong to a request that was answered by its head.
    Drop,
    /// They stay unread: a request that nobody has read may be sent again by its client.
    LeaveUnread,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) id: ConnId,
    pub(super) stream: TcpStream,
    /// Bytes to write, of which the first `done` are written: what is said in one turn goes out at once.
    pub(super) unsent: Vec<u8>,
    pub(super) written: usize,
    /// Nothing of what is to be written was yet.
    pub(super) is_unwritten: bool,
    pub(super) state: ConnectionState,
    pub(super) paused: bool,
    /// Readable since the last time that reading had to wait.
    pub(super) readable: bool,
    /// The peer has closed its side, or reset the connection; what it said before may not have been read yet.
    pub(super) end_pending: bool,
    /// The same, and it stays so once it was heard.
    pub(super) peer_closed: bool,
    pub(super) write_shut: bool,
    /// Of one that is closing.
    pub(super) after_close: AfterClose,
    /// Closing: when that began, and whether the peer has taken anything since it was last looked at.
    pub(super) closing_since: Option<Instant>,
    pub(super) took_bytes: bool,
}

/// The token of a connection: its own number, so that an event meant for one that is gone meets no other.
pub(super) fn token(id: ConnId) -> Token {
    Token(usize::try_from(id.0).map_or(usize::MAX, |n| n.saturating_add(1)))
}

impl Connection {
    /// Whether an engine's connection that is about to carry a call has closed, or brought what nobody asked for, since
    /// it was last read: the call would be eaten, or answered by what is not its answer. Nothing of it is written yet.
    pub(super) fn has_unexpected_bytes(&self) -> bool {
        let begins = self.is_unwritten && self.state == ConnectionState::Open;
        begins && self.id.is_to_worker() && self.peek().is_ok()
    }

    /// Looks for a byte without taking it; an interrupted look is made again.
    pub(super) fn peek(&self) -> io::Result<usize> {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                other => return other,
            }
        }
    }

    /// Whether it has written all, closed its side, and knows that the peer has closed its own: nothing is left to do.
    pub(super) fn is_over(&self) -> bool {
        self.state == ConnectionState::Closing && self.write_shut && self.peer_closed
    }
}
