//! One connection as the shell holds it: its socket, what is to be written, and how far its end has come.

use std::io;
use std::time::Instant;

use mio::net::TcpStream;
use mio::Token;

use crate::ConnId;

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It does not stand yet.
    Connecting,
    /// It can be read and written.
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

/// A connection of either side.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) id: ConnId,
    pub(super) stream: TcpStream,
    /// Bytes to write: those of one group of events are written together.
    pub(super) unsent: Vec<u8>,
    /// How many of `unsent`, from the front, the system has taken.
    pub(super) written: usize,
    /// The system has taken none of them.
    pub(super) is_unwritten: bool,
    pub(super) state: ConnectionState,
    /// Not to be read for now.
    pub(super) paused: bool,
    /// Readable since the last read that would have blocked.
    pub(super) readable: bool,
    /// The peer has closed its side, or reset the connection; what came before may not have been read yet.
    pub(super) end_pending: bool,
    /// The same; it stays set once the core was notified.
    pub(super) peer_closed: bool,
    /// All is written, and this side is closed.
    pub(super) write_shut: bool,
    /// What becomes of bytes that still come, once it is closing.
    pub(super) after_close: AfterClose,
    /// When closing began.
    pub(super) closing_since: Option<Instant>,
    /// The peer has taken bytes since the last check of a lingering connection.
    pub(super) took_bytes: bool,
}

/// When a lingering connection is dropped, unless the peer still takes bytes.
#[derive(Debug)]
pub(super) struct LingerDeadline {
    pub(super) at: Instant,
    pub(super) key: usize,
    pub(super) id: ConnId,
}

/// The token of a connection: its own number, so that an event for one that is gone reaches no other.
pub(super) fn token(id: ConnId) -> Token {
    Token(usize::try_from(id.0).map_or(usize::MAX, |n| n.saturating_add(1)))
}

impl Connection {
    /// Whether a connection to a worker that is about to carry a call was closed, or has brought bytes, since it was last
    /// read: the call would be lost, or answered by what is not its reply. Nothing of the call is written yet.
    pub(super) fn has_unexpected_bytes(&self) -> bool {
        let begins = self.is_unwritten && self.state == ConnectionState::Open;
        begins && self.id.is_outbound() && self.peek().is_ok()
    }

    /// Peeks for a byte; an interrupted call is repeated.
    pub(super) fn peek(&self) -> io::Result<usize> {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                other => return other,
            }
        }
    }

    /// Whether all is written and both sides are closed.
    pub(super) fn is_over(&self) -> bool {
        self.state == ConnectionState::Closing && self.write_shut && self.peer_closed
    }
}
