//! Service discovery: calls for the endpoint list, and the changes that their answers report.
//!
//! The router's own service discovery is watched: one call, whose answer is a stream of events. A dialect's is
//! polled ([`super::discovery_polls`]).

use std::net::SocketAddr;

use chalkyard_policy as p;
use chalkyard_policy::{Event, Micros};
use chalkyard_proto::{encode, sse, Part, StartLine};

use super::discovery_polls::Polls;
use super::worker_connection::{Payload, Task, WorkerConnection, WorkerEndpoint};
use super::{ConnId, Core, Output, TimerEvent};
use crate::dialect::Endpoint;
use crate::discovery::{EndpointUpdateError, KnownEndpoints};

/// Maximum size of an endpoint list, bytes.
pub(super) const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// State of the endpoint list and of its source. Written by this module and at the start, read by views and records.
/// [`crate::Bounds::workers`] bounds the list. After a crash the stored list is read again.
#[derive(Debug, Default)]
pub(super) struct DiscoveryState {
    /// List in the form in which it is stored; empty if a dialect reads it.
    pub(super) endpoints: KnownEndpoints,
    /// Connection to service discovery whose watch or poll is not overdue.
    pub(super) connection: Option<ConnId>,
    /// Newest version of the list that a dialect has read. `None` requests the complete list.
    pub(super) version: Option<u64>,
    pub(super) polls: Polls,
    /// Time of the last change of the list.
    pub(super) changed_at: Option<Micros>,
    /// Time at which a lost event was last detected.
    last_gap_at: Option<Micros>,
    /// Whether a list is known, even an old one.
    pub(super) has_list: bool,
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
    pub(super) fn notify_policy(&mut self, update: p::EndpointUpdate, workers: Vec<p::Worker>) {
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

    /// Uses another address of service discovery from now on.
    pub(super) fn change_discovery_address(&mut self, address: SocketAddr) {
        self.config.discovery = Some(address);
        if let Some(old) = self.discovery.connection.take() {
            self.abort_connection(old);
        }
        self.discard_polls();
        self.watch_discovery();
    }

    /// Closes a connection whose answer is unusable. Always returns false, since nothing more is read from it.
    pub(super) fn close_discovery(&mut self, conn: ConnId) -> bool {
        self.abort_connection(conn);
        self.discovery_lost(conn);
        false
    }

    /// Handles the loss of a call to service discovery. The policy decides when it is called again; in a dialect the core
    /// does.
    pub(super) fn discovery_lost(&mut self, conn: ConnId) {
        if self.config.dialect.is_some() {
            return self.poll_lost(conn);
        }
        self.discovery.connection = None;
        self.events.push_back(Event::Endpoints { update: p::EndpointUpdate::Failed, workers: Vec::new() });
        self.note("register", "service discovery is unreachable; the current endpoint list is kept".into());
    }

    pub(super) fn discovery_timed_out(&mut self, conn: ConnId) {
        if !self.connections.contains_key(&conn) {
            return;
        }
        if self.config.dialect.is_some() {
            return self.poll_timed_out(conn);
        }
        self.close_discovery(conn);
    }

    /// Limits the wait for the next bytes from service discovery.
    pub(super) fn set_discovery_timer(&mut self, conn: ConnId) {
        let timeouts = &self.config.timeouts;
        let timeout =
            if self.discovery.polls.needs_probe() { timeouts.discovery_probe } else { timeouts.discovery };
        self.limit_discovery(conn, timeout);
    }

    /// Sets the timer of a call to service discovery.
    pub(super) fn limit_discovery(&mut self, conn: ConnId, timeout: Micros) {
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
