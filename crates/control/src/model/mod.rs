//! Control replicas and routers in fed time, with a network that can be cut: the same code that sockets would drive, the
//! same result for the same seed. Messages are encoded, sealed and read as on a wire.

mod nodes;
mod routers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use self::nodes::{ControlNode, Disk};
pub use self::nodes::{InForce, RouterNode};
use crate::acceptor::Acceptor;
use crate::authentication::SiteKey;
use crate::document::{Delta, Document};
use crate::history::{History, Retention};
use crate::messages::Message;
use crate::replica::{Check, Outcome, Output, Replica, ReplicaId};
use crate::revision::Number;
use crate::sessions::{SessionId, SubscriberSessions};
use crate::subscriber::{Input, Subscriber, Time};

/// A second of the model's time.
pub const SECOND: Time = 1_000_000;
/// On the way within a region, and between two.
const NEAR: Time = 1_000;
const FAR: Time = 10_000;
/// Machines greet each other so often.
const GREETING: Time = SECOND;
/// A publication that is not decided is tried again after so long, and so much more by a draw.
const RETRY: Time = 200_000;
const RETRY_DRAW: Time = 300_000;
/// ... and given up after so long.
const GIVE_UP: Time = 10 * SECOND;
/// Bytes of a frame before its message.
const FRAME_BYTES: u64 = 4;

/// What happens later.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ToReplica(ReplicaId, ReplicaId, Vec<u8>),
    /// On this connection.
    FromRouter(ReplicaId, SessionId, Vec<u8>),
    ToRouter(SessionId, Vec<u8>),
    Stands(usize, ReplicaId),
    Fails(usize, ReplicaId),
    Greet(ReplicaId),
    Publish(ReplicaId, Delta),
    Retry(ReplicaId),
    GiveUp(ReplicaId, Time),
}

/// All of it.
pub struct Model<'a> {
    now: Time,
    order: u64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    controls: Vec<ControlNode>,
    /// Routers, the even ones in the first region.
    pub routers: Vec<RouterNode>,
    by_connection: BTreeMap<SessionId, usize>,
    next_connection: u64,
    key: SiteKey,
    check: &'a dyn Check,
    random: u64,
    /// The regions do not reach each other.
    pub cut: bool,
    /// When each number's change was asked for.
    pub asked: BTreeMap<Number, Time>,
    /// How long each change took to be in force at each router, µs.
    pub spread: Vec<Time>,
    /// What came of publications.
    pub outcomes: Vec<Outcome>,
    /// Told by replicas or routers: another content under a number.
    pub diverged: u64,
    /// What was decided, by number.
    decided: BTreeMap<Number, crate::revision::RevisionId>,
    /// Numbers that were decided twice: none.
    pub conflicts: u64,
    /// Bytes that control replicas got and sent.
    pub control_bytes: u64,
}

impl<'a> Model<'a> {
    /// So many replicas and routers, all of which hold this.
    pub fn new(replicas: u8, routers: usize, document: &Document, check: &'a dyn Check, seed: u64) -> Self {
        let history = History::new(Number(0), document.clone(), Retention::default());
        let control = |n: u8| ControlNode {
            replica: Replica::new(ReplicaId(n), replicas, history.clone(), None),
            sessions: SubscriberSessions::default(),
            disk: Disk { history: history.clone(), votes: None },
            up: true,
            asked: None,
        };
        let router = |n: usize| RouterNode {
            subscriber: Subscriber::new(Number(0), document.clone(), replicas, seed + n as u64),
            in_force: InForce::default(),
            connection: None,
            bytes: 0,
            work_ns: 0,
            newest: Number(0),
            went_back: 0,
        };
        let mut model = Self {
            now: SECOND,
            order: 0,
            events: BinaryHeap::new(),
            controls: (0..replicas).map(control).collect(),
            routers: (0..routers).map(router).collect(),
            by_connection: BTreeMap::new(),
            next_connection: 0,
            key: SiteKey::new([7; 32]),
            check,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            cut: false,
            asked: BTreeMap::new(),
            spread: Vec::new(),
            outcomes: Vec::new(),
            diverged: 0,
            decided: BTreeMap::new(),
            conflicts: 0,
            control_bytes: 0,
        };
        for n in 0..replicas {
            model.later(GREETING / u64::from(replicas) * u64::from(n), Event::Greet(ReplicaId(n)));
        }
        model
    }

    /// The model's time.
    pub fn now(&self) -> Time {
        self.now
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % most.max(1)
    }

    fn later(&mut self, after: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((self.now + after, self.order, event)));
    }

    /// An operator asks a replica for a change.
    pub fn publish(&mut self, replica: ReplicaId, changes: Delta, after: Time) {
        self.later(after, Event::Publish(replica, changes));
    }

    /// A replica's process ends, and its connections with it.
    pub fn kill(&mut self, replica: ReplicaId) {
        if let Some(control) = self.controls.get_mut(usize::from(replica.0)) {
            control.up = false;
            control.asked = None;
            control.sessions = SubscriberSessions::default();
        }
        for n in 0..self.routers.len() {
            if self.routers.get(n).is_some_and(|r| r.connection.is_some_and(|(to, _)| to == replica)) {
                self.router_input(n, Input::Lost);
            }
        }
    }

    /// It comes back with its disk, or with a copy of it from a time at which it held an older number.
    pub fn start(&mut self, replica: ReplicaId, old_disk: Option<(History, Option<Acceptor>)>) {
        let replicas = self.controls.len() as u8;
        let Some(control) = self.controls.get_mut(usize::from(replica.0)) else { return };
        if let Some((history, votes)) = old_disk {
            control.disk = Disk { history, votes };
        }
        let disk = control.disk.clone();
        control.replica = Replica::new(replica, replicas, disk.history, disk.votes);
        control.up = true;
        self.later(0, Event::Greet(replica));
    }

    /// A copy of a replica's disk.
    pub fn disk(&self, replica: ReplicaId) -> Option<(History, Option<Acceptor>)> {
        let control = self.controls.get(usize::from(replica.0))?;
        Some((control.disk.history.clone(), control.disk.votes.clone()))
    }

    /// The newest number that a replica knows.
    pub fn number(&self, replica: ReplicaId) -> Option<Number> {
        self.controls.get(usize::from(replica.0)).map(|c| c.replica.number())
    }

    /// The digests of all replicas that run and of all routers.
    pub fn digests(&self) -> BTreeSet<(Number, crate::digest::Digest)> {
        let replicas = self.controls.iter().filter(|c| c.up);
        let replicas = replicas.map(|c| (c.replica.number(), c.replica.history().document().digest()));
        let routers = self.routers.iter().map(|r| (r.subscriber.number(), r.subscriber.document().digest()));
        replicas.chain(routers).collect()
    }

    /// Goes on for a span.
    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        loop {
            let event = self.events.peek().map(|Reverse((at, ..))| *at);
            let router = (0..self.routers.len())
                .filter_map(|n| Some((self.routers.get(n)?.subscriber.next_due(), n)))
                .min();
            let session_due =
                self.controls.iter().filter(|c| c.up).filter_map(|c| c.sessions.next_due()).min();
            let next = [event, router.map(|r| r.0), session_due].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= end) else { break };
            self.now = self.now.max(next);
            if event == Some(next) {
                if let Some(Reverse((_, _, event))) = self.events.pop() {
                    self.take(event);
                }
            } else if let Some((_, n)) = router.filter(|(at, _)| *at == next) {
                self.router_input(n, Input::Tick);
            } else {
                self.session_ticks();
            }
        }
        self.now = end;
    }

    fn region(&self, replica: ReplicaId) -> usize {
        usize::from(usize::from(replica.0) >= self.controls.len().div_ceil(2))
    }

    /// How long between two regions; none: they don't reach each other.
    fn way(&mut self, a: usize, b: usize) -> Option<Time> {
        let far = a != b;
        if far && self.cut {
            return None;
        }
        let way = if far { FAR } else { NEAR };
        Some(way + self.draw(way))
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::ToReplica(from, to, bytes) => self.at_replica(from, to, &bytes),
            Event::FromRouter(replica, connection, bytes) => self.at_sessions(replica, connection, &bytes),
            Event::ToRouter(connection, bytes) => {
                if let Some(n) = self.by_connection.get(&connection).copied() {
                    self.at_router(n, &bytes);
                }
            }
            Event::Stands(n, replica) => self.stands(n, replica),
            Event::Fails(n, replica) => {
                let waits = self.routers.get(n).is_some_and(|r| r.subscriber.replica() == (replica, false));
                if waits {
                    self.router_input(n, Input::Lost);
                }
            }
            Event::Greet(replica) => self.greet(replica),
            Event::Publish(replica, changes) => self.ask(replica, changes),
            Event::Retry(replica) => self.retry(replica),
            Event::GiveUp(replica, asked) => {
                let is_same = |c: &&mut ControlNode| c.asked.as_ref().is_some_and(|(at, _)| *at == asked);
                if let Some(control) = self.controls.get_mut(usize::from(replica.0)).filter(is_same) {
                    let mut out = Vec::new();
                    control.replica.give_up(&mut out);
                    self.carry_out(replica, out);
                }
            }
        }
    }

    fn greet(&mut self, replica: ReplicaId) {
        let Some(control) = self.controls.get(usize::from(replica.0)).filter(|c| c.up) else { return };
        let greeting = control.replica.greeting();
        for n in 0..self.controls.len() as u8 {
            if ReplicaId(n) != replica {
                self.send_replica(replica, ReplicaId(n), &greeting);
            }
        }
        self.later(GREETING, Event::Greet(replica));
    }

    fn ask(&mut self, replica: ReplicaId, changes: Delta) {
        let (now, check) = (self.now, self.check);
        let Some(control) = self.controls.get_mut(usize::from(replica.0)).filter(|c| c.up) else {
            return self.outcomes.push(Outcome::NoQuorum);
        };
        if control.asked.is_some() {
            return self.outcomes.push(Outcome::Busy);
        }
        control.asked = Some((now, changes.clone()));
        let mut out = Vec::new();
        control.replica.publish(changes, &format!("operator at {}", replica.0), check, &mut out);
        self.carry_out(replica, out);
        let pause = RETRY + self.draw(RETRY_DRAW);
        self.later(pause, Event::Retry(replica));
        self.later(GIVE_UP, Event::GiveUp(replica, now));
    }

    fn retry(&mut self, replica: ReplicaId) {
        let check = self.check;
        let publishing = |c: &&mut ControlNode| c.up && c.replica.is_publishing();
        let Some(control) = self.controls.get_mut(usize::from(replica.0)).filter(publishing) else { return };
        let mut out = Vec::new();
        control.replica.retry(check, &mut out);
        self.carry_out(replica, out);
        let pause = RETRY + self.draw(RETRY_DRAW);
        self.later(pause, Event::Retry(replica));
    }

    fn send_replica(&mut self, from: ReplicaId, to: ReplicaId, message: &Message) {
        let Some(way) = self.way(self.region(from), self.region(to)) else { return };
        let bytes = message.encode(&self.key);
        self.control_bytes += 2 * (bytes.len() as u64 + FRAME_BYTES);
        self.later(way, Event::ToReplica(from, to, bytes));
    }

    fn at_replica(&mut self, from: ReplicaId, to: ReplicaId, bytes: &[u8]) {
        let Ok(message) = Message::decode(&self.key, bytes) else { return };
        let Some(control) = self.controls.get_mut(usize::from(to.0)).filter(|c| c.up) else { return };
        let mut out = Vec::new();
        control.replica.take(from, message, &mut out);
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, replica: ReplicaId, out: Vec<Output>) {
        for output in out {
            let Some(control) = self.controls.get_mut(usize::from(replica.0)) else { return };
            match output {
                Output::Send(to, message) => self.send_replica(replica, to, &message),
                Output::Persist(votes) => control.disk.votes = Some(votes),
                Output::Keep(revision) => {
                    // The disk follows the replica, which has taken it.
                    let _ = control.disk.history.take(revision.clone());
                    let mut messages = Vec::new();
                    control.sessions.broadcast(&revision, &mut messages);
                    let known = self.decided.insert(revision.number, revision.id());
                    self.conflicts += u64::from(known.is_some_and(|known| known != revision.id()));
                    self.send_routers(replica, messages);
                }
                Output::KeepWhole(_) => control.disk.history = control.replica.history().clone(),
                Output::Done(outcome) => {
                    if let (Outcome::Published(number), Some((at, _))) = (&outcome, control.asked.take()) {
                        self.asked.insert(*number, at);
                    }
                    control.asked = None;
                    self.outcomes.push(outcome);
                }
                Output::Diverged(..) => self.diverged += 1,
            }
        }
    }

    fn send_routers(&mut self, replica: ReplicaId, messages: Vec<(SessionId, Message)>) {
        let mut last: Option<(Message, Vec<u8>)> = None;
        for (connection, message) in messages {
            // One message to many is sealed once.
            let bytes = match last.take().filter(|(same, _)| *same == message) {
                Some((_, bytes)) => bytes,
                None => message.encode(&self.key),
            };
            last = Some((message, bytes.clone()));
            let Some(n) = self.by_connection.get(&connection).copied() else { continue };
            let Some(way) = self.way(self.region(replica), n % 2) else { continue };
            self.control_bytes += bytes.len() as u64 + FRAME_BYTES;
            self.later(way, Event::ToRouter(connection, bytes));
        }
    }

    fn session_ticks(&mut self) {
        let now = self.now;
        for n in 0..self.controls.len() {
            let Some(control) = self.controls.get_mut(n).filter(|c| c.up) else { continue };
            let mut messages = Vec::new();
            control.sessions.tick(now, control.replica.history(), &mut messages);
            self.send_routers(ReplicaId(n as u8), messages);
        }
    }

    fn at_sessions(&mut self, replica: ReplicaId, connection: SessionId, bytes: &[u8]) {
        let Ok(message) = Message::decode(&self.key, bytes) else { return };
        let now = self.now;
        let Some(control) = self.controls.get_mut(usize::from(replica.0)).filter(|c| c.up) else { return };
        let mut messages = Vec::new();
        control.sessions.receive(connection, now, message, control.replica.history(), &mut messages);
        self.send_routers(replica, messages);
        self.session_ticks();
    }
}
