//! Service discovery: calls for the endpoint list, and the changes that their answers report.
//!
//! The router's own service discovery is watched: one call, whose answer is a stream of events. A dialect's is
//! polled: successive calls, each answered once the list has changed.

use std::net::SocketAddr;

use chalkyard_policy as p;
use chalkyard_policy::{Event, Micros};
use chalkyard_proto::{encode, sse, Part, StartLine};

use super::worker_connection::{Payload, Task, WorkerConnection, WorkerEndpoint};
use super::{ConnId, Core, Output, TimerEvent};
use crate::dialect::{Endpoint, EndpointList};
use crate::discovery::{EndpointUpdateError, KnownEndpoints};

/// Maximum size of an endpoint list, bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Pause before service discovery is polled again after a failed call, or after an answer without a change that came
/// within this time.
const POLL_PAUSE: Micros = Micros(100_000);

/// State of the endpoint list and of its source. Written by this module and at the start, read by views and records.
/// [`crate::Bounds::workers`] bounds the list. After a crash the stored list is read again.
#[derive(Debug)]
pub(super) struct DiscoveryState {
    /// List in the form in which it is stored; empty if a dialect reads it.
    pub(super) endpoints: KnownEndpoints,
    /// Connection to service discovery.
    pub(super) connection: Option<ConnId>,
    /// Newest version of the list that a dialect has read. `None` requests the complete list.
    pub(super) version: Option<u64>,
    /// Time at which the last poll was sent.
    polled_at: Micros,
    /// Whether the last poll may wait for a change.
    long_poll: bool,
    /// Whether the last call has failed, or the address has changed since. The next poll then does not wait for a
    /// change.
    needs_probe: bool,
    /// Time of the last change of the list.
    pub(super) changed_at: Option<Micros>,
    /// Time at which a lost event was last detected.
    last_gap_at: Option<Micros>,
    /// Whether a list is known, even an old one.
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
    /// Applies endpoints to the known workers, and returns the workers of which the policy is notified.
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
        let mut relocated = Vec::new();
        for Endpoint { worker, address } in &endpoints {
            let known =
                self.workers.entry(worker.id.clone()).or_insert_with(|| new_endpoint(worker, *address));
            (known.role, known.zone, known.cell) = (worker.role, worker.zone, worker.cell);
            known.listed = worker.lifecycle != p::Lifecycle::Removed;
            known.draining = worker.lifecycle != p::Lifecycle::Active;
            if known.address != *address {
                known.address = *address;
                known.host = address.to_string().into();
                relocated.push(worker.id.clone());
            }
        }
        let unlisted = self.workers.iter().filter(|(_, e)| !e.listed).map(|(id, _)| id.clone());
        for id in unlisted.chain(relocated).collect::<Vec<_>>() {
            self.close_idle_connections(&id);
            self.remove_unused_worker(&id);
        }
        endpoints.into_iter().map(|endpoint| endpoint.worker).collect()
    }

    /// Notifies the policy, then ends attempts that still wait for a connection to a draining worker: none of their
    /// calls was sent, and once the connection is established it may be too late.
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

    /// Starts to watch, or to poll, service discovery.
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
        let task = Task::WatchEndpoints(Box::new(sse::Parser::new(MAX_LIST_BYTES)));
        self.discovery.connection = Some(self.open_connection(None, address, task, Payload::Bytes(call)));
    }

    /// Sends the first poll on a new connection, unless a connection exists.
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

    /// Uses another address of service discovery from now on.
    pub(super) fn change_discovery_address(&mut self, address: SocketAddr) {
        self.config.discovery = Some(address);
        if let Some(old) = self.discovery.connection.take() {
            self.abort_connection(old);
        }
        self.discovery.needs_probe = true;
        self.watch_discovery();
    }

    /// Applies a list that a dialect has read, and returns the update for the policy.
    fn apply_list(&mut self, list: EndpointList) -> (Vec<p::Worker>, p::EndpointUpdate) {
        for error in &list.invalid {
            self.note("list", format!("an invalid endpoint list entry is left out: {error}"));
        }
        self.discovery.has_list = true;
        // After an invalid entry the complete list is requested, once. Entries that are invalid again are left out.
        let request_complete_list = !list.invalid.is_empty() && self.discovery.version.is_some();
        self.discovery.version = (!request_complete_list).then_some(list.version);
        let update = if list.complete { p::EndpointUpdate::Snapshot } else { p::EndpointUpdate::Delta };
        let is_complete = list.complete;
        let endpoints = self.limit_workers(list);
        (self.apply_endpoints(endpoints, is_complete), update)
    }

    /// Entries of a list that are within its bound. New workers past the bound are left out; entries of known workers
    /// are kept, above all those that say that a worker drains.
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
            self.note(
                "list",
                format!(
                    "the endpoint list is longer than its bound: {} workers are left out",
                    named - fitting.len()
                ),
            );
        }
        fitting
    }

    /// Processes a part of the answer to a poll. Returns true to go on reading.
    pub(super) fn poll_reply_part(&mut self, conn: ConnId, part: Part) -> bool {
        let Some(connection) = self.connections.get_mut(&conn) else { return false };
        let Task::PollEndpoints(body) = &mut connection.task else { return false };
        match part {
            Part::Head(head) if head.start == (StartLine::Response { status: 200 }) => {
                // Service discovery answers again. The rest of a long list may take longer than its first bytes, so
                // the usual timeout applies.
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

    /// Processes the complete answer to a poll. Returns true if the next poll was sent on the same connection.
    fn poll_complete(&mut self, conn: ConnId, body: &[u8], close_after_reply: bool) -> bool {
        let Some(dialect) = self.config.dialect.clone() else { return false };
        let before = self.discovery.version;
        let list = match dialect.parse_list(body) {
            Ok(list) => list,
            Err(error) => {
                self.note("list", format!("endpoint list rejected: {error}"));
                return self.close_discovery(conn);
            }
        };
        let (workers, update) = self.apply_list(list);
        if update == p::EndpointUpdate::Snapshot || !workers.is_empty() {
            self.notify_policy(update, workers);
        }
        // The answer has no change and came immediately, though it could have waited for one: polling on would be a
        // busy loop.
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
        // The next poll is sent immediately, because service discovery counts a pause as another watcher.
        let host = self.config.discovery.map(|a| a.to_string()).unwrap_or_default();
        let call = dialect.list_call(self.discovery.version, true, &host);
        self.discovery.polled_at = self.now;
        self.discovery.long_poll = true;
        self.update_tally(|t| t.list_calls += 1);
        self.outputs.push(Output::Write(conn, call));
        self.set_discovery_timer(conn);
        true
    }

    /// Closes a connection whose answer is unusable. Always returns false, since nothing more is read from it.
    fn close_discovery(&mut self, conn: ConnId) -> bool {
        self.abort_connection(conn);
        self.discovery_lost();
        false
    }

    /// Handles the loss of service discovery. The policy decides when it is called again; in a dialect the core does.
    pub(super) fn discovery_lost(&mut self) {
        self.discovery.connection = None;
        if self.config.dialect.is_some() {
            self.discovery.needs_probe = true;
            self.timers.set(self.now + POLL_PAUSE, TimerEvent::DiscoveryRetry);
            return;
        }
        self.events.push_back(Event::Endpoints { update: p::EndpointUpdate::Failed, workers: Vec::new() });
        self.note("register", "service discovery is unreachable; the current endpoint list is kept".into());
    }

    pub(super) fn discovery_timed_out(&mut self, conn: ConnId) {
        if self.connections.contains_key(&conn) {
            self.close_discovery(conn);
        }
    }

    /// Limits the wait for the next bytes from service discovery. After a failure the limit is short: that poll does
    /// not wait for a change, and a source that has recovered should be found soon.
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

    /// Processes a part of the answer to a watch. Returns true to go on reading.
    pub(super) fn watch_reply_part(&mut self, conn: ConnId, part: Part) -> bool {
        let data = match part {
            Part::Head(head) if head.start == (StartLine::Response { status: 200 }) => return true,
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

    /// Applies an event of the watch. Returns true to go on reading.
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
                self.note("register", format!("endpoint list rejected: {reason}"));
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

    /// Stores the list after an event of the watch was applied, and notifies the policy.
    fn endpoints_changed(&mut self, endpoints: Vec<Endpoint>, update: p::EndpointUpdate) {
        self.discovery.has_list = true;
        let workers = self.apply_endpoints(endpoints, update == p::EndpointUpdate::Snapshot);
        self.outputs.push(Output::StoreEndpointList(self.discovery.endpoints.to_text()));
        self.notify_policy(update, workers);
    }

    /// Handles a lost event. A new watch begins with a snapshot. It is started immediately or, if gaps come
    /// repeatedly, when the policy requests it.
    fn version_gap(&mut self, conn: ConnId) {
        self.note("register", "a change of the endpoint list was lost; requesting a snapshot".into());
        let last = self.discovery.last_gap_at.replace(self.now);
        if last.is_some_and(|at| self.now < at + self.config.timeouts.discovery) {
            self.close_discovery(conn);
        } else {
            self.watch_discovery();
        }
    }
}

/// Endpoint of a worker that was not known before.
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
