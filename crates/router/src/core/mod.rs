//! Sans-IO core of the router: turns inputs into outputs.
//!
//! [`Core`] owns all state of one router except the policy's. Each map has one module that documents who writes the
//! map and what bounds its size. A request passes through [`client_reading`], [`request_intake`], the policy,
//! [`attempts`], [`connection_pool`], [`replies`], [`relay`] and [`answers`].

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
mod discovery_polls;
mod drain;
mod load_report;
mod messages;
mod migration;
mod received_body;
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

/// Purpose of a timer.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TimerEvent {
    /// Timer requested by the policy.
    Policy(p::TimerId),
    /// A client connection has sent nothing, or accepted no bytes, for the time allowed.
    Client(ConnId),
    /// A connection to a worker was not established, or its call was neither written nor answered, in time.
    Connection(ConnId),
    /// Closes an idle connection to a worker before the worker closes it.
    IdleConnection(ConnId),
    /// An attempt has reached its deadline.
    Attempt(p::RequestId, p::AttemptNo),
    /// A stream has delivered no event within the stream timeout.
    Stream(p::RequestId, p::AttemptNo),
    /// The policy has not ended the request in time.
    Answer(p::RequestId),
    /// Repeats the call of a release.
    ReleaseRetry(ReleaseId),
    /// A reservation has reached its maximum duration.
    Reservation(p::RequestId),
    /// No worker has answered a release by the time at which its state must be free.
    ReleaseProof(ReleaseId),
    /// Service discovery has sent nothing within its timeout.
    DiscoveryReply(ConnId),
    /// Calls service discovery again.
    DiscoveryRetry,
    /// Migrates the next group of streams during a graceful shutdown.
    Migration,
}

/// Callback that receives each event for the policy and the actions that the policy returned.
pub type Observer = Box<dyn FnMut(Micros, &Event, &[Action]) + Send>;

/// State of one router. All maps are ordered, so that equal inputs produce equal outputs.
pub struct Core {
    config: Config,
    /// Value of the `via` header in calls to workers and service discovery.
    via: Arc<str>,
    policy: p::Router,
    now: Micros,
    outputs: Vec<Output>,
    /// Events queued for the policy; the policy's actions can queue further events.
    events: VecDeque<Event>,
    timers: Timers<TimerEvent>,
    clients: BTreeMap<ConnId, ClientConnection>,
    /// Clients whose next request may already have arrived.
    pending_clients: VecDeque<ConnId>,
    /// Connections to workers and to service discovery.
    connections: BTreeMap<ConnId, WorkerConnection>,
    idle_timeout: IdleTimeout,
    workers: BTreeMap<p::WorkerId, WorkerEndpoint>,
    requests: BTreeMap<p::RequestId, ActiveRequest>,
    /// Releases that no worker has answered yet.
    releases: BTreeMap<ReleaseId, Release>,
    identities: IdentityTable,
    budgets: Option<BudgetEnforcer>,
    discovery: DiscoveryState,
    /// Memory of request bodies that are being received or may still have to be sent.
    body_bytes: u64,
    next_connection: u64,
    next_request: u64,
    next_release: ReleaseId,
    /// Start time of the drain, during which new requests are rejected.
    draining_since: Option<Micros>,
    /// Whether all open requests were answered because the process is ending; no request is started after that.
    stopping: bool,
    /// Start time of the graceful shutdown.
    shutdown_since: Option<Micros>,
    observer: Option<Observer>,
    /// Counts of the current second; `None` if nobody reads them.
    tally: Option<Tally>,
    counters: Counters,
}

impl Core {
    /// Creates a core. `now` is in µs since 1970 and must follow a monotonic clock from then on, because request ids
    /// and the start times of workers depend on it.
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
            draining_since: None,
            stopping: false,
            shutdown_since: None,
            observer: None,
            tally: None,
            counters: Counters::default(),
        }
    }

    /// Enables an [`Output::Tally`] for each second in which anything was counted.
    pub fn enable_tally(&mut self) {
        self.tally = Some(Tally::default());
    }

    /// Calls `observer` with each event for the policy and the actions that the policy returned.
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
                self.note(
                    "list",
                    format!("cannot read the stored endpoint list, starting without it: {error:?}"),
                );
                Vec::new()
            }
            None => Vec::new(),
        };
        // Without service discovery the stored list is complete and current.
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
        // After an invalid entry the next call requests the complete list.
        self.discovery.version = list.invalid.is_empty().then_some(list.version);
        Ok(list.endpoints)
    }

    /// Processes one input and appends the resulting outputs.
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

    /// Time at which the next [`Input::Tick`] is needed.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
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

    /// Number of requests without a final answer, or with an open attempt or a reservation.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of releases that no worker has answered yet.
    pub fn open_releases(&self) -> usize {
        self.releases.len()
    }

    /// Number of client connections.
    pub fn open_clients(&self) -> usize {
        self.clients.len()
    }

    fn note(&mut self, topic: &'static str, text: String) {
        self.outputs.push(Output::Note(topic, text));
    }

    /// Passes events to the policy and reads clients' next requests until no work is left.
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
