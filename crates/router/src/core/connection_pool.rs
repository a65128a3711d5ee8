//! Pool of connections to workers: opened, kept alive, reused, bounded and closed.
//!
//! `Core::connections` and `Core::workers` are written here; the endpoint list adds and removes workers.
//! [`crate::Bounds::worker_connections`] and [`crate::Bounds::connections_per_worker`] bound the connections. No
//! connection outlives the process.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkyard_policy as p;
use chalkyard_policy::Micros;
use chalkyard_proto::{Decoder, Side};

use super::attempt::ReplyState;
use super::worker_connection::{Payload, Reuse, Task, WorkerConnection};
use super::{ConnId, Core, Output, TimerEvent};

/// Maximum time from encoding an attempt's call until the operating system has accepted its last byte. A worker may
/// be told 0.15 s more than the time left; the rest of that margin is for the network.
const CALL_WRITE_TIMEOUT: Micros = Micros(100_000);

impl Core {
    /// Writes a call on an idle connection or on a new one, which carries `task` from then on. Returns `None` if the
    /// connections are at their bound, which `spare` raises.
    pub(super) fn start_call(
        &mut self,
        worker: &p::WorkerId,
        task: Task,
        call: Payload,
        spare: usize,
    ) -> Option<ConnId> {
        let idle_timeout = self.idle_timeout.current(self.now, self.config.timeouts.worker_idle);
        let endpoint = self.workers.get_mut(worker)?;
        while let Some(conn) = endpoint.idle.pop() {
            let Some(connection) = self.connections.get_mut(&conn) else { continue };
            let idle = self.now - connection.idle_since;
            if idle > idle_timeout {
                // The connections below it on the stack have been idle for longer.
                self.abort_connection(conn);
                self.close_idle_connections(worker);
                break;
            }
            connection.reused = Some(Reuse { idle, at: self.now });
            if let Some(key) = connection.timer.take() {
                self.timers.cancel(key);
            }
            connection.task = task;
            self.write_call(conn, call);
            return Some(conn);
        }
        let endpoint = self.workers.get(worker)?;
        if endpoint.open >= self.config.bounds.connections_per_worker + spare {
            return None;
        }
        let address = endpoint.address;
        let is_full = self.connections.len() >= self.config.bounds.worker_connections.saturating_add(spare);
        if is_full && !self.close_oldest_idle() {
            return None;
        }
        self.workers.get_mut(worker)?.open += 1;
        Some(self.open_connection(Some(worker.clone()), address, task, call))
    }

    /// Learns the workers' idle timeout from a call that was lost before any byte of its reply was read.
    pub(super) fn learn_idle_timeout(&mut self, connection: &WorkerConnection) {
        let awaits_reply =
            matches!(connection.task, Task::Attempt(_, _, ReplyState::AwaitingHead) | Task::Release(..));
        let unanswered = awaits_reply && connection.decoder.is_idle();
        if let Some(reuse) = connection.reused.filter(|_| unanswered) {
            let configured = self.config.timeouts.worker_idle;
            self.idle_timeout.learn(self.now, configured, reuse.idle, self.now - reuse.at);
        }
    }

    /// Makes room for a connection by closing the one that has been idle for longest. Returns false if all are in
    /// use.
    fn close_oldest_idle(&mut self) -> bool {
        let oldest = self.workers.values().filter_map(|e| e.idle.first());
        let oldest = oldest.min_by_key(|conn| self.connections.get(conn).and_then(|c| c.timer)).copied();
        oldest.map(|conn| self.abort_connection(conn)).is_some()
    }

    /// Opens a connection and writes a call on it once it is established.
    pub(super) fn open_connection(
        &mut self,
        worker: Option<p::WorkerId>,
        address: SocketAddr,
        task: Task,
        call: Payload,
    ) -> ConnId {
        let conn = ConnId(self.next_connection);
        self.next_connection += 2;
        self.update_tally(|t| t.connects += u64::from(worker.is_some()));
        let timeout = self.now + self.config.timeouts.connect;
        let timer = self.timers.set(timeout, TimerEvent::Connection(conn));
        let decoder = Decoder::new(Side::Response, self.config.bounds.worker);
        self.connections.insert(conn, WorkerConnection::new(worker, decoder, task, call, timer));
        self.outputs.push(Output::Connect(conn, address));
        conn
    }

    /// Writes the pending call of a connection that was just established.
    pub(super) fn connection_established(&mut self, conn: ConnId) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Some(key) = connection.timer.take() {
            self.timers.cancel(key);
        }
        let call = connection.pending_call.take();
        match connection.task {
            Task::Idle => self.return_to_pool(conn),
            Task::WatchEndpoints(_) | Task::PollEndpoints(_) => self.set_discovery_timer(conn),
            // The policy sets no timeout for calls that are not attempts.
            Task::Release(..) => self.limit_reply(conn),
            Task::Attempt(..) | Task::DrainReply => {}
        }
        if let Some(call) = call {
            self.write_call(conn, call);
        }
    }

    /// Writes a call on an established connection.
    fn write_call(&mut self, conn: ConnId, call: Payload) {
        let task = self.connections.get(&conn).map(|c| &c.task);
        let (bytes, is_attempt) = match (call, task) {
            (Payload::Bytes(bytes), _) => (bytes, false),
            (Payload::AttemptCall, Some(Task::Attempt(id, no, _))) => {
                let (id, no) = (id.clone(), *no);
                // The attempt is open; the connection of an ended attempt would be closed.
                (self.encode_attempt(&id, no).unwrap_or_default(), true)
            }
            (Payload::AttemptCall, _) => return,
        };
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.written = 0;
            connection.call_size = bytes.len() as u64;
        }
        self.outputs.push(Output::Write(conn, bytes));
        if is_attempt {
            self.limit_call_write(conn);
        }
    }

    /// Gives up an attempt's call that is not written within [`CALL_WRITE_TIMEOUT`]. The call names a timeout that
    /// the worker counts from the last byte and that would otherwise end past the deadline.
    fn limit_call_write(&mut self, conn: ConnId) {
        if self.config.dialect.is_none() {
            // Without a dialect the call names no timeout.
            return;
        }
        self.set_connection_timer(conn, CALL_WRITE_TIMEOUT);
    }

    /// Records that the operating system has accepted bytes of a call.
    pub(super) fn call_bytes_written(&mut self, conn: ConnId, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.written += bytes;
        let is_complete =
            connection.written >= connection.call_size && matches!(connection.task, Task::Attempt(..));
        if let Some(timer) = connection.timer.take_if(|_| is_complete) {
            self.timers.cancel(timer);
        }
    }

    /// Gives up a connection that is not established within `timeout`. An established connection is left unchanged.
    pub(super) fn limit_connect(&mut self, conn: ConnId, timeout: Micros) {
        let is_established = self.connections.get(&conn).is_none_or(|c| c.pending_call.is_none());
        if timeout >= self.config.timeouts.connect || is_established {
            return;
        }
        self.set_connection_timer(conn, timeout);
    }

    /// Gives up a reply that is not complete within the timeout for small calls.
    pub(super) fn limit_reply(&mut self, conn: ConnId) {
        self.set_connection_timer(conn, self.config.timeouts.release);
    }

    fn set_connection_timer(&mut self, conn: ConnId, timeout: Micros) {
        let timer = self.timers.set(self.now + timeout, TimerEvent::Connection(conn));
        if let Some(old) = self.connections.get_mut(&conn).and_then(|c| c.timer.replace(timer)) {
            self.timers.cancel(old);
        }
    }

    /// Handles the timer of a connection that is not established, of a call that is not written or of a small reply.
    pub(super) fn connection_timed_out(&mut self, conn: ConnId) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        // An attempt whose reply began before the call's last byte was written has run, so the timeout in its call
        // does not matter any more.
        let is_answered = matches!(
            &connection.task,
            Task::Attempt(_, _, reply) if !matches!(reply, ReplyState::AwaitingHead)
        );
        if is_answered {
            connection.timer = None;
            return;
        }
        self.outputs.push(Output::Abort(conn));
        self.connection_lost(conn);
    }

    /// Closes a connection that has reached its idle timeout.
    pub(super) fn idle_connection_timed_out(&mut self, conn: ConnId) {
        if self.connections.get(&conn).is_some_and(|c| matches!(c.task, Task::Idle)) {
            self.abort_connection(conn);
        }
    }

    /// Returns a connection to the pool after a complete reply, or closes it if it cannot be reused.
    pub(super) fn return_to_pool(&mut self, conn: ConnId) {
        let max_idle = self.config.bounds.idle_per_worker;
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Some(key) = connection.timer.take() {
            self.timers.cancel(key);
        }
        let endpoint = connection.worker.as_ref().and_then(|w| self.workers.get_mut(w));
        let endpoint = endpoint.filter(|e| e.listed && e.idle.len() < max_idle && connection.is_reusable());
        let Some(endpoint) = endpoint else { return self.abort_connection(conn) };
        endpoint.idle.push(conn);
        connection.task = Task::Idle;
        connection.idle_since = self.now;
        let timeout = self.now + self.config.timeouts.worker_idle;
        connection.timer = Some(self.timers.set(timeout, TimerEvent::IdleConnection(conn)));
    }

    /// Closes a connection whose task has ended or does not matter any more.
    pub(super) fn abort_connection(&mut self, conn: ConnId) {
        if self.remove_connection(conn).is_some() {
            self.outputs.push(Output::Abort(conn));
        }
    }

    /// Removes a connection that is closed or about to be closed.
    pub(super) fn remove_connection(&mut self, conn: ConnId) -> Option<WorkerConnection> {
        let connection = self.connections.remove(&conn)?;
        if let Some(key) = connection.timer {
            self.timers.cancel(key);
        }
        if let Some(worker) = &connection.worker {
            if let Some(endpoint) = self.workers.get_mut(worker) {
                endpoint.open = endpoint.open.saturating_sub(1);
                endpoint.idle.retain(|c| *c != conn);
            }
            self.remove_unused_worker(worker);
        }
        Some(connection)
    }

    /// Removes a worker that the endpoint list no longer contains, once it has neither a connection nor a
    /// reservation, which may still have to be released.
    pub(super) fn remove_unused_worker(&mut self, worker: &p::WorkerId) {
        let is_unused = self.workers.get(worker).is_some_and(|e| !e.listed && e.open == 0);
        if is_unused && !self.requests.values().any(|r| r.has_reservation_at(worker)) {
            self.workers.remove(worker);
        }
    }

    /// Closes a worker's idle connections.
    pub(super) fn close_idle_connections(&mut self, worker: &p::WorkerId) {
        let idle = self.workers.get_mut(worker).map(|e| std::mem::take(&mut e.idle));
        for conn in idle.unwrap_or_default() {
            self.abort_connection(conn);
        }
    }

    /// `Host` header of calls to a worker.
    pub(super) fn host_header(&self, worker: &p::WorkerId) -> Arc<str> {
        self.workers.get(worker).map(|e| e.host.clone()).unwrap_or_default()
    }
}
