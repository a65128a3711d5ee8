//! A router's link to the control replicas: one connection at a time, moved on from one that is silent.

use crate::ballot::ReplicaId;
use crate::document::{Delta, Document};
use crate::learner::{LearnOutcome, Learner};
use crate::message::Message;
use crate::revision::RevisionNumber;
use crate::time::Micros;

/// The router says what it holds so often; the replica answers with what it holds itself.
const HEARTBEAT_INTERVAL: Micros = 3_000_000;
/// A replica that has said nothing for so long after a greeting is left for the next one.
const HEARTBEAT_TIMEOUT: Micros = 2_000_000;
/// A connection has so long to stand.
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Before the next try after a lost connection: so long at least, and up to twice as long for each try in a row.
const MIN_BACKOFF: Micros = 250_000;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Numbers that are held back are remembered up to so many; the oldest go first.
const MAX_REJECTED: usize = 64;

/// What puts a configuration in force.
pub trait Apply {
    /// Puts changes in force, all of them or none. Costs what the changes do.
    ///
    /// # Errors
    /// Says why this router can't.
    fn apply(&mut self, number: RevisionNumber, delta: &Delta) -> Result<(), String>;

    /// Puts a whole in force.
    ///
    /// # Errors
    /// Says why this router can't.
    fn apply_snapshot(&mut self, number: RevisionNumber, document: &Document) -> Result<(), String>;
}

/// What happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The connection that was asked for stands.
    Connected,
    /// It does not, or is lost.
    Disconnected,
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
    Applied(RevisionNumber),
    /// This number is held back, for this reason: an operator is told.
    Rejected(RevisionNumber, String),
    /// The replica tells another history than is held: an operator is told, and another replica asked.
    Diverged(ReplicaId, RevisionNumber),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    /// None; the next try is due then.
    None {
        retry: Micros,
    },
    Connecting {
        until: Micros,
    },
    Open {
        received_at: Micros,
        heartbeat_sent_at: Micros,
    },
}

/// One router's link.
#[derive(Debug, Clone)]
pub struct Subscriber {
    learner: Learner,
    replicas: u8,
    replica: ReplicaId,
    connection: Connection,
    attempts: u32,
    random: u64,
    rejected: Vec<RevisionNumber>,
}

impl Subscriber {
    /// A link that begins with what the router holds. The seed spreads routers over replicas and times.
    pub fn new(number: RevisionNumber, document: Document, replicas: u8, seed: u64) -> Self {
        let mut subscriber = Self {
            learner: Learner::new(number, document),
            replicas: replicas.max(1),
            replica: ReplicaId(0),
            connection: Connection::None { retry: 0 },
            attempts: 0,
            // Never 0, from which nothing is drawn.
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            rejected: Vec::new(),
        };
        subscriber.replica = ReplicaId(subscriber.draw(u64::from(subscriber.replicas)) as u8);
        subscriber
    }

    /// The newest number that is held.
    pub fn number(&self) -> RevisionNumber {
        self.learner.number()
    }

    /// What is held.
    pub fn document(&self) -> &Document {
        self.learner.document()
    }

    /// Numbers that could not be put in force.
    pub fn rejected(&self) -> &[RevisionNumber] {
        &self.rejected
    }

    /// The replica that is asked, and whether the connection to it stands.
    pub fn replica(&self) -> (ReplicaId, bool) {
        (self.replica, matches!(self.connection, Connection::Open { .. }))
    }

    /// When [`Input::Tick`] is next needed.
    pub fn next_due(&self) -> Micros {
        match self.connection {
            Connection::None { retry } => retry,
            Connection::Connecting { until } => until,
            Connection::Open { received_at, heartbeat_sent_at } if received_at < heartbeat_sent_at => {
                heartbeat_sent_at + HEARTBEAT_TIMEOUT
            }
            Connection::Open { heartbeat_sent_at, .. } => heartbeat_sent_at + HEARTBEAT_INTERVAL,
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
    pub fn handle(&mut self, now: Micros, input: Input, apply: &mut dyn Apply, actions: &mut Vec<Action>) {
        match input {
            Input::Connected => self.send_heartbeat(now, now, actions),
            Input::Disconnected => self.lost(now),
            Input::Message(message) => self.message(now, *message, apply, actions),
            Input::Tick => self.tick(now, actions),
        }
    }

    fn send_heartbeat(&mut self, now: Micros, received_at: Micros, actions: &mut Vec<Action>) {
        let (number, digest) = (self.learner.number(), self.learner.document().digest());
        // A greeting later than it is: routers that began together get out of step.
        let jitter = self.draw(HEARTBEAT_INTERVAL / 10);
        self.connection =
            Connection::Open { received_at, heartbeat_sent_at: now.saturating_sub(jitter).max(1) };
        actions.push(Action::Send(Message::Heartbeat { number, digest }));
    }

    /// The next replica, after a pause that grows with the attempts and is drawn from a span that does.
    fn lost(&mut self, now: Micros) {
        self.replica = ReplicaId((self.replica.0 + 1) % self.replicas);
        let span = MIN_BACKOFF << self.attempts.min(MAX_BACKOFF_DOUBLINGS);
        self.attempts = self.attempts.saturating_add(1);
        let retry = now + MIN_BACKOFF + self.draw(span);
        self.connection = Connection::None { retry };
    }

    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now < self.next_due() {
            return;
        }
        match self.connection {
            Connection::None { .. } => {
                self.connection = Connection::Connecting { until: now + CONNECT_TIMEOUT };
                actions.push(Action::Connect(self.replica));
            }
            Connection::Open { received_at, heartbeat_sent_at } if received_at >= heartbeat_sent_at => {
                self.send_heartbeat(now, received_at, actions)
            }
            Connection::Connecting { .. } | Connection::Open { .. } => {
                actions.push(Action::Close);
                self.lost(now);
            }
        }
    }

    fn message(&mut self, now: Micros, message: Message, apply: &mut dyn Apply, actions: &mut Vec<Action>) {
        let Connection::Open { heartbeat_sent_at, .. } = self.connection else { return };
        self.connection = Connection::Open { received_at: now.max(heartbeat_sent_at), heartbeat_sent_at };
        self.attempts = 0;
        match message {
            Message::Decided(revision) => {
                let (number, delta) = (revision.number, revision.delta.clone());
                let outcome = self.learner.learn(revision);
                self.learned(now, outcome, number, |number| apply.apply(number, &delta), actions);
            }
            Message::Snapshot { number, entries } => {
                let outcome = match Document::new(entries) {
                    Ok(document) => self.learner.learn_snapshot(number, document),
                    Err(reason) => LearnOutcome::Invalid(reason.to_string()),
                };
                let document = self.learner.document().clone();
                self.learned(now, outcome, number, |number| apply.apply_snapshot(number, &document), actions);
            }
            Message::Heartbeat { number, .. } if number < self.learner.number() => {
                // A replica that is behind: it will catch up, and tells nothing new until then.
            }
            _ => {}
        }
    }

    fn learned(
        &mut self,
        now: Micros,
        outcome: LearnOutcome,
        number: RevisionNumber,
        apply: impl FnOnce(RevisionNumber) -> Result<(), String>,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            LearnOutcome::Applied => match apply(number) {
                Ok(()) => actions.push(Action::Applied(number)),
                Err(reason) => self.reject(number, reason, actions),
            },
            LearnOutcome::Stale => {}
            // What is missing is asked for at once.
            LearnOutcome::Gap => self.send_heartbeat(now, now, actions),
            LearnOutcome::Diverged => {
                actions.extend([Action::Diverged(self.replica, number), Action::Close]);
                self.lost(now);
            }
            LearnOutcome::Invalid(reason) => {
                self.reject(number, reason, actions);
                actions.push(Action::Close);
                self.lost(now);
            }
        }
    }

    fn reject(&mut self, number: RevisionNumber, reason: String, actions: &mut Vec<Action>) {
        if self.rejected.len() >= MAX_REJECTED {
            self.rejected.remove(0);
        }
        self.rejected.push(number);
        actions.push(Action::Send(Message::CannotApply { number, reason: reason.as_str().into() }));
        actions.push(Action::Rejected(number, reason));
    }
}
