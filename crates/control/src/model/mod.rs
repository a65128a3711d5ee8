//! Control machines and routers in fed time, with a network that can be cut: the same code that sockets would drive, the
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
use crate::machine::{Check, Machine, MachineId, Outcome, Output};
use crate::messages::Message;
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
    ToMachine(MachineId, MachineId, Vec<u8>),
    /// On this connection.
    FromRouter(MachineId, SessionId, Vec<u8>),
    ToRouter(SessionId, Vec<u8>),
    Stands(usize, MachineId),
    Fails(usize, MachineId),
    Greet(MachineId),
    Publish(MachineId, Delta),
    Retry(MachineId),
    GiveUp(MachineId, Time),
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
    /// Told by machines or routers: another content under a number.
    pub diverged: u64,
    /// What was decided, by number.
    decided: BTreeMap<Number, crate::revision::RevisionId>,
    /// Numbers that were decided twice: none.
    pub conflicts: u64,
    /// Bytes that control machines got and sent.
    pub control_bytes: u64,
}

impl<'a> Model<'a> {
    /// So many machines and routers, all of which hold this.
    pub fn new(machines: u8, routers: usize, document: &Document, check: &'a dyn Check, seed: u64) -> Self {
        let history = History::new(Number(0), document.clone(), Retention::default());
        let control = |n: u8| ControlNode {
            machine: Machine::new(MachineId(n), machines, history.clone(), None),
            sessions: SubscriberSessions::default(),
            disk: Disk { history: history.clone(), votes: None },
            up: true,
            asked: None,
        };
        let router = |n: usize| RouterNode {
            subscriber: Subscriber::new(Number(0), document.clone(), machines, seed + n as u64),
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
            controls: (0..machines).map(control).collect(),
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
        for n in 0..machines {
            model.later(GREETING / u64::from(machines) * u64::from(n), Event::Greet(MachineId(n)));
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

    /// An operator asks a machine for a change.
    pub fn publish(&mut self, machine: MachineId, changes: Delta, after: Time) {
        self.later(after, Event::Publish(machine, changes));
    }

    /// A machine's process ends, and its connections with it.
    pub fn kill(&mut self, machine: MachineId) {
        if let Some(control) = self.controls.get_mut(usize::from(machine.0)) {
            control.up = false;
            control.asked = None;
            control.sessions = SubscriberSessions::default();
        }
        for n in 0..self.routers.len() {
            if self.routers.get(n).is_some_and(|r| r.connection.is_some_and(|(to, _)| to == machine)) {
                self.router_input(n, Input::Lost);
            }
        }
    }

    /// It comes back with its disk, or with a copy of it from a time at which it held an older number.
    pub fn start(&mut self, machine: MachineId, old_disk: Option<(History, Option<Acceptor>)>) {
        let machines = self.controls.len() as u8;
        let Some(control) = self.controls.get_mut(usize::from(machine.0)) else { return };
        if let Some((history, votes)) = old_disk {
            control.disk = Disk { history, votes };
        }
        let disk = control.disk.clone();
        control.machine = Machine::new(machine, machines, disk.history, disk.votes);
        control.up = true;
        self.later(0, Event::Greet(machine));
    }

    /// A copy of a machine's disk.
    pub fn disk(&self, machine: MachineId) -> Option<(History, Option<Acceptor>)> {
        let control = self.controls.get(usize::from(machine.0))?;
        Some((control.disk.history.clone(), control.disk.votes.clone()))
    }

    /// The newest number that a machine knows.
    pub fn number(&self, machine: MachineId) -> Option<Number> {
        self.controls.get(usize::from(machine.0)).map(|c| c.machine.number())
    }

    /// The digests of all machines that run and of all routers.
    pub fn digests(&self) -> BTreeSet<(Number, crate::digest::Digest)> {
        let machines = self.controls.iter().filter(|c| c.up);
        let machines = machines.map(|c| (c.machine.number(), c.machine.history().document().digest()));
        let routers = self.routers.iter().map(|r| (r.subscriber.number(), r.subscriber.document().digest()));
        machines.chain(routers).collect()
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

    fn region(&self, machine: MachineId) -> usize {
        usize::from(usize::from(machine.0) >= self.controls.len().div_ceil(2))
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
            Event::ToMachine(from, to, bytes) => self.at_machine(from, to, &bytes),
            Event::FromRouter(machine, connection, bytes) => self.at_sessions(machine, connection, &bytes),
            Event::ToRouter(connection, bytes) => {
                if let Some(n) = self.by_connection.get(&connection).copied() {
                    self.at_router(n, &bytes);
                }
            }
            Event::Stands(n, machine) => self.stands(n, machine),
            Event::Fails(n, machine) => {
                let waits = self.routers.get(n).is_some_and(|r| r.subscriber.machine() == (machine, false));
                if waits {
                    self.router_input(n, Input::Lost);
                }
            }
            Event::Greet(machine) => self.greet(machine),
            Event::Publish(machine, changes) => self.ask(machine, changes),
            Event::Retry(machine) => self.retry(machine),
            Event::GiveUp(machine, asked) => {
                let is_same = |c: &&mut ControlNode| c.asked.as_ref().is_some_and(|(at, _)| *at == asked);
                if let Some(control) = self.controls.get_mut(usize::from(machine.0)).filter(is_same) {
                    let mut out = Vec::new();
                    control.machine.give_up(&mut out);
                    self.carry_out(machine, out);
                }
            }
        }
    }

    fn greet(&mut self, machine: MachineId) {
        let Some(control) = self.controls.get(usize::from(machine.0)).filter(|c| c.up) else { return };
        let greeting = control.machine.greeting();
        for n in 0..self.controls.len() as u8 {
            if MachineId(n) != machine {
                self.send_machine(machine, MachineId(n), &greeting);
            }
        }
        self.later(GREETING, Event::Greet(machine));
    }

    fn ask(&mut self, machine: MachineId, changes: Delta) {
        let (now, check) = (self.now, self.check);
        let Some(control) = self.controls.get_mut(usize::from(machine.0)).filter(|c| c.up) else {
            return self.outcomes.push(Outcome::NoQuorum);
        };
        if control.asked.is_some() {
            return self.outcomes.push(Outcome::Busy);
        }
        control.asked = Some((now, changes.clone()));
        let mut out = Vec::new();
        control.machine.publish(changes, &format!("operator at {}", machine.0), check, &mut out);
        self.carry_out(machine, out);
        let pause = RETRY + self.draw(RETRY_DRAW);
        self.later(pause, Event::Retry(machine));
        self.later(GIVE_UP, Event::GiveUp(machine, now));
    }

    fn retry(&mut self, machine: MachineId) {
        let check = self.check;
        let publishing = |c: &&mut ControlNode| c.up && c.machine.is_publishing();
        let Some(control) = self.controls.get_mut(usize::from(machine.0)).filter(publishing) else { return };
        let mut out = Vec::new();
        control.machine.retry(check, &mut out);
        self.carry_out(machine, out);
        let pause = RETRY + self.draw(RETRY_DRAW);
        self.later(pause, Event::Retry(machine));
    }

    fn send_machine(&mut self, from: MachineId, to: MachineId, message: &Message) {
        let Some(way) = self.way(self.region(from), self.region(to)) else { return };
        let bytes = message.encode(&self.key);
        self.control_bytes += 2 * (bytes.len() as u64 + FRAME_BYTES);
        self.later(way, Event::ToMachine(from, to, bytes));
    }

    fn at_machine(&mut self, from: MachineId, to: MachineId, bytes: &[u8]) {
        let Ok(message) = Message::decode(&self.key, bytes) else { return };
        let Some(control) = self.controls.get_mut(usize::from(to.0)).filter(|c| c.up) else { return };
        let mut out = Vec::new();
        control.machine.take(from, message, &mut out);
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, machine: MachineId, out: Vec<Output>) {
        for output in out {
            let Some(control) = self.controls.get_mut(usize::from(machine.0)) else { return };
            match output {
                Output::Send(to, message) => self.send_machine(machine, to, &message),
                Output::Persist(votes) => control.disk.votes = Some(votes),
                Output::Keep(revision) => {
                    // The disk follows the machine, which has taken it.
                    let _ = control.disk.history.take(revision.clone());
                    let mut messages = Vec::new();
                    control.sessions.broadcast(&revision, &mut messages);
                    let known = self.decided.insert(revision.number, revision.id());
                    self.conflicts += u64::from(known.is_some_and(|known| known != revision.id()));
                    self.send_routers(machine, messages);
                }
                Output::KeepWhole(_) => control.disk.history = control.machine.history().clone(),
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

    fn send_routers(&mut self, machine: MachineId, messages: Vec<(SessionId, Message)>) {
        let mut last: Option<(Message, Vec<u8>)> = None;
        for (connection, message) in messages {
            // One message to many is sealed once.
            let bytes = match last.take().filter(|(same, _)| *same == message) {
                Some((_, bytes)) => bytes,
                None => message.encode(&self.key),
            };
            last = Some((message, bytes.clone()));
            let Some(n) = self.by_connection.get(&connection).copied() else { continue };
            let Some(way) = self.way(self.region(machine), n % 2) else { continue };
            self.control_bytes += bytes.len() as u64 + FRAME_BYTES;
            self.later(way, Event::ToRouter(connection, bytes));
        }
    }

    fn session_ticks(&mut self) {
        let now = self.now;
        for n in 0..self.controls.len() {
            let Some(control) = self.controls.get_mut(n).filter(|c| c.up) else { continue };
            let mut messages = Vec::new();
            control.sessions.tick(now, control.machine.history(), &mut messages);
            self.send_routers(MachineId(n as u8), messages);
        }
    }

    fn at_sessions(&mut self, machine: MachineId, connection: SessionId, bytes: &[u8]) {
        let Ok(message) = Message::decode(&self.key, bytes) else { return };
        let now = self.now;
        let Some(control) = self.controls.get_mut(usize::from(machine.0)).filter(|c| c.up) else { return };
        let mut messages = Vec::new();
        control.sessions.receive(connection, now, message, control.machine.history(), &mut messages);
        self.send_routers(machine, messages);
        self.session_ticks();
    }
}
