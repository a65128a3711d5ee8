//! Connections of a shell: added, read, written and removed.

use std::io::{self, Read, Write};
use std::net::Shutdown;

use mio::net::TcpStream;
use mio::Interest;

use super::connection::{token, AfterClose, Connection, ConnectionState};
use super::ready_queue::Readiness;
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// Bytes of one read.
pub(super) const READ_BYTES: usize = 16 * 1024;
/// Reads of one connection before others have their turn.
const READS_A_TURN: usize = 8;
/// So many written bytes at the front of a buffer are dropped together.
const COMPACT_BYTES: usize = 64 * 1024;
impl<S: Sink> Shell<S> {
    /// Takes a socket into the loop.
    pub(super) fn add(
        &mut self,
        id: ConnId,
        mut stream: TcpStream,
        state: ConnectionState,
    ) -> io::Result<usize> {
        let _ = stream.set_nodelay(true);
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token(id), both)?;
        entry.insert(Connection {
            id,
            stream,
            unsent: Vec::new(),
            written: 0,
            is_unwritten: false,
            state,
            paused: false,
            readable: false,
            end_pending: false,
            peer_closed: false,
            write_shut: false,
            after_close: AfterClose::Drop,
            closing_since: None,
            took_bytes: false,
        });
        self.by_id.insert(id, key);
        Ok(key)
    }

    /// Drops a connection, which closes its socket.
    pub(super) fn remove(&mut self, key: usize) -> Option<ConnId> {
        let mut connection = self.connections.try_remove(key)?;
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.to_write.remove(&key);
        self.by_id.remove(&connection.id);
        self.ready.forget(token(connection.id));
        if connection.state == ConnectionState::Closing {
            self.lingering -= 1;
        }
        Some(connection.id)
    }

    /// The connection failed: the core is notified unless it has closed it itself.
    pub(super) fn lost(&mut self, key: usize) {
        let closing = self.connections.get(key).is_some_and(|s| s.state == ConnectionState::Closing);
        if let Some(id) = self.remove(key) {
            if !closing {
                self.core.handle(self.clock.now(), Input::Lost(id), &mut self.outputs);
            }
        }
    }

    /// Whether what waits to be written to this connection begins a call to a worker.
    pub(super) fn begins_call(&self, key: usize) -> bool {
        self.connections
            .get(key)
            .is_some_and(|s| s.is_unwritten && s.id.is_outbound() && s.state == ConnectionState::Open)
    }

    pub(super) fn pause(&mut self, id: ConnId, paused: bool) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.paused = paused;
        if !paused && connection.readable {
            self.to_read.push_back(key);
        }
    }

    pub(super) fn ready_socket(&mut self, key: usize, readiness: Readiness) {
        let Readiness { readable, writable, ended, .. } = readiness;
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.state == ConnectionState::Connecting {
            if !writable && !readable {
                return;
            }
            let error = connection.stream.take_error();
            match (error, connection.stream.peer_addr()) {
                (Ok(None), Ok(_)) => {
                    connection.state = ConnectionState::Open;
                    let id = connection.id;
                    self.feed(Input::Connected(id));
                }
                (Ok(None), Err(e)) if e.kind() == io::ErrorKind::NotConnected => return,
                _ => {
                    self.lost(key);
                    return self.carry_out_all();
                }
            }
        } else if writable {
            self.to_write.insert(key);
            self.carry_out_all();
        }
        if readable {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.readable = true;
                connection.end_pending |= ended;
                connection.peer_closed |= ended;
            }
            self.read(key);
        }
    }

    /// Reads until a read would block, or others have their turn. A read that doesn't fill the buffer proves nothing: there
    /// would be no other event for what it left.
    pub(super) fn read(&mut self, key: usize) {
        for n in 0..READS_A_TURN {
            if n > 0 && self.is_turn_over() {
                break;
            }
            if !self.read_once(key) {
                return;
            }
        }
        self.to_read.push_back(key);
    }

    /// One read of a connection, if it is to be read at all; true: more may be there.
    fn read_once(&mut self, key: usize) -> bool {
        let Some(connection) = self.connections.get_mut(key) else { return false };
        if connection.state == ConnectionState::Closing {
            return self.read_closing(key);
        }
        let id = connection.id;
        if connection.paused && connection.end_pending && !id.is_outbound() {
            self.notice_departure(key);
            return false;
        }
        if connection.paused || connection.state == ConnectionState::Connecting {
            return false;
        }
        match connection.stream.read(&mut self.buffer) {
            Ok(0) => {
                connection.readable = false;
                connection.end_pending = false;
                connection.peer_closed = true;
                // Nothing more can come; writing goes on.
                connection.paused = true;
                self.feed(Input::Eof(id));
                false
            }
            Ok(n) => {
                let buffer = std::mem::take(&mut self.buffer);
                self.feed(Input::Bytes(id, buffer.get(..n).unwrap_or_default()));
                self.buffer = buffer;
                true
            }
            Err(e) => self.read_failed(key, &e),
        }
    }

    /// One read of a connection that is being closed: what comes is dropped or left unread; true: more may be there.
    fn read_closing(&mut self, key: usize) -> bool {
        let Some(connection) = self.connections.get_mut(key) else { return false };
        if connection.after_close == AfterClose::LeaveUnread {
            connection.readable = false;
            if connection.is_over() {
                self.remove(key);
            }
            return false;
        }
        if connection.paused {
            return false;
        }
        match connection.stream.read(&mut self.buffer) {
            Ok(0) => {
                if connection.unsent.is_empty() {
                    self.remove(key);
                } else {
                    connection.readable = false;
                    connection.paused = true;
                }
                false
            }
            Ok(_) => true,
            Err(e) => self.read_failed(key, &e),
        }
    }

    /// A read has failed, or finds nothing for now; true: it was interrupted alone.
    fn read_failed(&mut self, key: usize, error: &io::Error) -> bool {
        match error.kind() {
            io::ErrorKind::Interrupted => return true,
            io::ErrorKind::WouldBlock => {
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.readable = false;
                }
            }
            _ => {
                self.lost(key);
                self.carry_out_all();
            }
        }
        false
    }

    /// A client that is not read has gone all the same, and what it sent before with it.
    fn notice_departure(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.end_pending = false;
        if let Ok(None) = connection.stream.take_error() {
            let id = connection.id;
            return self.feed(Input::Eof(id));
        }
        self.lost(key);
        self.carry_out_all();
    }

    pub(super) fn write(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (id, before) = (connection.id, connection.written);
        let mut failed = connection.has_unexpected_bytes();
        while !failed && connection.written < connection.unsent.len() {
            match connection.stream.write(connection.unsent.get(connection.written..).unwrap_or_default()) {
                Ok(n) => connection.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    failed = true;
                    break;
                }
            }
        }
        let wrote = connection.written - before;
        connection.is_unwritten &= wrote == 0;
        connection.took_bytes |= wrote > 0;
        if connection.written >= connection.unsent.len() {
            // An idle connection keeps no buffer.
            connection.unsent = Vec::new();
            connection.written = 0;
        } else if connection.written > COMPACT_BYTES {
            connection.unsent.drain(..connection.written);
            connection.written = 0;
        }
        let (written, closing) = (connection.unsent.is_empty(), connection.state == ConnectionState::Closing);
        if written && closing && !connection.write_shut {
            connection.write_shut = true;
            let _ = connection.stream.shutdown(Shutdown::Write);
            // The peer may have closed before: then there will be no other event.
            connection.paused = false;
            self.to_read.push_back(key);
        }
        if wrote > 0 && !closing {
            self.core.handle(self.clock.now(), Input::Wrote(id, wrote), &mut self.outputs);
        }
        if failed {
            self.lost(key);
        }
    }
}
