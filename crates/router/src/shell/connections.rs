//! Adding, reading, writing and removing connections.

use std::io::{self, Read, Write};
use std::net::Shutdown;

use mio::net::TcpStream;
use mio::Interest;

use super::connection::{token, AfterClose, Connection, ConnectionState};
use super::ready_queue::Readiness;
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// Size of the read buffer.
pub(super) const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of consecutive reads of one connection before others are handled.
const MAX_CONSECUTIVE_READS: usize = 8;

impl<S: Sink> Shell<S> {
    /// Adds a socket to the event loop.
    pub(super) fn add_connection(
        &mut self,
        id: ConnId,
        mut stream: TcpStream,
        state: ConnectionState,
    ) -> io::Result<usize> {
        let _ = stream.set_nodelay(true);
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token(id), interest)?;
        entry.insert(Connection {
            id,
            stream,
            unsent: Vec::new(),
            written: 0,
            nothing_written: false,
            state,
            paused: false,
            readable: false,
            end_pending: false,
            peer_closed: false,
            write_shut: false,
            after_close: AfterClose::Drop,
            closing_since: None,
            wrote_since_check: false,
        });
        self.by_id.insert(id, key);
        Ok(key)
    }

    /// Removes a connection and closes its socket.
    pub(super) fn remove_connection(&mut self, key: usize) -> Option<ConnId> {
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

    /// Handles the failure of a connection. The core is notified unless it has closed the connection.
    pub(super) fn connection_failed(&mut self, key: usize) {
        let closing = self.connections.get(key).is_some_and(|c| c.state == ConnectionState::Closing);
        if let Some(id) = self.remove_connection(key) {
            if !closing {
                self.core.handle(self.clock.now(), Input::Lost(id), &mut self.outputs);
            }
        }
    }

    /// Whether the unsent bytes of this connection begin a call to a worker.
    pub(super) fn begins_worker_call(&self, key: usize) -> bool {
        self.connections
            .get(key)
            .is_some_and(|c| c.nothing_written && c.id.is_outbound() && c.state == ConnectionState::Open)
    }

    /// Suspends or resumes reading a connection.
    pub(super) fn set_paused(&mut self, id: ConnId, paused: bool) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.paused = paused;
        if !paused && connection.readable {
            self.to_read.push_back(key);
        }
    }

    /// Handles the readiness of one socket.
    pub(super) fn handle_socket(&mut self, key: usize, readiness: Readiness) {
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
                    self.handle_input(Input::Connected(id));
                }
                (Ok(None), Err(e)) if e.kind() == io::ErrorKind::NotConnected => return,
                _ => {
                    self.connection_failed(key);
                    return self.perform_outputs();
                }
            }
        } else if writable {
            self.to_write.insert(key);
            self.perform_outputs();
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

    /// Reads until a read would block or a limit is reached. A read that does not fill the buffer is not proof that the
    /// socket is empty: events are edge-triggered, so there would be no further event for bytes that it left.
    pub(super) fn read(&mut self, key: usize) {
        for n in 0..MAX_CONSECUTIVE_READS {
            if n > 0 && self.is_iteration_over() {
                break;
            }
            if !self.read_once(key) {
                return;
            }
        }
        self.to_read.push_back(key);
    }

    /// Reads a connection once, unless reading is suspended. Returns whether more bytes may be available.
    fn read_once(&mut self, key: usize) -> bool {
        let Some(connection) = self.connections.get_mut(key) else { return false };
        if connection.state == ConnectionState::Closing {
            return self.read_closing(key);
        }
        let id = connection.id;
        if connection.paused && connection.end_pending && !id.is_outbound() {
            self.report_disconnect(key);
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
                // No more bytes can arrive; writing continues.
                connection.paused = true;
                self.handle_input(Input::Eof(id));
                false
            }
            Ok(n) => {
                let buffer = std::mem::take(&mut self.buffer);
                self.handle_input(Input::Bytes(id, buffer.get(..n).unwrap_or_default()));
                self.buffer = buffer;
                true
            }
            Err(e) => self.read_failed(key, &e),
        }
    }

    /// Reads a closing connection once, dropping the bytes or leaving them unread. Returns whether more may be available.
    fn read_closing(&mut self, key: usize) -> bool {
        let Some(connection) = self.connections.get_mut(key) else { return false };
        if connection.after_close == AfterClose::LeaveUnread {
            connection.readable = false;
            if connection.is_closed() {
                self.remove_connection(key);
            }
            return false;
        }
        if connection.paused {
            return false;
        }
        match connection.stream.read(&mut self.buffer) {
            Ok(0) => {
                if connection.unsent.is_empty() {
                    self.remove_connection(key);
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

    /// Handles the error of a read. Returns whether to read again because the call was merely interrupted.
    fn read_failed(&mut self, key: usize, error: &io::Error) -> bool {
        match error.kind() {
            io::ErrorKind::Interrupted => return true,
            io::ErrorKind::WouldBlock => {
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.readable = false;
                }
            }
            _ => {
                self.connection_failed(key);
                self.perform_outputs();
            }
        }
        false
    }

    /// Notifies the core that a client has disconnected while reading from it is suspended. Its unread bytes are dropped.
    fn report_disconnect(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.end_pending = false;
        if let Ok(None) = connection.stream.take_error() {
            let id = connection.id;
            return self.handle_input(Input::Eof(id));
        }
        self.connection_failed(key);
        self.perform_outputs();
    }

    /// Writes as many unsent bytes as the kernel accepts.
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
        connection.nothing_written &= wrote == 0;
        connection.wrote_since_check |= wrote > 0;
        if connection.written >= connection.unsent.len() {
            // Frees the buffer, so that idle connections hold no memory.
            connection.unsent = Vec::new();
            connection.written = 0;
        } else if connection.written > connection.unsent.len() / 2 {
            // Less than half of a buffer is bytes that were written, and each byte is moved once in the mean.
            connection.unsent.drain(..connection.written);
            connection.unsent.shrink_to_fit();
            connection.written = 0;
        }
        let (all_written, closing) =
            (connection.unsent.is_empty(), connection.state == ConnectionState::Closing);
        if all_written && closing && !connection.write_shut {
            connection.write_shut = true;
            let _ = connection.stream.shutdown(Shutdown::Write);
            // The peer may have closed its side already, in which case there will be no further event.
            connection.paused = false;
            self.to_read.push_back(key);
        }
        if wrote > 0 && !closing {
            self.core.handle(self.clock.now(), Input::Wrote(id, wrote), &mut self.outputs);
        }
        if failed {
            self.connection_failed(key);
        }
    }
}
