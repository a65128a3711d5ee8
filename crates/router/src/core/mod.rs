//! The sans-IO core: inputs to outputs.
//!
//! [`Core`] owns all state of one router except the policy's own. Each map has one module that says who writes it and what
//! bounds it. A request's way: [`client_reading`], [`request_intake`], the policy, [`attempts`], [`connection_pool`],
//! [`replies`], [`relay`], [`answers`].

mod active_request;
mod answers;
mod attempt;
mod attempts;
mod budgets;
mod client_answers;
mod client_connection;
mod client_reading;
mod clients;
mod connection_events;
mod connection_pool;
pub(crate) mod counters;
mod discovery;
mod load_report;
mod messages;
mod migration;
pub(crate) mod record;
mod relay;
mod replies;
mod request_intake;
mod reservations;
pub(crate) mod tally;
pub(crate) mod transitions;
pub(crate) mod view;
mod worker_connection;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use chalkyard_budget::BudgetEnforcer;
use chalkyard_policy as p;
use chalkyard_policy::{Action, Event, Micros};

use crate::config::{Config, RuntimeSettings};
use crate::dialect::Endpoint;
use crate::discovery::EndpointUpdateError;
use crate::identity::IdentityTable;
use crate::timers::Timers;
use active_request::ActiveRequest;
use attempts::AttemptLimits;
use client_connection::ClientConnection;
use counters::Counters;
use discovery::DiscoveryState;
pub use messages::{ConnId, FinishedOutput, Input, Output};
use reservations::Release;
use tally::Tally;
use worker_connection::{IdleTimeout, ReleaseId, WorkerConnection, WorkerEndpoint};

/// What a timer of the core is for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TimerEvent {
    /// A timer of the policy.
    Policy(p::TimerId),
    /// A client's connection has been silent, or has taken nothing, for its time.
    Client(ConnId),
    /// A connection to a worker does not stand, or its call was neither written nor answered, in time.
    Connection(ConnId),
    /// An idle connection to a worker is closed before the worker closes it.
    IdleConnection(ConnId),
    /// An attempt's time is up.
    Attempt(p::RequestId, p::AttemptNo),
    /// A stream has been silent for its time.
    Stream(p::RequestId, p::AttemptNo),
    /// The policy has not ended the request in time.
    Answer(p::RequestId),
    /// A release is called again.
    ReleaseRetry(ReleaseId),
    /// A reservation's time is up.
    Reservation(p::RequestId),
    /// A worker's answer to a release is overdue.
    ReleaseProof(ReleaseId),
    /// Service discovery is silent.
    DiscoveryReply(ConnId),
    /// Service discovery is called again.
    DiscoveryRetry,
    /// The next streams of a stopping router are migrated.
    Migration,
}

/// Called with each event for the policy and the actions that came back.
pub type Observer = Box<dyn FnMut(Micros, &Event, &[Action]) + Send>;

/// One router. All maps are ordered; the same inputs give the same outputs.
pub struct Core {
    config: Config,
    /// How this router names itself to workers and service discovery.
    via: Arc<str>,
    policy: p::Router,
    now: Micros,
    outputs: Vec<Output>,
    /// Events that wait for the policy: its actions can cause further ones.
    events: VecDeque<Event>,
    timers: Timers<TimerEvent>,
    clients: BTreeMap<ConnId, ClientConnection>,
    /// Clients whose next request may have come already.
    pending_clients: VecDeque<ConnId>,
    /// Connections to workers and service discovery.
    connections: BTreeMap<ConnId, WorkerConnection>,
    idle_timeout: IdleTimeout,
    workers: BTreeMap<p::WorkerId, WorkerEndpoint>,
    requests: BTreeMap<p::RequestId, ActiveRequest>,
    /// Releases that no worker has answered yet.
    releases: BTreeMap<ReleaseId, Release>,
    identities: IdentityTable,
    budgets: Option<BudgetEnforcer>,
    discovery: DiscoveryState,
    /// Bytes of request bodies that have come and may still have to be sent.
    body_bytes: u64,
    next_connection: u64,
    next_request: u64,
    next_release: ReleaseId,
    /// No new requests are accepted.
    draining: bool,
    /// All open requests were answered since the process ends: nothing more is begun.
    stopping: bool,
    /// When the graceful shutdown began.
    shutdown_since: Option<Micros>,
    observer: Option<Observer>,
    /// What is done in the present second; none: nobody reads it.
    tally: Option<Tally>,
    counters: Counters,
}

impl Core {
    /// A core at its start. `now` is in µs since 1970, measured by a monotonic clock from then on: ids of
    /// requests and the start times of workers depend on it.
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let policy = p::Router::new(config.policy.clone(), seed);
        let identities = IdentityTable::new(config.bounds.identities);
        let via = format!("1.1 {}", config.name).into();
        Self {
            config,
            via,
            policy,
            now,
            outputs: Vec::new(),
            events: VecDeque::new(),
            timers: Timers::default(),
            clients: BTreeMap::new(),
            pending_clients: VecDeque::new(),
            connections: BTreeMap::new(),
            idle_timeout: IdleTimeout::default(),
            workers: BTreeMap::new(),
            requests: BTreeMap::new(),
            releases: BTreeMap::new(),
            identities,
            budgets: None,
            discovery: DiscoveryState::default(),
            body_bytes: 0,
            next_connection: 1,
            next_request: 0,
            next_release: ReleaseId::default(),
            draining: false,
            stopping: false,
            shutdown_since: None,
            observer: None,
            tally: None,
            counters: Counters::default(),
        }
    }

    /// Has an [`Output::Tally`] given out for each second in which anything was done.
    pub fn enable_tally(&mut self) {
        self.tally = Some(Tally::default());
    }

    /// Has `observer` called with each event for the policy and its actions.
    pub fn observe(&mut self, observer: Observer) {
        self.observer = Some(observer);
    }

    /// Starts with the stored endpoint list, if there is one, and calls service discovery.
    pub fn start(&mut self, now: Micros, stored_list: Option<&str>, out: &mut Vec<Output>) {
        self.now = now;
        let workers = match stored_list.map(|text| self.read_stored_list(text)) {
            Some(Ok(endpoints)) => {
                self.discovery.has_list = true;
                self.apply_endpoints(endpoints, true)
            }
            Some(Err(error)) => {
                self.note("list", format!("the kept list can't be read, starting without: {error:?}"));
                Vec::new()
            }
            None => Vec::new(),
        };
        // Without service discovery the stored list names all there is, and is current.
        let update = if self.config.discovery.is_some() {
            p::EndpointUpdate::LastKnown
        } else {
            p::EndpointUpdate::Snapshot
        };
        self.events.push_back(Event::Endpoints { update, workers });
        if self.config.policy.discovery == p::Discovery::Push {
            self.watch_discovery();
        }
        self.process_events();
        out.append(&mut self.outputs);
    }

    fn read_stored_list(&mut self, text: &str) -> Result<Vec<Endpoint>, EndpointUpdateError> {
        let Some(dialect) = &self.config.dialect else {
            return self.discovery.endpoints.apply_snapshot(text, &self.config);
        };
        let list = dialect.parse_list(text.as_bytes());
        let list = list.map_err(|error| EndpointUpdateError::Malformed(error.reason))?;
        // If an entry is invalid the complete list is asked for.
        self.discovery.version = list.invalid.is_empty().then_some(list.version);
        Ok(list.endpoints)
    }

    /// Takes one input and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.report_tally();
        match input {
            Input::Accepted(conn) => self.client_connected(conn),
            Input::Connected(conn) => self.connection_established(conn),
            Input::Lost(conn) if self.clients.contains_key(&conn) => self.client_lost(conn),
            Input::Lost(conn) => self.connection_lost(conn),
            Input::NotStarted(conn) => self.connection_not_started(conn),
            Input::Bytes(conn, bytes) if self.clients.contains_key(&conn) => self.client_bytes(conn, bytes),
            Input::Bytes(conn, bytes) => self.worker_bytes(conn, bytes),
            Input::Eof(conn) if self.clients.contains_key(&conn) => self.client_eof(conn),
            Input::Eof(conn) => self.worker_eof(conn),
            Input::Wrote(conn, bytes) => self.bytes_written(conn, bytes),
            Input::Tick => {}
            Input::LeaseGranted(grant) => self.lease_granted(&grant),
            Input::LedgerWritable(writable) => self.ledger_writable(writable),
            Input::Checkpoint => self.checkpoint(),
            Input::BudgetPlan(plan) => self.replace_budget_plan(*plan),
            Input::Reconfigure(settings) => self.reconfigure(*settings),
            Input::PredecessorSettled(settled) => self.settled_by_predecessor(&settled),
            Input::DiscoveryAddressChanged(address) => self.change_discovery_address(address),
            Input::PredecessorEnded => self.predecessor_finished(),
        }
        while let Some(due) = self.timers.pop(self.now) {
            self.timer_due(due);
            self.process_events();
        }
        self.process_events();
        out.append(&mut self.outputs);
    }

    /// When [`Input::Tick`] is next needed.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Begins the graceful shutdown: health checks fail, but requests are still accepted until clients have learned of it.
    pub fn begin_shutdown(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.shutdown_since = Some(self.now);
        if let Some(migration) = self.config.timeouts.migration {
            self.timers.set(self.now + migration.from, TimerEvent::Migration);
        }
    }

    /// Accepts no new requests; what is open goes on. Idle clients are closed, those that have connected just now after a
    /// short time.
    pub fn drain(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.draining = true;
        self.close_idle_clients();
        self.process_events();
        out.append(&mut self.outputs);
    }

    fn reconfigure(&mut self, settings: RuntimeSettings) {
        let RuntimeSettings { keys, classes, bounds, timeouts } = settings;
        for (tenant, allowed) in self.config.tenants.iter_mut().zip(classes) {
            tenant.classes = allowed;
        }
        self.config.keys = keys;
        self.config.bounds = bounds;
        self.config.timeouts = timeouts;
    }

    /// Accepts requests again.
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    /// Requests without a final answer, or with an open attempt or a reservation.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Releases that no worker has answered yet.
    pub fn open_releases(&self) -> usize {
        self.releases.len()
    }

    /// Client connections.
    pub fn open_clients(&self) -> usize {
        self.clients.len()
    }

    fn note(&mut self, what: &'static str, text: String) {
        self.outputs.push(Output::Note(what, text));
    }

    /// Gives events to the policy and reads clients' next requests until nothing is left to do.
    fn process_events(&mut self) {
        loop {
            while let Some(event) = self.events.pop_front() {
                let mut actions = Vec::new();
                let seen = self.observer.is_some().then(|| event.clone());
                self.policy.handle(self.now, event, &mut actions);
                if let Some((observer, event)) = self.observer.as_mut().zip(seen) {
                    observer(self.now, &event, &actions);
                }
                for action in actions {
                    self.perform_action(action);
                }
            }
            let Some(conn) = self.pending_clients.pop_front() else { return };
            self.read_requests(conn);
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Send { id, worker, timeout, connect_timeout, kind } => {
                let limits = AttemptLimits { timeout, connect_timeout };
                self.start_attempt(&id, worker, limits, kind);
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(&id, attempt),
            Action::Reject { id, retry_after, reason } => self.reject(&id, retry_after, reason),
            Action::Fail { id, reason } => self.fail_request(&id, reason),
            Action::Migrate(id) => self.migrate(&id),
            Action::ReleaseReservation(id) => self.release_reservation(&id),
            Action::SetTimer { timer, after } => {
                self.timers.set(self.now + after, TimerEvent::Policy(timer));
            }
            Action::Subscribe => self.watch_discovery(),
        }
    }

    fn timer_due(&mut self, due: TimerEvent) {
        match due {
            TimerEvent::Policy(timer) => self.events.push_back(Event::Timer(timer)),
            TimerEvent::Client(conn) => self.client_timed_out(conn),
            TimerEvent::Connection(conn) => self.connection_timed_out(conn),
            TimerEvent::IdleConnection(conn) => self.idle_connection_timed_out(conn),
            TimerEvent::Attempt(id, no) => self.attempt_timed_out(&id, no),
            TimerEvent::Stream(id, no) => self.stream_timed_out(&id, no),
            TimerEvent::Answer(id) => self.answer_overdue(&id),
            TimerEvent::ReleaseRetry(release) => self.retry_release(release),
            TimerEvent::Reservation(id) => self.release_reservation(&id),
            TimerEvent::ReleaseProof(release) => self.release_proof_due(release),
            TimerEvent::DiscoveryReply(conn) => self.discovery_timed_out(conn),
            TimerEvent::DiscoveryRetry => self.watch_discovery(),
            TimerEvent::Migration => self.migrate_next_streams(),
        }
    }

    fn bytes_written(&mut self, conn: ConnId, bytes: usize) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.bytes_sent(self.now, bytes as u64);
            self.client_bytes_sent(conn);
        } else {
            self.call_bytes_written(conn, bytes as u64);
        }
    }
}
