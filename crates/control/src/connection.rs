//! The state of a router's connection to a control replica, and when it has to be looked at next.

use crate::time::Micros;

/// A router sends a heartbeat this often, and the replica answers it.
pub(crate) const HEARTBEAT_INTERVAL: Micros = 3_000_000;
/// A replica that has sent nothing for so long after a heartbeat is given up for the next one.
pub(crate) const HEARTBEAT_TIMEOUT: Micros = 2_000_000;
/// A connection has to be established within this.
pub(crate) const CONNECT_TIMEOUT: Micros = 1_000_000;

/// One connection at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Connection {
    Closed { retry_at: Micros },
    Connecting { deadline: Micros },
    Open { last_received_at: Micros, last_heartbeat_at: Micros },
}

impl Connection {
    /// When the connection is due: to be attempted, given up, or used for a heartbeat.
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

    /// Whether nothing was received since the last heartbeat.
    pub(crate) fn awaits_answer(self) -> bool {
        match self {
            Self::Open { last_received_at, last_heartbeat_at } => last_received_at < last_heartbeat_at,
            Self::Closed { .. } | Self::Connecting { .. } => false,
        }
    }
}
