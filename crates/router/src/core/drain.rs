//! Graceful shutdown and drain: until when requests are accepted, and how connections with clients end.
//!
//! A draining router that has a dialect serves the requests of which the last byte arrives within
//! [`crate::Timeouts::drain_grace`]. It rejects those that are completed later: nothing of them has run, and the process
//! may be killed before their streams end. Without a dialect, a draining router rejects all requests.

use chalkyard_api::client::{ErrorBody, ErrorKind};
use chalkyard_policy::Micros;
use chalkyard_proto::encode;

use super::client_answers::{error, JSON};
use super::client_connection::ClientConnection;
use super::{ConnId, Core, Output, TimerEvent};

/// Answer to a request that comes too late to be served before the process ends.
pub(super) fn stopping_error() -> ErrorBody {
    error(ErrorKind::Refused, "this router is stopping")
}

impl Core {
    /// Begins the graceful shutdown. Health checks fail from now on, but requests are still accepted until clients
    /// have noticed.
    pub fn begin_shutdown(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.shutdown_since = Some(self.now);
        if let Some(migration) = self.config.timeouts.migration {
            self.timers.set(self.now + migration.from, TimerEvent::Migration);
        }
    }

    /// Rejects new requests; open requests continue. Closes idle clients, and gives the others a limited time to
    /// complete the request that they are sending.
    pub fn drain(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.draining_since = Some(self.now);
        self.close_idle_clients();
        self.limit_unfinished_requests();
        self.process_events();
        out.append(&mut self.outputs);
    }

    /// Resumes accepting requests.
    pub fn undrain(&mut self) {
        self.draining_since = None;
        for client in self.clients.values_mut() {
            client.late_bytes = 0;
        }
    }

    /// Whether new requests are rejected.
    pub(super) fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Whether a request whose last byte arrives now comes too late to be served.
    pub(super) fn is_past_drain_grace(&self) -> bool {
        self.draining_since.is_some_and(|since| since + self.config.timeouts.drain_grace < self.now)
    }

    /// Time for a client to complete a request that it begins now.
    pub(super) fn request_timeout(&self) -> Micros {
        let timeouts = &self.config.timeouts;
        match self.draining_since {
            Some(since) => timeouts.request.min(since + timeouts.drain_receive - self.now),
            None => timeouts.request,
        }
    }

    /// Closes idle clients. A client that has just connected is about to send a request and gets a short time to do
    /// so.
    fn close_idle_clients(&mut self) {
        for conn in self.clients_where(ClientConnection::is_idle) {
            if self.clients.get(&conn).is_some_and(|client| client.has_been_answered) {
                self.close_if_quiet(conn);
            } else {
                self.set_client_timer(conn, self.config.timeouts.drain_grace);
            }
        }
    }

    /// Bounds the time in which clients may complete the requests that they are sending.
    fn limit_unfinished_requests(&mut self) {
        for conn in self.clients_where(ClientConnection::is_receiving) {
            let timer = self.clients.get(&conn).and_then(|client| client.timer);
            let left = timer.map_or(self.config.timeouts.request, |key| key.due - self.now);
            self.set_client_timer(conn, left.min(self.config.timeouts.drain_receive));
        }
    }

    /// Ends all connections without an open request, because the process is about to end: closes idle clients and rejects
    /// the requests of which only a part has arrived.
    pub(super) fn end_waiting_clients(&mut self) {
        self.draining_since.get_or_insert(self.now);
        self.close_idle_clients();
        for conn in self.clients_where(ClientConnection::is_receiving) {
            self.reject_unfinished(conn);
        }
    }

    /// Rejects a request of which only a part has arrived in time, and closes its connection. Complete requests ahead of
    /// it are answered first.
    pub(super) fn reject_unfinished(&mut self, conn: ConnId) {
        self.read_requests(conn);
        if !self.clients.get(&conn).is_some_and(ClientConnection::is_receiving) {
            return;
        }
        self.update_tally(|tally| tally.dropped_clients += 1);
        self.write_client(conn, encode::response(503, &[JSON], &stopping_error().json(), false));
        self.close_client(conn);
    }

    fn clients_where(&self, condition: impl Fn(&ClientConnection) -> bool) -> Vec<ConnId> {
        self.clients.iter().filter(|(_, client)| condition(client)).map(|(conn, _)| *conn).collect()
    }
}
