//! The successor's side of a hand-over. The offer is requested at the start; the place is taken when the router is otherwise
//! ready to serve.

use std::io::{ErrorKind, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Duration;

use chalkyard_budget::{BudgetEnforcer, Time};
use chalkyard_ledger::DirectoryVolume;
use chalkyard_router::shell::{SinkEvent, TakeOverError};
use chalkyard_settings::Budgets;
use chalkyard_state::handover::{
    PredecessorMessage, Successor, SuccessorAction, SuccessorEvent, SuccessorMessage, HANDOVER_VERSION,
};
use serde_json::{json, Value};

use super::connection::{receive_with_descriptors, MessageConnection, Received};
use super::token::take_token;
use crate::budget_runtime::{self, Ledger, RecoveredLedger};
use crate::control::{Call, SocketFile};
use crate::CommandError;

/// How long to wait for the offer: the running router asks its event loop, and serves other connections first.
const OFFER_TIMEOUT: Duration = Duration::from_secs(6);

/// What a running router offers.
pub struct HandedOver {
    /// The listening socket.
    pub listener: OwnedFd,
    connection: MessageConnection,
    token: OwnedFd,
    ledger_lock: Option<OwnedFd>,
}

/// Requests the place of the router that listens on a control socket. That router serves on.
///
/// # Errors
/// Nobody listens there, or the router can't be taken over.
pub fn request_offer(socket: &Path) -> Result<HandedOver, CommandError> {
    let failed =
        |reason: String| CommandError::CouldNotRun(format!("taking over at {}: {reason}", socket.display()));
    let io_failed = |e: std::io::Error| failed(e.to_string());
    let mut stream = UnixStream::connect(socket).map_err(io_failed)?;
    stream.set_read_timeout(Some(OFFER_TIMEOUT)).map_err(io_failed)?;
    let call = serde_json::to_string(&Call::TakeOver { version: HANDOVER_VERSION });
    let call = call.map_err(|e| failed(e.to_string()))?;
    stream.write_all(format!("{call}\n").as_bytes()).map_err(io_failed)?;
    let (line, descriptors) = receive_with_descriptors(&stream).map_err(io_failed)?;
    if line.is_empty() {
        return Err(failed("the running router has ended".into()));
    }
    match serde_json::from_str(&line) {
        Ok(PredecessorMessage::Offer { ledger }) => {
            let mut descriptors = descriptors.into_iter();
            let (Some(listener), Some(token)) = (descriptors.next(), descriptors.next()) else {
                return Err(failed("no listening socket received".into()));
            };
            let ledger_lock = descriptors.next().filter(|_| ledger);
            let connection = MessageConnection::new(stream).map_err(io_failed)?;
            Ok(HandedOver { listener, connection, token, ledger_lock })
        }
        _ => {
            let answer: Value = serde_json::from_str(&line).unwrap_or_default();
            let reason = answer.get("error").and_then(Value::as_str);
            Err(failed(reason.map_or_else(|| format!("not understood: {}", json!(line)), str::to_owned)))
        }
    }
}

impl HandedOver {
    /// Prepares to take the place. `budgets` are those of this process's settings.
    pub fn prepare(
        self,
        router: &str,
        budgets: Option<Budgets>,
        events: &SyncSender<SinkEvent>,
        socket_file: Arc<SocketFile>,
    ) -> TakeOver {
        TakeOver {
            connection: self.connection,
            token: self.token,
            ledger_lock: self.ledger_lock,
            router: router.into(),
            budgets,
            events: events.clone(),
            socket_file,
            takes_ledger: false,
            volume: None,
            recovered: None,
            ledger: None,
            error: None,
        }
    }
}

/// A place that can be taken over once this router is otherwise ready to serve.
pub struct TakeOver {
    connection: MessageConnection,
    token: OwnedFd,
    ledger_lock: Option<OwnedFd>,
    router: String,
    budgets: Option<Budgets>,
    events: SyncSender<SinkEvent>,
    socket_file: Arc<SocketFile>,
    /// The ledger of this process is the predecessor's.
    takes_ledger: bool,
    /// The ledger's folder, until it is read.
    volume: Option<DirectoryVolume>,
    /// The ledger, once it is read.
    recovered: Option<RecoveredLedger>,
    /// The ledger, once it is open for writing.
    ledger: Option<(BudgetEnforcer, Ledger)>,
    /// Why the last action failed.
    error: Option<TakeOverError>,
}

impl TakeOver {
    /// Takes the place. Blocks until the predecessor has given it up or gone on by itself; returns the budgets of this
    /// process, if there are any.
    ///
    /// # Errors
    /// The predecessor keeps its place.
    pub fn run(mut self, now: Time) -> Result<Option<(BudgetEnforcer, Ledger)>, TakeOverError> {
        self.open_volume()?;
        let mut state = Successor::default();
        let mut event = Some(SuccessorEvent::Prepared { ledger: self.takes_ledger });
        loop {
            while let Some(current) = event.take() {
                let mut actions = Vec::new();
                state.handle(current, &mut actions);
                for action in actions {
                    event = self.perform(action, now)?.map(SuccessorEvent::Done).or(event);
                }
            }
            match state.outcome() {
                Some(Ok(())) => break,
                Some(Err(failure)) => return Err(self.error.unwrap_or_else(|| failure.into())),
                None => event = Some(self.receive(&state)),
            }
        }
        if self.takes_ledger {
            budget_runtime::inherit_settlements(self.connection.into_reader()?, &self.events);
        }
        Ok(self.ledger)
    }

    /// Opens the folder of the ledger, and finds whether it is the predecessor's.
    fn open_volume(&mut self) -> Result<(), TakeOverError> {
        let Some(budgets) = &self.budgets else { return Ok(()) };
        let shared = match self.ledger_lock.take() {
            Some(lock) => DirectoryVolume::with_shared_lock(&budgets.ledger, lock)?,
            None => None,
        };
        self.takes_ledger = shared.is_some();
        self.volume = Some(match shared {
            Some(volume) => volume,
            None => budget_runtime::open_volume(budgets)?,
        });
        Ok(())
    }

    fn receive(&mut self, state: &Successor) -> SuccessorEvent {
        let never = AtomicBool::new(false);
        match self.connection.receive(state.timeout(), &never) {
            Received::Message(message) => SuccessorEvent::Message(message),
            Received::Unreadable => SuccessorEvent::Unreadable,
            Received::Disconnected => SuccessorEvent::Disconnected,
            Received::TimedOut | Received::Closing => SuccessorEvent::TimedOut,
        }
    }

    /// Performs an action and returns its result, if it has one.
    fn perform(&mut self, action: SuccessorAction, now: Time) -> Result<Option<bool>, TakeOverError> {
        Ok(match action {
            SuccessorAction::Recover => Some(self.try_step(Self::recover)),
            SuccessorAction::TakeToken => Some(take_token(self.token.as_fd())),
            SuccessorAction::Activate => Some(self.try_step(|take_over| take_over.activate(now))),
            SuccessorAction::Send(message) => {
                self.send(message)?;
                None
            }
        })
    }

    /// Sends a message. A predecessor that has ended is noticed by the next wait; one that does not get the message would
    /// resume when this process ends, so that it must not serve.
    fn send(&self, message: SuccessorMessage) -> Result<(), TakeOverError> {
        match self.connection.send(&message) {
            Err(e) if !matches!(e.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset) => {
                Err(e.into())
            }
            _ => Ok(()),
        }
    }

    fn try_step(&mut self, step: impl FnOnce(&mut Self) -> Result<(), TakeOverError>) -> bool {
        match step(self) {
            Ok(()) => true,
            Err(error) => {
                self.error = Some(error);
                false
            }
        }
    }

    fn recover(&mut self) -> Result<(), TakeOverError> {
        if let (Some(budgets), Some(volume)) = (&self.budgets, self.volume.take()) {
            self.recovered = Some(budget_runtime::read_ledger(budgets, volume)?);
        }
        Ok(())
    }

    /// Opens the ledger for writing and puts the control socket at its path.
    fn activate(&mut self, now: Time) -> Result<(), TakeOverError> {
        if let (Some(budgets), Some(recovered)) = (&self.budgets, self.recovered.take()) {
            let origin = match self.takes_ledger {
                true => budget_runtime::Origin::Predecessor,
                false => budget_runtime::Origin::Restart,
            };
            self.ledger = Some(recovered.open(budgets, &self.router, now, origin, &self.events)?);
        }
        self.socket_file.publish()?;
        Ok(())
    }
}
