//! A router's subscription to the configuration: it follows one control replica at a time and fails over to the next.

use crate::ballot::ReplicaId;
use crate::connection::{Connection, CONNECT_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::document::{Delta, Document, DocumentError, Entry};
use crate::learner::{LearnOutcome, Learner};
use crate::message::Message;
use crate::random::Xorshift64;
use crate::revision::{Revision, RevisionNumber};
use crate::time::Micros;

/// The backoff before a reconnection: at least this long, and a random part that doubles with each failed attempt.
const MIN_BACKOFF: Micros = 250_000;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// How many rejected revisions are remembered; the oldest are dropped first.
const MAX_REJECTED: usize = 64;

/// Applies a configuration to the router.
pub trait Apply {
    /// Applies the changes of a revision: all of them or none. Should cost as much as the changes, not the configuration.
    ///
    /// # Errors
    /// This router can't apply them.
    fn apply(&mut self, number: RevisionNumber, delta: &Delta) -> Result<(), ApplyError>;

    /// Replaces the configuration by a complete one.
    ///
    /// # Errors
    /// This router can't apply it.
    fn apply_snapshot(&mut self, number: RevisionNumber, document: &Document) -> Result<(), ApplyError>;
}

/// Why a router can't apply a configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct ApplyError {
    /// What is wrong, for an operator.
    pub message: String,
}

impl ApplyError {
    /// An error with this message.
    pub fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }
}

/// Why a revision or a snapshot is skipped.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RejectedRevisionError {
    /// It does not fit the configuration before it, or exceeds a limit.
    #[error(transparent)]
    Invalid(#[from] DocumentError),
    /// The router can't apply it.
    #[error(transparent)]
    NotApplicable(#[from] ApplyError),
}

/// What the caller reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The requested connection is established.
    Connected,
    /// The connection failed or was closed by the other side.
    Disconnected,
    /// A message was received.
    Message(Box<Message>),
    /// Time has passed.
    Tick,
}

/// What the caller has to do, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Connect to this replica; there is no other connection.
    Connect(ReplicaId),
    /// Send a message on the connection.
    Send(Message),
    /// Close the connection.
    Close,
    /// This revision was applied: store the configuration as the last known good one.
    Applied(RevisionNumber),
    /// This revision is skipped: notify an operator.
    Rejected {
        /// The revision's number.
        number: RevisionNumber,
        /// What is wrong with it.
        error: RejectedRevisionError,
    },
    /// The replica has another history than this router: notify an operator. Another replica is tried.
    Diverged {
        /// The replica.
        replica: ReplicaId,
        /// The number with other content.
        number: RevisionNumber,
    },
}

/// One router's subscription, without input or output of its own.
#[derive(Debug, Clone)]
pub struct Subscriber {
    learner: Learner,
    replica_count: u8,
    replica: ReplicaId,
    connection: Connection,
    /// Connections that failed in a row.
    failed_attempts: u32,
    random: Xorshift64,
    rejected: Vec<RevisionNumber>,
}

impl Subscriber {
    /// A subscription that starts from the configuration that the router has. The seed spreads routers over replicas and
    /// over time.
    pub fn new(number: RevisionNumber, document: Document, replica_count: u8, seed: u64) -> Self {
        let replica_count = replica_count.max(1);
        let mut random = Xorshift64::new(seed);
        let replica = ReplicaId(random.below(u64::from(replica_count)) as u8);
        Self {
            learner: Learner::new(number, document),
            replica_count,
            replica,
            connection: Connection::Closed { retry_at: 0 },
            failed_attempts: 0,
            random,
            rejected: Vec::new(),
        }
    }

    /// The newest number that was learned.
    pub fn number(&self) -> RevisionNumber {
        self.learner.number()
    }

    /// The newest configuration that was learned.
    pub fn document(&self) -> &Document {
        self.learner.document()
    }

    /// The revisions that were skipped.
    pub fn rejected(&self) -> &[RevisionNumber] {
        &self.rejected
    }

    /// The replica that is followed, or that is to be tried next.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Whether the connection to [`Self::replica`] is established.
    pub fn is_connected(&self) -> bool {
        matches!(self.connection, Connection::Open { .. })
    }

    /// When [`Input::Tick`] has to be reported next.
    pub fn next_due(&self) -> Micros {
        self.connection.next_due()
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Micros, input: Input, apply: &mut dyn Apply, actions: &mut Vec<Action>) {
        match input {
            Input::Connected => self.send_heartbeat(now, now, actions),
            Input::Disconnected => self.fail_over(now),
            Input::Message(message) => self.receive(now, *message, apply, actions),
            Input::Tick => self.tick(now, actions),
        }
    }

    fn send_heartbeat(&mut self, now: Micros, last_received_at: Micros, actions: &mut Vec<Action>) {
        // Recorded earlier than it is by a random time: routers that started together do not stay in step.
        let jitter = self.random.below(HEARTBEAT_INTERVAL / 10);
        let last_heartbeat_at = now.saturating_sub(jitter).max(1);
        self.connection = Connection::Open { last_received_at, last_heartbeat_at };
        let number = self.learner.number();
        let digest = self.learner.document().digest();
        actions.push(Action::Send(Message::Heartbeat { number, digest }));
    }

    /// Moves on to the next replica after a backoff.
    fn fail_over(&mut self, now: Micros) {
        self.replica = ReplicaId((self.replica.0 + 1) % self.replica_count);
        let jitter_limit = MIN_BACKOFF << self.failed_attempts.min(MAX_BACKOFF_DOUBLINGS);
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        let retry_at = now + MIN_BACKOFF + self.random.below(jitter_limit);
        self.connection = Connection::Closed { retry_at };
    }

    fn close_and_fail_over(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Close);
        self.fail_over(now);
    }

    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now < self.next_due() {
            return;
        }
        match self.connection {
            Connection::Closed { .. } => {
                self.connection = Connection::Connecting { deadline: now + CONNECT_TIMEOUT };
                actions.push(Action::Connect(self.replica));
            }
            Connection::Open { last_received_at, .. } if !self.connection.awaits_answer() => {
                self.send_heartbeat(now, last_received_at, actions);
            }
            Connection::Connecting { .. } | Connection::Open { .. } => self.close_and_fail_over(now, actions),
        }
    }

    fn receive(&mut self, now: Micros, message: Message, apply: &mut dyn Apply, actions: &mut Vec<Action>) {
        let Connection::Open { last_heartbeat_at, .. } = self.connection else { return };
        let last_received_at = now.max(last_heartbeat_at);
        self.connection = Connection::Open { last_received_at, last_heartbeat_at };
        self.failed_attempts = 0;
        match message {
            Message::Decided(revision) => self.learn_revision(now, revision, apply, actions),
            Message::Snapshot { number, entries } => {
                self.learn_snapshot(now, number, entries, apply, actions);
            }
            // A heartbeat says where the replica is: if this router lacks anything, that follows as a message of its own.
            // Replicas exchange the others among themselves.
            _ => {}
        }
    }

    fn learn_revision(
        &mut self,
        now: Micros,
        revision: Revision,
        apply: &mut dyn Apply,
        actions: &mut Vec<Action>,
    ) {
        let number = revision.number;
        let delta = revision.delta.clone();
        match self.learner.learn(revision) {
            LearnOutcome::Applied => self.record_result(number, apply.apply(number, &delta), actions),
            other => self.recover(now, number, other, actions),
        }
    }

    fn learn_snapshot(
        &mut self,
        now: Micros,
        number: RevisionNumber,
        entries: Vec<Entry>,
        apply: &mut dyn Apply,
        actions: &mut Vec<Action>,
    ) {
        let outcome = match Document::new(entries) {
            Ok(document) => self.learner.learn_snapshot(number, document),
            Err(error) => LearnOutcome::Invalid(error),
        };
        match outcome {
            LearnOutcome::Applied => {
                let result = apply.apply_snapshot(number, self.learner.document());
                self.record_result(number, result, actions);
            }
            other => self.recover(now, number, other, actions),
        }
    }

    fn record_result(
        &mut self,
        number: RevisionNumber,
        result: Result<(), ApplyError>,
        actions: &mut Vec<Action>,
    ) {
        match result {
            Ok(()) => actions.push(Action::Applied(number)),
            Err(error) => self.reject(number, error.into(), actions),
        }
    }

    /// Reacts to a revision or snapshot that was not learned.
    fn recover(
        &mut self,
        now: Micros,
        number: RevisionNumber,
        outcome: LearnOutcome,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            LearnOutcome::Applied | LearnOutcome::Stale => {}
            // The answer to a heartbeat is what is missing.
            LearnOutcome::Gap => self.send_heartbeat(now, now, actions),
            LearnOutcome::Diverged => {
                actions.push(Action::Diverged { replica: self.replica, number });
                self.close_and_fail_over(now, actions);
            }
            LearnOutcome::Invalid(error) => {
                self.reject(number, error.into(), actions);
                self.close_and_fail_over(now, actions);
            }
        }
    }

    fn reject(&mut self, number: RevisionNumber, error: RejectedRevisionError, actions: &mut Vec<Action>) {
        if self.rejected.len() >= MAX_REJECTED {
            self.rejected.remove(0);
        }
        self.rejected.push(number);
        let reason = error.to_string().into();
        actions.push(Action::Send(Message::CannotApply { number, reason }));
        actions.push(Action::Rejected { number, error });
    }
}
