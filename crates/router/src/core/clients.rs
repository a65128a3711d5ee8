//! Conversations with clients: requests taken, answers given, leaving noticed.

use chalkyard_api::client::ErrorKind;
use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::{encode, Decoder, Head, Part, Side};

use super::client_answers::JSON;
use super::record::Ended;
use super::requests::error;
use super::{ConnId, Core, Due, Output};
use crate::timers::Key;

#[derive(Debug)]
pub(super) enum Phase {
    /// Between requests, or within a head.
    Head,
    Body(Box<Head>, Vec<u8>),
    Serving(p::RequestId),
}

/// A client's connection.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) decoder: Decoder,
    pub(super) phase: Phase,
    pub(super) timer: Option<Key>,
    /// Bytes given to the shell and not yet taken by the system, and since when none was.
    pending: u64,
    stuck_since: Micros,
    /// Closed after the answer being given: by its wish, or since what follows can't be trusted.
    pub(super) last: bool,
    /// The connection's own error, answered after the present request.
    pub(super) wrong: Option<chalkyard_proto::Error>,
    /// So much waits for it that nothing more is read from it.
    held_up: bool,
    /// It has had an answer: it may be closed between two requests, as it knows.
    pub(super) used: bool,
    /// When it came, its last request ended, or its present one began.
    pub(super) since: Micros,
}

impl Client {
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Head) && self.decoder.is_idle()
    }

    pub fn wrote(&mut self, now: Micros, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
        self.stuck_since = now;
    }
}

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
        let client = Client {
            decoder: Decoder::new(Side::Request, self.config.bounds.client),
            phase: Phase::Head,
            timer: None,
            pending: 0,
            stuck_since: self.now,
            last: false,
            wrong: None,
            held_up: false,
            used: false,
            since: self.now,
        };
        self.clients.insert(conn, client);
        self.arm_client(conn, self.config.waits.first);
    }

    /// Makes room for a client: of those that have no request open the one that has said nothing for longest goes,
    /// first of those that never asked. A usual client asks soon after it has come.
    fn evict_client(&mut self) -> bool {
        if !self.config.bounds.evict {
            return false;
        }
        let unserved = self.clients.iter().filter(|(_, c)| !matches!(c.phase, Phase::Serving(_)));
        let first = unserved.min_by_key(|(_, c)| (!c.is_idle(), c.used, c.since)).map(|(id, _)| *id);
        let Some(conn) = first else { return false };
        self.drop_client(conn);
        self.count(|t| t.unheard += 1);
        self.out.push(Output::Abort(conn));
        true
    }

    /// Idle clients are closed; one that has just come is about to ask, and is heard first.
    pub(super) fn close_idle_clients(&mut self) {
        let idle: Vec<(ConnId, bool)> =
            self.clients.iter().filter(|(_, c)| c.is_idle()).map(|(id, c)| (*id, c.used)).collect();
        for (conn, used) in idle {
            if used {
                self.drop_client(conn);
                self.out.push(Output::Close(conn));
            } else {
                self.arm_client(conn, self.config.waits.just_come);
            }
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

    pub(super) fn close_client(&mut self, conn: ConnId) {
        if self.drop_client(conn).is_some() {
            self.out.push(Output::Close(conn));
        }
    }

    pub(super) fn client_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if client.wrong.is_some() {
            return;
        }
        let fresh = client.decoder.is_idle() && matches!(client.phase, Phase::Head);
        client.decoder.push(bytes);
        if let Phase::Serving(_) = client.phase {
            if let Err(e) = client.decoder.check_pipelined() {
                client.wrong = Some(e);
                self.out.push(Output::Pause(conn));
            }
            return;
        }
        if fresh {
            client.since = self.now;
            // A client's first request has no longer than was left of its time.
            let left = client.timer.filter(|_| !client.used).map(|(due, _)| due - self.now);
            let wait = self.config.waits.head;
            self.arm_client(conn, left.map_or(wait, |left| left.min(wait)));
        }
        self.drive_client(conn);
    }

    /// Reads on until a request is whole or more bytes are needed.
    pub(super) fn drive_client(&mut self, conn: ConnId) {
        loop {
            let full = self.is_full(conn);
            let Some(client) = self.clients.get_mut(&conn) else { return };
            if matches!(client.phase, Phase::Serving(_)) {
                return;
            }
            // One that asks on and takes no answers is not heard until it does.
            if full {
                if !std::mem::replace(&mut client.held_up, true) && client.wrong.is_none() {
                    self.out.push(Output::Pause(conn));
                }
                return self.watch_slow(conn);
            }
            let part = match client.wrong {
                Some(e) => Err(e),
                None => client.decoder.next_part(),
            };
            match part {
                Ok(Some(Part::Head(head))) => {
                    let wants_continue = head.expects_continue;
                    client.phase = Phase::Body(head, Vec::new());
                    if wants_continue {
                        self.write_client(conn, encode::CONTINUE.to_vec());
                    }
                }
                Ok(Some(Part::Data(data))) => {
                    if let Phase::Body(_, body) = &mut client.phase {
                        self.bodies += data.len() as u64;
                        body.extend(data);
                    }
                    if self.bodies > self.config.bounds.bodies {
                        if let Phase::Body(_, body) = std::mem::replace(&mut client.phase, Phase::Head) {
                            self.bodies = self.bodies.saturating_sub(body.len() as u64);
                        }
                        self.note(
                            "bodies",
                            "more bytes of requests than may wait; one is turned away".into(),
                        );
                        self.answer_error(conn, 503, &error(ErrorKind::Refused, "too much to read at once"));
                        return self.close_client(conn);
                    }
                }
                Ok(Some(Part::End)) => {
                    if let Phase::Body(head, body) = std::mem::replace(&mut client.phase, Phase::Head) {
                        client.last |= !head.keep_alive;
                        self.begin(conn, &head, body);
                    }
                }
                Ok(None) => return,
                Err(e) => {
                    let body = error(ErrorKind::Invalid, e.reason.text()).json();
                    self.write_client(conn, encode::response(e.reason.status(), &[JSON], &body, false));
                    return self.close_client(conn);
                }
            }
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
            if client.wrong.is_none() {
                self.out.push(Output::Resume(conn));
            }
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
            Phase::Head if client.decoder.is_idle() => {
                self.close_client(conn);
            }
            Phase::Head | Phase::Body(..) => {
                let body = error(ErrorKind::Invalid, "the request took too long to come").json();
                self.write_client(conn, encode::response(408, &[JSON], &body, false));
                self.close_client(conn);
            }
        }
    }

    /// A client that closes its side is taken to leave; should it still listen, it gets its one answer.
    pub(super) fn client_eof(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.last = true;
        if let Phase::Serving(id) = &client.phase {
            let id = id.clone();
            self.half_closed(&id);
            return self.close_client(conn);
        }
        client.decoder.close();
        // What a client has asked that takes no answers, and is not heard for it, has gone with it.
        if !client.is_idle() && !client.held_up {
            self.drive_client(conn);
        }
        // What was begun before the close has been answered above or is being served.
        let serving = self.clients.get(&conn).is_some_and(|c| matches!(c.phase, Phase::Serving(_)));
        if !serving {
            self.close_client(conn);
        }
    }

    pub(super) fn client_lost(&mut self, conn: ConnId) {
        let Some(client) = self.drop_client(conn) else { return };
        if let Phase::Serving(id) = client.phase {
            self.client_left(&id, Ended::ClientGone);
        }
    }
}
