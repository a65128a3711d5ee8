//! Connections of a shell: opened, read, written, closed with a bounded linger, and taken from the listening socket.

use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::Interest;

use super::ready_queue::Readiness;
use super::sock::{token, AfterClose, Sock, State};
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// Bytes read at once, and so many such reads from one connection before others have their turn.
pub(super) const READ_BYTES: usize = 16 * 1024;
const READS_A_TURN: usize = 8;
/// Written bytes at the front of a buffer that are dropped together.
const COMPACT_BYTES: usize = 64 * 1024;
/// Connections taken at once before others have their turn.
pub(super) const ACCEPTS_A_TURN: usize = 64;
/// A connection that is closed has this long to close its side, and, while it takes something of what is left in each
/// such span, so long in all.
const LINGER: Duration = Duration::from_secs(2);
const LINGER_MOST: Duration = Duration::from_secs(10);
/// Out of file descriptors, no connection is taken for this span: what waits is not seen, and its time runs.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// So many other failures in one turn are passed over; one that lasts pauses as well, and does not spin the loop.
const ACCEPT_FAILURES: u32 = 16;
/// accept(2): the process, or the system, has no descriptor left.
const OUT_OF_DESCRIPTORS: [i32; 2] = [24, 23];

fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}

impl<S: Sink> Shell<S> {
    pub(super) fn add(&mut self, id: ConnId, mut stream: TcpStream, state: State) -> io::Result<usize> {
        let _ = stream.set_nodelay(true);
        let entry = self.socks.vacant_entry();
        let key = entry.key();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token(id), both)?;
        entry.insert(Sock {
            id,
            stream,
            out: Vec::new(),
            done: 0,
            fresh: false,
            state,
            paused: false,
            readable: false,
            ended: false,
            peer_closed: false,
            shut: false,
            after_close: AfterClose::Drop,
            closed: None,
            takes: false,
        });
        self.by_id.insert(id, key);
        Ok(key)
    }

    pub(super) fn remove(&mut self, key: usize) -> Option<ConnId> {
        let mut sock = self.socks.try_remove(key)?;
        let _ = self.poll.registry().deregister(&mut sock.stream);
        self.dirty.remove(&key);
        self.by_id.remove(&sock.id);
        self.ready.forget(token(sock.id));
        if sock.state == State::Closing {
            self.lingering -= 1;
        }
        Some(sock.id)
    }

    /// The connection failed: the core hears of it unless it has closed it itself.
    pub(super) fn lost(&mut self, key: usize) {
        let closing = self.socks.get(key).is_some_and(|s| s.state == State::Closing);
        if let Some(id) = self.remove(key) {
            if !closing {
                self.core.handle(self.clock.now(), Input::Lost(id), &mut self.outputs);
            }
        }
    }

    pub(super) fn close(&mut self, id: ConnId, after_close: AfterClose) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        // What still has something to be told stays, beyond the bound: its descriptor was a client's, and no other
        // client is taken meanwhile.
        self.bound_told(self.may_linger.saturating_sub(1));
        if let Some(sock) = self.socks.get_mut(key) {
            let now = Instant::now();
            sock.state = State::Closing;
            sock.after_close = after_close;
            (sock.closed, sock.takes) = (Some(now), false);
            self.cuts.push_back((now + LINGER, key, id));
            sock.paused = false;
            self.lingering += 1;
            self.dirty.insert(key);
            self.again.push_back(key);
        }
    }

    /// Closes a connection on which no request is open, unless its client has said something meanwhile or has gone: that
    /// is heard instead.
    pub(super) fn close_if_quiet(&mut self, id: ConnId) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        let Some(sock) = self.socks.get_mut(key) else { return };
        let quiet = matches!(sock.peek(), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        if quiet {
            self.close(id, AfterClose::LeaveUnread);
            self.core.handle(self.clock.now(), Input::Lost(id), &mut self.outputs);
        } else {
            sock.readable = true;
            self.again.push_back(key);
        }
    }

    /// Whether what waits to be written to this connection begins a call to an engine.
    pub(super) fn begins_call(&self, key: usize) -> bool {
        self.socks.get(key).is_some_and(|s| s.fresh && s.id.is_to_worker() && s.state == State::Open)
    }

    /// Of more than so many that linger, those that were told all give way, the oldest first. True: no more are left.
    pub(super) fn bound_told(&mut self, most: usize) -> bool {
        let mut cuts = self.cuts.iter();
        let mut told = Vec::new();
        while self.lingering - told.len() > most {
            let Some((_, key, id)) = cuts.next() else { break };
            if self.socks.get(*key).is_some_and(|s| s.id == *id && s.shut) {
                told.push(*key);
            }
        }
        for key in told {
            self.remove(key);
        }
        self.lingering <= most
    }

    pub(super) fn pause(&mut self, id: ConnId, paused: bool) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        let Some(sock) = self.socks.get_mut(key) else { return };
        sock.paused = paused;
        if !paused && sock.readable {
            self.again.push_back(key);
        }
    }

    pub(super) fn ready_socket(&mut self, key: usize, readiness: Readiness) {
        let Readiness { readable, writable, ended, .. } = readiness;
        let Some(sock) = self.socks.get_mut(key) else { return };
        if sock.state == State::Connecting {
            if !writable && !readable {
                return;
            }
            let error = sock.stream.take_error();
            match (error, sock.stream.peer_addr()) {
                (Ok(None), Ok(_)) => {
                    sock.state = State::Open;
                    let id = sock.id;
                    self.feed(Input::Connected(id));
                }
                (Ok(None), Err(e)) if e.kind() == io::ErrorKind::NotConnected => return,
                _ => {
                    self.lost(key);
                    return self.settle();
                }
            }
        } else if writable {
            self.dirty.insert(key);
            self.settle();
        }
        if readable {
            if let Some(sock) = self.socks.get_mut(key) {
                sock.readable = true;
                sock.ended |= ended;
                sock.peer_closed |= ended;
            }
            self.read(key);
        }
    }

    /// Reads until the system says that nothing is left, or others have their turn. A read that doesn't fill the buffer
    /// proves nothing: what it left behind would not be told of again.
    pub(super) fn read(&mut self, key: usize) {
        for n in 0..READS_A_TURN {
            if n > 0 && self.is_turn_over() {
                break;
            }
            if !self.read_once(key) {
                return;
            }
        }
        self.again.push_back(key);
    }

    /// One read of a connection, if it is to be read at all; true: more may be there.
    fn read_once(&mut self, key: usize) -> bool {
        let Some(sock) = self.socks.get_mut(key) else { return false };
        if sock.state == State::Closing {
            return self.read_closing(key);
        }
        let id = sock.id;
        if sock.paused && sock.ended && !id.is_to_worker() {
            self.notice_departure(key);
            return false;
        }
        if sock.paused || sock.state == State::Connecting {
            return false;
        }
        match sock.stream.read(&mut self.buffer) {
            Ok(0) => {
                sock.readable = false;
                sock.ended = false;
                sock.peer_closed = true;
                // Nothing more can come; writing goes on.
                sock.paused = true;
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
        let Some(sock) = self.socks.get_mut(key) else { return false };
        if sock.after_close == AfterClose::LeaveUnread {
            sock.readable = false;
            if sock.is_over() {
                self.remove(key);
            }
            return false;
        }
        if sock.paused {
            return false;
        }
        match sock.stream.read(&mut self.buffer) {
            Ok(0) => {
                if sock.out.is_empty() {
                    self.remove(key);
                } else {
                    sock.readable = false;
                    sock.paused = true;
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
                if let Some(sock) = self.socks.get_mut(key) {
                    sock.readable = false;
                }
            }
            _ => {
                self.lost(key);
                self.settle();
            }
        }
        false
    }

    /// A client that is not read has gone all the same, and what it said ahead with it.
    fn notice_departure(&mut self, key: usize) {
        let Some(sock) = self.socks.get_mut(key) else { return };
        sock.ended = false;
        if let Ok(None) = sock.stream.take_error() {
            let id = sock.id;
            return self.feed(Input::Eof(id));
        }
        self.lost(key);
        self.settle();
    }

    pub(super) fn write(&mut self, key: usize) {
        let Some(sock) = self.socks.get_mut(key) else { return };
        let (id, before) = (sock.id, sock.done);
        let mut failed = sock.told_more();
        while !failed && sock.done < sock.out.len() {
            match sock.stream.write(sock.out.get(sock.done..).unwrap_or_default()) {
                Ok(n) => sock.done += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    failed = true;
                    break;
                }
            }
        }
        let wrote = sock.done - before;
        sock.fresh &= wrote == 0;
        sock.takes |= wrote > 0;
        if sock.done >= sock.out.len() {
            // An idle connection keeps no buffer.
            sock.out = Vec::new();
            sock.done = 0;
        } else if sock.done > COMPACT_BYTES {
            sock.out.drain(..sock.done);
            sock.done = 0;
        }
        let (written, closing) = (sock.out.is_empty(), sock.state == State::Closing);
        if written && closing && !sock.shut {
            sock.shut = true;
            let _ = sock.stream.shutdown(Shutdown::Write);
            // The peer may have closed before: then nothing more will be told of it.
            sock.paused = false;
            self.again.push_back(key);
        }
        if wrote > 0 && !closing {
            self.core.handle(self.clock.now(), Input::Wrote(id, wrote), &mut self.outputs);
        }
        if failed {
            self.lost(key);
        }
    }

    /// Cuts connections that linger past their time.
    pub(super) fn sweep(&mut self) {
        let now = Instant::now();
        while let Some((_, key, id)) = self.cuts.pop_front_if(|(at, ..)| *at <= now) {
            if self.by_id.get(&id) != Some(&key) {
                continue;
            }
            let told = self.socks.get(key).is_some_and(|s| s.shut);
            // The system tells of room only once there is much of it: a slow peer has taken something before.
            self.write(key);
            let Some(sock) = self.socks.get_mut(key).filter(|s| s.id == id) else { continue };
            let may = sock.closed.is_some_and(|at| now < at + LINGER_MOST);
            if may && !told && std::mem::take(&mut sock.takes) {
                self.cuts.push_back((now + LINGER, key, id));
            } else {
                self.remove(key);
            }
        }
    }

    /// Takes connections that have come; true: there may be more.
    pub(super) fn accept(&mut self) -> bool {
        self.accept_at = None;
        let mut failures = 0;
        for _ in 0..ACCEPTS_A_TURN {
            if !self.bound_told(self.may_linger) {
                self.accept_at = Some(Instant::now() + ACCEPT_PAUSE);
                return false;
            }
            let Some(listener) = &self.listener else { return false };
            match listener.accept() {
                Ok((stream, _)) => {
                    let id = ConnId(self.next_client);
                    self.next_client += 2;
                    if self.add(id, stream, State::Open).is_ok() {
                        self.feed(Input::Accepted(id));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // Of one connection alone, or gone at the next call: others wait behind it, and their time runs.
                Err(e) if !is_out_of_descriptors(&e) && failures < ACCEPT_FAILURES => failures += 1,
                Err(e) => {
                    self.sink.note("accept", &format!("no connection can be taken for now: {e}"));
                    self.accept_at = Some(Instant::now() + ACCEPT_PAUSE);
                    return false;
                }
            }
        }
        self.accept_at = Some(Instant::now());
        true
    }
}
