//! A bounded queue of commands from other threads to a running shell.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chalkyard_state::LifecycleEvent;
use mio::Waker;

use super::Handover;

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

/// A command, with the channel for its answer if it has one.
#[derive(Debug)]
pub(super) enum Command {
    Lifecycle(LifecycleEvent),
    Query(AdminQuery, SyncSender<String>),
    /// Hand the listening socket and the ledger over. The flag decides a race: it is set first either by the event loop,
    /// which then hands over, or by the caller, which then stops waiting.
    HandOver(SyncSender<Handover>, Arc<AtomicBool>),
}

/// Capacity of the command queue.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// Sends commands to a running shell from other threads.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(super) waker: Arc<Waker>,
    pub(super) commands: Arc<Mutex<VecDeque<Command>>>,
}

impl Handle {
    /// Queues a command and wakes the event loop; false if the queue is full or the loop cannot be woken.
    fn enqueue(&self, command: Command) -> bool {
        let Ok(mut commands) = self.commands.lock() else { return false };
        if commands.len() >= COMMAND_QUEUE_CAPACITY {
            return false;
        }
        commands.push_back(command);
        self.waker.wake().is_ok()
    }

    /// Passes a signal or an operator's command to the lifecycle. False if the queue is full or the loop cannot be woken.
    pub fn notify(&self, event: LifecycleEvent) -> bool {
        self.enqueue(Command::Lifecycle(event))
    }

    /// Sends a query and returns its answer, or `None` if there is none in time.
    pub fn query(&self, query: AdminQuery, timeout: Duration) -> Option<String> {
        let (answer, received) = sync_channel(1);
        self.enqueue(Command::Query(query, answer)).then(|| received.recv_timeout(timeout).ok()).flatten()
    }

    /// Asks the router to hand its listening socket and its ledger over to the next process. Returns `None` if the router is
    /// not listening or does not answer in time.
    pub fn hand_over(&self, timeout: Duration) -> Option<Handover> {
        let (answer, received) = sync_channel(1);
        let decided = Arc::new(AtomicBool::new(false));
        if !self.enqueue(Command::HandOver(answer, decided.clone())) {
            return None;
        }
        match received.recv_timeout(timeout) {
            // The event loop has set the flag first: it is about to answer, or has ended and dropped the channel.
            Err(RecvTimeoutError::Timeout) if decided.swap(true, Ordering::SeqCst) => received.recv().ok(),
            other => other.ok(),
        }
    }

    /// Removes and returns all queued commands.
    pub(super) fn take_commands(&self) -> Vec<Command> {
        self.commands.lock().map(|mut commands| commands.drain(..).collect()).unwrap_or_default()
    }
}
