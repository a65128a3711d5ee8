//! Connecting to workers and service discovery, with retries of transient local failures.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::connection::ConnectionState;
use super::{Shell, Sink};
use crate::{ConnId, Input};

/// Maximum number of attempts to start a connection.
const CONNECT_ATTEMPTS: u32 = 10;
/// Delay between two attempts. The sum of all delays is shorter than any connect timeout, after which the core gives up on
/// the connection.
const RETRY_DELAY: Duration = Duration::from_millis(8);

/// A connection to be attempted again.
#[derive(Debug)]
struct ConnectRetry {
    due: Instant,
    id: ConnId,
    address: SocketAddr,
    /// Number of attempts so far.
    attempts: u32,
}

/// Connections that wait for their next attempt. Their number is bounded by the connections that the core has requested
/// and not aborted.
#[derive(Debug, Default)]
pub(super) struct ConnectRetries(Vec<ConnectRetry>);

impl ConnectRetries {
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.0.iter().map(|retry| retry.due).min()
    }

    /// Drops the retry of a connection that the core has aborted.
    pub(super) fn forget(&mut self, id: ConnId) {
        self.0.retain(|retry| retry.id != id);
    }

    fn take_due(&mut self, now: Instant) -> Vec<ConnectRetry> {
        self.0.extract_if(.., |retry| retry.due <= now).collect()
    }
}

impl<S: Sink> Shell<S> {
    pub(super) fn connect(&mut self, id: ConnId, address: SocketAddr) {
        self.attempt_connect(id, address, 1);
    }

    /// Starts the attempts that are due.
    pub(super) fn retry_due_connects(&mut self) {
        for ConnectRetry { id, address, attempts, .. } in self.connect_retries.take_due(Instant::now()) {
            self.attempt_connect(id, address, attempts + 1);
        }
    }

    fn attempt_connect(&mut self, id: ConnId, address: SocketAddr, attempts: u32) {
        let started = TcpStream::connect(address)
            .and_then(|stream| self.add_connection(id, stream, ConnectionState::Connecting));
        let Err(error) = started else { return };
        let refused = error.kind() == io::ErrorKind::ConnectionRefused;
        if !refused && attempts < CONNECT_ATTEMPTS {
            self.connect_retries.0.push(ConnectRetry {
                due: Instant::now() + RETRY_DELAY,
                id,
                address,
                attempts,
            });
            return;
        }
        // Any other error means that local resources are missing.
        let is_unreachable = refused || is_network_error(&error);
        let input = if is_unreachable { Input::Lost(id) } else { Input::NotStarted(id) };
        self.core.handle(self.clock.now(), input, &mut self.outputs);
    }
}

fn is_network_error(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionReset, HostUnreachable, NetworkUnreachable, TimedOut};
    matches!(error.kind(), ConnectionReset | HostUnreachable | NetworkUnreachable | TimedOut)
}
