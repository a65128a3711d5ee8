//! The successor's side of a hand-over.

use std::time::Duration;

use super::message::{PredecessorMessage, SuccessorMessage, WithdrawReason};

/// How long the successor waits for each message of the predecessor.
const REPLY_TIMEOUT: Duration = Duration::from_secs(6);

/// An event for the successor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuccessorEvent {
    /// All is prepared that does not need the predecessor's ledger.
    Prepared {
        /// Whether the successor takes the predecessor's ledger.
        ledger: bool,
    },
    /// The predecessor sent a message.
    Message(PredecessorMessage),
    /// The predecessor sent something else.
    Unreadable,
    /// The predecessor has ended.
    Disconnected,
    /// [`Successor::timeout`] has passed since the last event.
    TimedOut,
    /// The last action that has a result was carried out, or was not.
    Done(bool),
}

/// An action for the successor. [`SuccessorEvent::Done`] follows those that have a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuccessorAction {
    /// Read the ledger, without writing to it. Has a result.
    Recover,
    /// Read the token. Has a result: false if the predecessor has taken it back.
    TakeToken,
    /// Open the ledger for writing and put the control socket at its path. Has a result.
    Activate,
    /// Send a message to the predecessor.
    Send(SuccessorMessage),
}

/// Why a successor does not take the place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum TakeOverFailure {
    /// The predecessor goes on by itself.
    #[error("{0}")]
    Withdrawn(WithdrawReason),
    /// The predecessor has taken the token back.
    #[error("the running router has taken its place back")]
    Reclaimed,
    /// The predecessor does not answer in time.
    #[error("the running router does not answer in time")]
    TimedOut,
    /// The predecessor sent a message that does not belong to the step.
    #[error("the running router sent an unexpected message")]
    Unexpected,
    /// An action of this process failed.
    #[error("this process could not complete its start")]
    NotPrepared,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    Preparing,
    AwaitingSuspension,
    Recovering { predecessor_ended: bool },
    AwaitingCommit,
    TakingToken,
    Activating,
    Owner,
    Failed(TakeOverFailure),
}

/// The successor's state, from the predecessor's [`PredecessorMessage::Offer`] on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Successor {
    phase: Phase,
}

impl Default for Successor {
    fn default() -> Self {
        Self { phase: Phase::Preparing }
    }
}

impl Successor {
    /// The outcome, once there is one: success means that this process owns the place.
    pub fn outcome(&self) -> Option<Result<(), TakeOverFailure>> {
        match self.phase {
            Phase::Owner => Some(Ok(())),
            Phase::Failed(failure) => Some(Err(failure)),
            _ => None,
        }
    }

    /// How long to wait for the next message.
    pub fn timeout(&self) -> Duration {
        REPLY_TIMEOUT
    }

    /// Handles an event and appends the resulting actions. Events without a meaning in the current phase are ignored.
    pub fn handle(&mut self, event: SuccessorEvent, actions: &mut Vec<SuccessorAction>) {
        match self.phase {
            Phase::Preparing => {
                if let SuccessorEvent::Prepared { ledger } = event {
                    self.phase = Phase::AwaitingSuspension;
                    actions.push(SuccessorAction::Send(SuccessorMessage::Prepared { ledger }));
                }
            }
            Phase::AwaitingSuspension => self.handle_awaiting_suspension(event, actions),
            Phase::Recovering { predecessor_ended } => {
                self.handle_recovering(&event, predecessor_ended, actions);
            }
            Phase::AwaitingCommit => self.handle_awaiting_commit(event, actions),
            Phase::TakingToken => match event {
                SuccessorEvent::Done(true) => self.activate(actions),
                SuccessorEvent::Done(false) => self.fail(TakeOverFailure::Reclaimed),
                _ => {}
            },
            Phase::Activating => match event {
                SuccessorEvent::Done(true) => {
                    self.phase = Phase::Owner;
                    actions.push(SuccessorAction::Send(SuccessorMessage::Serving));
                }
                SuccessorEvent::Done(false) => self.fail(TakeOverFailure::NotPrepared),
                _ => {}
            },
            Phase::Owner | Phase::Failed(_) => {}
        }
    }

    fn handle_awaiting_suspension(&mut self, event: SuccessorEvent, actions: &mut Vec<SuccessorAction>) {
        match event {
            SuccessorEvent::Message(PredecessorMessage::Suspended) => self.recover(false, actions),
            SuccessorEvent::Disconnected => self.recover(true, actions),
            other => self.fail_by(&other),
        }
    }

    fn handle_recovering(
        &mut self,
        event: &SuccessorEvent,
        predecessor_ended: bool,
        actions: &mut Vec<SuccessorAction>,
    ) {
        match event {
            SuccessorEvent::Done(true) if predecessor_ended => self.activate(actions),
            SuccessorEvent::Done(true) => {
                self.phase = Phase::AwaitingCommit;
                actions.push(SuccessorAction::Send(SuccessorMessage::Recovered));
            }
            SuccessorEvent::Done(false) => self.fail(TakeOverFailure::NotPrepared),
            _ => {}
        }
    }

    fn handle_awaiting_commit(&mut self, event: SuccessorEvent, actions: &mut Vec<SuccessorAction>) {
        match event {
            SuccessorEvent::Message(PredecessorMessage::Committed) => {
                self.phase = Phase::TakingToken;
                actions.push(SuccessorAction::TakeToken);
            }
            SuccessorEvent::Disconnected => self.activate(actions),
            other => self.fail_by(&other),
        }
    }

    fn recover(&mut self, predecessor_ended: bool, actions: &mut Vec<SuccessorAction>) {
        self.phase = Phase::Recovering { predecessor_ended };
        actions.push(SuccessorAction::Recover);
    }

    fn activate(&mut self, actions: &mut Vec<SuccessorAction>) {
        self.phase = Phase::Activating;
        actions.push(SuccessorAction::Activate);
    }

    /// Fails by an event that does not advance the hand-over.
    fn fail_by(&mut self, event: &SuccessorEvent) {
        self.fail(match event {
            SuccessorEvent::Message(PredecessorMessage::Withdrawn { reason }) => {
                TakeOverFailure::Withdrawn(*reason)
            }
            SuccessorEvent::TimedOut => TakeOverFailure::TimedOut,
            _ => TakeOverFailure::Unexpected,
        });
    }

    fn fail(&mut self, failure: TakeOverFailure) {
        self.phase = Phase::Failed(failure);
    }
}
