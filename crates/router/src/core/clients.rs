//! Connections with clients: taken, bounded, timed, paused and closed.

use chalkyard_api::client::ErrorKind;
use chalkyard_policy::Micros;
use chalkyard_proto::{encode, Decoder, Side};

use super::client_answers::{error, JSON};
use super::client_connection::{Client, Phase};
use super::record::Ended;
use super::{ConnId, Core, Due, Output};

impl Core {
    pub(super) fn accepted(&mut self, conn: ConnId) {
        let full = self.clients.len() >= self.config.bounds.clients && !self.evict_client();
        if full || (self.draining && self.config.dialect.is_none()) {
            let why = if self.draining { "draining" } else { "too many connections" };
            let body = error(ErrorKind::Refused, why).json();
            self.count(|t| t.unheard += 1);
            self.out.push(Output::Write(conn, encode::response(503, &[JSON], &body, false)));
            self.out.push(Output::Close(conn));
            return;
        }
        let client = Client::new(Decoder::new(Side::Request, self.config.bounds.client), self.now);
        self.clients.insert(conn, client);
        self.arm_client(conn, self.config.waits.first);
    }

    /// Makes room for a client: of those that have no request open the one that has said nothing for longest goes,
    /// first of those that never asked. A usual client asks soon after it has come. One whose request has come in and
    /// was not read yet stays, and another goes for it.
    fn evict_client(&mut self) -> bool {
        if !self.config.bounds.evict {
            return false;
        }
        let dispensable = self.clients.iter().filter(|(_, c)| c.is_dispensable());
        let first = dispensable.min_by_key(|(_, c)| (!c.is_idle(), c.used, c.since)).map(|(id, _)| *id);
        let Some(conn) = first else { return false };
        self.count(|t| t.unheard += 1);
        self.close_if_quiet(conn);
        true
    }

    /// Closes a client that has no request open, unless it has said something that was not read yet.
    pub(super) fn close_if_quiet(&mut self, conn: ConnId) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.closing = true;
            self.out.push(Output::CloseIfQuiet(conn));
        }
    }

    /// A client that was to be closed has said something: it stays, and if it had to make room, another does.
    pub(super) fn stays(&mut self, conn: ConnId) {
        if !self.clients.get(&conn).is_some_and(|c| c.closing) {
            return;
        }
        let others = self.clients.iter().filter(|(id, c)| **id == conn || !c.closing).count();
        if others > self.config.bounds.clients {
            self.evict_client();
        }
        if let Some(client) = self.clients.get_mut(&conn) {
            client.closing = false;
        }
    }

    /// Idle clients are closed; one that has just come is about to ask, and is heard first.
    pub(super) fn close_idle_clients(&mut self) {
        let idle: Vec<(ConnId, bool)> =
            self.clients.iter().filter(|(_, c)| c.is_idle()).map(|(id, c)| (*id, c.used)).collect();
        for (conn, used) in idle {
            if used {
                self.close_if_quiet(conn);
            } else {
                self.arm_client(conn, self.config.waits.just_come);
            }
        }
    }

    /// Whether the connection goes on after the answer that is about to begin; if not, its client is told so, and what it
    /// says from now on is left unread.
    pub(super) fn says_keep(&mut self, conn: ConnId) -> bool {
        let keeps = self.keeps(conn);
        if let Some(client) = self.clients.get_mut(&conn).filter(|_| !keeps) {
            client.told_last = true;
            client.last = true;
        }
        self.update_reading(conn);
        keeps
    }

    /// Has a client read, or not, as it stands now.
    pub(super) fn update_reading(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let pauses = client.held_up || client.crowded || client.told_last;
        if std::mem::replace(&mut client.paused, pauses) != pauses {
            client.unread_since = Some(self.now).filter(|_| pauses).or(client.unread_since);
            self.out.push(if pauses { Output::Pause(conn) } else { Output::Resume(conn) });
        }
    }

    pub(super) fn arm_client(&mut self, conn: ConnId, wait: Micros) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if let Some(key) = client.timer.take() {
            self.timers.cancel(key);
        }
        client.timer = Some(self.timers.set(self.now + wait, Due::Client(conn)));
    }

    pub(super) fn drop_client(&mut self, conn: ConnId) -> Option<Client> {
        let client = self.clients.remove(&conn)?;
        if let Phase::Body(_, body) = &client.phase {
            self.bodies = self.bodies.saturating_sub(body.len() as u64);
        }
        if let Some(key) = client.timer {
            self.timers.cancel(key);
        }
        Some(client)
    }

    pub(super) fn write_client(&mut self, conn: ConnId, bytes: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(&conn) {
            if client.pending == 0 {
                client.stuck_since = self.now;
            }
            client.pending += bytes.len() as u64;
            self.out.push(Output::Write(conn, bytes));
        }
    }

    /// Closes a client that was answered though its request was not whole.
    pub(super) fn close_client(&mut self, conn: ConnId) {
        if self.drop_client(conn).is_some() {
            self.out.push(Output::Close(conn));
        }
    }

    /// Closes a client all of whose requests are answered.
    pub(super) fn close_answered(&mut self, conn: ConnId) {
        if self.drop_client(conn).is_some() {
            self.out.push(Output::CloseAnswered(conn));
        }
    }

    /// Whether so much waits for this client that its engine should not be read.
    pub(super) fn is_full(&self, conn: ConnId) -> bool {
        self.clients.get(&conn).is_some_and(|c| c.pending > self.config.bounds.client_buffer as u64)
    }

    /// Bytes were taken: a paused engine may be read again.
    pub(super) fn client_drained(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let low = client.pending <= self.config.bounds.client_buffer as u64 / 2;
        if low && std::mem::take(&mut client.held_up) {
            self.update_reading(conn);
            self.arm_client(conn, self.config.waits.head);
            return self.ready.push_back(conn);
        }
        if let (Phase::Serving(id), true) = (&client.phase, low) {
            let id = id.clone();
            self.resume_engine(&id);
        }
    }

    /// The client of a paused stream is watched.
    pub(super) fn watch_slow(&mut self, conn: ConnId) {
        self.arm_client(conn, self.config.waits.slow_client);
    }

    pub(super) fn client_due(&mut self, conn: ConnId) {
        let (wait, margin) = (self.config.waits.slow_client, self.is_full(conn));
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.timer = None;
        if client.held_up {
            if client.stuck_since + wait > self.now {
                return self.watch_slow(conn);
            }
            self.drop_client(conn);
            return self.out.push(Output::Abort(conn));
        }
        match &client.phase {
            Phase::Serving(id) => {
                let (id, stuck) = (id.clone(), client.stuck_since + wait <= self.now);
                if margin && stuck {
                    self.drop_client(conn);
                    self.out.push(Output::Abort(conn));
                    self.client_left(&id, Ended::ClientSlow);
                } else if margin {
                    self.watch_slow(conn);
                }
            }
            Phase::Head if client.decoder.is_idle() => self.close_if_quiet(conn),
            Phase::Head | Phase::Body(..) => {
                let body = error(ErrorKind::Invalid, "the request took too long to come").json();
                self.write_client(conn, encode::response(408, &[JSON], &body, false));
                self.close_client(conn);
            }
        }
    }

    pub(super) fn client_lost(&mut self, conn: ConnId) {
        let Some(client) = self.drop_client(conn) else { return };
        if let Phase::Serving(id) = client.phase {
            self.client_left(&id, Ended::ClientGone);
        }
    }
}
