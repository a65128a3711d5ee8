//! The predecessor's part of a hand-over in the event loop. The steps are decided by
//! [`chalkyard_state::handover::Predecessor`], which runs on the thread that talks to the successor.

use std::os::fd::{AsFd, OwnedFd};
use std::sync::mpsc::{Receiver, SyncSender};

use chalkyard_budget::Settled;
use chalkyard_state::{LifecycleEvent, Phase};

use super::{Shell, Sink};

/// The resources that a successor needs to prepare itself.
#[derive(Debug)]
pub struct HandoverOffer {
    /// The listening socket.
    pub listener: OwnedFd,
    /// The lock of the ledger, if there is a ledger.
    pub ledger_lock: Option<OwnedFd>,
}

/// A step of a hand-over for the event loop.
#[derive(Debug)]
pub(super) enum HandoverCommand {
    /// Share the listening socket and the ledger's lock. Not answered unless the router is ready.
    Offer(SyncSender<HandoverOffer>),
    /// Accept no connections and, if the successor takes the ledger, write nothing to it. Answers whether this was done.
    Suspend { takes_ledger: bool, answer: SyncSender<bool> },
    /// Resume only by [`HandoverCommand::Resume`] from now on. Answers whether the router is still suspended.
    Grant(SyncSender<bool>),
    /// The successor has failed.
    Resume,
    /// The successor serves. Answers with the channel of the settlements if it takes the ledger.
    Release(SyncSender<Option<Receiver<Settled>>>),
}

/// How far the hand-over has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandoverProgress {
    /// Suspended until the lifecycle leaves [`Phase::HandingOver`].
    Suspended { takes_ledger: bool },
    /// The successor may own the router's place; undecided until it serves or has failed.
    Granted { takes_ledger: bool },
}

impl<S: Sink> Shell<S> {
    /// Performs a step. The caller may have stopped waiting for the answer, and then sends [`HandoverCommand::Resume`]; the
    /// send error is ignored.
    pub(super) fn run_handover_command(&mut self, command: HandoverCommand) {
        match command {
            HandoverCommand::Offer(answer) => {
                if let Some(offer) = self.offer_handover() {
                    let _ = answer.try_send(offer);
                }
            }
            HandoverCommand::Suspend { takes_ledger, answer } => {
                let _ = answer.try_send(self.suspend_for_successor(takes_ledger));
            }
            HandoverCommand::Grant(answer) => {
                let _ = answer.try_send(self.grant_place());
            }
            HandoverCommand::Resume => self.resume_after_handover(),
            HandoverCommand::Release(answer) => {
                let _ = answer.try_send(self.release_place());
            }
        }
    }

    fn offer_handover(&mut self) -> Option<HandoverOffer> {
        let listener = self.listener.as_ref().filter(|_| self.lifecycle.phase() == Phase::Ready)?;
        let listener = listener.as_fd().try_clone_to_owned();
        match listener.and_then(|listener| Ok((listener, self.sink.share_ledger_lock()?))) {
            Ok((listener, ledger_lock)) => Some(HandoverOffer { listener, ledger_lock }),
            Err(e) => {
                self.sink.note("succession", &format!("cannot share the listening socket: {e}"));
                None
            }
        }
    }

    fn suspend_for_successor(&mut self, takes_ledger: bool) -> bool {
        if self.lifecycle.phase() != Phase::Ready || self.handover.is_some() {
            return false;
        }
        self.handover = Some(HandoverProgress::Suspended { takes_ledger });
        self.lifecycle_event(LifecycleEvent::HandoverSuspended);
        if takes_ledger {
            // The records of all requests accepted so far must be in the ledger before the successor reads it.
            self.flush();
            self.sink.suspend_ledger();
            self.set_ledger_writable(false);
        }
        true
    }

    fn grant_place(&mut self) -> bool {
        let Some(HandoverProgress::Suspended { takes_ledger }) = self.handover else { return false };
        self.handover = Some(HandoverProgress::Granted { takes_ledger });
        self.lifecycle_event(LifecycleEvent::HandoverGranted);
        true
    }

    fn release_place(&mut self) -> Option<Receiver<Settled>> {
        let settled = match self.handover.take() {
            Some(HandoverProgress::Granted { takes_ledger: true }) => self.sink.release_ledger(),
            _ => None,
        };
        // The successor has the same socket: what is pending there is accepted by it.
        self.suspended_listener = None;
        self.lifecycle_event(LifecycleEvent::ListenerHandedOver);
        settled
    }

    fn resume_after_handover(&mut self) {
        if let Some(progress) = self.handover.take() {
            self.resume_ledger(progress);
            self.lifecycle_event(LifecycleEvent::HandoverWithdrawn);
        }
    }

    /// Ends a hand-over that was not granted when an operator or a signal has ended its phase.
    pub(super) fn abandon_handover(&mut self) {
        let Some(progress @ HandoverProgress::Suspended { .. }) = self.handover else { return };
        if self.lifecycle.phase() != Phase::HandingOver {
            self.handover = None;
            self.resume_ledger(progress);
        }
    }

    fn resume_ledger(&mut self, progress: HandoverProgress) {
        let (HandoverProgress::Suspended { takes_ledger } | HandoverProgress::Granted { takes_ledger }) =
            progress;
        if takes_ledger {
            let writable = self.sink.resume_ledger();
            self.set_ledger_writable(writable);
        }
    }
}
