//! The predecessor's side of a hand-over, on a thread of its own.

use std::io;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::Duration;

use chalkyard_budget::Settled;
use chalkyard_router::shell::{Handle, HandoverOffer};
use chalkyard_state::handover::{
    Predecessor, PredecessorAction, PredecessorEvent, PredecessorMessage, WithdrawReason,
};
use tracing::{info, warn};

use super::connection::{MessageConnection, Received};
use super::token::{take_token, TokenChannel};
use crate::control::SocketFile;

/// Time limit for the event loop's reply.
const LOOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for the event loop's last reply, without which the settlements are lost.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);

/// A hand-over that has been offered to a successor.
pub struct PredecessorSession {
    connection: MessageConnection,
    token: TokenChannel,
    handle: Handle,
    socket_file: Arc<SocketFile>,
    closing: Arc<AtomicBool>,
    settled: Option<Receiver<Settled>>,
}

impl PredecessorSession {
    /// Offers the router's place to a successor.
    ///
    /// # Errors
    /// The offer can't be sent.
    pub fn offer(
        stream: &UnixStream,
        offer: &HandoverOffer,
        handle: Handle,
        socket_file: Arc<SocketFile>,
        closing: Arc<AtomicBool>,
    ) -> io::Result<Self> {
        let connection = MessageConnection::new(stream.try_clone()?)?;
        let token = TokenChannel::new()?;
        let mut descriptors = vec![offer.listener.as_fd(), token.reader()];
        descriptors.extend(offer.ledger_lock.as_ref().map(AsFd::as_fd));
        let message = PredecessorMessage::Offer { ledger: offer.ledger_lock.is_some() };
        connection.send_with_descriptors(&message, &descriptors)?;
        Ok(Self { connection, token, handle, socket_file, closing, settled: None })
    }

    /// Carries the hand-over out. If the successor takes the place, sends the settlements of this router until its event loop
    /// has ended.
    pub fn run(mut self) {
        let mut state = Predecessor::default();
        while !state.is_decided() {
            let mut event = Some(self.receive(&state));
            while let Some(current) = event.take() {
                let mut actions = Vec::new();
                state.handle(current, &mut actions);
                for action in actions {
                    event = self.perform(action).map(PredecessorEvent::Done).or(event);
                }
            }
        }
        self.socket_file.remove_spare_link();
        self.send_settlements();
    }

    fn receive(&mut self, state: &Predecessor) -> PredecessorEvent {
        match self.connection.receive(state.timeout(), &self.closing) {
            Received::Message(message) => PredecessorEvent::Message(message),
            Received::Unreadable => PredecessorEvent::Unreadable,
            Received::Disconnected => PredecessorEvent::Disconnected,
            Received::TimedOut => PredecessorEvent::TimedOut,
            Received::Closing => PredecessorEvent::Ending,
        }
    }

    /// Performs an action and returns its result, if it has one.
    fn perform(&mut self, action: PredecessorAction) -> Option<bool> {
        match action {
            PredecessorAction::Suspend { ledger } => {
                Some(self.handle.suspend_for_successor(ledger, LOOP_TIMEOUT).unwrap_or(false))
            }
            PredecessorAction::Grant => Some(self.grant()),
            PredecessorAction::PassToken => {
                if let Err(e) = self.token.pass() {
                    warn!(target: "control", "cannot pass the token to the successor: {e}");
                }
                None
            }
            PredecessorAction::ReclaimToken => Some(take_token(self.token.reader())),
            PredecessorAction::Resume => {
                self.resume();
                None
            }
            PredecessorAction::Release => {
                self.release();
                None
            }
            PredecessorAction::Send(message) => {
                self.send(&message);
                None
            }
        }
    }

    fn grant(&self) -> bool {
        if let Err(e) = self.socket_file.create_spare_link() {
            warn!(target: "control", "the socket's path is lost if the successor fails: {e}");
        }
        self.handle.grant_place(LOOP_TIMEOUT).unwrap_or(false)
    }

    fn resume(&self) {
        self.socket_file.restore();
        if let Err(e) = self.handle.resume_after_handover() {
            warn!(target: "control", "cannot resume: {e}");
        }
    }

    fn release(&mut self) {
        info!(target: "control", "handing over to a successor");
        match self.handle.release_place(RELEASE_TIMEOUT) {
            Ok(settled) => self.settled = settled,
            Err(e) => warn!(target: "control", "the successor serves, but this router: {e}"),
        }
    }

    fn send(&self, message: &PredecessorMessage) {
        if let PredecessorMessage::Withdrawn { reason } = message {
            let reason = match reason {
                WithdrawReason::TimedOut => "the successor has ended, or did not go on in time".into(),
                other => other.to_string(),
            };
            info!(target: "control", "not handed over: {reason}");
        }
        // A successor that has ended is noticed by the next wait.
        let _ = self.connection.send(message);
    }

    fn send_settlements(&mut self) {
        for settled in self.settled.iter().flatten() {
            if let Err(e) = self.connection.send(&settled) {
                warn!(target: "control", "the successor does not get the remaining settlements: {e}");
                return;
            }
        }
    }
}
