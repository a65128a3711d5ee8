//! The sans-IO core: inputs to outputs.

mod answers;
mod attempts;
mod budgets;
mod client_answers;
mod client_connection;
mod client_reading;
mod clients;
mod connection_events;
pub(crate) mod counters;
mod discovery;
mod job;
mod messages;
mod moves;
mod pool;
pub(crate) mod record;
mod relay;
mod releases;
mod replies;
mod requests;
pub(crate) mod tally;
pub(crate) mod transitions;
pub(crate) mod view;
mod worker_connection;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use chalkyard_budget::BudgetEnforcer;
use chalkyard_policy as p;
use chalkyard_policy::{Action, Event, Micros};

use crate::config::{Config, Tuned};
use crate::identity::Identities;
use crate::register;
use crate::timers::Timers;
use attempts::AttemptLimits;
use client_connection::Client;
use counters::Counters;
use job::Job;
pub use messages::{ConnId, FinishedLine, Input, Output};
use releases::Release;
use tally::Tally;
use worker_connection::{Engine, IdleTimeout, Link, ReleaseNo};

#[derive(Debug, Clone, PartialEq, Eq)]
enum Due {
    Module(p::TimerId),
    Client(ConnId),
    Connect(ConnId),
    EngineIdle(ConnId),
    Attempt(p::RequestId, p::AttemptNo),
    Stream(p::RequestId, p::AttemptNo),
    Overdue(p::RequestId),
    Release(ReleaseNo),
    Held(p::RequestId),
    HeldProof(ReleaseNo),
    Register(ConnId),
    Watch,
    Leaving,
}

/// Called with each event given to the module and the actions that came back.
pub type Observer = Box<dyn FnMut(Micros, &Event, &[Action]) + Send>;

/// One router's flow. All maps are ordered; the same inputs give the same outputs.
pub struct Core {
    config: Config,
    /// How this router names itself to engines and the register.
    via: Arc<str>,
    module: p::Router,
    now: Micros,
    out: Vec<Output>,
    /// Events for the module that wait: its actions can cause further ones.
    events: VecDeque<Event>,
    timers: Timers<Due>,
    clients: BTreeMap<ConnId, Client>,
    /// Clients whose next request can be looked for.
    ready: VecDeque<ConnId>,
    links: BTreeMap<ConnId, Link>,
    idle_timeout: IdleTimeout,
    engines: BTreeMap<p::WorkerId, Engine>,
    jobs: BTreeMap<p::RequestId, Job>,
    /// What is being let go of, until an engine has said so or its time is over.
    releases: BTreeMap<ReleaseNo, Release>,
    identities: Identities,
    budget_enforcer: Option<BudgetEnforcer>,
    held: register::Held,
    register: Option<ConnId>,
    /// The newest version of the list, where a dialect reads it.
    version: Option<u64>,
    /// When a dialect's source was last asked, and whether it may wait for news.
    asked: Micros,
    waits: bool,
    /// Its last call failed, or it has moved since.
    list_doubted: bool,
    /// When the list last changed.
    list_changed: Option<Micros>,
    /// Bytes of request bodies that came and may still have to be sent.
    bodies: u64,
    /// When a change was last found to be lost.
    gap: Option<Micros>,
    next_link: u64,
    next_request: u64,
    next_release: ReleaseNo,
    draining: bool,
    /// All that was open was answered since the process ends: nothing more is begun.
    stopping: bool,
    /// Told to leave, and when.
    left: Option<Micros>,
    /// A list of engines is known.
    has_list: bool,
    observer: Option<Observer>,
    /// What is done in the present second; none: nobody wants to know.
    tally: Option<Tally>,
    counters: Counters,
}

impl Core {
    /// A core at its start. `now` is in µs since 1970, measured by a monotonic clock from then on: ids of
    /// requests and the starts of workers are told by it.
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let module = p::Router::new(config.policy.clone(), seed);
        let identities = Identities::new(config.bounds.identities);
        let via = format!("1.1 {}", config.name).into();
        Self {
            config,
            via,
            module,
            now,
            out: Vec::new(),
            events: VecDeque::new(),
            timers: Timers::default(),
            clients: BTreeMap::new(),
            ready: VecDeque::new(),
            links: BTreeMap::new(),
            idle_timeout: IdleTimeout::default(),
            engines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            releases: BTreeMap::new(),
            identities,
            budget_enforcer: None,
            held: register::Held::default(),
            register: None,
            version: None,
            asked: Micros(0),
            waits: true,
            list_doubted: false,
            list_changed: None,
            bodies: 0,
            gap: None,
            next_link: 1,
            next_request: 0,
            next_release: ReleaseNo::default(),
            draining: false,
            stopping: false,
            left: None,
            has_list: false,
            observer: None,
            tally: None,
            counters: Counters::default(),
        }
    }

    /// Has told with [`Output::Tally`] what was done in each second in which anything was.
    pub fn count_seconds(&mut self) {
        self.tally = Some(Tally::default());
    }

    /// Has each event and the module's actions on it told to `observer`.
    pub fn observe(&mut self, observer: Observer) {
        self.observer = Some(observer);
    }

    /// Starts: the list of the last life, if any, is told as stale, and the register is asked.
    pub fn start(&mut self, now: Micros, last_list: Option<&str>, out: &mut Vec<Output>) {
        self.now = now;
        let dialect = self.config.dialect.clone();
        let stale = last_list.map(|text| match &dialect {
            Some(dialect) => {
                let list = dialect.list(text.as_bytes()).map_err(register::Wrong::Malformed);
                list.map(|list| {
                    // What could not be read of it is asked for with the whole list.
                    self.version = list.wrong.is_empty().then_some(list.version);
                    list.workers
                })
            }
            None => self.held.snapshot(text, &self.config),
        });
        let workers = match stale {
            Some(Ok(named)) => {
                self.has_list = true;
                self.learn(named, true)
            }
            Some(Err(wrong)) => {
                self.note("list", format!("the kept list can't be read, starting without: {wrong:?}"));
                Vec::new()
            }
            None => Vec::new(),
        };
        // Without a register the list given is all there is, and current.
        let update = if self.config.register.is_some() {
            p::EndpointUpdate::LastKnown
        } else {
            p::EndpointUpdate::Snapshot
        };
        self.events.push_back(Event::Endpoints { update, workers });
        if self.config.policy.discovery == p::Discovery::Push {
            self.watch_register();
        }
        self.pump();
        out.append(&mut self.out);
    }

    /// Takes one input and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.tell_tally();
        match input {
            Input::Accepted(conn) => self.accepted(conn),
            Input::Connected(conn) => self.connected(conn),
            Input::Lost(conn) if self.clients.contains_key(&conn) => self.client_lost(conn),
            Input::Lost(conn) => self.link_lost(conn),
            Input::Unconnected(conn) => self.unconnected(conn),
            Input::Bytes(conn, bytes) if self.clients.contains_key(&conn) => self.client_bytes(conn, bytes),
            Input::Bytes(conn, bytes) => self.link_bytes(conn, bytes),
            Input::Eof(conn) if self.clients.contains_key(&conn) => self.client_eof(conn),
            Input::Eof(conn) => self.link_eof(conn),
            Input::Wrote(conn, bytes) => self.wrote(conn, bytes),
            Input::Tick => {}
            Input::Granted(grant) => self.granted(&grant),
            Input::Writable(writable) => self.writable(writable),
            Input::Checkpoint => self.checkpoint(),
            Input::Replan(plan) => self.replan(*plan),
            Input::Retune(tuned) => self.retune(*tuned),
            Input::Inherited(settled) => self.inherited(&settled),
            Input::Register(address) => self.move_register(address),
            Input::InheritedAll => self.inherited_all(),
        }
        while let Some(due) = self.timers.pop(self.now) {
            self.due(due);
            self.pump();
        }
        self.pump();
        out.append(&mut self.out);
    }

    /// When [`Input::Tick`] is next needed.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Is not ready any more, but goes on taking what still comes: others hear of it only by and by.
    pub fn leave(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.left = Some(self.now);
        if let Some((from, _)) = self.config.waits.leaving {
            self.timers.set(self.now + from, Due::Leaving);
        }
    }

    /// Takes no new requests; what is open goes on. Idle clients are closed, those that have just come are heard first.
    pub fn drain(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.draining = true;
        self.close_idle_clients();
        self.pump();
        out.append(&mut self.out);
    }

    fn retune(&mut self, tuned: Tuned) {
        let Tuned { keys, classes, bounds, waits } = tuned;
        for (tenant, may) in self.config.tenants.iter_mut().zip(classes) {
            tenant.classes = may;
        }
        self.config.keys = keys;
        self.config.bounds = bounds;
        self.config.waits = waits;
    }

    /// Takes requests again.
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    /// Requests without a final answer or with something still out or held.
    pub fn open_requests(&self) -> usize {
        self.jobs.len()
    }

    /// What engines have not said yet that they let go of, within the told release time.
    pub fn open_releases(&self) -> usize {
        self.releases.len()
    }

    /// Client connections.
    pub fn open_clients(&self) -> usize {
        self.clients.len()
    }

    fn note(&mut self, what: &'static str, text: String) {
        self.out.push(Output::Note(what, text));
    }

    /// Feeds the module and looks for clients' next requests until nothing is left to do.
    fn pump(&mut self) {
        loop {
            while let Some(event) = self.events.pop_front() {
                let mut actions = Vec::new();
                let seen = self.observer.is_some().then(|| event.clone());
                self.module.handle(self.now, event, &mut actions);
                if let Some((observer, event)) = self.observer.as_mut().zip(seen) {
                    observer(self.now, &event, &actions);
                }
                for action in actions {
                    self.act(action);
                }
            }
            let Some(conn) = self.ready.pop_front() else { return };
            self.drive_client(conn);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, worker, timeout, connect_timeout, kind } => {
                self.send(&id, worker, AttemptLimits { give_up: timeout, connect: connect_timeout }, kind);
            }
            Action::Cancel { id, attempt } => self.cancel(&id, attempt),
            Action::Reject { id, retry_after, reason } => self.refuse(&id, retry_after, reason),
            Action::Fail { id, reason } => self.fail(&id, reason),
            Action::Migrate(id) => self.move_on(&id),
            Action::ReleaseReservation(id) => self.let_go(&id),
            Action::SetTimer { timer, after } => {
                self.timers.set(self.now + after, Due::Module(timer));
            }
            Action::Subscribe => self.watch_register(),
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Module(timer) => self.events.push_back(Event::Timer(timer)),
            Due::Client(conn) => self.client_due(conn),
            Due::Connect(conn) => self.connect_due(conn),
            Due::EngineIdle(conn) => self.idle_due(conn),
            Due::Attempt(id, no) => self.attempt_due(&id, no),
            Due::Stream(id, no) => self.stream_due(&id, no),
            Due::Overdue(id) => self.overdue(&id),
            Due::Release(no) => self.release_due(no),
            Due::Held(id) => self.held_due(&id),
            Due::HeldProof(no) => self.held_proof_due(no),
            Due::Register(conn) => self.register_due(conn),
            Due::Watch => self.watch_register(),
            Due::Leaving => self.leaving_due(),
        }
    }

    fn wrote(&mut self, conn: ConnId, bytes: usize) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.wrote(self.now, bytes as u64);
            self.client_drained(conn);
        } else {
            self.link_wrote(conn, bytes as u64);
        }
    }
}
