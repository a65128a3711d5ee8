//! A router's subscription to the configuration: the router follows one control replica at a time and fails over to the next.

use crate::ballot::ReplicaId;
use crate::connection::{Connection, CONNECT_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::document::{Delta, Document, DocumentError, Entry};
use crate::learner::{LearnOutcome, Learner};
use crate::message::Message;
use crate::random::Xorshift64;
use crate::revision::{Revision, RevisionNumber};
use crate::time::Micros;

/// Minimum backoff before a reconnection, in µs. A random part is added whose limit starts at the same value and doubles with
/// each failed attempt.
const MIN_BACKOFF: Micros = 250_000;
/// How often the limit of the random part doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Maximum number of remembered rejected revisions; the oldest are dropped first.
const MAX_REJECTED: usize = 64;

/// Applies a configuration to the router.
pub trait Apply {
    /// Applies the changes of a revision atomically. The cost should grow with the changes, not with the configuration.
    ///
    /// # Errors
    /// The router can't apply the changes.
    fn apply(&mut self, number: RevisionNumber, delta: &Delta) -> Result<(), ApplyError>;

    /// Replaces the complete configuration.
    ///
    /// # Errors
    /// The router can't apply the configuration.
    fn apply_snapshot(&mut self, number: RevisionNumber, document: &Document) -> Result<(), ApplyError>;
}

/// Why a router can't apply a configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct ApplyError {
    /// A description of the error for an operator.
    pub message: String,
}

impl ApplyError {
    /// Creates an error with this message.
    pub fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }
}

/// Why a revision or a snapshot is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RejectedRevisionError {
    /// The revision or snapshot can't be applied to the current document, or exceeds a limit.
    #[error(transparent)]
    Invalid(#[from] DocumentError),
    /// The router can't apply the resulting configuration.
    #[error(transparent)]
    NotApplicable(#[from] ApplyError),
}

/// An input that the caller reports to the subscription.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberInput {
    /// The requested connection is established.
    Connected,
    /// The connection failed or was closed by the other side.
    Disconnected,
    /// A message was received.
    Message(Box<Message>),
    /// A timer expired; see [`Subscriber::next_due`].
    Tick,
}

/// An action for the caller. The caller performs actions in the order in which they are returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberAction {
    /// Connect to this replica. No other connection is open.
    Connect(ReplicaId),
    /// Send a message on the connection.
    Send(Message),
    /// Close the connection.
    Close,
    /// Store the configuration of this revision, which was applied, as the last known good one.
    Applied(RevisionNumber),
    /// Alert an operator: this revision is skipped.
    Rejected {
        /// The revision's number.
        number: RevisionNumber,
        /// The error of the revision.
        error: RejectedRevisionError,
    },
    /// Alert an operator: the replica's history differs from that of this router, which fails over to another replica.
    Diverged {
        /// The replica with the other history.
        replica: ReplicaId,
        /// The number with different content.
        number: RevisionNumber,
    },
}

/// The state machine of one router's subscription, without I/O.
#[derive(Debug, Clone)]
pub struct Subscriber {
    learner: Learner,
    replica_count: u8,
    replica: ReplicaId,
    connection: Connection,
    /// Number of consecutive failed connections.
    failed_attempts: u32,
    random: Xorshift64,
    rejected: Vec<RevisionNumber>,
}

impl Subscriber {
    /// Creates a subscription that starts from the router's stored configuration. Different seeds distribute routers over
    /// replicas and over time.
    pub fn new(number: RevisionNumber, document: Document, replica_count: u8, seed: u64) -> Self {
        let replica_count = replica_count.max(1);
        let mut random = Xorshift64::new(seed);
        // The random number is below `replica_count`, so the conversion can't fail.
        let first = u8::try_from(random.below(u64::from(replica_count))).unwrap_or(0);
        Self {
            learner: Learner::new(number, document),
            replica_count,
            replica: ReplicaId(first),
            connection: Connection::Closed { retry_at: 0 },
            failed_attempts: 0,
            random,
            rejected: Vec::new(),
        }
    }

    /// Returns the newest learned number.
    pub fn number(&self) -> RevisionNumber {
        self.learner.number()
    }

    /// Returns the newest learned configuration.
    pub fn document(&self) -> &Document {
        self.learner.document()
    }

    /// Returns the last rejected revisions, oldest first.
    pub fn rejected(&self) -> &[RevisionNumber] {
        &self.rejected
    }

    /// Returns the replica that the router follows or connects to next.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Returns whether the connection to [`Self::replica`] is established.
    pub fn is_connected(&self) -> bool {
        matches!(self.connection, Connection::Open { .. })
    }

    /// Returns when [`SubscriberInput::Tick`] has to be reported next.
    pub fn next_due(&self) -> Micros {
        self.connection.next_due()
    }

    /// Handles an input and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: Micros,
        input: SubscriberInput,
        apply: &mut dyn Apply,
        actions: &mut Vec<SubscriberAction>,
    ) {
        match input {
            SubscriberInput::Connected => self.send_heartbeat(now, now, actions),
            SubscriberInput::Disconnected => self.fail_over(now),
            SubscriberInput::Message(message) => self.receive(now, *message, apply, actions),
            SubscriberInput::Tick => self.tick(now, actions),
        }
    }

    fn send_heartbeat(&mut self, now: Micros, last_received_at: Micros, actions: &mut Vec<SubscriberAction>) {
        // The recorded time is earlier by random jitter, so that routers that started together do not stay synchronized.
        let jitter = self.random.below(HEARTBEAT_INTERVAL / 10);
        let last_heartbeat_at = now.saturating_sub(jitter).max(1);
        self.connection = Connection::Open { last_received_at, last_heartbeat_at };
        let number = self.learner.number();
        let digest = self.learner.document().digest();
        actions.push(SubscriberAction::Send(Message::Heartbeat { number, digest }));
    }

    /// Selects the next replica and schedules a connection after a backoff.
    fn fail_over(&mut self, now: Micros) {
        self.replica = ReplicaId((self.replica.0 + 1) % self.replica_count);
        let max_jitter = MIN_BACKOFF << self.failed_attempts.min(MAX_BACKOFF_DOUBLINGS);
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        let retry_at = now + MIN_BACKOFF + self.random.below(max_jitter);
        self.connection = Connection::Closed { retry_at };
    }

    fn close_and_fail_over(&mut self, now: Micros, actions: &mut Vec<SubscriberAction>) {
        actions.push(SubscriberAction::Close);
        self.fail_over(now);
    }

    fn tick(&mut self, now: Micros, actions: &mut Vec<SubscriberAction>) {
        if now < self.next_due() {
            return;
        }
        match self.connection {
            Connection::Closed { .. } => {
                self.connection = Connection::Connecting { deadline: now + CONNECT_TIMEOUT };
                actions.push(SubscriberAction::Connect(self.replica));
            }
            Connection::Open { last_received_at, .. } if !self.connection.awaits_answer() => {
                self.send_heartbeat(now, last_received_at, actions);
            }
            Connection::Connecting { .. } | Connection::Open { .. } => self.close_and_fail_over(now, actions),
        }
    }

    fn receive(
        &mut self,
        now: Micros,
        message: Message,
        apply: &mut dyn Apply,
        actions: &mut Vec<SubscriberAction>,
    ) {
        let Connection::Open { last_heartbeat_at, .. } = self.connection else { return };
        let last_received_at = now.max(last_heartbeat_at);
        self.connection = Connection::Open { last_received_at, last_heartbeat_at };
        self.failed_attempts = 0;
        match message {
            Message::Decided(revision) => self.learn_revision(now, revision, apply, actions),
            Message::Snapshot { number, entries } => {
                self.learn_snapshot(now, number, entries, apply, actions);
            }
            // A heartbeat needs no reaction: missing revisions follow as separate messages. All other messages are exchanged
            // between replicas only.
            _ => {}
        }
    }

    fn learn_revision(
        &mut self,
        now: Micros,
        revision: Revision,
        apply: &mut dyn Apply,
        actions: &mut Vec<SubscriberAction>,
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
        actions: &mut Vec<SubscriberAction>,
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
        actions: &mut Vec<SubscriberAction>,
    ) {
        match result {
            Ok(()) => actions.push(SubscriberAction::Applied(number)),
            Err(error) => self.reject(number, error.into(), actions),
        }
    }

    /// Handles a revision or snapshot that was not learned.
    fn recover(
        &mut self,
        now: Micros,
        number: RevisionNumber,
        outcome: LearnOutcome,
        actions: &mut Vec<SubscriberAction>,
    ) {
        match outcome {
            LearnOutcome::Applied | LearnOutcome::Stale => {}
            // The replica answers a heartbeat with the missing revisions.
            LearnOutcome::Gap => self.send_heartbeat(now, now, actions),
            LearnOutcome::Diverged => {
                actions.push(SubscriberAction::Diverged { replica: self.replica, number });
                self.close_and_fail_over(now, actions);
            }
            LearnOutcome::Invalid(error) => {
                self.reject(number, error.into(), actions);
                self.close_and_fail_over(now, actions);
            }
        }
    }

    fn reject(
        &mut self,
        number: RevisionNumber,
        error: RejectedRevisionError,
        actions: &mut Vec<SubscriberAction>,
    ) {
        if self.rejected.len() >= MAX_REJECTED {
            self.rejected.remove(0);
        }
        self.rejected.push(number);
        let reason = error.to_string().into();
        actions.push(SubscriberAction::Send(Message::CannotApply { number, reason }));
        actions.push(SubscriberAction::Rejected { number, error });
    }
}
