//! A queue of ready sockets that the event loop has not handled yet, in the order in which to handle them.

use std::collections::BTreeMap;

use mio::event::Event;
use mio::Token;

/// The operations that one socket is ready for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Readiness {
    pub(super) token: Token,
    pub(super) readable: bool,
    pub(super) writable: bool,
    /// The peer has closed its side, or the connection has failed.
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
    /// Combines the readiness of one socket from two events.
    fn merge(self, other: Self) -> Self {
        Self {
            token: self.token,
            readable: self.readable || other.readable,
            writable: self.writable || other.writable,
            ended: self.ended || other.ended,
        }
    }
}

/// The kind of peer that a socket is connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerKind {
    /// A client. The listening socket and the waker count as clients.
    Client,
    /// A worker or service discovery.
    Worker,
}

/// The priority with which a socket is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Priority {
    /// A client that has disconnected: handled before all others.
    Disconnected,
    /// A worker: alternates with clients.
    Worker,
    /// A client: alternates with workers.
    Client,
}

/// Tokens of one priority, ordered by position.
type TokenQueue = BTreeMap<u64, Token>;

/// A socket that waits to be handled.
#[derive(Debug, Clone, Copy)]
struct QueuedSocket {
    /// Position among all sockets, in the order in which they were first pushed.
    position: u64,
    priority: Priority,
    readiness: Readiness,
}

/// The queue of ready sockets. Each socket has one entry, however many events arrive before it is handled, so the number of
/// entries never exceeds the number of open sockets.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    entries: BTreeMap<Token, QueuedSocket>,
    disconnected: TokenQueue,
    workers: TokenQueue,
    clients: TokenQueue,
    /// Whether [`ReadyQueue::next`] last preferred clients to workers. Alternates with each call.
    clients_first: bool,
    last_position: u64,
}

impl ReadyQueue {
    fn queue_of(&mut self, priority: Priority) -> &mut TokenQueue {
        match priority {
            Priority::Disconnected => &mut self.disconnected,
            Priority::Worker => &mut self.workers,
            Priority::Client => &mut self.clients,
        }
    }

    /// Adds an event. A queued socket keeps its position; if its client has disconnected, it moves to that priority.
    pub(super) fn push(&mut self, readiness: Readiness, peer: PeerKind) {
        let before = self.remove(readiness.token);
        let readiness = before.map_or(readiness, |earlier| readiness.merge(earlier.readiness));
        let priority = match peer {
            PeerKind::Client if readiness.ended => Priority::Disconnected,
            PeerKind::Client => Priority::Client,
            PeerKind::Worker => Priority::Worker,
        };
        self.last_position += 1;
        let position = before.map_or(self.last_position, |earlier| earlier.position);
        self.queue_of(priority).insert(position, readiness.token);
        self.entries.insert(readiness.token, QueuedSocket { position, priority, readiness });
    }

    /// Drops the entry of a socket that was removed.
    pub(super) fn forget(&mut self, token: Token) {
        self.remove(token);
    }

    fn remove(&mut self, token: Token) -> Option<QueuedSocket> {
        let queued = self.entries.remove(&token)?;
        self.queue_of(queued.priority).remove(&queued.position);
        Some(queued)
    }

    fn pop(&mut self, priority: Priority) -> Option<Readiness> {
        let (_, token) = self.queue_of(priority).pop_first()?;
        self.entries.remove(&token).map(|queued| queued.readiness)
    }

    /// The next client that has closed its side or whose connection has failed.
    pub(super) fn next_disconnected(&mut self) -> Option<Readiness> {
        self.pop(Priority::Disconnected)
    }

    /// The next of the other sockets. Workers and clients alternate, so that neither can starve the other.
    pub(super) fn next(&mut self) -> Option<Readiness> {
        self.clients_first = !self.clients_first;
        let (first, second) = match self.clients_first {
            true => (Priority::Client, Priority::Worker),
            false => (Priority::Worker, Priority::Client),
        };
        self.pop(first).or_else(|| self.pop(second))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of queued sockets.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}

#[cfg(test)]
#[path = "ready_queue_test.rs"]
mod tests;
