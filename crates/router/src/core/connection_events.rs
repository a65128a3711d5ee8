//! Events on connections to workers and to service discovery: bytes, end of stream and loss.

use chalkyard_policy::Outcome;
use chalkyard_proto::Reason;

use super::worker_connection::Task;
use super::{ConnId, Core, Output};

impl Core {
    pub(super) fn worker_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        match &mut connection.task {
            // The bytes are a second reply to one call: the first reply may be trusted, the connection may not.
            Task::Idle => {
                self.note("engine", "unexpected bytes on an idle connection; connection closed".into());
                self.abort_connection(conn);
            }
            // No byte of the connection's call was written yet, so the bytes are no reply to it.
            _ if connection.written == 0 => {
                self.note("engine", "bytes arrived before the call was sent; connection closed".into());
                self.outputs.push(Output::Abort(conn));
                self.connection_lost(conn);
            }
            _ => {
                connection.decoder.push(bytes);
                self.read_replies(conn);
            }
        }
    }

    pub(super) fn worker_eof(&mut self, conn: ConnId) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if matches!(connection.task, Task::Idle) {
            return self.abort_connection(conn);
        }
        connection.decoder.close();
        self.read_replies(conn);
        // If the connection still exists, the rest of its reply will not arrive.
        if self.connections.contains_key(&conn) {
            self.outputs.push(Output::Abort(conn));
            self.connection_lost(conn);
        }
    }

    /// Handles a reply that cannot be read further because it is cut short or malformed.
    pub(super) fn reply_unreadable(&mut self, conn: ConnId, reason: Reason) {
        if reason == Reason::Truncated {
            self.outputs.push(Output::Abort(conn));
            return self.connection_lost(conn);
        }
        let Some(connection) = self.remove_connection(conn) else { return };
        self.outputs.push(Output::Abort(conn));
        match connection.task {
            Task::Attempt(id, no, _) => self.end_attempt(&id, no, Outcome::ServerError, 0),
            other => self.call_lost(conn, other),
        }
    }

    /// Handles the loss of a connection. Its call may have run if the operating system had accepted any byte of it.
    /// In a dialect, whose workers begin with the last byte, the call may have run if the operating system had
    /// accepted all of it. Idle connections to the same worker are closed too: they are as old, and each could cost
    /// an attempt if the worker is gone.
    pub(super) fn connection_lost(&mut self, conn: ConnId) {
        let Some(connection) = self.remove_connection(conn) else { return };
        self.learn_idle_timeout(&connection);
        if let Some(worker) = &connection.worker {
            self.close_idle_connections(worker);
        }
        let needed = if self.config.dialect.is_some() { connection.call_size } else { 1 };
        let may_have_arrived = connection.pending_call.is_none() && connection.written >= needed;
        match connection.task {
            // A reused connection was lost before a byte of this call was written. Workers may close idle
            // connections, which says nothing about whether the worker runs. The call is placed again, as part of the
            // same attempt.
            Task::Attempt(id, no, _) if connection.reused.is_some() && connection.written == 0 => {
                self.place_call(&id, no);
            }
            Task::Attempt(id, no, _) => {
                let outcome = if may_have_arrived { Outcome::ConnectionLost } else { Outcome::NoConnection };
                self.end_attempt(&id, no, outcome, 0);
            }
            other => self.call_lost(conn, other),
        }
    }

    /// Handles a connection that could not be started because this process has no descriptors or ports left.
    pub(super) fn connection_not_started(&mut self, conn: ConnId) {
        let Some(connection) = self.remove_connection(conn) else { return };
        match connection.task {
            Task::Attempt(id, no, _) => self.end_attempt(&id, no, Outcome::NotSent, 0),
            other => self.call_lost(conn, other),
        }
    }

    /// Handles the failure of a call that is not an attempt.
    fn call_lost(&mut self, conn: ConnId, task: Task) {
        match task {
            Task::Release(release) => self.release_failed(release),
            Task::WatchEndpoints(_) | Task::PollEndpoints(_) => self.discovery_lost(conn),
            Task::Idle | Task::Attempt(..) | Task::DrainReply => {}
        }
    }
}
