//! Lingering close: a connection that is being closed stays open until the peer has read all bytes written to it.

use std::io;
use std::time::{Duration, Instant};

use super::connection::{AfterClose, ConnectionState, LingerDeadline};
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// How long a closing connection lingers. The time starts again if the peer has accepted bytes meanwhile.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper limit on the total time that a connection lingers.
const MAX_LINGER_TIME: Duration = Duration::from_secs(10);

impl<S: Sink> Shell<S> {
    /// Closes a connection once all bytes are written, and lingers until the peer has closed its side too.
    pub(super) fn close(&mut self, id: ConnId, after_close: AfterClose) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        // A connection with unsent bytes stays, even beyond the limit: it keeps the descriptor that it already had, and no
        // client is accepted while the limit is exceeded.
        self.drop_finished_lingering(self.max_lingering.saturating_sub(1));
        if let Some(connection) = self.connections.get_mut(key) {
            let now = Instant::now();
            connection.state = ConnectionState::Closing;
            connection.after_close = after_close;
            connection.closing_since = Some(now);
            connection.wrote_since_check = false;
            self.linger_deadlines.push_back(LingerDeadline { deadline: now + LINGER_TIMEOUT, key, id });
            connection.paused = false;
            self.lingering += 1;
            self.to_write.insert(key);
            self.to_read.push_back(key);
        }
    }

    /// Closes a connection without an open request. If bytes have arrived meanwhile or the client has disconnected, the
    /// connection is read instead.
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

    /// Drops lingering connections without unsent bytes, oldest first, while more than `max` linger. Returns whether at most
    /// `max` are left.
    pub(super) fn drop_finished_lingering(&mut self, max: usize) -> bool {
        let mut deadlines = self.linger_deadlines.iter();
        let mut finished = Vec::new();
        while self.lingering - finished.len() > max {
            let Some(LingerDeadline { key, id, .. }) = deadlines.next() else { break };
            if self.connections.get(*key).is_some_and(|c| c.id == *id && c.write_shut) {
                finished.push(*key);
            }
        }
        for key in finished {
            self.remove_connection(key);
        }
        self.lingering <= max
    }

    /// Drops lingering connections whose deadline has passed.
    pub(super) fn drop_expired_lingering(&mut self) {
        let now = Instant::now();
        while let Some(expired) = self.linger_deadlines.pop_front_if(|entry| entry.deadline <= now) {
            if self.by_id.get(&expired.id) != Some(&expired.key) {
                continue;
            }
            let was_finished = self.connections.get(expired.key).is_some_and(|c| c.write_shut);
            // The kernel reports a socket as writable only once much of its buffer is free: a slow peer may have accepted
            // bytes before that.
            self.write(expired.key);
            let Some(connection) = self.connections.get_mut(expired.key).filter(|c| c.id == expired.id)
            else {
                continue;
            };
            let may_linger = connection.closing_since.is_some_and(|since| now < since + MAX_LINGER_TIME);
            if may_linger && !was_finished && std::mem::take(&mut connection.wrote_since_check) {
                self.linger_deadlines.push_back(LingerDeadline { deadline: now + LINGER_TIMEOUT, ..expired });
            } else {
                self.remove_connection(expired.key);
            }
        }
    }
}
