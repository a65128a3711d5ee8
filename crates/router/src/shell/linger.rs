//! Connections that are being closed: they linger, so that the peer can read all that was written to it.

use std::io;
use std::time::{Duration, Instant};

use super::connection::{AfterClose, ConnectionState, LingerDeadline};
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// A connection that is closed lingers this long, and as long again each time that the peer has taken bytes meanwhile.
const LINGER: Duration = Duration::from_secs(2);
/// The longest time that a connection lingers.
const LINGER_MOST: Duration = Duration::from_secs(10);

impl<S: Sink> Shell<S> {
    /// Closes a connection once all is written, and lingers until the peer has closed its side too.
    pub(super) fn close(&mut self, id: ConnId, after_close: AfterClose) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        // A connection with something left to write stays, even beyond the bound: its descriptor was a client's, and no
        // other client is accepted meanwhile.
        self.drop_finished_lingering(self.max_lingering.saturating_sub(1));
        if let Some(connection) = self.connections.get_mut(key) {
            let now = Instant::now();
            connection.state = ConnectionState::Closing;
            connection.after_close = after_close;
            connection.closing_since = Some(now);
            connection.took_bytes = false;
            self.linger_deadlines.push_back(LingerDeadline { at: now + LINGER, key, id });
            connection.paused = false;
            self.lingering += 1;
            self.to_write.insert(key);
            self.to_read.push_back(key);
        }
    }

    /// Closes a connection on which no request is open, unless bytes have come meanwhile or its client has gone: that is
    /// read instead.
    pub(super) fn close_if_quiet(&mut self, id: ConnId) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        let is_quiet = matches!(connection.peek(), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        if is_quiet {
            self.close(id, AfterClose::LeaveUnread);
            self.core.handle(self.clock.now(), Input::Lost(id), &mut self.outputs);
        } else {
            connection.readable = true;
            self.to_read.push_back(key);
        }
    }

    /// Drops lingering connections to which all is written, the oldest first, while more than `most` linger. True: no more
    /// than that are left.
    pub(super) fn drop_finished_lingering(&mut self, most: usize) -> bool {
        let mut deadlines = self.linger_deadlines.iter();
        let mut finished = Vec::new();
        while self.lingering - finished.len() > most {
            let Some(LingerDeadline { key, id, .. }) = deadlines.next() else { break };
            if self.connections.get(*key).is_some_and(|c| c.id == *id && c.write_shut) {
                finished.push(*key);
            }
        }
        for key in finished {
            self.remove(key);
        }
        self.lingering <= most
    }

    /// Drops connections that linger past their time.
    pub(super) fn sweep(&mut self) {
        let now = Instant::now();
        while let Some(due) = self.linger_deadlines.pop_front_if(|deadline| deadline.at <= now) {
            if self.by_id.get(&due.id) != Some(&due.key) {
                continue;
            }
            let was_finished = self.connections.get(due.key).is_some_and(|c| c.write_shut);
            // The system reports a socket as writable only once there is much room: a slow peer may have taken bytes before.
            self.write(due.key);
            let Some(connection) = self.connections.get_mut(due.key).filter(|c| c.id == due.id) else {
                continue;
            };
            let may_linger = connection.closing_since.is_some_and(|since| now < since + LINGER_MOST);
            if may_linger && !was_finished && std::mem::take(&mut connection.took_bytes) {
                self.linger_deadlines.push_back(LingerDeadline { at: now + LINGER, ..due });
            } else {
                self.remove(due.key);
            }
        }
    }
}
