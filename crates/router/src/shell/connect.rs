//! Connections of a router's own are begun, and begun again where the system could not for a moment.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::sock::State;
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// A connection that could not be begun is tried so often in all, with this pause: less than any wait for connections, after
/// which the core gives it up by itself.
const TRIES: u32 = 10;
const PAUSE: Duration = Duration::from_millis(8);

#[derive(Debug)]
struct Retry {
    at: Instant,
    id: ConnId,
    address: SocketAddr,
    /// Tries so far.
    tries: u32,
}

/// Connections that wait for their next try: no more than the core has asked for and not given up.
#[derive(Debug, Default)]
pub(super) struct Retries(Vec<Retry>);

impl Retries {
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.0.iter().map(|r| r.at).min()
    }

    /// The core has given this one up.
    pub(super) fn forget(&mut self, id: ConnId) {
        self.0.retain(|r| r.id != id);
    }

    fn take_due(&mut self, now: Instant) -> Vec<Retry> {
        self.0.extract_if(.., |r| r.at <= now).collect()
    }
}

impl<S: Sink> Shell<S> {
    pub(super) fn connect(&mut self, id: ConnId, address: SocketAddr) {
        self.try_connect(id, address, 1);
    }

    /// Tries again what is due.
    pub(super) fn retry_connects(&mut self) {
        for Retry { id, address, tries, .. } in self.retries.take_due(Instant::now()) {
            self.try_connect(id, address, tries + 1);
        }
    }

    fn try_connect(&mut self, id: ConnId, address: SocketAddr, tries: u32) {
        let begun = TcpStream::connect(address).and_then(|s| self.add(id, s, State::Connecting));
        let Err(error) = begun else { return };
        let refused = error.kind() == io::ErrorKind::ConnectionRefused;
        if !refused && tries < TRIES {
            self.retries.0.push(Retry { at: Instant::now() + PAUSE, id, address, tries });
            return;
        }
        // Said of the way to the peer, or for want of something here.
        let unreached = refused || is_of_the_way(&error);
        let input = if unreached { Input::Lost(id) } else { Input::NotStarted(id) };
        self.core.handle(self.clock.now(), input, &mut self.outputs);
    }
}

fn is_of_the_way(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut};
    matches!(error.kind(), ConnectionReset | HostUnreachable | NetworkUnreachable | TimedOut)
}
