//! The state of a router's connection to a control replica, and its timeouts.

use crate::time::Micros;

/// The interval between a router's heartbeats, in µs. The replica answers each.
pub(crate) const HEARTBEAT_INTERVAL: Micros = 3_000_000;
/// How long a router waits for any message after a heartbeat, in µs, before it fails over to the next replica.
pub(crate) const HEARTBEAT_TIMEOUT: Micros = 2_000_000;
/// How long a router waits for a connection to be established, in µs.
pub(crate) const CONNECT_TIMEOUT: Micros = 1_000_000;

/// The state of the router's only connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Connection {
    Closed { retry_at: Micros },
    Connecting { deadline: Micros },
    Open { last_received_at: Micros, last_heartbeat_at: Micros },
}

impl Connection {
    /// Returns when the connection has to be attempted, closed because of a timeout, or used for a heartbeat.
    pub(crate) fn next_due(self) -> Micros {
        match self {
            Self::Closed { retry_at } => retry_at,
            Self::Connecting { deadline } => deadline,
            Self::Open { last_heartbeat_at, .. } if self.awaits_answer() => {
                last_heartbeat_at + HEARTBEAT_TIMEOUT
            }
            Self::Open { last_heartbeat_at, .. } => last_heartbeat_at + HEARTBEAT_INTERVAL,
        }
    }

    /// Returns whether nothing was received since the last heartbeat.
    pub(crate) fn awaits_answer(self) -> bool {
        match self {
            Self::Open { last_received_at, last_heartbeat_at } => last_received_at < last_heartbeat_at,
            Self::Closed { .. } | Self::Connecting { .. } => false,
        }
    }
}
