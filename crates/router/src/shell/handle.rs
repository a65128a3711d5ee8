//! Commands to a running shell from other threads, in a bounded queue.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chalkyard_state::LifecycleEvent;
use mio::Waker;

use super::Handover;

/// What an operator asks of a running router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminQuery {
    /// Its counts and its phase.
    Status,
    /// Its workers.
    Workers,
    /// Its open requests.
    Requests,
    /// One request, open or ended lately.
    Trace(String),
}

/// A command, with the channel for its answer.
#[derive(Debug)]
pub(super) enum Command {
    Lifecycle(LifecycleEvent),
    Query(AdminQuery, SyncSender<String>),
    /// With a flag that whoever is first sets: the loop, as it hands over, or the caller, as it stops waiting.
    HandOver(SyncSender<Handover>, Arc<AtomicBool>),
}

/// The most commands that wait for the loop.
const COMMANDS: usize = 64;

/// Gives commands to a running shell from another thread.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(super) waker: Arc<Waker>,
    pub(super) commands: Arc<Mutex<VecDeque<Command>>>,
}

impl Handle {
    fn put(&self, command: Command) -> bool {
        let Ok(mut commands) = self.commands.lock() else { return false };
        if commands.len() >= COMMANDS {
            return false;
        }
        commands.push_back(command);
        self.waker.wake().is_ok()
    }

    /// Notifies the lifecycle of a signal or an operator's command. False: too many commands wait.
    pub fn notify(&self, event: LifecycleEvent) -> bool {
        self.put(Command::Lifecycle(event))
    }

    /// Answers a query; none if there is no answer within the time.
    pub fn query(&self, query: AdminQuery, within: Duration) -> Option<String> {
        let (answer, got) = sync_channel(1);
        self.put(Command::Query(query, answer)).then(|| got.recv_timeout(within).ok()).flatten()
    }

    /// Has the router hand its listening socket and its ledger over to the next process; none if it has none, or does not
    /// answer in time.
    pub fn hand_over(&self, within: Duration) -> Option<Handover> {
        let (answer, got) = sync_channel(1);
        let decided = Arc::new(AtomicBool::new(false));
        if !self.put(Command::HandOver(answer, decided.clone())) {
            return None;
        }
        match got.recv_timeout(within) {
            // The loop was first: it is about to answer, or has ended and dropped the channel.
            Err(RecvTimeoutError::Timeout) if decided.swap(true, Ordering::SeqCst) => got.recv().ok(),
            other => other.ok(),
        }
    }

    pub(super) fn take(&self) -> Vec<Command> {
        self.commands.lock().map(|mut commands| commands.drain(..).collect()).unwrap_or_default()
    }
}
