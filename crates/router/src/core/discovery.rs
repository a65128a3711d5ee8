//! Service discovery: calls for the endpoint list, and what is learned from their answers.
//!
//! Our own service discovery is watched: one call, whose answer is a stream of events. A dialect's is polled: one call after
//! the other, each answered once there is a change.

use std::net::SocketAddr;

use chalkyard_policy as p;
use chalkyard_policy::{Event, Micros};
use chalkyard_proto::{encode, sse, Part, Start};

use super::worker_connection::{Payload, Task, WorkerConnection, WorkerEndpoint};
use super::{ConnId, Core, Output, TimerEvent};
use crate::dialect::{Endpoint, EndpointList};
use crate::discovery::{EndpointUpdateError, KnownEndpoints};

/// Bytes of an endpoint list.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Service discovery is polled again so long after a call to it has failed.
const POLL_PAUSE: Micros = Micros(100_000);

/// What is known of the endpoint list and of its source. Written by this module and at the start, read by views and records.
/// The list is bounded by [`crate::Bounds::workers`]; after a crash the stored list is read again.
#[derive(Debug)]
pub(super) struct DiscoveryState {
    /// The list in the form in which it is stored; empty where a dialect reads it.
    pub(super) endpoints: KnownEndpoints,
    /// The connection to service discovery.
    pub(super) connection: Option<ConnId>,
    /// The newest version of the list, where a dialect reads it. None: the complete list is asked for.
    pub(super) version: Option<u64>,
    /// When the last poll was sent.
    polled_at: Micros,
    /// Whether that poll may wait for a change.
    long_poll: bool,
    /// The last call has failed, or the address has changed since.
    needs_probe: bool,
    /// When the list last changed.
    pub(super) changed_at: Option<Micros>,
    /// When an event was last found to be lost.
    last_gap_at: Option<Micros>,
    /// A list is known, be it an old one.
    pub(super) has_list: bool,
}

impl Default for DiscoveryState {
    fn default() -> Self {
        Self {
            endpoints: KnownEndpoints::default(),
            connection: None,
            version: None,
            polled_at: Micros(0),
            long_poll: true,
            needs_probe: false,
            changed_at: None,
            last_gap_at: None,
            has_list: false,
        }
    }
}

impl Core {
    /// Takes over where workers are; gives what the policy is notified of.
    pub(super) fn apply_endpoints(&mut self, endpoints: Vec<Endpoint>, is_complete: bool) -> Vec<p::Worker> {
        if !endpoints.is_empty() {
            self.update_tally(|t| t.list_changes += 1);
            self.discovery.changed_at = Some(self.now);
        }
        if is_complete {
            for known in self.workers.values_mut() {
                (known.listed, known.draining) = (false, true);
            }
        }
        let mut moved = Vec::new();
        for Endpoint { worker, address } in &endpoints {
            let known =
                self.workers.entry(worker.id.clone()).or_insert_with(|| new_endpoint(worker, *address));
            (known.role, known.zone, known.cell) = (worker.role, worker.zone, worker.cell);
            known.listed = worker.lifecycle != p::Lifecycle::Removed;
            known.draining = worker.lifecycle != p::Lifecycle::Active;
            if known.address != *address {
                known.address = *address;
                known.host = address.to_string().into();
                moved.push(worker.id.clone());
            }
        }
        let unlisted = self.workers.iter().filter(|(_, e)| !e.listed).map(|(id, _)| id.clone());
        for id in unlisted.chain(moved).collect::<Vec<_>>() {
            self.close_idle_connections(&id);
            self.remove_unused_worker(&id);
        }
        endpoints.into_iter().map(|endpoint| endpoint.worker).collect()
    }

    /// Notifies the policy, then ends attempts that still wait for a connection to a draining worker: nothing of them was
    /// sent, and by the time that the connection stands it may be too late.
    fn notify_policy(&mut self, update: p::EndpointUpdate, workers: Vec<p::Worker>) {
        self.events.push_back(Event::Endpoints { update, workers });
        let is_draining = |w: &p::WorkerId| self.workers.get(w).is_some_and(|e| e.draining);
        let waits =
            |c: &&WorkerConnection| c.pending_call.is_some() && c.worker.as_ref().is_some_and(is_draining);
        let attempt = |c: &WorkerConnection| match &c.task {
            Task::Attempt(id, no, _) => Some((id.clone(), *no)),
            _ => None,
        };
        let waiting: Vec<_> = self.connections.values().filter(waits).filter_map(attempt).collect();
        for (id, no) in waiting {
            self.end_attempt(&id, no, p::Outcome::NotSent, 0);
        }
    }

    /// Begins to watch, or to poll, service discovery.
    pub(super) fn watch_discovery(&mut self) {
        if self.config.dialect.is_some() {
            return self.poll_discovery();
        }
        if let Some(old) = self.discovery.connection.take() {
            self.abort_connection(old);
        }
        let Some(address) = self.config.discovery else { return };
        self.update_tally(|t| t.list_calls += 1);
        let host = address.to_string();
        let call = encode::request("GET", "/v1/workers?watch=1", &host, &[("via", &self.via)], &[]);
        let task = Task::WatchEndpoints(Box::new(sse::Reader::new(MAX_LIST_BYTES)));
        self.discovery.connection = Some(self.open_connection(None, address, task, Payload::Bytes(call)));
    }

    /// Sends the first poll on a new connection, unless there is one already.
    fn poll_discovery(&mut self) {
        let Some(dialect) = self.config.dialect.clone() else { return };
        let Some(address) = self.config.discovery else { return };
        if self.discovery.connection.is_some() {
            return;
        }
        self.discovery.polled_at = self.now;
        self.discovery.long_poll = !self.discovery.needs_probe;
        let call = dialect.list_call(self.discovery.version, self.discovery.long_poll, &address.to_string());
        self.update_tally(|t| t.list_calls += 1);
        let task = Task::PollEndpoints(Vec::new());
        self.discovery.connection = Some(self.open_connection(None, address, task, Payload::Bytes(call)));
    }

    /// Service discovery is at another address from now on.
    pub(super) fn change_discovery_address(&mut self, address: SocketAddr) {
        self.config.discovery = Some(address);
        if let Some(old) = self.discovery.connection.take() {
            self.abort_connection(old);
        }
        self.discovery.needs_probe = true;
        self.watch_discovery();
    }

    /// Takes over a list that a dialect has read; gives what the policy is notified of.
    fn apply_list(&mut self, list: EndpointList) -> (Vec<p::Worker>, p::EndpointUpdate) {
        for error in &list.invalid {
            self.note("list", format!("an entry is left out: {error}"));
        }
        self.discovery.has_list = true;
        // After an invalid entry the complete list is asked for, once; what is invalid again is left out.
        let request_complete_list = !list.invalid.is_empty() && self.discovery.version.is_some();
        self.discovery.version = (!request_complete_list).then_some(list.version);
        let update = if list.complete { p::EndpointUpdate::Snapshot } else { p::EndpointUpdate::Delta };
        let is_complete = list.complete;
        let endpoints = self.limit_workers(list);
        (self.apply_endpoints(endpoints, is_complete), update)
    }

    /// The entries of a list that fit. New workers past the bound are left out; what is said of known ones, above all that
    /// they drain, is not.
    fn limit_workers(&mut self, list: EndpointList) -> Vec<Endpoint> {
        let known = if list.complete { 0 } else { self.workers.len() };
        let mut capacity = self.config.bounds.workers.saturating_sub(known);
        let named = list.endpoints.len();
        let mut fitting = Vec::new();
        for endpoint in list.endpoints {
            let worker = &endpoint.worker;
            let is_known = worker.lifecycle == p::Lifecycle::Removed || self.workers.contains_key(&worker.id);
            if is_known || capacity > 0 {
                capacity -= usize::from(!is_known);
                fitting.push(endpoint);
            }
        }
        if fitting.len() < named {
            self.note("list", format!("{} workers past the bound are left out", named - fitting.len()));
        }
        fitting
    }

    /// A part of the answer to a poll; true: go on reading.
    pub(super) fn poll_reply_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        let Task::PollEndpoints(body) = &mut connection.task else { return false };
        match part {
            Part::Head(head) if head.start == (Start::Response { status: 200 }) => {
                // It answers again; a long list may take longer than its first bytes.
                if std::mem::take(&mut self.discovery.needs_probe) {
                    self.set_discovery_timer(conn);
                }
                true
            }
            Part::Data(data) if body.len() + data.len() <= MAX_LIST_BYTES => {
                body.extend(data);
                true
            }
            Part::Head(_) | Part::Data(_) => self.close_discovery(conn),
            Part::End => {
                let body = std::mem::take(body);
                let close_after_reply = connection.close_after_reply;
                self.poll_complete(conn, &body, close_after_reply)
            }
        }
    }

    /// The answer to a poll is complete; true: the next poll was sent on the same connection.
    fn poll_complete(&mut self, conn: ConnId, body: &[u8], close_after_reply: bool) -> bool {
        let Some(dialect) = self.config.dialect.clone() else { return false };
        let before = self.discovery.version;
        let list = match dialect.parse_list(body) {
            Ok(list) => list,
            Err(error) => {
                self.note("list", format!("not taken: {error}"));
                return self.close_discovery(conn);
            }
        };
        let (workers, update) = self.apply_list(list);
        if update == p::EndpointUpdate::Snapshot || !workers.is_empty() {
            self.notify_policy(update, workers);
        }
        // An answer without a change that came at once, though it might have waited: polling on would be a busy loop.
        let answered_immediately =
            self.discovery.long_poll && self.now < self.discovery.polled_at + POLL_PAUSE;
        if self.discovery.version == before && answered_immediately {
            self.abort_connection(conn);
            self.discovery.connection = None;
            self.timers.set(self.now + POLL_PAUSE, TimerEvent::DiscoveryRetry);
            return false;
        }
        if close_after_reply {
            self.abort_connection(conn);
            self.discovery.connection = None;
            self.watch_discovery();
            return false;
        }
        // The next poll follows at once: service discovery counts a pause as another watcher.
        let host = self.config.discovery.map(|a| a.to_string()).unwrap_or_default();
        let call = dialect.list_call(self.discovery.version, true, &host);
        self.discovery.polled_at = self.now;
        self.discovery.long_poll = true;
        self.update_tally(|t| t.list_calls += 1);
        self.outputs.push(Output::Write(conn, call));
        self.set_discovery_timer(conn);
        true
    }

    /// Closes a connection whose answer can't be used. Always false: nothing more is read from it.
    fn close_discovery(&mut self, conn: ConnId) -> bool {
        self.abort_connection(conn);
        self.discovery_lost();
        false
    }

    /// Service discovery can't be reached. The policy says when it is called again or, of a dialect's, the core.
    pub(super) fn discovery_lost(&mut self) {
        self.discovery.connection = None;
        if self.config.dialect.is_some() {
            self.discovery.needs_probe = true;
            self.timers.set(self.now + POLL_PAUSE, TimerEvent::DiscoveryRetry);
            return;
        }
        self.events.push_back(Event::Endpoints { update: p::EndpointUpdate::Failed, workers: Vec::new() });
        self.note("register", "lost or not reached; the list held stays".into());
    }

    pub(super) fn discovery_timed_out(&mut self, conn: ConnId) {
        if self.connections.contains_key(&conn) {
            self.close_discovery(conn);
        }
    }

    /// Bounds the wait for the next bytes of service discovery. After a failure it is short: that poll does not wait for a
    /// change, and a source that comes back is to be found soon.
    pub(super) fn set_discovery_timer(&mut self, conn: ConnId) {
        let timeouts = &self.config.timeouts;
        let timeout = if self.discovery.needs_probe { timeouts.discovery_probe } else { timeouts.discovery };
        let timer = self.timers.set(self.now + timeout, TimerEvent::DiscoveryReply(conn));
        if let Some(connection) = self.connections.get_mut(&conn) {
            if let Some(old) = connection.timer.replace(timer) {
                self.timers.cancel(old);
            }
        }
    }

    /// A part of the answer to a watch; true: go on reading.
    pub(super) fn watch_reply_part(&mut self, conn: ConnId, part: Part) -> bool {
        let data = match part {
            Part::Head(head) if head.start == (Start::Response { status: 200 }) => return true,
            Part::Data(data) => data,
            Part::Head(_) | Part::End => return self.close_discovery(conn),
        };
        self.set_discovery_timer(conn);
        let mut events = Vec::new();
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        let Task::WatchEndpoints(reader) = &mut connection.task else { return false };
        let read = reader.push(&data, &mut events);
        for event in events {
            if !self.watch_event(conn, &event) {
                return false;
            }
        }
        if let Err(error) = read {
            self.note("register", error.to_string());
            return self.close_discovery(conn);
        }
        true
    }

    /// Applies an event of the watch; true: go on reading.
    fn watch_event(&mut self, conn: ConnId, event: &sse::Event) -> bool {
        let applied = match event.name.as_str() {
            "snapshot" => self.apply_snapshot(&event.data),
            "change" => self.apply_delta(&event.data),
            _ => return true,
        };
        match applied {
            Ok(()) => true,
            Err(EndpointUpdateError::VersionGap) => {
                self.version_gap(conn);
                false
            }
            Err(EndpointUpdateError::Malformed(reason)) => {
                self.note("register", format!("list not taken: {reason}"));
                true
            }
        }
    }

    fn apply_snapshot(&mut self, text: &str) -> Result<(), EndpointUpdateError> {
        let endpoints = self.discovery.endpoints.apply_snapshot(text, &self.config)?;
        self.endpoints_changed(endpoints, p::EndpointUpdate::Snapshot);
        Ok(())
    }

    fn apply_delta(&mut self, text: &str) -> Result<(), EndpointUpdateError> {
        let delta = self.discovery.endpoints.apply_delta(text, &self.config)?;
        if delta.left_out > 0 {
            let bound = self.config.bounds.workers;
            self.note("register", format!("more than {bound} workers: {} left out", delta.left_out));
        }
        self.endpoints_changed(delta.endpoints, p::EndpointUpdate::Delta);
        Ok(())
    }

    /// An event of the watch was applied: the list is stored, and the policy notified.
    fn endpoints_changed(&mut self, endpoints: Vec<Endpoint>, update: p::EndpointUpdate) {
        self.discovery.has_list = true;
        let workers = self.apply_endpoints(endpoints, update == p::EndpointUpdate::Snapshot);
        self.outputs.push(Output::StoreEndpointList(self.discovery.endpoints.to_text()));
        self.notify_policy(update, workers);
    }

    /// An event was lost. A new watch begins with a snapshot: it is begun at once or, where gaps come again and again, when
    /// the policy says so.
    fn version_gap(&mut self, conn: ConnId) {
        self.note("register", "a change was lost; asking for a snapshot".into());
        let last = self.discovery.last_gap_at.replace(self.now);
        if last.is_some_and(|at| self.now < at + self.config.timeouts.discovery) {
            self.close_discovery(conn);
        } else {
            self.watch_discovery();
        }
    }
}

/// A worker that was not known before.
fn new_endpoint(worker: &p::Worker, address: SocketAddr) -> WorkerEndpoint {
    WorkerEndpoint {
        address,
        host: address.to_string().into(),
        role: worker.role,
        zone: worker.zone,
        cell: worker.cell,
        listed: false,
        draining: false,
        idle: Vec::new(),
        open: 0,
        last_reply_at: Micros(0),
    }
}
