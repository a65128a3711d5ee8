//! One turn of the loop: ready sockets are handled, bounded by time, and nothing is sent for a client that has gone.

use std::time::{Duration, Instant};

use mio::Token;

use super::ready_queue::{Readiness, Side};
use super::{Shell, Sink, LISTENER, WAKER};
use crate::ConnId;

/// A turn of the loop handles ready sockets for this long; the rest waits for the next turn, behind another poll. A tenth of
/// the 0.1 s after which nothing may be sent for a client that has gone.
const TURN: Duration = Duration::from_millis(10);
/// A call to a worker is only begun if the system was polled this lately for clients that have gone.
const DEPARTURE_POLL: Duration = Duration::from_millis(2);
/// Events handled before what they cause is written: records of a group cost one write to the ledger, and no
/// answer waits for more than these.
const EVENTS_A_GROUP: usize = 16;

impl<S: Sink> Shell<S> {
    /// Queues the events of the last poll.
    pub(super) fn queue_events(&mut self) {
        for event in &self.events {
            let readiness = Readiness::from(event);
            let is_outbound = connection_of(readiness.token).is_some_and(ConnId::is_outbound);
            self.ready.push(readiness, if is_outbound { Side::Worker } else { Side::Client });
        }
    }

    /// Handles what is ready until the turn's time is over: at least one event, one group of new connections and one
    /// connection that is read on.
    pub(super) fn take_turn(&mut self) {
        self.turn_until = Instant::now() + TURN;
        self.take_departures();
        let mut handled = 0;
        while let Some(readiness) = self.ready.next() {
            self.handle_ready(readiness);
            handled += 1;
            if handled % EVENTS_A_GROUP == 0 {
                self.flush();
            }
            if self.is_turn_over() {
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
            if self.is_turn_over() {
                break;
            }
        }
    }

    pub(super) fn is_turn_over(&self) -> bool {
        Instant::now() >= self.turn_until
    }

    /// Handles clients that have gone before anything else, so that nothing is sent for them in this turn.
    fn take_departures(&mut self) -> bool {
        let mut any = false;
        while let Some(readiness) = self.ready.next_departure() {
            self.handle_ready(readiness);
            any = true;
        }
        any
    }

    /// Polls once more, unless that was done just now, and handles clients that have gone; true if there were any. Other
    /// events wait in the queue.
    pub(super) fn poll_departures(&mut self) -> bool {
        if self.polled_at.elapsed() < DEPARTURE_POLL {
            return false;
        }
        // An interrupted or failed poll finds nothing; the loop's own poll returns the failure.
        if self.poll.poll(&mut self.events, Some(Duration::ZERO)).is_ok() {
            self.queue_events();
        }
        self.polled_at = Instant::now();
        self.take_departures()
    }

    fn handle_ready(&mut self, readiness: Readiness) {
        match readiness.token {
            LISTENER => self.accept_at = Some(Instant::now()),
            WAKER => {}
            token => {
                if let Some(key) = connection_of(token).and_then(|id| self.by_id.get(&id).copied()) {
                    self.ready_socket(key, readiness);
                }
            }
        }
    }
}

/// The connection that a token stands for.
fn connection_of(token: Token) -> Option<ConnId> {
    let number = token.0.checked_sub(1).filter(|_| token != LISTENER && token != WAKER)?;
    u64::try_from(number).ok().map(ConnId)
}
