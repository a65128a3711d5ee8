//! A deterministic simulation of control replicas and routers: time is simulated, the network can be partitioned, and the same
//! seed gives the same run. It drives the production state machines; messages are encoded, tagged and decoded as on a socket.

mod control;
mod network;
mod nodes;
mod routers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use self::network::Event;
use self::nodes::ReplicaNode;
pub use self::nodes::{Disk, Head, RecordingApplier, RouterNode};
use crate::authentication::SiteKey;
use crate::ballot::ReplicaId;
use crate::document::{Delta, Document};
use crate::history::{History, Retention};
use crate::publication::{PublishOutcome, Validator};
use crate::random::Xorshift64;
use crate::revision::{RevisionId, RevisionNumber};
use crate::sessions::SessionId;
use crate::subscriber::SubscriberInput;
use crate::time::Micros;

/// One second of simulated time, in µs.
pub const SECOND: Micros = 1_000_000;
/// The interval between heartbeats of replicas, in µs.
const HEARTBEAT_INTERVAL: Micros = SECOND;

/// An event with its time. Events with the same time occur in the order in which they were scheduled.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Micros,
    sequence: u64,
    event: Event,
}

/// Control replicas, routers and the network between them.
pub struct Simulation<'a> {
    now: Micros,
    scheduled: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    replica_count: u8,
    replica_nodes: Vec<ReplicaNode>,
    /// All routers; those with an even index are in the first region.
    pub routers: Vec<RouterNode>,
    router_by_session: BTreeMap<SessionId, usize>,
    next_session: u64,
    key: SiteKey,
    validator: &'a dyn Validator,
    random: Xorshift64,
    /// Whether the network between the two regions is partitioned.
    pub partitioned: bool,
    /// When the publication of each revision was requested.
    pub requested_at: BTreeMap<RevisionNumber, Micros>,
    /// For each revision and router, the time from the request until the router applied the revision, in µs.
    pub apply_delays: Vec<Micros>,
    /// The outcomes of all publications, in order.
    pub outcomes: Vec<PublishOutcome>,
    /// Number of reports by replicas and routers of different content under a number.
    pub diverged: u64,
    decided: BTreeMap<RevisionNumber, RevisionId>,
    /// Number of decisions that contradict an earlier decision on the same number; any value but 0 is a violation.
    pub conflicts: u64,
    /// Total bytes that control replicas received and sent.
    pub control_bytes: u64,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation of this many replicas and routers, all of which start with this document.
    pub fn new(
        replicas: u8,
        routers: usize,
        document: &Document,
        validator: &'a dyn Validator,
        seed: u64,
    ) -> Self {
        let history = History::new(RevisionNumber(0), document.clone(), Retention::default());
        let node = |index: u8| ReplicaNode::new(ReplicaId(index), replicas, &history);
        let router = |index: usize| RouterNode::new(document, replicas, seed + index as u64);
        let mut simulation = Self {
            now: SECOND,
            scheduled: 0,
            events: BinaryHeap::new(),
            replica_count: replicas,
            replica_nodes: (0..replicas).map(node).collect(),
            routers: (0..routers).map(router).collect(),
            router_by_session: BTreeMap::new(),
            next_session: 0,
            key: SiteKey::new([7; 32]),
            validator,
            random: Xorshift64::new(seed),
            partitioned: false,
            requested_at: BTreeMap::new(),
            apply_delays: Vec::new(),
            outcomes: Vec::new(),
            diverged: 0,
            decided: BTreeMap::new(),
            conflicts: 0,
            control_bytes: 0,
        };
        for replica in simulation.replica_ids() {
            let after = HEARTBEAT_INTERVAL / u64::from(replicas) * u64::from(replica.0);
            simulation.schedule(after, Event::Heartbeat { replica });
        }
        simulation
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an operator's publication of changes at a replica, `after` µs from now.
    pub fn publish(&mut self, replica: ReplicaId, changes: Delta, after: Micros) {
        self.schedule(after, Event::Publish { replica, changes });
    }

    /// Returns the newest number that a replica knows to be decided.
    pub fn number(&self, replica: ReplicaId) -> Option<RevisionNumber> {
        self.replica_nodes.get(usize::from(replica.0)).map(|node| node.replica.number())
    }

    /// Returns the distinct states of all running replicas and all routers: a single one if all agree.
    pub fn heads(&self) -> BTreeSet<Head> {
        let running = self.replica_nodes.iter().filter(|node| node.is_running);
        let replicas = running.map(|node| Head::of_history(node.replica.history()));
        let routers = self.routers.iter().map(|router| Head::of_subscriber(&router.subscriber));
        replicas.chain(routers).collect()
    }

    /// Runs the simulation for a span of simulated time, in µs.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let event_due = self.events.peek().map(|Reverse(next)| next.at);
            let router_due = self.next_due_router();
            let sessions_due = self.next_due_sessions();
            let router_due_at = router_due.map(|due| due.at);
            let next = [event_due, router_due_at, sessions_due].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= end) else { break };
            self.now = self.now.max(next);
            if event_due == Some(next) {
                if let Some(Reverse(scheduled)) = self.events.pop() {
                    self.handle(scheduled.event);
                }
            } else if let Some(due) = router_due.filter(|due| due.at == next) {
                self.router_input(due.router, SubscriberInput::Tick);
            } else {
                self.tick_sessions();
            }
        }
        self.now = end;
    }

    fn replica_ids(&self) -> impl Iterator<Item = ReplicaId> + use<> {
        (0..self.replica_count).map(ReplicaId)
    }

    fn next_due_router(&self) -> Option<DueRouter> {
        let due = |(router, node): (usize, &RouterNode)| DueRouter { at: node.subscriber.next_due(), router };
        self.routers.iter().enumerate().map(due).min()
    }

    fn next_due_sessions(&self) -> Option<Micros> {
        let running = self.replica_nodes.iter().filter(|node| node.is_running);
        running.filter_map(|node| node.sessions.next_due()).min()
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.scheduled += 1;
        let at = self.now + after;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.scheduled, event }));
    }
}

/// A router and when it is due. Ordered by time, then by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueRouter {
    at: Micros,
    router: usize,
}
