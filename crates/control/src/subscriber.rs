//! A router's link to the control replicas: one connection at a time, moved on from one that is silent.

use crate::document::{Delta, Document};
use crate::follower::{Follower, Taken};
use crate::messages::Message;
use crate::replica::ReplicaId;
use crate::revision::Number;

/// A time by a monotonic clock, µs.
pub type Time = u64;

/// The router says what it holds so often; the replica answers with what it holds itself.
const GREETING: Time = 3_000_000;
/// A replica that has said nothing for so long after a greeting is left for the next one.
const SILENCE: Time = 2_000_000;
/// A connection has so long to stand.
const CONNECT: Time = 1_000_000;
/// Before the next try after a lost connection: so long at least, and up to twice as long for each try in a row.
const PAUSE: Time = 250_000;
const PAUSE_DOUBLINGS: u32 = 3;
/// Numbers that are held back are remembered up to so many; the oldest go first.
const HELD_BACK: usize = 64;

/// What puts a configuration in force.
pub trait Apply {
    /// Puts changes in force, all of them or none. Costs what the changes do.
    ///
    /// # Errors
    /// Says why this router can't.
    fn apply(&mut self, number: Number, delta: &Delta) -> Result<(), String>;

    /// Puts a whole in force.
    ///
    /// # Errors
    /// Says why this router can't.
    fn apply_whole(&mut self, number: Number, document: &Document) -> Result<(), String>;
}

/// What happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The connection that was asked for stands.
    Connected,
    /// It does not, or is lost.
    Lost,
    /// A message came on it.
    Message(Box<Message>),
    /// Time has passed.
    Tick,
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Connect to this replica; there is no other connection.
    Connect(ReplicaId),
    /// Send on the connection.
    Send(Message),
    /// Close the connection.
    Close,
    /// This number is in force since now: keep it as the last known good.
    InForce(Number),
    /// This number is held back, for this reason: an operator is told.
    HeldBack(Number, String),
    /// The replica tells another history than is held: an operator is told, and another replica asked.
    OtherHistory(ReplicaId, Number),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    /// None; the next try is due then.
    None {
        retry: Time,
    },
    Connecting {
        until: Time,
    },
    Open {
        heard: Time,
        greeted: Time,
    },
}

/// One router's link.
#[derive(Debug, Clone)]
pub struct Subscriber {
    follower: Follower,
    replicas: u8,
    replica: ReplicaId,
    connection: Connection,
    tries: u32,
    random: u64,
    held_back: Vec<Number>,
}

impl Subscriber {
    /// A link that begins with what the router holds. The seed spreads routers over replicas and times.
    pub fn new(number: Number, document: Document, replicas: u8, seed: u64) -> Self {
        let mut subscriber = Self {
            follower: Follower::new(number, document),
            replicas: replicas.max(1),
            replica: ReplicaId(0),
            connection: Connection::None { retry: 0 },
            tries: 0,
            // Never 0, from which nothing is drawn.
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            held_back: Vec::new(),
        };
        subscriber.replica = ReplicaId(subscriber.draw(u64::from(subscriber.replicas)) as u8);
        subscriber
    }

    /// The newest number that is held.
    pub fn number(&self) -> Number {
        self.follower.number()
    }

    /// What is held.
    pub fn document(&self) -> &Document {
        self.follower.document()
    }

    /// Numbers that could not be put in force.
    pub fn held_back(&self) -> &[Number] {
        &self.held_back
    }

    /// The replica that is asked, and whether the connection to it stands.
    pub fn replica(&self) -> (ReplicaId, bool) {
        (self.replica, matches!(self.connection, Connection::Open { .. }))
    }

    /// When [`Input::Tick`] is next needed.
    pub fn next_due(&self) -> Time {
        match self.connection {
            Connection::None { retry } => retry,
            Connection::Connecting { until } => until,
            Connection::Open { heard, greeted } if heard < greeted => greeted + SILENCE,
            Connection::Open { greeted, .. } => greeted + GREETING,
        }
    }

    /// xorshift: below `most`.
    fn draw(&mut self, most: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % most.max(1)
    }

    /// Takes an input.
    pub fn handle(&mut self, now: Time, input: Input, apply: &mut dyn Apply, actions: &mut Vec<Action>) {
        match input {
            Input::Connected => self.greet(now, now, actions),
            Input::Lost => self.lost(now),
            Input::Message(message) => self.message(now, *message, apply, actions),
            Input::Tick => self.tick(now, actions),
        }
    }

    fn greet(&mut self, now: Time, heard: Time, actions: &mut Vec<Action>) {
        let (number, digest) = (self.follower.number(), self.follower.document().digest());
        // A greeting later than it is: routers that began together get out of step.
        let jitter = self.draw(GREETING / 10);
        self.connection = Connection::Open { heard, greeted: now.saturating_sub(jitter).max(1) };
        actions.push(Action::Send(Message::Holds { number, digest }));
    }

    /// The next replica, after a pause that grows with the tries and is drawn from a span that does.
    fn lost(&mut self, now: Time) {
        self.replica = ReplicaId((self.replica.0 + 1) % self.replicas);
        let span = PAUSE << self.tries.min(PAUSE_DOUBLINGS);
        self.tries = self.tries.saturating_add(1);
        let retry = now + PAUSE + self.draw(span);
        self.connection = Connection::None { retry };
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_due() {
            return;
        }
        match self.connection {
            Connection::None { .. } => {
                self.connection = Connection::Connecting { until: now + CONNECT };
                actions.push(Action::Connect(self.replica));
            }
            Connection::Open { heard, greeted } if heard >= greeted => self.greet(now, heard, actions),
            Connection::Connecting { .. } | Connection::Open { .. } => {
                actions.push(Action::Close);
                self.lost(now);
            }
        }
    }

    fn message(&mut self, now: Time, message: Message, apply: &mut dyn Apply, actions: &mut Vec<Action>) {
        let Connection::Open { greeted, .. } = self.connection else { return };
        self.connection = Connection::Open { heard: now.max(greeted), greeted };
        self.tries = 0;
        match message {
            Message::Decided(revision) => {
                let (number, delta) = (revision.number, revision.delta.clone());
                let taken = self.follower.take(revision);
                self.taken(now, taken, number, |number| apply.apply(number, &delta), actions);
            }
            Message::Whole { number, entries } => {
                let taken = match Document::new(entries) {
                    Ok(document) => self.follower.take_whole(number, document),
                    Err(why) => Taken::NotApplied(why.to_string()),
                };
                let document = self.follower.document().clone();
                self.taken(now, taken, number, |number| apply.apply_whole(number, &document), actions);
            }
            Message::Holds { number, .. } if number < self.follower.number() => {
                // A replica that is behind: it will catch up, and tells nothing new until then.
            }
            _ => {}
        }
    }

    fn taken(
        &mut self,
        now: Time,
        taken: Taken,
        number: Number,
        apply: impl FnOnce(Number) -> Result<(), String>,
        actions: &mut Vec<Action>,
    ) {
        match taken {
            Taken::Held => match apply(number) {
                Ok(()) => actions.push(Action::InForce(number)),
                Err(why) => self.hold_back(number, why, actions),
            },
            Taken::Old => {}
            // What is missing is asked for at once.
            Taken::Gap => self.greet(now, now, actions),
            Taken::OtherHistory => {
                actions.extend([Action::OtherHistory(self.replica, number), Action::Close]);
                self.lost(now);
            }
            Taken::NotApplied(why) => {
                self.hold_back(number, why, actions);
                actions.push(Action::Close);
                self.lost(now);
            }
        }
    }

    fn hold_back(&mut self, number: Number, why: String, actions: &mut Vec<Action>) {
        if self.held_back.len() >= HELD_BACK {
            self.held_back.remove(0);
        }
        self.held_back.push(number);
        actions.push(Action::Send(Message::CannotApply { number, why: why.as_str().into() }));
        actions.push(Action::HeldBack(number, why));
    }
}
