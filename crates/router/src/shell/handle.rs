//! A bounded queue of commands from other threads to a running shell.

use std::collections::VecDeque;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chalkyard_budget::Settled;
use chalkyard_state::LifecycleEvent;
use mio::Waker;

use super::handover::{HandoverCommand, HandoverOffer};

/// A query of an operator to a running router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminQuery {
    /// Counts and the lifecycle phase.
    Status,
    /// The known workers.
    Workers,
    /// The open requests.
    Requests,
    /// One request, by its id: open, or ended recently.
    Trace(String),
}

/// Why a command has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HandleError {
    /// The event loop did not answer in time, or its queue is full.
    #[error("the router's event loop did not reply in time")]
    Late,
    /// The event loop has ended.
    #[error("the router has stopped")]
    Stopped,
}

/// A command, with the channel for its answer if it has one.
#[derive(Debug)]
pub(super) enum Command {
    Lifecycle(LifecycleEvent),
    /// The event, and then the status. One command, because the event loop may end in the turn in which it takes the event.
    LifecycleThenStatus(LifecycleEvent, SyncSender<String>),
    Query(AdminQuery, SyncSender<String>),
    Handover(HandoverCommand),
}

/// Capacity of the command queue, without the commands of a hand-over.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// Commands that wait for the event loop.
#[derive(Debug, Default)]
pub(super) struct CommandQueue {
    waiting: VecDeque<Command>,
    /// The event loop has ended and takes no more commands.
    closed: bool,
}

/// Sends commands to a running shell from other threads.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(super) waker: Arc<Waker>,
    pub(super) commands: Arc<Mutex<CommandQueue>>,
}

impl Handle {
    /// Queues a command and wakes the event loop.
    fn enqueue(&self, command: Command) -> Result<(), HandleError> {
        let mut commands = self.commands.lock().map_err(|_| HandleError::Stopped)?;
        if commands.closed {
            return Err(HandleError::Stopped);
        }
        // A hand-over must be decided. There is one at a time, with at most three commands in the queue.
        let is_bounded = matches!(command, Command::Handover(_));
        if commands.waiting.len() >= COMMAND_QUEUE_CAPACITY && !is_bounded {
            return Err(HandleError::Late);
        }
        commands.waiting.push_back(command);
        self.waker.wake().map_err(|_| HandleError::Late)
    }

    /// Queues a command that answers on a channel, and waits for the answer.
    fn ask<T>(
        &self,
        timeout: Duration,
        command: impl FnOnce(SyncSender<T>) -> Command,
    ) -> Result<T, HandleError> {
        let (answer, received) = sync_channel(1);
        self.enqueue(command(answer))?;
        received.recv_timeout(timeout).map_err(|error| match error {
            RecvTimeoutError::Timeout => HandleError::Late,
            RecvTimeoutError::Disconnected => HandleError::Stopped,
        })
    }

    /// Passes a signal to the lifecycle. False if the queue is full or closed, or the loop cannot be woken.
    pub fn notify(&self, event: LifecycleEvent) -> bool {
        self.enqueue(Command::Lifecycle(event)).is_ok()
    }

    /// Passes an operator's command to the lifecycle, and returns the status after it.
    ///
    /// # Errors
    /// The event loop has ended, or does not answer in time.
    pub fn notify_and_report(&self, event: LifecycleEvent, timeout: Duration) -> Result<String, HandleError> {
        self.ask(timeout, |answer| Command::LifecycleThenStatus(event, answer))
    }

    /// Sends a query and returns its answer.
    ///
    /// # Errors
    /// The event loop has ended, or does not answer in time.
    pub fn query(&self, query: AdminQuery, timeout: Duration) -> Result<String, HandleError> {
        self.ask(timeout, |answer| Command::Query(query, answer))
    }

    /// Asks for the resources that a successor needs to prepare itself; the router serves on.
    ///
    /// # Errors
    /// The router is not ready, has ended, or does not answer in time.
    pub fn offer_handover(&self, timeout: Duration) -> Result<HandoverOffer, HandleError> {
        self.ask(timeout, |answer| Command::Handover(HandoverCommand::Offer(answer)))
    }

    /// Suspends the router for a successor. Returns false if it is not ready; after an error it may be suspended.
    ///
    /// # Errors
    /// The event loop has ended, or does not answer in time.
    pub fn suspend_for_successor(&self, takes_ledger: bool, timeout: Duration) -> Result<bool, HandleError> {
        self.ask(timeout, |answer| Command::Handover(HandoverCommand::Suspend { takes_ledger, answer }))
    }

    /// Lets only [`Handle::resume_after_handover`] resume the router. Returns false if it is not suspended any more.
    ///
    /// # Errors
    /// The event loop has ended, or does not answer in time.
    pub fn grant_place(&self, timeout: Duration) -> Result<bool, HandleError> {
        self.ask(timeout, |answer| Command::Handover(HandoverCommand::Grant(answer)))
    }

    /// Resumes a router that was suspended for a successor.
    ///
    /// # Errors
    /// The event loop has ended or cannot be woken.
    pub fn resume_after_handover(&self) -> Result<(), HandleError> {
        self.enqueue(Command::Handover(HandoverCommand::Resume))
    }

    /// Drains the router for a successor that serves. Returns the channel of the settlements if the successor has the ledger.
    ///
    /// # Errors
    /// The event loop has ended, or does not answer in time.
    pub fn release_place(&self, timeout: Duration) -> Result<Option<Receiver<Settled>>, HandleError> {
        self.ask(timeout, |answer| Command::Handover(HandoverCommand::Release(answer)))
    }

    /// Removes and returns all queued commands.
    pub(super) fn take_commands(&self) -> VecDeque<Command> {
        self.commands.lock().map(|mut commands| std::mem::take(&mut commands.waiting)).unwrap_or_default()
    }

    /// Rejects all further commands and returns those that are still queued.
    pub(super) fn close(&self) -> VecDeque<Command> {
        let Ok(mut commands) = self.commands.lock() else { return VecDeque::new() };
        commands.closed = true;
        std::mem::take(&mut commands.waiting)
    }
}
