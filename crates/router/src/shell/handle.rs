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
    /// Where it stands.
    Status,
    /// Its engines.
    Engines,
    /// Its open requests.
    Requests,
    /// One request, open or ended lately.
    Trace(String),
}

#[derive(Debug)]
pub(super) enum Command {
    Lifecycle(LifecycleEvent),
    Query(AdminQuery, SyncSender<String>),
    /// With who was first: the loop, which gives, or the asker, who has stopped waiting.
    HandOver(SyncSender<Handover>, Arc<AtomicBool>),
}

/// Commands from other threads that wait for the loop; one more is not taken.
const COMMANDS: usize = 64;

/// Speaks to a running shell from another thread.
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

    /// Tells the router's life of something: a signal, or an operator's wish. False: it can't be told now.
    pub fn notify(&self, event: LifecycleEvent) -> bool {
        self.put(Command::Lifecycle(event))
    }

    /// Asks; none if there is no answer within the time.
    pub fn query(&self, query: AdminQuery, within: Duration) -> Option<String> {
        let (answer, got) = sync_channel(1);
        self.put(Command::Query(query, answer)).then(|| got.recv_timeout(within).ok()).flatten()
    }

    /// Has the router give its listening socket, and its ledger, to a successor; none if it has none to give, or
    /// does not answer in time.
    pub fn hand_over(&self, within: Duration) -> Option<Handover> {
        let (answer, got) = sync_channel(1);
        let decided = Arc::new(AtomicBool::new(false));
        if !self.put(Command::HandOver(answer, decided.clone())) {
            return None;
        }
        match got.recv_timeout(within) {
            // The loop was first: it is about to answer, or its end drops the other side.
            Err(RecvTimeoutError::Timeout) if decided.swap(true, Ordering::SeqCst) => got.recv().ok(),
            other => other.ok(),
        }
    }

    pub(super) fn take(&self) -> Vec<Command> {
        self.commands.lock().map(|mut commands| commands.drain(..).collect()).unwrap_or_default()
    }
}
