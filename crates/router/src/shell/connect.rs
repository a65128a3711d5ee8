//! Connections to workers and service discovery are begun, with retries where the system could not for a moment.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::connection::ConnectionState;
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// How often a connection is begun in all.
const CONNECT_ATTEMPTS: u32 = 10;
/// The pause between two attempts. All pauses together are shorter than any connect timeout, after which the core gives the
/// connection up by itself.
const PAUSE: Duration = Duration::from_millis(8);

/// A connection that is begun again.
#[derive(Debug)]
struct ConnectRetry {
    at: Instant,
    id: ConnId,
    address: SocketAddr,
    /// Attempts so far.
    attempts: u32,
}

/// Connections that wait for their next attempt: no more than the core has asked for and not given up.
#[derive(Debug, Default)]
pub(super) struct ConnectRetries(Vec<ConnectRetry>);

impl ConnectRetries {
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.0.iter().map(|r| r.at).min()
    }

    /// The core has given a connection up.
    pub(super) fn forget(&mut self, id: ConnId) {
        self.0.retain(|r| r.id != id);
    }

    fn take_due(&mut self, now: Instant) -> Vec<ConnectRetry> {
        self.0.extract_if(.., |r| r.at <= now).collect()
    }
}

impl<S: Sink> Shell<S> {
    pub(super) fn connect(&mut self, id: ConnId, address: SocketAddr) {
        self.attempt_connect(id, address, 1);
    }

    /// Begins the connections that are due.
    pub(super) fn retry_connects(&mut self) {
        for ConnectRetry { id, address, attempts, .. } in self.connect_retries.take_due(Instant::now()) {
            self.attempt_connect(id, address, attempts + 1);
        }
    }

    fn attempt_connect(&mut self, id: ConnId, address: SocketAddr, attempts: u32) {
        let begun = TcpStream::connect(address).and_then(|s| self.add(id, s, ConnectionState::Connecting));
        let Err(error) = begun else { return };
        let refused = error.kind() == io::ErrorKind::ConnectionRefused;
        if !refused && attempts < CONNECT_ATTEMPTS {
            self.connect_retries.0.push(ConnectRetry { at: Instant::now() + PAUSE, id, address, attempts });
            return;
        }
        // Either the peer can't be reached, or local resources are missing.
        let is_unreachable = refused || is_network_error(&error);
        let input = if is_unreachable { Input::Lost(id) } else { Input::NotStarted(id) };
        self.core.handle(self.clock.now(), input, &mut self.outputs);
    }
}

fn is_network_error(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut};
    matches!(error.kind(), ConnectionReset | HostUnreachable | NetworkUnreachable | TimedOut)
}
