//! The predecessor's side of a hand-over.

use std::time::Duration;

use super::message::{PredecessorMessage, SuccessorMessage, WithdrawReason};

/// How long a successor may prepare itself, its wait for an endpoint list included. The predecessor serves meanwhile.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a successor may read the ledger. Connections wait in the listening socket meanwhile.
const RECOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a successor may take to read the token, before the predecessor tries to take it back.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// An event for the predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredecessorEvent {
    /// The successor sent a message.
    Message(SuccessorMessage),
    /// The successor sent something else.
    Unreadable,
    /// The successor has closed the connection or ended.
    Disconnected,
    /// [`Predecessor::timeout`] has passed since the last event.
    TimedOut,
    /// This router ends.
    Ending,
    /// The last action that has a result was carried out, or was not.
    Done(bool),
}

/// An action for the predecessor. [`PredecessorEvent::Done`] follows those that have a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PredecessorAction {
    /// Accept no connections and, if the successor takes the ledger, write nothing to it. Has a result.
    Suspend {
        /// Whether the successor takes the ledger.
        ledger: bool,
    },
    /// From now on, resume only when told to. Has a result.
    Grant,
    /// Put the token into its channel.
    PassToken,
    /// Read the token. Has a result: false if the successor has it.
    ReclaimToken,
    /// Accept connections and write to the ledger again, as far as this was suspended.
    Resume,
    /// The successor serves: drain, and give the ledger up if the successor takes it.
    Release,
    /// Send a message to the successor.
    Send(PredecessorMessage),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    Offered,
    Suspending,
    Suspended,
    Granting,
    Granted,
    Reclaiming,
    /// The successor has the place.
    Released,
    /// This router has the place.
    Withdrawn,
}

/// The predecessor's state, from its [`PredecessorMessage::Offer`] on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Predecessor {
    phase: Phase,
}

impl Default for Predecessor {
    fn default() -> Self {
        Self { phase: Phase::Offered }
    }
}

impl Predecessor {
    /// Whether the hand-over is decided.
    pub fn is_decided(&self) -> bool {
        matches!(self.phase, Phase::Released | Phase::Withdrawn)
    }

    /// How long to wait for the next message.
    pub fn timeout(&self) -> Duration {
        match self.phase {
            Phase::Offered => PREPARE_TIMEOUT,
            Phase::Granted => TOKEN_TIMEOUT,
            _ => RECOVER_TIMEOUT,
        }
    }

    /// Handles an event and appends the resulting actions. Events without a meaning in the current phase are ignored.
    pub fn handle(&mut self, event: PredecessorEvent, actions: &mut Vec<PredecessorAction>) {
        match self.phase {
            Phase::Offered => self.handle_offered(event, actions),
            Phase::Suspending => self.handle_suspending(event, actions),
            Phase::Suspended => self.handle_suspended(event, actions),
            Phase::Granting => self.handle_granting(event, actions),
            Phase::Granted => self.handle_granted(event, actions),
            Phase::Reclaiming => self.handle_reclaiming(event, actions),
            Phase::Released | Phase::Withdrawn => {}
        }
    }

    fn handle_offered(&mut self, event: PredecessorEvent, actions: &mut Vec<PredecessorAction>) {
        match (event, withdraw_reason(event)) {
            (PredecessorEvent::Message(SuccessorMessage::Prepared { ledger }), _) => {
                self.phase = Phase::Suspending;
                actions.push(PredecessorAction::Suspend { ledger });
            }
            (_, Some(reason)) => self.withdraw(reason, actions),
            (_, None) => {}
        }
    }

    fn handle_suspending(&mut self, event: PredecessorEvent, actions: &mut Vec<PredecessorAction>) {
        match event {
            PredecessorEvent::Done(true) => {
                self.phase = Phase::Suspended;
                actions.push(PredecessorAction::Send(PredecessorMessage::Suspended));
            }
            PredecessorEvent::Done(false) => self.resume(WithdrawReason::NotReady, actions),
            _ => {}
        }
    }

    fn handle_suspended(&mut self, event: PredecessorEvent, actions: &mut Vec<PredecessorAction>) {
        match (event, withdraw_reason(event)) {
            (PredecessorEvent::Message(SuccessorMessage::Recovered), _) => {
                self.phase = Phase::Granting;
                actions.push(PredecessorAction::Grant);
            }
            (_, Some(reason)) => self.resume(reason, actions),
            (_, None) => {}
        }
    }

    fn handle_granting(&mut self, event: PredecessorEvent, actions: &mut Vec<PredecessorAction>) {
        match event {
            PredecessorEvent::Done(true) => {
                self.phase = Phase::Granted;
                actions.push(PredecessorAction::PassToken);
                actions.push(PredecessorAction::Send(PredecessorMessage::Committed));
            }
            PredecessorEvent::Done(false) => self.resume(WithdrawReason::NotReady, actions),
            _ => {}
        }
    }

    fn handle_granted(&mut self, event: PredecessorEvent, actions: &mut Vec<PredecessorAction>) {
        match event {
            PredecessorEvent::Message(SuccessorMessage::Serving) => {
                self.phase = Phase::Released;
                actions.push(PredecessorAction::Release);
            }
            // The successor has ended: it has not written to the ledger, nor accepted a connection.
            PredecessorEvent::Disconnected => {
                self.phase = Phase::Withdrawn;
                actions.push(PredecessorAction::Resume);
            }
            PredecessorEvent::TimedOut => {
                self.phase = Phase::Reclaiming;
                actions.push(PredecessorAction::ReclaimToken);
            }
            // The token stays: the successor takes the place of a router that ends.
            PredecessorEvent::Ending => self.phase = Phase::Withdrawn,
            PredecessorEvent::Message(_) | PredecessorEvent::Unreadable | PredecessorEvent::Done(_) => {}
        }
    }

    fn handle_reclaiming(&mut self, event: PredecessorEvent, actions: &mut Vec<PredecessorAction>) {
        match event {
            PredecessorEvent::Done(true) => self.resume(WithdrawReason::TimedOut, actions),
            // The successor owns the place, and says so or ends.
            PredecessorEvent::Done(false) => self.phase = Phase::Granted,
            _ => {}
        }
    }

    fn resume(&mut self, reason: WithdrawReason, actions: &mut Vec<PredecessorAction>) {
        // The message goes first: a successor that finds this router dead without it relies on what it has read.
        self.withdraw(reason, actions);
        actions.push(PredecessorAction::Resume);
    }

    fn withdraw(&mut self, reason: WithdrawReason, actions: &mut Vec<PredecessorAction>) {
        self.phase = Phase::Withdrawn;
        actions.push(PredecessorAction::Send(PredecessorMessage::Withdrawn { reason }));
    }
}

/// Why an event that does not advance the hand-over ends it.
fn withdraw_reason(event: PredecessorEvent) -> Option<WithdrawReason> {
    match event {
        PredecessorEvent::Message(_) | PredecessorEvent::Unreadable => Some(WithdrawReason::Unexpected),
        // Nobody reads the message then.
        PredecessorEvent::Disconnected | PredecessorEvent::TimedOut => Some(WithdrawReason::TimedOut),
        PredecessorEvent::Ending => Some(WithdrawReason::Ending),
        PredecessorEvent::Done(_) => None,
    }
}
