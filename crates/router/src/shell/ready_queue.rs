//! What the system has told of sockets and the loop has not handled yet, in the order in which it is to be handled.

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
    /// What both tell of one socket.
    fn and(self, other: Self) -> Self {
        Self {
            token: self.token,
            readable: self.readable || other.readable,
            writable: self.writable || other.writable,
            ended: self.ended || other.ended,
        }
    }
}

/// Whose socket it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    /// A client's, or the listening socket.
    Client,
    /// An engine's, or the register's.
    Engine,
}

/// In which order a socket is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    Departure,
    Engine,
    Client,
}

/// Tokens of one kind by when they were first told.
type Order = BTreeMap<u64, Token>;

/// Sockets that are ready: one entry each, however often the system tells of one before it is handled, so that there are
/// no more entries than open sockets.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    waiting: BTreeMap<Token, (u64, Turn, Readiness)>,
    departures: Order,
    engines: Order,
    clients: Order,
    /// The next one is a client's, if both have any.
    clients_turn: bool,
    told: u64,
}

impl ReadyQueue {
    fn order(&mut self, turn: Turn) -> &mut Order {
        match turn {
            Turn::Departure => &mut self.departures,
            Turn::Engine => &mut self.engines,
            Turn::Client => &mut self.clients,
        }
    }

    /// Takes what the system tells. One that waits already keeps its place, unless its client has gone.
    pub(super) fn push(&mut self, readiness: Readiness, side: Side) {
        let before = self.forget(readiness.token);
        let readiness = before.map_or(readiness, |(_, earlier)| readiness.and(earlier));
        let turn = match side {
            Side::Client if readiness.ended => Turn::Departure,
            Side::Client => Turn::Client,
            Side::Engine => Turn::Engine,
        };
        self.told += 1;
        let place = before.map_or(self.told, |(place, _)| place);
        self.order(turn).insert(place, readiness.token);
        self.waiting.insert(readiness.token, (place, turn, readiness));
    }

    /// Drops what waits of a socket that is gone: its place and what was told.
    pub(super) fn forget(&mut self, token: Token) -> Option<(u64, Readiness)> {
        let (place, turn, readiness) = self.waiting.remove(&token)?;
        self.order(turn).remove(&place);
        Some((place, readiness))
    }

    fn pop(&mut self, turn: Turn) -> Option<Readiness> {
        let (_, token) = self.order(turn).pop_first()?;
        self.waiting.remove(&token).map(|(_, _, readiness)| readiness)
    }

    /// The next client that has closed its side or is lost.
    pub(super) fn next_departure(&mut self) -> Option<Readiness> {
        self.pop(Turn::Departure)
    }

    /// The next of the others: engines and clients take turns, so that a flood of either leaves room for the other.
    pub(super) fn next(&mut self) -> Option<Readiness> {
        self.clients_turn = !self.clients_turn;
        let (first, second) = match self.clients_turn {
            true => (Turn::Client, Turn::Engine),
            false => (Turn::Engine, Turn::Client),
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
