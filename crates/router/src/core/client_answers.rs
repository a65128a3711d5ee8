//! Output to clients: errors, answers in one body, streams of the router's own events and forwarded streams.

use chalkyard_api::client::{self, ErrorBody, ErrorKind};
use chalkyard_policy as p;
use chalkyard_proto::encode;

use super::{ConnId, Core};

/// Content type of all answers that are not streams.
pub(super) const JSON: (&str, &str) = ("content-type", "application/json");

/// Error of the router which says that nothing has run.
pub(super) fn error(kind: ErrorKind, reason: impl Into<String>) -> ErrorBody {
    ErrorBody { kind, reason: reason.into(), field: None, may_have_run: false, retry_after: None }
}

impl Core {
    /// Whether a connection stays open after the current answer. While draining, it stays open if part of its next
    /// request was already read, because a request that was read is answered.
    pub(super) fn is_kept_alive(&self, conn: ConnId) -> bool {
        let Some(client) = self.clients.get(&conn) else { return false };
        !client.close_after_answer && (!self.is_draining() || !client.decoder.is_idle())
    }

    pub(super) fn answer_error(&mut self, conn: ConnId, status: u16, body: &ErrorBody) {
        let keep_alive = self.announce_keep_alive(conn);
        // Decimal seconds in a dialect, otherwise whole seconds, rounded up.
        let decimal = self.config.dialect.is_some();
        let after =
            body.retry_after.map(|s| if decimal { format!("{s:.3}") } else { format!("{}", s.ceil()) });
        // In a dialect, 429 and 503 say that a retry is safe, which is certain only for a rejection.
        let refused = body.kind == ErrorKind::Refused || !decimal;
        let status = if refused || !matches!(status, 429 | 503) { status } else { 500 };
        let mut fields = vec![JSON];
        if let Some(after) = &after {
            fields.push(("retry-after", after));
        }
        self.write_client(conn, encode::response(status, &fields, &body.json(), keep_alive));
        self.finish_answer(conn);
    }

    /// Ends the current answer: waits for the next request, or closes the connection.
    pub(super) fn finish_answer(&mut self, conn: ConnId) {
        let keep_alive = self.is_kept_alive(conn);
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.start_next_request(self.now);
        if client.close_after_answer {
            return self.close_answered(conn);
        }
        if !keep_alive {
            // The client was told that the connection stays open.
            return self.close_if_quiet(conn);
        }
        let timeout =
            if client.decoder.is_idle() { self.config.timeouts.idle } else { self.request_timeout() };
        self.set_client_timer(conn, timeout);
        self.pending_clients.push_back(conn);
    }

    /// Writes the head of a stream and its first event.
    pub(super) fn open_stream(&mut self, conn: ConnId, id: &p::RequestId, model: &str) {
        let fields =
            [("content-type", "text/event-stream"), ("cache-control", "no-store"), ("x-request-id", &*id.0)];
        let keep_alive = self.announce_keep_alive(conn);
        let mut bytes = encode::chunked_head(200, &fields, keep_alive);
        push_event(&mut bytes, &client::Event::Opened { id: &id.0, model });
        self.write_client(conn, bytes);
    }

    pub(super) fn stream_event(&mut self, conn: ConnId, event: &client::Event<'_>) {
        let mut bytes = Vec::with_capacity(128);
        push_event(&mut bytes, event);
        self.write_client(conn, bytes);
    }

    /// Writes the last event and the end of the response.
    pub(super) fn end_stream(&mut self, conn: ConnId, event: &client::Event<'_>) {
        let mut bytes = Vec::with_capacity(256);
        push_event(&mut bytes, event);
        bytes.extend_from_slice(encode::LAST_CHUNK);
        self.write_client(conn, bytes);
        self.finish_answer(conn);
    }

    /// Writes bytes of a forwarded stream unchanged, after a response head if the stream begins.
    pub(super) fn write_forwarded(&mut self, conn: ConnId, first: bool, data: &[u8]) {
        let mut bytes = Vec::with_capacity(data.len() + 192);
        if first {
            let fields = [("content-type", "text/event-stream"), ("cache-control", "no-store")];
            bytes = encode::chunked_head(200, &fields, self.announce_keep_alive(conn));
        }
        encode::chunk(&mut bytes, data);
        self.write_client(conn, bytes);
    }

    /// Ends a forwarded stream that is complete.
    pub(super) fn end_forwarded(&mut self, conn: ConnId) {
        self.write_client(conn, encode::LAST_CHUNK.to_vec());
        self.finish_answer(conn);
    }

    pub(super) fn write_body_answer(
        &mut self,
        conn: ConnId,
        id: &p::RequestId,
        answer: &client::CompleteAnswer<'_>,
    ) {
        let body = serde_json::to_vec(answer).unwrap_or_default();
        let keep_alive = self.announce_keep_alive(conn);
        self.write_client(conn, encode::response(200, &[JSON, ("x-request-id", &*id.0)], &body, keep_alive));
        self.finish_answer(conn);
    }
}

fn push_event(bytes: &mut Vec<u8>, event: &client::Event<'_>) {
    let mut text = Vec::with_capacity(128);
    chalkyard_proto::sse::write(&mut text, event.name(), None, &event.json());
    encode::chunk(bytes, &text);
}
