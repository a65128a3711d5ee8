//! Bytes from clients, read until their requests are complete.

use chalkyard_api::client::ErrorKind;
use chalkyard_proto::{encode, Part, Reason};

use super::client_answers::{error, JSON};
use super::client_connection::ClientPhase;
use super::received_body::ReceivedBody;
use super::{ConnId, Core};

impl Core {
    pub(super) fn client_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        self.cancel_close_if_quiet(conn);
        let (is_late, timeout) = (self.is_past_drain_grace(), self.request_timeout());
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let came_at = client.unread_since.take().unwrap_or(self.now);
        if client.decoder.is_idle() {
            client.next_request_since = came_at;
        }
        let begins_request = client.is_idle();
        client.decoder.push(bytes);
        if is_late {
            client.late_bytes += bytes.len();
        }
        if let ClientPhase::Serving(_) = client.phase {
            client.pipeline_full = client.decoder.is_over_pipeline_limit();
            return self.update_reading(conn);
        }
        if begins_request {
            client.phase_since = came_at;
            // A client's first request must arrive in the time left to its connection, which a drain shortens for those
            // that have not begun a request.
            let is_limited = !client.has_been_answered && self.draining_since.is_none();
            let left = client.timer.filter(|_| is_limited).map(|key| key.due - self.now);
            self.set_client_timer(conn, left.map_or(timeout, |left| left.min(timeout)));
        }
        self.read_requests(conn);
    }

    /// Reads until a request is complete or more bytes are needed.
    pub(super) fn read_requests(&mut self, conn: ConnId) {
        loop {
            let is_full = self.is_send_buffer_full(conn);
            let Some(client) = self.clients.get_mut(&conn) else { return };
            if matches!(client.phase, ClientPhase::Serving(_)) {
                client.pipeline_full = client.decoder.is_over_pipeline_limit();
                return self.update_reading(conn);
            }
            // A client that sends requests without reading its answers is not read until it has read them.
            if is_full {
                client.output_full = true;
                self.update_reading(conn);
                return self.set_slow_client_timer(conn);
            }
            match client.decoder.next_part() {
                Ok(Some(Part::Head(head))) => {
                    let expects_continue = head.expects_continue;
                    client.phase = ClientPhase::ReadingBody(head, ReceivedBody::default());
                    if expects_continue {
                        self.write_client(conn, encode::CONTINUE.to_vec());
                    }
                }
                Ok(Some(Part::Data(data))) => {
                    if let ClientPhase::ReadingBody(_, body) = &mut client.phase {
                        self.body_bytes += body.extend(&data);
                    }
                    if self.body_bytes > self.config.bounds.pending_body_bytes {
                        return self.reject_body(conn);
                    }
                }
                Ok(Some(Part::End)) => {
                    let phase = std::mem::replace(&mut client.phase, ClientPhase::ReadingHead);
                    if let ClientPhase::ReadingBody(head, body) = phase {
                        client.close_after_answer |= !head.keep_alive;
                        self.body_bytes = self.body_bytes.saturating_sub(body.counted_bytes());
                        self.request_received(conn, &head, body.into_bytes());
                    }
                }
                Ok(None) => break,
                Err(error) => return self.reject_malformed(conn, error.reason),
            }
        }
        // All received bytes were read, so there is room for more.
        if let Some(client) = self.clients.get_mut(&conn) {
            client.pipeline_full = false;
        }
        self.update_reading(conn);
    }

    fn reject_malformed(&mut self, conn: ConnId, reason: Reason) {
        let body = error(ErrorKind::Invalid, reason.text()).json();
        self.write_client(conn, encode::response(reason.status(), &[JSON], &body, false));
        self.close_client(conn);
    }

    /// Rejects the request whose body is being read, because all request bodies together exceed their bound. The body
    /// is dropped.
    fn reject_body(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let phase = std::mem::replace(&mut client.phase, ClientPhase::ReadingHead);
        if let ClientPhase::ReadingBody(_, body) = phase {
            self.body_bytes = self.body_bytes.saturating_sub(body.counted_bytes());
        }
        self.note("bodies", "request bodies exceed their total bound; one request was rejected".into());
        self.answer_error(conn, 503, &error(ErrorKind::Refused, "too much to read at once"));
        self.close_client(conn);
    }

    /// Handles a client that has closed its sending side, which is treated as leaving. A client that still reads gets
    /// its one answer.
    pub(super) fn client_eof(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.close_after_answer = true;
        if let ClientPhase::Serving(id) = &client.phase {
            let id = id.clone();
            self.client_half_closed(&id);
            return self.close_answered(conn);
        }
        client.decoder.close();
        // Requests of a client that is not read because it does not read its answers are no longer started.
        if !client.is_idle() && !client.output_full {
            self.read_requests(conn);
        }
        // Requests received before the close were answered above or are being served.
        let is_serving = self.clients.get(&conn).is_some_and(|c| matches!(c.phase, ClientPhase::Serving(_)));
        if !is_serving {
            self.close_answered(conn);
        }
    }
}
