//! Bytes of clients, read until their requests are whole.

use chalkyard_api::client::ErrorKind;
use chalkyard_proto::{encode, Part};

use super::client_answers::{error, JSON};
use super::client_connection::Phase;
use super::{ConnId, Core};

impl Core {
    pub(super) fn client_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        self.stays(conn);
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let came = client.unread_since.take().unwrap_or(self.now);
        if client.decoder.is_idle() {
            client.waiting_since = came;
        }
        let fresh = client.decoder.is_idle() && matches!(client.phase, Phase::Head);
        client.decoder.push(bytes);
        if let Phase::Serving(_) = client.phase {
            client.crowded = client.decoder.is_crowded();
            return self.update_reading(conn);
        }
        if fresh {
            client.since = came;
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
                client.crowded = client.decoder.is_crowded();
                return self.update_reading(conn);
            }
            // One that asks on and takes no answers is not heard until it does.
            if full {
                client.held_up = true;
                self.update_reading(conn);
                return self.watch_slow(conn);
            }
            match client.decoder.next_part() {
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
                        return self.reject_body(conn);
                    }
                }
                Ok(Some(Part::End)) => {
                    if let Phase::Body(head, body) = std::mem::replace(&mut client.phase, Phase::Head) {
                        client.last |= !head.keep_alive;
                        self.begin(conn, &head, body);
                    }
                }
                Ok(None) => break,
                Err(e) => {
                    let body = error(ErrorKind::Invalid, e.reason.text()).json();
                    self.write_client(conn, encode::response(e.reason.status(), &[JSON], &body, false));
                    return self.close_client(conn);
                }
            }
        }
        // All that had come is taken: there is room for more.
        if let Some(client) = self.clients.get_mut(&conn) {
            client.crowded = false;
        }
        self.update_reading(conn);
    }

    /// All bodies together are longer than may wait: the one that is being read is dropped, and its client told.
    fn reject_body(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        if let Phase::Body(_, body) = std::mem::replace(&mut client.phase, Phase::Head) {
            self.bodies = self.bodies.saturating_sub(body.len() as u64);
        }
        self.note("bodies", "more bytes of requests than may wait; one is turned away".into());
        self.answer_error(conn, 503, &error(ErrorKind::Refused, "too much to read at once"));
        self.close_client(conn);
    }

    /// A client that closes its side is taken to leave; should it still listen, it gets its one answer.
    pub(super) fn client_eof(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.last = true;
        if let Phase::Serving(id) = &client.phase {
            let id = id.clone();
            self.half_closed(&id);
            return self.close_answered(conn);
        }
        client.decoder.close();
        // What a client has asked that takes no answers, and is not heard for it, has gone with it.
        if !client.is_idle() && !client.held_up {
            self.drive_client(conn);
        }
        // What was begun before the close has been answered above or is being served.
        let serving = self.clients.get(&conn).is_some_and(|c| matches!(c.phase, Phase::Serving(_)));
        if !serving {
            self.close_answered(conn);
        }
    }
}
