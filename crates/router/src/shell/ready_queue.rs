//! Readiness of sockets that the loop has not handled yet, in the order in which it is to be handled.

use std::collections::BTreeMap;

use mio::event::Event;
use mio::Token;

/// What one socket is ready for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Readiness {
    pub(super) token: Token,
    pub(super) readable: bool,
    pub(super) writable: bool,
    /// The peer has closed its side, or the connection is lost.
    pub(super) ended: bool,
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Self {
        let ended = event.is_read_closed() || event.is_error();
        Self {
            token: event.token(),
            readable: event.is_readable() || ended,
            writable: event.is_writable(),
            ended,
        }
    }
}

impl Readiness {
    /// The readiness of one socket by two events.
    fn and(self, other: Self) -> Self {
        Self {
            token: self.token,
            readable: self.readable || other.readable,
            writable: self.writable || other.writable,
            ended: self.ended || other.ended,
        }
    }
}

/// Which peer a socket belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    /// A client; also the listening socket.
    Client,
    /// A worker, or service discovery.
    Worker,
}

/// The class in which a socket is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Priority {
    /// A client that has gone: before all others.
    Departure,
    /// Taking turns with clients.
    Worker,
    /// Taking turns with workers.
    Client,
}

/// Tokens of one class by their position.
type Order = BTreeMap<u64, Token>;

/// A socket that waits to be handled.
#[derive(Debug, Clone, Copy)]
struct QueuedSocket {
    /// Its position among all: when it was first pushed.
    position: u64,
    priority: Priority,
    readiness: Readiness,
}

/// Sockets that are ready: one entry each, however many events come before it is handled, so that there are no more entries
/// than open sockets.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    waiting: BTreeMap<Token, QueuedSocket>,
    departures: Order,
    workers: Order,
    clients: Order,
    /// The next one is a client's, if both have any.
    clients_turn: bool,
    last_position: u64,
}

impl ReadyQueue {
    fn order(&mut self, priority: Priority) -> &mut Order {
        match priority {
            Priority::Departure => &mut self.departures,
            Priority::Worker => &mut self.workers,
            Priority::Client => &mut self.clients,
        }
    }

    /// Adds an event. A socket that waits already keeps its position; if its client has gone, among the departures.
    pub(super) fn push(&mut self, readiness: Readiness, side: Side) {
        let before = self.remove(readiness.token);
        let readiness = before.map_or(readiness, |earlier| readiness.and(earlier.readiness));
        let priority = match side {
            Side::Client if readiness.ended => Priority::Departure,
            Side::Client => Priority::Client,
            Side::Worker => Priority::Worker,
        };
        self.last_position += 1;
        let position = before.map_or(self.last_position, |earlier| earlier.position);
        self.order(priority).insert(position, readiness.token);
        self.waiting.insert(readiness.token, QueuedSocket { position, priority, readiness });
    }

    /// Drops the entry of a socket that is gone.
    pub(super) fn forget(&mut self, token: Token) {
        self.remove(token);
    }

    fn remove(&mut self, token: Token) -> Option<QueuedSocket> {
        let queued = self.waiting.remove(&token)?;
        self.order(queued.priority).remove(&queued.position);
        Some(queued)
    }

    fn pop(&mut self, priority: Priority) -> Option<Readiness> {
        let (_, token) = self.order(priority).pop_first()?;
        self.waiting.remove(&token).map(|queued| queued.readiness)
    }

    /// The next client that has closed its side or is lost.
    pub(super) fn next_departure(&mut self) -> Option<Readiness> {
        self.pop(Priority::Departure)
    }

    /// The next of the others: workers and clients take turns, so that a flood of either does not starve the other.
    pub(super) fn next(&mut self) -> Option<Readiness> {
        self.clients_turn = !self.clients_turn;
        let (first, second) = match self.clients_turn {
            true => (Priority::Client, Priority::Worker),
            false => (Priority::Worker, Priority::Client),
        };
        self.pop(first).or_else(|| self.pop(second))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Sockets that wait.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
#[path = "ready_queue_test.rs"]
mod tests;
