//! The socket part of one event loop iteration: handles ready sockets for a limited time, and sends nothing for a client
//! that has disconnected.

use std::time::{Duration, Instant};

use mio::Token;

use super::ready_queue::{PeerKind, Readiness};
use super::{Shell, Sink, LISTENER, WAKER};
use crate::ConnId;

/// How long one loop iteration handles ready sockets. The rest wait until after the next poll. A tenth of the 0.1 s after
/// which nothing may be sent for a client that has disconnected.
const ITERATION_TIME: Duration = Duration::from_millis(10);
/// A call to a worker begins only if the sockets were polled for disconnected clients within this time.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Number of events after which the resulting records and bytes are written. The records of a batch need one write to the
/// ledger, and no answer waits for more events than these.
const EVENTS_PER_BATCH: usize = 16;

impl<S: Sink> Shell<S> {
    /// Queues the events of the latest poll.
    pub(super) fn queue_events(&mut self) {
        for event in &self.events {
            let readiness = Readiness::from(event);
            let is_outbound = connection_of(readiness.token).is_some_and(ConnId::is_outbound);
            self.ready.push(readiness, if is_outbound { PeerKind::Worker } else { PeerKind::Client });
        }
    }

    /// Handles ready sockets until the time of the iteration is over: at least one event, one batch of new connections and
    /// one connection with more bytes to read.
    pub(super) fn handle_ready_sockets(&mut self) {
        self.iteration_deadline = Instant::now() + ITERATION_TIME;
        self.handle_disconnects();
        let mut handled = 0;
        while let Some(readiness) = self.ready.next() {
            self.handle_ready(readiness);
            handled += 1;
            if handled % EVENTS_PER_BATCH == 0 {
                self.flush();
            }
            if self.is_iteration_over() {
                break;
            }
        }
        if self.accept_at.is_some_and(|at| at <= Instant::now()) {
            self.accept();
        }
        for _ in 0..self.to_read.len() {
            if let Some(key) = self.to_read.pop_front() {
                self.read(key);
            }
            if self.is_iteration_over() {
                break;
            }
        }
    }

    pub(super) fn is_iteration_over(&self) -> bool {
        Instant::now() >= self.iteration_deadline
    }

    /// Handles disconnected clients, so that nothing more is sent for them in this iteration. Returns whether there were
    /// any.
    fn handle_disconnects(&mut self) -> bool {
        let mut handled_any = false;
        while let Some(readiness) = self.ready.next_disconnected() {
            self.handle_ready(readiness);
            handled_any = true;
        }
        handled_any
    }

    /// Polls once more, unless the latest poll is recent, and handles disconnected clients. Other events stay in the queue.
    /// Returns whether there were disconnected clients.
    pub(super) fn poll_disconnects(&mut self) -> bool {
        if self.polled_at.elapsed() < DISCONNECT_POLL_INTERVAL {
            return false;
        }
        // An error is ignored here; if it persists, the poll of the event loop returns it.
        if self.poll.poll(&mut self.events, Some(Duration::ZERO)).is_ok() {
            self.queue_events();
        }
        self.polled_at = Instant::now();
        self.handle_disconnects()
    }

    fn handle_ready(&mut self, readiness: Readiness) {
        match readiness.token {
            LISTENER => self.accept_at = Some(Instant::now()),
            WAKER => {}
            token => {
                if let Some(key) = connection_of(token).and_then(|id| self.by_id.get(&id).copied()) {
                    self.handle_socket(key, readiness);
                }
            }
        }
    }
}

/// The connection that a token identifies.
fn connection_of(token: Token) -> Option<ConnId> {
    let number = token.0.checked_sub(1).filter(|_| token != LISTENER && token != WAKER)?;
    u64::try_from(number).ok().map(ConnId)
}
