//! Client connections: accepted, bounded, timed, paused and closed.
//!
//! `Core::clients` is written here and where requests are read and answered. [`crate::Bounds::clients`] bounds its
//! size. After a crash clients connect again.

use chalkyard_api::client::ErrorKind;
use chalkyard_policy::Micros;
use chalkyard_proto::{encode, Decoder, Side};

use super::client_answers::{error, JSON};
use super::client_connection::{ClientConnection, ClientPhase};
use super::record::RequestOutcome;
use super::{ConnId, Core, Output, TimerEvent};

impl Core {
    pub(super) fn client_connected(&mut self, conn: ConnId) {
        let is_full = self.clients.len() >= self.config.bounds.clients && !self.evict_client();
        if is_full || (self.is_draining() && self.config.dialect.is_none()) {
            let reason = if self.is_draining() { "draining" } else { "too many connections" };
            let body = error(ErrorKind::Refused, reason).json();
            self.update_tally(|t| t.dropped_clients += 1);
            self.outputs.push(Output::Write(conn, encode::response(503, &[JSON], &body, false)));
            self.outputs.push(Output::Close(conn));
            return;
        }
        let decoder = Decoder::new(Side::Request, self.config.bounds.client);
        self.clients.insert(conn, ClientConnection::new(decoder, self.now));
        self.set_client_timer(conn, self.config.timeouts.first_request);
    }

    /// Makes room for a client. Of the connections without an open request, the one that has been silent for longest
    /// is closed, first of those that never sent a request, since a client usually sends one soon after it has
    /// connected. If unread bytes of a request have arrived on that connection, it stays and another one is closed.
    fn evict_client(&mut self) -> bool {
        if !self.config.bounds.evict_clients {
            return false;
        }
        let evictable = self.clients.iter().filter(|(_, c)| c.is_evictable());
        let first = evictable.min_by_key(|(_, c)| (!c.is_idle(), c.has_been_answered, c.phase_since));
        let Some(conn) = first.map(|(conn, _)| *conn) else { return false };
        self.update_tally(|t| t.dropped_clients += 1);
        self.close_if_quiet(conn);
        true
    }

    /// Closes a client without an open request, unless unread bytes have arrived.
    pub(super) fn close_if_quiet(&mut self, conn: ConnId) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.closing_if_quiet = true;
            self.outputs.push(Output::CloseIfQuiet(conn));
        }
    }

    /// Keeps a client that was to be closed, because bytes have arrived from it. If the client was to make room,
    /// another one is closed instead.
    pub(super) fn cancel_close_if_quiet(&mut self, conn: ConnId) {
        if !self.clients.get(&conn).is_some_and(|c| c.closing_if_quiet) {
            return;
        }
        let staying = self.clients.iter().filter(|(id, c)| **id == conn || !c.closing_if_quiet).count();
        if staying > self.config.bounds.clients {
            self.evict_client();
        }
        if let Some(client) = self.clients.get_mut(&conn) {
            client.closing_if_quiet = false;
        }
    }

    /// Whether the connection stays open after the answer that is about to begin. If not, the answer says so, and
    /// bytes that the client sends from now on stay unread.
    pub(super) fn announce_keep_alive(&mut self, conn: ConnId) -> bool {
        let is_kept_alive = self.is_kept_alive(conn);
        if let Some(client) = self.clients.get_mut(&conn).filter(|_| !is_kept_alive) {
            client.close_announced = true;
            client.close_after_answer = true;
        }
        self.update_reading(conn);
        is_kept_alive
    }

    /// Pauses or resumes reading from a client according to its current state.
    pub(super) fn update_reading(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let pause = client.output_full || client.pipeline_full || client.close_announced;
        if std::mem::replace(&mut client.paused, pause) != pause {
            client.unread_since = Some(self.now).filter(|_| pause).or(client.unread_since);
            self.outputs.push(if pause { Output::Pause(conn) } else { Output::Resume(conn) });
        }
    }

    /// Sets the single timer of a client connection.
    pub(super) fn set_client_timer(&mut self, conn: ConnId, timeout: Micros) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if let Some(key) = client.timer.take() {
            self.timers.cancel(key);
        }
        client.timer = Some(self.timers.set(self.now + timeout, TimerEvent::Client(conn)));
    }

    /// Sets the timer of a client that does not read its answers.
    pub(super) fn set_slow_client_timer(&mut self, conn: ConnId) {
        self.set_client_timer(conn, self.config.timeouts.slow_client);
    }

    fn remove_client(&mut self, conn: ConnId) -> Option<ClientConnection> {
        let client = self.clients.remove(&conn)?;
        if let ClientPhase::ReadingBody(_, body) = &client.phase {
            self.body_bytes = self.body_bytes.saturating_sub(body.counted_bytes());
        }
        if let Some(key) = client.timer {
            self.timers.cancel(key);
        }
        Some(client)
    }

    pub(super) fn write_client(&mut self, conn: ConnId, bytes: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(&conn) {
            if client.unsent_bytes == 0 {
                client.blocked_since = self.now;
            }
            client.unsent_bytes += bytes.len() as u64;
            self.outputs.push(Output::Write(conn, bytes));
        }
    }

    /// Closes a client that was answered before its request was complete.
    pub(super) fn close_client(&mut self, conn: ConnId) {
        if self.remove_client(conn).is_some() {
            self.outputs.push(Output::Close(conn));
        }
    }

    /// Closes a client whose requests are all answered.
    pub(super) fn close_answered(&mut self, conn: ConnId) {
        if self.remove_client(conn).is_some() {
            self.outputs.push(Output::CloseAnswered(conn));
        }
    }

    /// Returns whether more bytes wait to be sent to this client than its buffer holds, so that its worker is not read.
    pub(super) fn is_send_buffer_full(&self, conn: ConnId) -> bool {
        self.clients.get(&conn).is_some_and(|c| c.unsent_bytes > self.config.bounds.client_buffer as u64)
    }

    /// Resumes reading from a paused worker or client once the operating system has accepted enough bytes for the
    /// client.
    pub(super) fn client_bytes_sent(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.unsent_bytes > self.config.bounds.client_buffer as u64 / 2 {
            return;
        }
        if std::mem::take(&mut client.output_full) {
            self.update_reading(conn);
            self.set_client_timer(conn, self.request_timeout());
            return self.pending_clients.push_back(conn);
        }
        if let ClientPhase::Serving(id) = &client.phase {
            let id = id.clone();
            self.resume_worker(&id);
        }
    }

    /// Handles the timer of a client connection.
    pub(super) fn client_timed_out(&mut self, conn: ConnId) {
        let (slow_client, is_full) = (self.config.timeouts.slow_client, self.is_send_buffer_full(conn));
        let is_draining = self.is_draining();
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.timer = None;
        let is_blocked = client.blocked_since + slow_client <= self.now;
        if client.output_full {
            if !is_blocked {
                return self.set_slow_client_timer(conn);
            }
            self.remove_client(conn);
            return self.outputs.push(Output::Abort(conn));
        }
        match &client.phase {
            ClientPhase::Serving(id) => {
                let id = id.clone();
                if is_full && is_blocked {
                    self.remove_client(conn);
                    self.outputs.push(Output::Abort(conn));
                    self.client_left(&id, RequestOutcome::ClientSlow);
                } else if is_full {
                    self.set_slow_client_timer(conn);
                }
            }
            ClientPhase::ReadingHead if client.decoder.is_idle() => self.close_if_quiet(conn),
            // The drain may have shortened the time, so the client is told that it may try again.
            ClientPhase::ReadingHead | ClientPhase::ReadingBody(..) if is_draining => {
                self.reject_unfinished(conn);
            }
            ClientPhase::ReadingHead | ClientPhase::ReadingBody(..) => {
                let body = error(ErrorKind::Invalid, "the request took too long to come").json();
                self.write_client(conn, encode::response(408, &[JSON], &body, false));
                self.close_client(conn);
            }
        }
    }

    pub(super) fn client_lost(&mut self, conn: ConnId) {
        let Some(client) = self.remove_client(conn) else { return };
        if let ClientPhase::Serving(id) = client.phase {
            self.client_left(&id, RequestOutcome::ClientGone);
        }
    }
}
